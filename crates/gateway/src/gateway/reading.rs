//! What this host reads of the store, what it is told of it, and how old that is.

use std::time::Duration;

use dragonflyrill_fleet::store_access::StoreAccess;

use super::{Gateway, StoreRead};
use crate::control::catalogue;

impl Gateway {
    /// The store has answered on something, this host or the one that it asks.
    pub fn record_store_answer(&self, read: StoreRead, at: Duration) {
        let was_fresh = self.has_fresh_store_data();
        let mut answered_at = self.store_answered_at.get();
        let before = answered_at[read as usize];
        answered_at[read as usize] = before.max(Some(at));
        self.store_answered_at.set(answered_at);
        if read == StoreRead::List {
            self.outage
                .borrow_mut()
                .record_list_update(at, before, self.now());
        }
        if !was_fresh && self.reads_fresh_store_data() {
            // The hosts that wait hear of it at once, and not with the next call.
            self.peers.poll_now();
        }
    }

    /// Whether the news of the store are fresh, this host's own or those of the one that it asks.
    pub fn has_fresh_store_data(&self) -> bool {
        let max_silence = catalogue::longest_silence(&self.settings);
        self.store_answer_age()
            .is_some_and(|age| age <= max_silence)
    }

    /// Whether this host reads the store itself and has fresh news of it.
    pub fn reads_fresh_store_data(&self) -> bool {
        self.reads_available_store() && self.has_fresh_store_data()
    }

    /// Whether this host reads the store itself and has no answer any more.
    pub fn store_reads_fail(&self) -> bool {
        let stale = self.store_answer_age().is_some() && !self.has_fresh_store_data();
        self.reads_store() && (self.store_unavailable() || stale)
    }

    /// Notes how a call to the store has ended, or what another host tells of it.
    pub fn record_store_access(&self, record: impl FnOnce(&mut StoreAccess)) {
        let before = *self.store_access.borrow();
        let changed = self.store_access.send_if_modified(|access| {
            record(access);
            access.unavailable() != before.unavailable()
        });
        let after = *self.store_access.borrow();
        // Before the next host tries, this one tells whoever has others try that it has the store back; and before
        // it tries once more itself, it hears whether it is to leave that to others.
        let recovered = changed && !after.unavailable() && self.has_fresh_store_data();
        let stops_reading = self.reads_store() && before.keeps_reading() && !after.keeps_reading();
        if recovered || stops_reading {
            self.peers.poll_now();
        }
        if changed {
            if after.unavailable() {
                self.record_store_failure();
            }
            log::info!(target: "store", away = after.unavailable(); "Whether the store is away changed.");
        }
    }

    /// Whether the store counts as away: only what shows that it is back is asked for then.
    pub fn store_unavailable(&self) -> bool {
        self.store_access.borrow().unavailable()
    }

    /// The store is in trouble, as far as this host knows.
    pub fn record_store_failure(&self) {
        self.outage.borrow_mut().record_failure(self.now());
    }

    /// Whether this host reads the store itself and the store does not count as away for it.
    pub fn reads_available_store(&self) -> bool {
        self.reads_store() && !self.store_unavailable()
    }

    /// Whether this host reads the store itself and is to go on, whatever another one tells.
    pub fn keeps_reading_store(&self) -> bool {
        self.reads_store() && self.store_access.borrow().keeps_reading()
    }

    /// Waits until this host reads the store itself and the store answers it.
    pub async fn wait_until_store_readable(&self) {
        while !self.reads_available_store() {
            self.wait_until_reading().await;
            let mut access = self.store_access.subscribe();
            // The sender lives as long as this does.
            let _ = access.wait_for(|access| !access.unavailable()).await;
        }
    }

    /// The list of endpoints was read, or told by another host, as the store had it at that time.
    pub fn record_list_as_of(&self, as_of: Duration) {
        let before = self.list_as_of.get();
        self.list_as_of.set(before.max(Some(as_of)));
    }

    /// How old the list of endpoints is that this host acts on, at most.
    pub fn list_age(&self) -> Option<Duration> {
        Some(self.now().saturating_sub(self.list_as_of.get()?))
    }

    /// How long ago the store last answered, on whichever is longer ago.
    pub fn store_answer_age(&self) -> Option<Duration> {
        let [catalogue, list] = self.store_answered_at.get();
        Some(self.now().saturating_sub(catalogue?.min(list?)))
    }

    /// Whether this host reads the store itself; else another host tells it.
    pub fn reads_store(&self) -> bool {
        *self.reads_store.borrow()
    }

    /// Says whether this host reads the store itself.
    pub fn set_reads_store(&self, reads_store: bool) {
        let changed = self
            .reads_store
            .send_if_modified(|r| std::mem::replace(r, reads_store) != reads_store);
        if changed {
            log::info!(target: "peers", reading = reads_store; "Whether this host reads the store changed.");
        }
    }

    /// Waits until this host reads the store itself.
    pub async fn wait_until_reading(&self) {
        let mut reads_store = self.reads_store.subscribe();
        // The sender lives as long as this does.
        let _ = reads_store.wait_for(|r| *r).await;
    }

    /// Waits until this host does not read the store itself.
    pub async fn wait_until_not_reading(&self) {
        let mut reads_store = self.reads_store.subscribe();
        // The sender lives as long as this does.
        let _ = reads_store.wait_for(|r| !*r).await;
    }
}
