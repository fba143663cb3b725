//! This host's knowledge of the store: whether it reads the store itself, whether the store
//! answers, and the age of what was read or received from another host.

use std::time::Duration;

use dragonflyrill_fleet::store_access::StoreAccess;

use super::{Gateway, StoreRead};
use crate::control::catalogue;

impl Gateway {
    /// Records that the store answered a read at `at`. The read was made by this host or by the
    /// host that it polls.
    pub fn record_store_answer(&self, read: StoreRead, at: Duration) {
        let was_fresh = self.has_fresh_store_data();
        let mut answered_at = self.store_answered_at.get();
        let before = answered_at[read as usize];
        answered_at[read as usize] = before.max(Some(at));
        self.store_answered_at.set(answered_at);
        self.news.notify_waiters();
        if read == StoreRead::List {
            self.outage
                .borrow_mut()
                .record_list_update(at, before, self.now());
        }
        if !was_fresh && self.reads_fresh_store_data() {
            // Other hosts wait for fresh data: the next poll is made at once so that they learn of
            // it.
            self.peers.poll_now();
        }
    }

    /// Whether the data from the store is fresh, read by this host or by the host that it polls.
    pub fn has_fresh_store_data(&self) -> bool {
        let max_silence = catalogue::max_store_silence(&self.settings);
        self.store_answer_age()
            .is_some_and(|age| age <= max_silence)
    }

    /// Whether this host reads the store itself and has fresh data from it.
    pub fn reads_fresh_store_data(&self) -> bool {
        self.reads_available_store() && self.has_fresh_store_data()
    }

    /// Whether this host reads the store itself and no longer gets answers.
    pub fn store_reads_fail(&self) -> bool {
        let max_silence = catalogue::max_store_silence(&self.settings);
        let [catalogue, list] = self.store_answered_at.get();
        let answered_at = catalogue
            .zip(list)
            .map(|(catalogue, list)| catalogue.min(list));
        let silent = answered_at.is_some_and(|at| self.running_since(at) > max_silence);
        self.reads_store() && (self.store_unavailable() || silent)
    }

    /// Records the result of a call to the store, or what another host has reported about the
    /// store.
    pub fn record_store_access(&self, record: impl FnOnce(&mut StoreAccess)) {
        let before = *self.store_access.borrow();
        let changed = self.store_access.send_if_modified(|access| {
            record(access);
            access.unavailable() != before.unavailable()
        });
        let after = *self.store_access.borrow();
        // In two cases the next poll is made at once. If the store answers again, the host that
        // grants probe slots must learn it before it grants the next slot. If this host no longer
        // keeps reading, it must learn whether to leave probes to other hosts before it probes
        // again.
        let recovered = changed && !after.unavailable() && self.has_fresh_store_data();
        let stops_reading = self.reads_store() && before.keeps_reading() && !after.keeps_reading();
        if recovered || stops_reading {
            self.peers.poll_now();
        }
        if changed {
            if after.unavailable() {
                self.record_store_failure();
            }
            log::info!(target: "store", away = after.unavailable(); "Store availability changed.");
        }
    }

    /// Whether the store counts as unavailable. Then only those calls are made that show whether it
    /// answers again.
    pub fn store_unavailable(&self) -> bool {
        self.store_access.borrow().unavailable()
    }

    /// Records that the store has failed, as far as this host knows.
    pub fn record_store_failure(&self) {
        self.outage.borrow_mut().record_failure(self.now());
    }

    /// Whether this host reads the store itself and the store counts as available to it.
    pub fn reads_available_store(&self) -> bool {
        self.reads_store() && !self.store_unavailable()
    }

    /// Whether this host reads the store itself and keeps doing so, whatever other hosts report.
    pub fn keeps_reading_store(&self) -> bool {
        self.reads_store() && self.store_access.borrow().keeps_reading()
    }

    /// Waits until this host reads the store itself and the store is available to it.
    pub async fn wait_until_store_readable(&self) {
        while !self.reads_available_store() {
            self.wait_until_reading().await;
            let mut access = self.store_access.subscribe();
            // Can't fail: the sender is a field of `self`.
            let _ = access.wait_for(|access| !access.unavailable()).await;
        }
    }

    /// Records that the list of endpoints was read, or received from another host, in its state at
    /// `as_of`.
    pub fn record_list_as_of(&self, as_of: Duration) {
        let before = self.list_as_of.get();
        self.list_as_of.set(before.max(Some(as_of)));
    }

    /// Upper bound on the age of the list of endpoints that this host uses; `None` if it has none.
    pub fn list_age(&self) -> Option<Duration> {
        Some(self.now().saturating_sub(self.list_as_of.get()?))
    }

    /// Time since the store last answered, for the kind of read for which that is longer ago;
    /// `None` until reads of both kinds were answered.
    pub fn store_answer_age(&self) -> Option<Duration> {
        let [catalogue, list] = self.store_answered_at.get();
        Some(self.now().saturating_sub(catalogue?.min(list?)))
    }

    /// Whether this host reads the store itself. If not, another host reports to it.
    pub fn reads_store(&self) -> bool {
        *self.reads_store.borrow()
    }

    /// Sets whether this host reads the store itself.
    pub fn set_reads_store(&self, reads_store: bool) {
        let changed = self
            .reads_store
            .send_if_modified(|r| std::mem::replace(r, reads_store) != reads_store);
        if changed {
            log::info!(target: "peers", reading = reads_store; "This host has started or stopped reading the store.");
        }
    }

    /// Waits until this host reads the store itself.
    pub async fn wait_until_reading(&self) {
        let mut reads_store = self.reads_store.subscribe();
        // Can't fail: the sender is a field of `self`.
        let _ = reads_store.wait_for(|r| *r).await;
    }

    /// Waits until this host doesn't read the store itself.
    pub async fn wait_until_not_reading(&self) {
        let mut reads_store = self.reads_store.subscribe();
        // Can't fail: the sender is a field of `self`.
        let _ = reads_store.wait_for(|r| !*r).await;
    }
}
