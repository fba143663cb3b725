//! The state of the table, the hosts, the loans and the messages in flight.

use super::{Config, HOSTS, LIMIT};

/// The maximum number of loans in a configuration.
pub(super) const MAX_LOANS: usize = 2;

/// A state of the rights specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) now: u8,
    pub(super) rows: [Row; HOSTS],
    /// For each host, the units in the share of its data centre that no host holds.
    pub(super) pools: [u8; HOSTS],
    /// The newest accepted limit in units.
    pub(super) limit: u8,
    /// Whether `limit` has been reported in force.
    pub(super) in_force: bool,
    pub(super) hosts: [Host; HOSTS],
    pub(super) loans: [Loan; MAX_LOANS],
    pub(super) left: Left,
}

/// The remaining budget of each bounded step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Left {
    pub(super) writes: u8,
    pub(super) crashes: u8,
    pub(super) pauses: u8,
    pub(super) slow_clocks: u8,
    pub(super) duplicates: u8,
    pub(super) lost_answers: u8,
    pub(super) lowerings: u8,
    pub(super) moves: u8,
    pub(super) share_moves: u8,
}

/// The row of a host's right in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Row {
    pub(super) units: u8,
    pub(super) version: u8,
    /// The incarnation of the host that holds the row; `None` after a takeover.
    pub(super) life: Option<u8>,
    /// When the last write was sent, by the clock of its host.
    pub(super) sent: u8,
    /// The units that the last write added, until the host has applied them.
    pub(super) gain: u8,
    /// When the last write took effect.
    pub(super) written: u8,
}

/// A host.
///
/// Invariant: a crash resets `units` and `until`; `life` is the incarnation and counts the crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Host {
    pub(super) up: bool,
    pub(super) paused: bool,
    pub(super) life: u8,
    /// The number of ticks by which the host's clock is behind.
    pub(super) lag: u8,
    /// Units of the host's own right that are not lent.
    pub(super) units: u8,
    /// When the right expires, by the host's clock.
    pub(super) until: u8,
    /// The version of the host's row as last read or written by the host.
    pub(super) version: u8,
    pub(super) write: Option<Write>,
    /// A transaction in flight whose answer the host no longer awaits.
    pub(super) late: Option<Write>,
    /// Units that the host acts on without checking its clock.
    pub(super) unchecked: u8,
}

/// A transaction on a host's row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Write {
    pub(super) kind: WriteKind,
    /// The version of the row that the transaction is conditional on.
    pub(super) version: u8,
    /// When the transaction was sent, by the host's clock.
    pub(super) sent: u8,
    pub(super) place: Place,
}

/// The kind of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteKind {
    /// Starts a new term.
    Renew,
    /// Acquires a unit from the data centre's share.
    Grow,
    /// Returns a unit to the data centre's share, or removes it if the allocated units exceed the
    /// limit.
    Shrink,
    /// Takes over the units of the row of the host with this index, if the row still has this
    /// version.
    TakeOver(usize, u8),
}

/// The progress of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Place {
    ToTable,
    Done,
    NotDone,
    /// The answer is lost or late; the host must read the row to learn the outcome.
    InDoubt,
}

/// A loan of one unit from [`LENDER`] to [`BORROWER`], with its messages in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Loan {
    /// When the borrower requested the loan, by its clock.
    pub(super) asked: Option<u8>,
    pub(super) request: bool,
    /// When the lender may use the unit again, by the lender's clock.
    pub(super) back_at: Option<u8>,
    pub(super) grants: u8,
    /// Whether the borrower has accepted a grant.
    pub(super) taken: bool,
    pub(super) held: u8,
    /// When the loan expires, by the borrower's clock.
    pub(super) until: u8,
    pub(super) returns: u8,
}

/// The lender of all loans.
pub(super) const LENDER: usize = 0;
/// The borrower of all loans.
pub(super) const BORROWER: usize = 1;

impl State {
    pub(super) fn new(cfg: &Config) -> Self {
        let row = Row {
            units: 1,
            version: 0,
            life: Some(0),
            sent: 0,
            gain: 0,
            written: 0,
        };
        let host = Host {
            up: true,
            paused: false,
            life: 0,
            lag: 0,
            units: 1,
            until: cfg.term,
            version: 0,
            write: None,
            late: None,
            unchecked: 0,
        };
        Self {
            now: 0,
            rows: [row; HOSTS],
            pools: [0; HOSTS],
            limit: LIMIT,
            in_force: false,
            hosts: [host; HOSTS],
            loans: [Loan::default(); MAX_LOANS],
            left: Left {
                writes: cfg.writes,
                crashes: cfg.crashes,
                pauses: cfg.pauses,
                slow_clocks: cfg.slow_clocks,
                duplicates: cfg.duplicates,
                lost_answers: cfg.lost_answers,
                lowerings: cfg.lowerings,
                moves: cfg.moves,
                share_moves: cfg.share_moves,
            },
        }
    }

    /// The current time of the host's own clock, in ticks.
    pub(super) fn clock(&self, h: usize) -> u8 {
        self.now.saturating_sub(self.hosts[h].lag)
    }

    /// Whether the host is up and not paused.
    pub(super) fn is_running(&self, h: usize) -> bool {
        self.hosts[h].up && !self.hosts[h].paused
    }

    /// The units that the table has allocated to hosts or holds in shares.
    pub(super) fn allocated_units(&self) -> u8 {
        let rows = self.rows.iter().map(|row| row.units).sum::<u8>();
        rows + self.pools.iter().sum::<u8>()
    }

    /// The units that all running hosts act on at this instant.
    pub(super) fn in_use(&self) -> u8 {
        let hosts = (0..HOSTS).filter(|h| self.is_running(*h));
        hosts.map(|h| self.units_in_use_by(h)).sum()
    }

    /// The units that a host would act on if it checked its clock now.
    pub(super) fn usable_units(&self, h: usize) -> u8 {
        let clock = self.clock(h);
        let own = match clock < self.hosts[h].until {
            true => self.hosts[h].units,
            false => 0,
        };
        let held = self.loans.iter().filter(|loan| clock < loan.until);
        let held = held.map(|loan| loan.held).sum::<u8>();
        own + match h {
            BORROWER => held,
            _ => 0,
        }
    }

    fn units_in_use_by(&self, h: usize) -> u8 {
        self.usable_units(h).max(self.hosts[h].unchecked)
    }
}

impl Host {
    /// Crashes the host. Its next incarnation has no state of the previous one.
    pub(super) fn crash(&mut self) {
        *self = Self {
            up: false,
            paused: false,
            life: self.life + 1,
            lag: self.lag,
            units: 0,
            until: 0,
            version: 0,
            write: None,
            late: self.late,
            unchecked: 0,
        };
    }
}
