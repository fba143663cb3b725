//! A host's share of a bound that all hosts keep together.
//!
//! Such a bound, for example the burst of retries, is divided evenly among the hosts. A host that counts too
//! few of them uses more than its share: one that has just started, is cut off, or learns late of other
//! hosts. So a share is held under a lease and by agreement, both by means of rows in the store that hosts
//! write rarely and read anyway:
//!
//! - Each host claims a share in its own row. A claim expires [`CLAIM_TERM`] after the time of the store's
//!   clock that it names. The claiming host stops using it a margin earlier; all others count it until it
//!   expires.
//! - A claim names the version of the store up to which its host counts the other hosts. A host holds its
//!   share once each unexpired claim counts up to the version at which its own claim was first written: then
//!   no host divides by a number without it.
//! - A host that joins others that held larger shares waits until the retries that they made under these have
//!   left every window of a shared bound.
//! - A process that starts again takes over the claim of the process before it, unless that has expired.
//!
//! So of any two hosts that hold a share, the one that claimed first has counted the other, and the other has
//! read its claim: each divides by a number that includes both, and the shares sum to the whole at most. No
//! call is made when a share is used.

use std::time::Duration;

/// How long a claim counts after the time that it names. Hosts renew theirs every 30 s at most, so that two
/// renewals may be lost; the share of a host that is gone is free again after this time.
pub const CLAIM_TERM: Duration = Duration::from_secs(90);

/// How much earlier a host stops using its claim, to allow for the rate of its clock and for the time between
/// the check and the sending of the request.
const EXPIRY_MARGIN: Duration = Duration::from_secs(2);

/// How long after a claim was drafted its row may be sent to the store, by this host or by one that writes the
/// rows of several hosts.
pub const MAX_SUBMISSION_DELAY: Duration = Duration::from_secs(2);

/// A claim is renewed without interruption only while at least this much of it is left. A row may be sent
/// [`MAX_SUBMISSION_DELAY`] after it was drafted, by a clock that is a second ahead, and a write without an
/// answer may take effect some 12 s later. It must not make a claim look uninterrupted that had expired in the
/// meantime.
const LATE_WRITE_MARGIN: Duration = Duration::from_secs(15);

/// The part of a bound that a host may use by itself, without a lease. Only for bounds where exceeding them
/// wastes something but breaks no guarantee. At least 1, and exactly 1 while the number of hosts is unknown.
pub fn host_portion(bound: u32, hosts: Option<u32>) -> u32 {
    hosts.map_or(1, |hosts| (bound / hosts.max(1)).max(1))
}

/// A host's claim to a share, as its row in the store contains it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The version at which the share was first claimed, with no expiry since; `None` in the first row of a
    /// claim, where it is the version of that row.
    pub since: Option<u64>,
    /// The version of the store up to which the host counts the others' claims.
    pub counted_to: u64,
    /// The store's clock when the host read that version: the claim expires [`CLAIM_TERM`] later.
    pub read_at: Duration,
    /// Since when the share is held; `None` if it is not.
    pub held: Option<ShareHolding>,
}

/// Since when a share is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ShareHolding {
    /// The version of the snapshot that showed that it is held.
    pub version: u64,
    /// When the share may first be used, by the store's clock.
    pub usable_at: Duration,
}

/// A claim as stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRow {
    /// The version of the row.
    pub version: u64,
    /// The claim in the row.
    pub claim: Claim,
}

impl ClaimRow {
    fn since(&self) -> u64 {
        self.claim.since.unwrap_or(self.version)
    }
}

/// Summary of one read of all rows, small enough to be reported to other hosts with each call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimsSnapshot {
    /// The store's version that was read.
    pub version: u64,
    /// The store's clock at the read.
    pub clock: Duration,
    /// Number of hosts with an unexpired claim.
    pub hosts: u32,
    /// The version at which the newest of these claims was first made.
    pub newest: u64,
    /// The version up to which all of these hosts count.
    pub counted_by_all: u64,
    /// The lowest version of a snapshot by which one of these hosts holds its share; `None` if none does.
    pub first_held: Option<u64>,
}

impl ClaimsSnapshot {
    /// Summarizes all rows, read at this version and this time of the store's clock.
    pub fn of(rows: &[ClaimRow], version: u64, clock: Duration) -> Self {
        let unexpired = |r: &&ClaimRow| clock.saturating_sub(r.claim.read_at) < CLAIM_TERM;
        let valid: Vec<&ClaimRow> = rows.iter().filter(unexpired).collect();
        Self {
            version,
            clock,
            hosts: valid.len() as u32,
            newest: valid.iter().map(|r| r.since()).max().unwrap_or(0),
            counted_by_all: valid.iter().map(|r| r.claim.counted_to).min().unwrap_or(0),
            first_held: valid
                .iter()
                .filter_map(|r| Some(r.claim.held?.version))
                .min(),
        }
    }
}

/// A snapshot, and when this host received it by its own clock.
#[derive(Debug, Clone, Copy)]
struct ReceivedSnapshot {
    snapshot: ClaimsSnapshot,
    /// When the read was sent, or an earlier time: the store's clock was not past `snapshot.clock` then.
    sent_at: Duration,
}

/// A claim that is being written.
#[derive(Debug, Clone, Copy)]
pub struct ClaimDraft {
    /// The claim to write.
    pub claim: Claim,
    /// The time of this host's clock from which the term counts.
    sent_at: Duration,
}

