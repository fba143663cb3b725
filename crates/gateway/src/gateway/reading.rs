//! What this host reads of the store, what it is told of it, and how old that is.

use std::time::Duration;

use dragonflyrill_fleet::store_access::StoreAccess;

use super::{Gateway, On};
use crate::control::catalogue;

impl Gateway {
    /// The store has answered on something, this host or the one that it asks.
    pub fn heard(&self, on: On, at: Duration) {
        let fresh = self.hears();
        let mut heard = self.heard_at.get();
        let before = heard[on as usize];
        heard[on as usize] = before.max(Some(at));
        self.heard_at.set(heard);
        if on == On::List {
            self.outage
                .borrow_mut()
                .record_list_update(at, before, self.now());
        }
        if !fresh && self.reads_well() {
            // The hosts that wait hear of it at once, and not with the next call.
            self.peers.hurry();
        }
    }

    /// Whether the news of the store are fresh, this host's own or those of the one that it asks.
    pub fn hears(&self) -> bool {
        let silent = catalogue::max_store_silence(&self.settings);
        self.heard_age().is_some_and(|age| age <= silent)
    }

    /// Whether this host reads the store itself and has fresh news of it.
    pub fn reads_well(&self) -> bool {
        self.asks_store() && self.hears()
    }

    /// Whether this host reads the store itself and has no answer any more.
    pub fn reads_in_vain(&self) -> bool {
        let stale = self.heard_age().is_some() && !self.hears();
        self.reads_store() && (self.store_away() || stale)
    }

    /// Notes how a call to the store has ended, or what another host tells of it.
    pub fn note_access(&self, note: impl FnOnce(&mut StoreAccess)) {
        let before = *self.access.borrow();
        let changed = self.access.send_if_modified(|access| {
            note(access);
            access.unavailable() != before.unavailable()
        });
        let after = *self.access.borrow();
        // Before the next host tries, this one tells whoever has others try that it has the store back; and before
        // it tries once more itself, it hears whether it is to leave that to others.
        let back = changed && !after.unavailable() && self.hears();
        let leaves_off = self.reads_store() && before.keeps_reading() && !after.keeps_reading();
        if back || leaves_off {
            self.peers.hurry();
        }
        if changed {
            if after.unavailable() {
                self.store_troubled();
            }
            log::info!(target: "store", away = after.unavailable(); "Whether the store is away changed.");
        }
    }

    /// Whether the store counts as away: only what shows that it is back is asked for then.
    pub fn store_away(&self) -> bool {
        self.access.borrow().unavailable()
    }

    /// The store is in trouble, as far as this host knows.
    pub fn store_troubled(&self) {
        self.outage.borrow_mut().record_failure(self.now());
    }

    /// Whether this host reads the store itself and the store does not count as away for it.
    pub fn asks_store(&self) -> bool {
        self.reads_store() && !self.store_away()
    }

    /// Whether this host reads the store itself and is to go on, whatever another one tells.
    pub fn goes_on_reading(&self) -> bool {
        self.reads_store() && self.access.borrow().keeps_reading()
    }

    /// Waits until this host reads the store itself and the store answers it.
    pub async fn until_store_answers(&self) {
        while !self.asks_store() {
            self.until_reading().await;
            let mut access = self.access.subscribe();
            // The sender lives as long as this does.
            let _ = access.wait_for(|access| !access.unavailable()).await;
        }
    }

    /// The list of endpoints was read, or told by another host, as the store had it at that time.
    pub fn list_known(&self, as_of: Duration) {
        let before = self.list_as_of.get();
        self.list_as_of.set(before.max(Some(as_of)));
    }

    /// How old the list of endpoints is that this host acts on, at most.
    pub fn list_age(&self) -> Option<Duration> {
        Some(self.now().saturating_sub(self.list_as_of.get()?))
    }

    /// How long ago the store last answered, on whichever is longer ago.
    pub fn heard_age(&self) -> Option<Duration> {
        let [catalogue, list] = self.heard_at.get();
        Some(self.now().saturating_sub(catalogue?.min(list?)))
    }

    /// Whether this host reads the store itself; else another host tells it.
    pub fn reads_store(&self) -> bool {
        *self.reading.borrow()
    }

    /// Says whether this host reads the store itself.
    pub fn set_reading(&self, reading: bool) {
        let changed = self
            .reading
            .send_if_modified(|r| std::mem::replace(r, reading) != reading);
        if changed {
            log::info!(target: "peers", reading = reading; "Whether this host reads the store changed.");
        }
    }

    /// Waits until this host reads the store itself.
    pub async fn until_reading(&self) {
        let mut reading = self.reading.subscribe();
        // The sender lives as long as this does.
        let _ = reading.wait_for(|r| *r).await;
    }

    /// Waits until this host does not read the store itself.
    pub async fn until_told(&self) {
        let mut reading = self.reading.subscribe();
        // The sender lives as long as this does.
        let _ = reading.wait_for(|r| !*r).await;
    }
}
