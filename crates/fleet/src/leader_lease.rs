//! A leader lease: a task that one host does for all, as long as a row of the platform's store
//! names it.
//!
//! The lease is one row. Its holder renews it with a conditional write that requires the version of
//! its last write. Any other host takes the lease over once the row has not changed for a whole
//! term. Clocks of hosts are not compared: each host measures on its own monotonic clock how long
//! the row has been unchanged. The holder counts its term from the *sending* of its last successful
//! write and stops acting before the term ends, so that two hosts never act at the same time. A
//! holder that shuts down releases the lease in the row, so that no other host has to wait for the
//! term.

use std::time::Duration;

/// The share of the term for which the holder acts; the rest allows for slow clocks and late
/// orders.
const HELD_PART: f64 = 0.8;
/// The share of the term after which the holder renews the lease.
const RENEW_PART: f64 = 0.35;

/// The holder in the row after the lease was released.
pub const NOBODY: &str = "";

/// The row as it was last read or written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Seen {
    /// Who wrote it: a host and its incarnation, or [`NO_HOLDER`].
    pub holder: String,
    /// The version of the row.
    pub version: u64,
}

/// What the host has to do now.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Step {
    /// Nothing is due.
    Wait,
    /// Read the row, and pass it to [`LeaderLease::record_read`].
    Read,
    /// Write the row if it still has the expected version, and pass the outcome to
    /// [`LeaderLease::record_write`].
    Write {
        /// The version that it must have; 0 if there is no row.
        expected: u64,
    },
    /// Write [`NO_HOLDER`] into the row if it still has the expected version, and pass the outcome
    /// to [`LeaderLease::record_write`].
    Release {
        /// The version that it must have.
        expected: u64,
    },
}

/// How a write ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Wrote {
    /// The row has this version now.
    Done(u64),
    /// The row has another version or does not exist; the row as it is.
    Conflict(Option<Seen>),
    /// The row may have been written, or may be written later.
    Unknown,
}

/// One host's view of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaderLease {
    me: String,
    term: Duration,
    /// The interval between two reads of the row by a host that does not hold the lease.
    look: Duration,
    seen: Option<Seen>,
    /// When the row was first seen with its current content; `None` before the first read.
    changed_at: Option<Duration>,
    read_at: Option<Duration>,
    /// When the last successful write was sent.
    renewed_at: Option<Duration>,
    /// The last write may or may not have happened; only a read can tell.
    in_doubt: bool,
    /// This host shuts down: it never holds the lease again.
    leaving: bool,
}

impl LeaderLease {
    /// Creates a lease whose row is unknown. `own_name` names this host and its incarnation.
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

    /// Shuts the lease down: this host no longer acts on it, and is to release it.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether this host may act on the lease.
    pub fn held(&self, now: Duration) -> bool {
        self.held_until().is_some_and(|until| now < until)
    }

    /// The time until which this host may act on the lease unless it renews it; `None` if it may
    /// not act.
    pub fn held_until(&self) -> Option<Duration> {
        let renewed_at = self.renewed_at.filter(|_| !self.leaving)?;
        Some(renewed_at + self.term.mul_f64(HELD_PART))
    }

    /// The step that is due now.
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

    /// Records the row that was read.
    pub fn read(&mut self, now: Duration, row: Option<Seen>) {
        self.read_at = Some(now);
        self.in_doubt = false;
        self.see(now, row);
    }

    /// Records the outcome of a write that was sent at `sent_at`.
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

    /// The last known holder of the lease.
    pub fn holder(&self) -> Option<&str> {
        self.seen.as_ref().map(|s| &*s.holder)
    }

    /// Whether the last known row names this host.
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
