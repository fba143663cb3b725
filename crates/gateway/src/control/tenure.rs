//! The state of the lease for placing layers, shared between the task that renews it and the task that places layers.
//!
//! A separate task ([`super::roster`]) renews the lease, because polling and ordering thousands of engines takes a small
//! host longer than a term of the lease.

use std::{cell::Cell, time::Duration};

/// A period in which this host holds the lease without interruption by another holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Tenure(u64);

/// The state of the lease after its last renewal or read.
#[derive(Debug, Default)]
pub(super) struct LeaseState {
    /// The number of times that this host has become the holder.
    tenures: Cell<u64>,
    /// Whether the lease's row names this host as the holder.
    is_holder: Cell<bool>,
    until: Cell<Option<Duration>>,
    /// Orders that were sent and have not been answered.
    pending_orders: Cell<u32>,
}

/// Guard that counts an order as pending until it is dropped.
pub(super) struct PendingOrder<'a>(&'a LeaseState);

impl Drop for PendingOrder<'_> {
    fn drop(&mut self) {
        self.0.pending_orders.set(self.0.pending_orders.get() - 1);
    }
}

impl LeaseState {
    /// Sets whether the row names this host as the holder, and until when this host may act as the holder.
    pub(super) fn set(&self, is_holder: bool, until: Option<Duration>) {
        if is_holder && !self.is_holder.get() {
            self.tenures.set(self.tenures.get() + 1);
        }
        self.is_holder.set(is_holder);
        self.until.set(until.filter(|_| is_holder));
    }

    /// The current tenure, if this host may act as the holder now.
    pub(super) fn tenure(&self, now: Duration) -> Option<Tenure> {
        let held = self.until.get().is_some_and(|until| now < until);
        held.then_some(Tenure(self.tenures.get()))
    }

    /// Counts an order as pending until the guard is dropped.
    pub(super) fn begin_order(&self) -> PendingOrder<'_> {
        self.pending_orders.set(self.pending_orders.get() + 1);
        PendingOrder(self)
    }

    /// Whether an order is pending.
    pub(super) fn has_pending_orders(&self) -> bool {
        self.pending_orders.get() > 0
    }

    /// Whether the tenure lasts and this host may act as the holder now, so that what it learned in the tenure is valid.
    pub(super) fn is_current(&self, tenure: Tenure, now: Duration) -> bool {
        self.tenure(now) == Some(tenure)
    }
}
