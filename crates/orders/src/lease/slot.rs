//! The state of one lease on one host.

use std::time::Duration;

use super::{Fence, LeaseConfig, LeaseRow, TxnId};

/// The largest number of unconfirmed writes that a slot records. If a write that is no longer
/// recorded takes effect, this host only has to acquire the lease again.
const MAX_UNCONFIRMED_WRITES: usize = 16;

/// The state of the lease's row in the table, as last read or written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum RowState {
    /// Not read yet.
    Unread,
    /// The table has no row for the lease.
    Absent,
    /// The table has this row.
    Present { row: LeaseRow, mod_revision: u64 },
    /// The row can't be decoded as a lease. An operator has to repair it.
    Malformed { mod_revision: u64 },
}

/// A write that may have taken effect, but isn't confirmed by a row that was read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct UnconfirmedWrite {
    pub(super) row: LeaseRow,
    /// Time read before the write was sent.
    pub(super) sent_at: Duration,
}

/// The right to act under a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Hold {
    pub(super) fence: Fence,
    /// The first instant at which acting is forbidden.
    pub(super) expires_at: Duration,
}

/// The kind of the next table call for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Intent {
    /// Replace the row that this host wrote: renew or release the lease.
    Update,
    /// Take over another host's row, or create the first row.
    Acquire,
    /// Read the row.
    Read,
}

/// How [`Slot::observe`] changed the right to act.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HoldChange {
    Unchanged,
    /// The lease is held under this fence, which differs from the previous one.
    Held(Fence),
    Lost,
}

/// The state of one lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Slot {
    pub(super) requested: bool,
    pub(super) row_state: RowState,
    /// When this host first received an answer that showed `row_state`, or detected that the table
    /// was restored, if later.
    pub(super) row_state_since: Duration,
    pub(super) hold: Option<Hold>,
    /// Oldest first. All are conditional on `row_state`, so none can succeed once the row has
    /// changed.
    pub(super) unconfirmed: Vec<UnconfirmedWrite>,
    /// The pending transaction that contains this lease.
    pub(super) pending_txn: Option<TxnId>,
    /// When to call the table next.
    pub(super) next_call_at: Duration,
    /// The fence of the next hold is higher than this.
    pub(super) fence_floor: u64,
}

impl Slot {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            requested: true,
            row_state: RowState::Unread,
            row_state_since: now,
            hold: None,
            unconfirmed: Vec::new(),
            pending_txn: None,
            next_call_at: now,
            fence_floor: 0,
        }
    }

    /// Returns the fence if acting is allowed at `now`.
    pub(super) fn held_fence(&self, now: Duration) -> Option<Fence> {
        let hold = self.hold.filter(|hold| now < hold.expires_at)?;
        Some(hold.fence)
    }

    /// Whether this incarnation of this host wrote the row and hasn't released it.
    pub(super) fn is_own_row(&self, cfg: &LeaseConfig) -> bool {
        match &self.row_state {
            RowState::Present { row, .. } => row.holder == cfg.me && !row.is_released(),
            _ => false,
        }
    }

    /// Whether the slot can be removed: the lease isn't requested and no write or release is
    /// outstanding.
    pub(super) fn is_removable(&self, cfg: &LeaseConfig) -> bool {
        !self.requested
            && self.pending_txn.is_none()
            && self.unconfirmed.is_empty()
            && !self.is_own_row(cfg)
    }

    /// Returns when the lease may be taken over from another host, if it may at all.
    pub(super) fn takeover_at(&self, cfg: &LeaseConfig) -> Option<Duration> {
        match &self.row_state {
            RowState::Unread | RowState::Malformed { .. } => None,
            // A table that lost its rows looks like a new one, so a holder may still be acting.
            RowState::Absent => Some(self.row_state_since + cfg.term + cfg.margin),
            RowState::Present { row, .. } if row.is_released() => Some(self.row_state_since),
            RowState::Present { row, .. } => {
                Some(self.row_state_since + Duration::from_millis(row.term_ms) + cfg.margin)
            }
        }
    }

    /// Returns the kind of the next table call, regardless of `next_call_at`.
    pub(super) fn intent(&self, now: Duration, cfg: &LeaseConfig) -> Option<Intent> {
        if self.pending_txn.is_some() {
            return None;
        }
        if self.is_own_row(cfg) {
            return Some(Intent::Update);
        }
        if !self.requested {
            return (!self.unconfirmed.is_empty()).then_some(Intent::Read);
        }
        match self.takeover_at(cfg) {
            Some(at) if at <= now => Some(Intent::Acquire),
            _ => Some(Intent::Read),
        }
    }

    /// Returns the row to write next.
    pub(super) fn next_row(&self, now: Duration, cfg: &LeaseConfig, write_id: String) -> LeaseRow {
        let last = match &self.row_state {
            RowState::Present { row, .. } => row.fence,
            _ => 0,
        };
        let continued = self
            .held_fence(now)
            .filter(|fence| fence.0 > self.fence_floor);
        let fence = match continued {
            Some(fence) => fence.0,
            None if self.requested => last.max(self.fence_floor).saturating_add(1),
            None => last,
        };
        let term = if self.requested {
            cfg.term
        } else {
            Duration::ZERO
        };
        LeaseRow {
            holder: cfg.me.clone(),
            fence,
            term_ms: term.as_millis() as u64,
            write_id,
        }
    }

    /// Records a write whose result is unknown, and drops the oldest one if there are too many.
    pub(super) fn add_unconfirmed(&mut self, write: UnconfirmedWrite) {
        if self.unconfirmed.len() == MAX_UNCONFIRMED_WRITES {
            self.unconfirmed.remove(0);
        }
        self.unconfirmed.push(write);
    }

    /// Applies a row state that the table returned.
    pub(super) fn observe(
        &mut self,
        now: Duration,
        row_state: RowState,
        cfg: &LeaseConfig,
    ) -> HoldChange {
        if row_state == self.row_state {
            return HoldChange::Unchanged;
        }
        let writes = std::mem::take(&mut self.unconfirmed);
        let written = match &row_state {
            RowState::Present { row, .. } => writes.into_iter().find(|w| w.row == *row),
            _ => None,
        };
        self.row_state = row_state;
        self.row_state_since = now;
        match written {
            Some(write) if !write.row.is_released() => self.confirm_write(now, &write, cfg),
            _ => self.drop_hold(),
        }
    }

    /// Ends the right to act.
    pub(super) fn drop_hold(&mut self) -> HoldChange {
        match self.hold.take() {
            Some(_) => HoldChange::Lost,
            None => HoldChange::Unchanged,
        }
    }

    /// Applies a row that this host wrote. The term of the write starts before it was sent.
    fn confirm_write(
        &mut self,
        now: Duration,
        write: &UnconfirmedWrite,
        cfg: &LeaseConfig,
    ) -> HoldChange {
        let fence = Fence(write.row.fence);
        let expires_at = write.sent_at + cfg.term;
        if !self.requested || now >= expires_at {
            return self.drop_hold();
        }
        let previous = self.hold.replace(Hold { fence, expires_at });
        if previous.is_some_and(|hold| hold.fence == fence) {
            return HoldChange::Unchanged;
        }
        HoldChange::Held(fence)
    }
}
