//! A leader lease: what one host does for all, while a row of the platform's store names it.
//!
//! The lease is one row. Its holder renews it by writing it again, under the condition that it is
//! as the holder left it; any other host takes it over once the row has not changed for a whole
//! term. No clock is compared between hosts: each measures on its own monotonic clock how long the
//! row has stood still. The holder counts its term from the *sending* of its last write that
//! succeeded and stops before the term ends, so that two hosts never both act. A holder that ends
//! says so in the row, so that another one need not wait for the term.

use std::time::Duration;

/// The part of the term for which the holder acts, the rest is for slow clocks and late orders.
const HELD_PART: f64 = 0.8;
/// The part of the term after which the holder renews.
const RENEW_PART: f64 = 0.35;

/// What stands in the row, in place of a holder, after one has given the lease up.
pub const NOBODY: &str = "";

/// The row as it was seen.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Seen {
    /// Who wrote it: a host and its incarnation; or [`NOBODY`].
    pub holder: String,
    /// The row's version.
    pub version: u64,
}

/// What is to be done now.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Read the row, and tell of it by [`LeaderLease::read`].
    Read,
    /// Write the row if it still has that version, 0 if there is none; tell of the outcome by
    /// [`LeaderLease::wrote`].
    Write {
        /// The version that it must have.
        expected: u64,
    },
    /// Write into the row that [`NOBODY`] holds the lease, if it still has that version; tell of the
    /// outcome by [`LeaderLease::wrote`].
    Release {
        /// The version that it must have.
        expected: u64,
    },
}

/// How a write ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Wrote {
    /// The row has that version now.
    Done(u64),
    /// The row is another one.
    Conflict(Option<Seen>),
    /// Perhaps; or perhaps later.
    Unknown,
}

/// One host's view of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaderLease {
    me: String,
    term: Duration,
    /// How often a host that does not hold it reads the row.
    look: Duration,
    seen: Option<Seen>,
    /// When the row was first seen as it is now; `None` before the first read.
    changed_at: Option<Duration>,
    read_at: Option<Duration>,
    /// When the last write that succeeded was sent.
    renewed_at: Option<Duration>,
    /// A write may or may not have happened; only a read can tell.
    in_doubt: bool,
    /// This host ends: it never holds the lease again.
    leaving: bool,
}

impl LeaderLease {
    /// A lease of which nothing is known. `me` names this host and its incarnation.
    pub fn new(me: String, term: Duration, look: Duration) -> Self {
        Self {
            me,
            term,
            look,
            seen: None,
            changed_at: None,
            read_at: None,
            renewed_at: None,
            in_doubt: false,
            leaving: false,
        }
    }

    /// This host ends: it no longer acts on the lease, and is to give it up.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether this host may act on the lease.
    pub fn held(&self, now: Duration) -> bool {
        self.held_until().is_some_and(|until| now < until)
    }

    /// Until when this host may act on the lease unless it renews it, if it may at all.
    pub fn held_until(&self) -> Option<Duration> {
        let renewed_at = self.renewed_at.filter(|_| !self.leaving)?;
        Some(renewed_at + self.term.mul_f64(HELD_PART))
    }

    /// What is due.
    pub fn step(&self, now: Duration) -> Step {
        if self.leaving {
            return self.step_of_leaving();
        }
        let Some(read_at) = self.read_at else {
            return Step::Read;
        };
        if self.in_doubt {
            return Step::Read;
        }
        let expected = self.seen.as_ref().map_or(0, |s| s.version);
        if self.mine() {
            let due = |at: Duration| at + self.term.mul_f64(RENEW_PART) <= now;
            return match self.renewed_at.is_none_or(due) {
                true => Step::Write { expected },
                false => Step::Wait,
            };
        }
        let stood_still = self.changed_at.is_some_and(|at| at + self.term <= now);
        let free = self.holder().is_none_or(|holder| holder == NOBODY);
        if free || stood_still {
            return Step::Write { expected };
        }
        match read_at + self.look <= now {
            true => Step::Read,
            false => Step::Wait,
        }
    }

    fn step_of_leaving(&self) -> Step {
        match &self.seen {
            Some(seen) if self.mine() && !self.in_doubt => Step::Release {
                expected: seen.version,
            },
            _ => Step::Wait,
        }
    }

    /// The row was read.
    pub fn read(&mut self, now: Duration, row: Option<Seen>) {
        self.read_at = Some(now);
        self.in_doubt = false;
        self.see(now, row);
    }

    /// A write that was sent at `sent_at` has ended.
    pub fn wrote(&mut self, sent_at: Duration, now: Duration, outcome: Wrote) {
        match outcome {
            Wrote::Done(version) => {
                self.renewed_at = Some(sent_at);
                let holder = match self.leaving {
                    true => NOBODY.to_owned(),
                    false => self.me.clone(),
                };
                self.see(now, Some(Seen { holder, version }));
            }
            Wrote::Conflict(row) => {
                self.read_at = Some(now);
                self.see(now, row);
            }
            Wrote::Unknown => self.in_doubt = true,
        }
    }

    /// Who holds the lease, as far as is known.
    pub fn holder(&self) -> Option<&str> {
        self.seen.as_ref().map(|s| &*s.holder)
    }

    /// Whether the row names this host, as far as is known.
    pub fn mine(&self) -> bool {
        self.holder() == Some(&self.me)
    }

    fn see(&mut self, now: Duration, row: Option<Seen>) {
        if self.changed_at.is_none() || self.seen != row {
            self.changed_at = Some(now);
        }
        self.seen = row;
        if !self.mine() {
            self.renewed_at = None;
        }
    }
}