/// One host's share. Times are those of this host's monotonic clock unless stated otherwise.
#[derive(Debug, Clone)]
pub struct Share {
    settle_time: Duration,
    latest: Option<ReceivedSnapshot>,
    /// Whether the store was restored since that snapshot.
    restored: bool,
    /// The version at which the share was claimed; `None` before that and after the claim has expired.
    since: Option<u64>,
    /// When this host stops relying on the claim that the store is known to contain.
    until: Option<Duration>,
    /// The version up to which that claim counts.
    counted_to: Option<u64>,
    held: Option<ShareHolding>,
    /// When the share may first be used; set whenever `held` is.
    usable_at: Duration,
}

impl Share {
    /// Creates a share that is not claimed. `settle_time` is the longest window of the shared bounds.
    pub fn new(settle_time: Duration) -> Self {
        Self {
            settle_time,
            latest: None,
            restored: false,
            since: None,
            until: None,
            counted_to: None,
            held: None,
            usable_at: Duration::ZERO,
        }
    }

    /// Takes over the claim of an earlier process of this host. `row` is the host's row before this process
    /// wrote it, and `snapshot` is what the same read, sent at `sent_at`, showed.
    pub fn take_over(&mut self, row: &ClaimRow, snapshot: &ClaimsSnapshot, sent_at: Duration) {
        let claim = &row.claim;
        // A clock behind the claim's is a different clock, by which the age of the claim can't be determined.
        let Some(age) = snapshot.clock.checked_sub(claim.read_at) else {
            return;
        };
        if age + LATE_WRITE_MARGIN > CLAIM_TERM {
            return;
        }
        self.since = Some(row.since());
        self.until = Some(sent_at + (CLAIM_TERM - EXPIRY_MARGIN).saturating_sub(age));
        self.counted_to = Some(claim.counted_to);
        self.held = claim.held;
        if let Some(held) = claim.held {
            self.usable_at = sent_at + held.usable_at.saturating_sub(snapshot.clock);
        }
    }

    /// Merges a snapshot that this or another host read with a call sent at `sent_at`; ignores it if a newer
    /// one is known.
    pub fn merge_snapshot(&mut self, snapshot: ClaimsSnapshot, sent_at: Duration, now: Duration) {
        let known = self.latest.map(|s| (s.snapshot.version, s.snapshot.clock));
        let restored = std::mem::take(&mut self.restored);
        if !restored && known.is_some_and(|known| known > (snapshot.version, snapshot.clock)) {
            return;
        }
        self.latest = Some(ReceivedSnapshot { snapshot, sent_at });
        self.update_holding(now);
    }

    /// Records that the store was restored from a copy. Versions of the newest snapshot can't be compared with those of
    /// later ones, so no row is drafted from it and the next snapshot replaces it.
    pub fn record_restoration(&mut self) {
        self.restored = true;
        self.counted_to = None;
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> Option<&ClaimsSnapshot> {
        self.latest.as_ref().map(|s| &s.snapshot)
    }

    /// The newest snapshot, unless the store was restored since.
    pub fn current_snapshot(&self) -> Option<&ClaimsSnapshot> {
        self.snapshot().filter(|_| !self.restored)
    }

    /// Upper bound of the time since the newest snapshot was requested.
    pub fn snapshot_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.latest?.sent_at))
    }

    /// The claim to write into the host's row now; `None` before the first snapshot.
    pub fn draft(&mut self, now: Duration) -> Option<ClaimDraft> {
        self.expire(now, LATE_WRITE_MARGIN);
        let ReceivedSnapshot { snapshot, sent_at } = self.latest.filter(|_| !self.restored)?;
        let claim = Claim {
            since: self.since,
            counted_to: snapshot.version,
            read_at: snapshot.clock,
            held: self.held,
        };
        Some(ClaimDraft { claim, sent_at })
    }

    /// Notes that the store contains a draft as this version of the row.
    pub fn confirm_write(&mut self, draft: &ClaimDraft, version: u64, now: Duration) {
        self.expire(now, Duration::ZERO);
        if draft.claim.since.is_none() {
            self.since = Some(version);
        }
        if self.since.is_some() {
            self.until = Some(draft.sent_at + CLAIM_TERM - EXPIRY_MARGIN);
            self.counted_to = Some(draft.claim.counted_to);
        }
        self.update_holding(now);
    }

    /// Whether another host waits for this host's row to count it.
    pub fn awaited(&self) -> bool {
        let newest = self.snapshot().map_or(0, |v| v.newest);
        self.counted_to.is_some_and(|to| to < newest)
    }

    /// The number of hosts by which this one may divide a bound now; `None` if it holds no share.
    pub fn divisor(&mut self, now: Duration) -> Option<u32> {
        self.expire(now, Duration::ZERO);
        self.held?;
        let usable = self.usable_at <= now;
        usable.then_some(self.latest?.snapshot.hosts.max(1))
    }

    /// Drops the claim when less than `margin` of it is left, because others may no longer count it.
    fn expire(&mut self, now: Duration, margin: Duration) {
        if self.until.is_some_and(|until| until <= now + margin) {
            self.since = None;
            self.until = None;
            self.held = None;
        }
    }

    /// Marks the share as held once all hosts count it.
    fn update_holding(&mut self, now: Duration) {
        let (Some(ReceivedSnapshot { snapshot, .. }), Some(since)) = (self.latest, self.since)
        else {
            return;
        };
        // A row's count never exceeds the store's version that its host read, so this snapshot is no older
        // than the claim.
        let counted = snapshot.counted_by_all >= since;
        if self.held.is_some() || !counted || self.until.is_none_or(|until| until <= now) {
            return;
        }
        // No host has ever held a share by a count that lacks this host, so there is nothing to wait for.
        let first = snapshot.first_held.is_none_or(|version| version >= since);
        let settle_time = if first {
            Duration::ZERO
        } else {
            self.settle_time
        };
        self.held = Some(ShareHolding {
            version: snapshot.version,
            usable_at: snapshot.clock + settle_time,
        });
        self.usable_at = now + settle_time;
    }
}
