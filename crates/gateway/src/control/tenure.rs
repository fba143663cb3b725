//! The lease of placing layers, as the task that places them sees it.
//!
//! The lease is renewed by a task of its own ([`super::roster`]): to ask and order thousands of engines takes a
//! small host longer than a term of it.

use std::{cell::Cell, time::Duration};

/// A stretch in which this host has held the lease and no other host has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Tenure(u64);

/// The lease as it was last renewed.
#[derive(Debug, Default)]
pub(super) struct Tenures {
    /// Counts the times that the lease has passed to this host.
    tenures: Cell<u64>,
    /// Whether the row names this host.
    mine: Cell<bool>,
    until: Cell<Option<Duration>>,
    /// Orders that were given and not answered yet.
    under_way: Cell<u32>,
}

/// An order that is under way until this is dropped.
pub(super) struct OrderUnderWay<'a>(&'a Tenures);

impl Drop for OrderUnderWay<'_> {
    fn drop(&mut self) {
        self.0.under_way.set(self.0.under_way.get() - 1);
    }
}

impl Tenures {
    /// Takes whether the row names this host, and until when it may act on that.
    pub(super) fn set(&self, mine: bool, until: Option<Duration>) {
        if mine && !self.mine.get() {
            self.tenures.set(self.tenures.get() + 1);
        }
        self.mine.set(mine);
        self.until.set(until.filter(|_| mine));
    }

    /// This host's tenure, if it may act now.
    pub(super) fn tenure(&self, now: Duration) -> Option<Tenure> {
        let held = self.until.get().is_some_and(|until| now < until);
        held.then_some(Tenure(self.tenures.get()))
    }

    /// An order is given.
    pub(super) fn order(&self) -> OrderUnderWay<'_> {
        self.under_way.set(self.under_way.get() + 1);
        OrderUnderWay(self)
    }

    /// Whether an order is under way.
    pub(super) fn ordering(&self) -> bool {
        self.under_way.get() > 0
    }

    /// Whether this host may act now on what it has learned since a tenure began.
    pub(super) fn holds(&self, tenure: Tenure, now: Duration) -> bool {
        self.tenure(now) == Some(tenure)
    }
}
