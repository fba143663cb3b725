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
const HELD_RATIO: f64 = 0.8;
/// The share of the term after which the holder renews the lease.
const RENEW_RATIO: f64 = 0.35;

/// The holder in the row after the lease was released.
pub const NO_HOLDER: &str = "";

/// The row as it was last read or written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseRecord {
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
pub enum WriteOutcome {
    /// The row has this version now.
    Done(u64),
    /// The row has another version or does not exist; the row as it is.
    Conflict(Option<LeaseRecord>),
    /// The row may have been written, or may be written later.
    Unknown,
}

/// One host's view of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaderLease {
    own_name: String,
    term: Duration,
    /// The interval between two reads of the row by a host that does not hold the lease.
    read_interval: Duration,
    row: Option<LeaseRecord>,
    /// When the row was first seen with its current content; `None` before the first read.
    changed_at: Option<Duration>,
    read_at: Option<Duration>,
    /// When the last successful write was sent.
    renewed_at: Option<Duration>,
    /// The last write may or may not have happened; only a read can tell.
    write_unconfirmed: bool,
    /// This host shuts down: it never holds the lease again.
    shutting_down: bool,
}

impl LeaderLease {
    /// Creates a lease whose row is unknown. `own_name` names this host and its incarnation.
    pub fn new(own_name: String, term: Duration, read_interval: Duration) -> Self {
        Self {
            own_name,
            term,
            read_interval,
            row: None,
            changed_at: None,
            read_at: None,
            renewed_at: None,
            write_unconfirmed: false,
            shutting_down: false,
        }
    }

    /// Shuts the lease down: this host no longer acts on it, and is to release it.
    pub fn shut_down(&mut self) {
        self.shutting_down = true;
    }

    /// Whether this host may act on the lease.
    pub fn held(&self, now: Duration) -> bool {
        self.held_until().is_some_and(|until| now < until)
    }

    /// The time until which this host may act on the lease unless it renews it; `None` if it may
    /// not act.
    pub fn held_until(&self) -> Option<Duration> {
        let renewed_at = self.renewed_at.filter(|_| !self.shutting_down)?;
        Some(renewed_at + self.term.mul_f64(HELD_RATIO))
    }

    /// Records that the store was restored from a copy: the version of the row may name another row by now. This host
    /// does not act on the lease until it has read the row and written it again. The next row that is read counts as
    /// changed, even if it has the same version: its holder may have renewed it meanwhile.
    pub fn record_restoration(&mut self) {
        self.renewed_at = None;
        self.changed_at = None;
        self.write_unconfirmed = true;
    }

    /// The step that is due now.
    pub fn step(&self, now: Duration) -> Step {
        if self.shutting_down {
            return self.shutdown_step();
        }
        let Some(read_at) = self.read_at else {
            return Step::Read;
        };
        if self.write_unconfirmed {
            return Step::Read;
        }
        let expected = self.row.as_ref().map_or(0, |s| s.version);
        if self.is_own() {
            let due = |at: Duration| at + self.term.mul_f64(RENEW_RATIO) <= now;
            return match self.renewed_at.is_none_or(due) {
                true => Step::Write { expected },
                false => Step::Wait,
            };
        }
        let expired = self.changed_at.is_some_and(|at| at + self.term <= now);
        let unheld = self.holder().is_none_or(|holder| holder == NO_HOLDER);
        if unheld || expired {
            return Step::Write { expected };
        }
        match read_at + self.read_interval <= now {
            true => Step::Read,
            false => Step::Wait,
        }
    }

    fn shutdown_step(&self) -> Step {
        match &self.row {
            Some(seen) if self.is_own() && !self.write_unconfirmed => Step::Release {
                expected: seen.version,
            },
            _ => Step::Wait,
        }
    }

    /// Records the row that was read.
    pub fn record_read(&mut self, now: Duration, row: Option<LeaseRecord>) {
        self.read_at = Some(now);
        self.write_unconfirmed = false;
        self.update_row(now, row);
    }

    /// Records the row as another host reports it, unless this host holds the lease or knows a newer row: it has read
    /// one if a write conflicted.
    pub fn record_report(&mut self, now: Duration, reported: LeaseRecord) {
        let known = self.row.as_ref().filter(|_| self.changed_at.is_some());
        let outdated = known.is_some_and(|known| reported.version < known.version);
        if !outdated && !self.held(now) {
            self.record_read(now, Some(reported));
        }
    }

    /// Records the outcome of a write that was sent at `sent_at`.
    pub fn record_write(&mut self, sent_at: Duration, now: Duration, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Done(version) => {
                self.renewed_at = Some(sent_at);
                let holder = match self.shutting_down {
                    true => NO_HOLDER.to_owned(),
                    false => self.own_name.clone(),
                };
                self.update_row(now, Some(LeaseRecord { holder, version }));
            }
            WriteOutcome::Conflict(row) => {
                self.read_at = Some(now);
                self.update_row(now, row);
            }
            WriteOutcome::Unknown => self.write_unconfirmed = true,
        }
    }

    /// The last known holder of the lease.
    pub fn holder(&self) -> Option<&str> {
        self.row.as_ref().map(|s| &*s.holder)
    }

    /// Whether the last known row names this host.
    pub fn is_own(&self) -> bool {
        self.holder() == Some(&self.own_name)
    }

    fn update_row(&mut self, now: Duration, row: Option<LeaseRecord>) {
        if self.changed_at.is_none() || self.row != row {
            self.changed_at = Some(now);
        }
        self.row = row;
        if !self.is_own() {
            self.renewed_at = None;
        }
    }
}
