//! A host's share of a bound that all hosts keep together.
//!
//! Such a bound, as the burst of repeats, is divided evenly among the hosts. A host that counts too
//! few of them takes more than its share: one that has just started, is cut off, or hears late of
//! others. So a share is held by a lease and by agreement, both by rows in the store that hosts write
//! seldom and read anyway:
//!
//! - Each host claims a share in its own row. A claim lapses a [`TERM`] after the moment of the
//!   store's clock that it names. Its host stops a margin earlier; all others count it to the end.
//! - A claim names the version of the store up to which its host counts the hosts. A host holds its
//!   share once each claim that has not lapsed counts up to the version at which its own was first
//!   written: then nobody divides by a number without it.
//! - A host that joins others that held larger shares waits until what they have taken by these is
//!   out of every window that is bounded.
//! - A process that starts again takes over the claim of the one before it, unless that has lapsed.
//!
//! Of any two hosts that hold a share, the one that claimed first has therefore counted the other,
//! and the other has read its claim: each divides by a number with both in it, so that the shares sum
//! to the whole at most. No call is made for what is taken.

use std::time::Duration;

/// How long a claim is counted after the moment that it names. Hosts renew theirs every 30 s at the
/// most, so that two renewals may be lost; the share of a host that is gone is free again after it.
pub const TERM: Duration = Duration::from_secs(90);

/// What a host keeps back of the term, for the rate of its clock and the time from the check to the
/// bytes that leave.
const MARGIN: Duration = Duration::from_secs(2);

/// A claim is renewed as the one before only while so much of that is left: a write without an answer
/// may take effect some 12 s later, and must not make a claim look whole that had lapsed meanwhile.
const LATE_WRITE: Duration = Duration::from_secs(15);

/// The part of a bound that a host may use by itself, where passing it wastes something and breaks no
/// promise, so that no lease is needed: at least one, and just that while it is not known how many
/// hosts there are.
pub fn divided(bound: u32, hosts: Option<u32>) -> u32 {
    hosts.map_or(1, |hosts| (bound / hosts.max(1)).max(1))
}

/// What a host's row says of its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The version at which the share was first claimed, with no lapse since; `None` in the row by
    /// which it is claimed, whose own version it is.
    pub since: Option<u64>,
    /// The version of the store up to which the host counts the others' claims.
    pub counted_to: u64,
    /// The store's clock when the host read that version: the claim lapses a term later.
    pub read_at: Duration,
    /// Since when the share is held, if it is.
    pub held: Option<Held>,
}

/// Since when a share is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Held {
    /// The version of the view that showed that it is.
    pub version: u64,
    /// From when on it may be used, by the store's clock.
    pub whole_at: Duration,
}

/// A claim as it stands in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Row {
    /// The version of the row.
    pub version: u64,
    /// What it says.
    pub claim: Claim,
}

impl Row {
    fn since(&self) -> u64 {
        self.claim.since.unwrap_or(self.version)
    }
}

/// What one read of all rows tells. Small enough to be told to other hosts with each call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct View {
    /// The store's version that was read.
    pub version: u64,
    /// The store's clock then.
    pub clock: Duration,
    /// Hosts whose claims have not lapsed.
    pub hosts: u32,
    /// The version at which the newest of them was first claimed.
    pub newest: u64,
    /// The version up to which all of these hosts count.
    pub counted_by_all: u64,
    /// The least version of a view by which one of them holds its share; `None` if none does.
    pub first_held: Option<u64>,
}

impl View {
    /// The view of all rows, read as the store was at a version and a time of its clock.
    pub fn of(rows: &[Row], version: u64, clock: Duration) -> Self {
        let lives = |r: &&Row| clock.saturating_sub(r.claim.read_at) < TERM;
        let live: Vec<&Row> = rows.iter().filter(lives).collect();
        Self {
            version,
            clock,
            hosts: live.len() as u32,
            newest: live.iter().map(|r| r.since()).max().unwrap_or(0),
            counted_by_all: live.iter().map(|r| r.claim.counted_to).min().unwrap_or(0),
            first_held: live
                .iter()
                .filter_map(|r| Some(r.claim.held?.version))
                .min(),
        }
    }
}

/// A view and when this host got it, on its own clock.
#[derive(Debug, Clone, Copy)]
struct Seen {
    view: View,
    /// When the read was sent, or an earlier moment: the store's clock was not past `view.clock` then.
    sent_at: Duration,
}

/// A claim that is being written.
#[derive(Debug, Clone, Copy)]
pub struct Draft {
    /// What is written.
    pub claim: Claim,
    /// The moment of this host's clock by which its term is counted.
    sent_at: Duration,
}

/// One host's share. Times are those of its monotonic clock unless said otherwise.
#[derive(Debug, Clone)]
pub struct Share {
    settle: Duration,
    seen: Option<Seen>,
    /// The version at which the share was claimed; `None` before that and after a lapse.
    since: Option<u64>,
    /// When the claim that the store is known to hold lapses for this host.
    until: Option<Duration>,
    /// Up to which version that claim counts.
    counted_to: Option<u64>,
    held: Option<Held>,
    /// From when on the share may be used; set whenever `held` is.
    whole_at: Duration,
}

impl Share {
    /// No share yet. `settle` is the longest window of the bounds that are shared.
    pub fn new(settle: Duration) -> Self {
        Self {
            settle,
            seen: None,
            since: None,
            until: None,
            counted_to: None,
            held: None,
            whole_at: Duration::ZERO,
        }
    }

    /// Takes over what a process that this host ran before has claimed. `row` is the host's row as it
    /// was before this process wrote it, and `view` is what the same read showed, sent at `sent_at`.
    pub fn take_over(&mut self, row: &Row, view: &View, sent_at: Duration) {
        let claim = &row.claim;
        // A clock behind the claim's is another clock: nothing can be said of the term.
        let Some(age) = view.clock.checked_sub(claim.read_at) else {
            return;
        };
        if age + LATE_WRITE > TERM {
            return;
        }
        self.since = Some(row.since());
        self.until = Some(sent_at + (TERM - MARGIN).saturating_sub(age));
        self.counted_to = Some(claim.counted_to);
        self.held = claim.held;
        if let Some(held) = claim.held {
            self.whole_at = sent_at + held.whole_at.saturating_sub(view.clock);
        }
    }

    /// Takes a view that was read by a call sent at `sent_at`, by this host or another one, unless a
    /// newer one is known.
    pub fn see(&mut self, view: View, sent_at: Duration, now: Duration) {
        let known = self.seen.map(|s| (s.view.version, s.view.clock));
        if known.is_some_and(|known| known > (view.version, view.clock)) {
            return;
        }
        self.seen = Some(Seen { view, sent_at });
        self.hold(now);
    }

    /// The newest view.
    pub fn view(&self) -> Option<&View> {
        self.seen.as_ref().map(|s| &s.view)
    }

    /// How long ago the newest view was asked for, or longer.
    pub fn view_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.seen?.sent_at))
    }

    /// What the host's row is to say now; `None` before any view.
    pub fn draft(&mut self, now: Duration) -> Option<Draft> {
        self.lapse(now, LATE_WRITE);
        let Seen { view, sent_at } = self.seen?;
        let claim = Claim {
            since: self.since,
            counted_to: view.version,
            read_at: view.clock,
            held: self.held,
        };
        Some(Draft { claim, sent_at })
    }

    /// The store holds a draft, as that version of the row.
    pub fn wrote(&mut self, draft: &Draft, version: u64, now: Duration) {
        self.lapse(now, Duration::ZERO);
        if draft.claim.since.is_none() {
            self.since = Some(version);
        }
        if self.since.is_some() {
            self.until = Some(draft.sent_at + TERM - MARGIN);
            self.counted_to = Some(draft.claim.counted_to);
        }
        self.hold(now);
    }

    /// Whether another host waits for this one's row to say that it is counted.
    pub fn awaited(&self) -> bool {
        let newest = self.view().map_or(0, |v| v.newest);
        self.counted_to.is_some_and(|to| to < newest)
    }

    /// The number of hosts by which this one may divide now; `None` if it holds no share.
    pub fn divisor(&mut self, now: Duration) -> Option<u32> {
        self.lapse(now, Duration::ZERO);
        self.held?;
        let whole = self.whole_at <= now;
        whole.then_some(self.seen?.view.hosts.max(1))
    }

    /// The claim is given up when less than `margin` is left of it: the others may no longer count it.
    fn lapse(&mut self, now: Duration, margin: Duration) {
        if self.until.is_some_and(|until| until <= now + margin) {
            self.since = None;
            self.until = None;
            self.held = None;
        }
    }

    /// The share is held as soon as all count it.
    fn hold(&mut self, now: Duration) {
        let (Some(Seen { view, .. }), Some(since)) = (self.seen, self.since) else {
            return;
        };
        // No row counts further than the version at which it was read, so that this view is no older.
        let counted = view.counted_by_all >= since;
        if self.held.is_some() || !counted || self.until.is_none_or(|until| until <= now) {
            return;
        }
        // Nobody has ever held a share by a count without this host: there is nothing to wait for.
        let first = view.first_held.is_none_or(|version| version >= since);
        let settle = if first { Duration::ZERO } else { self.settle };
        self.held = Some(Held {
            version: view.version,
            whole_at: view.clock + settle,
        });
        self.whole_at = now + settle;
    }
}
