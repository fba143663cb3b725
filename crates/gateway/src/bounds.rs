//! Bounds that all hosts keep together, as this host holds its part of them.
//!
//! What may be taken is decided in [`dragonflyrill_fleet::share`] and [`dragonflyrill_fleet::budget`];
//! here their state is kept and spelled as the host's row in the store has it. The row is written by
//! [`crate::control::host_row`].

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use dragonflyrill_fleet::{
    budget::{BudgetConfig, BudgetState, RecordedRetries, RetryBudgets},
    share::{Claim, ClaimDraft, ClaimRow, ClaimsSnapshot, Share, ShareHolding},
};
use dragonflyrill_protocol::exchange::{
    ClaimsView, HeldShare, HostRow, RecordedRepeats, ShareClaim, millis,
};
use tokio::sync::{Notify, watch};

/// The parts of a row that are being written.
pub struct RowDraft {
    share: ClaimDraft,
    recorded: Vec<RecordedRetries>,
}

impl RowDraft {
    /// The claim as the row spells it.
    pub fn claim(&self) -> ShareClaim {
        claim_to_wire(&self.share.claim)
    }

    /// The repeats as the row spells them.
    pub fn repeats(&self) -> Vec<RecordedRepeats> {
        let one = |r: &RecordedRetries| RecordedRepeats {
            service: r.service.to_string(),
            repeats: r.retries,
        };
        self.recorded.iter().map(one).collect()
    }
}

/// This host's part of the bounds over all hosts.
pub struct Bounds {
    share: RefCell<Share>,
    budgets: RefCell<RetryBudgets>,
    /// The version of this host's row as far as it is known, 0 if there is none; `None` until the
    /// rows were read, and with it what a process before this one may have taken.
    row: Cell<Option<u64>>,
    /// How old the row was that an earlier process of this host has written, when this one read it.
    found_age: Cell<Option<Duration>>,
    /// The last write of the row failed: it is not waited for.
    failing: Cell<bool>,
    wanted: Notify,
    written: watch::Sender<()>,
}

impl Bounds {
    /// Nothing may be taken of a shared bound before the rows were read.
    pub fn new(terms: BudgetConfig) -> Self {
        Self {
            share: RefCell::new(Share::new(terms.span())),
            budgets: RefCell::new(RetryBudgets::new(terms)),
            row: Cell::new(None),
            found_age: Cell::new(None),
            failing: Cell::new(false),
            wanted: Notify::new(),
            written: watch::Sender::new(()),
        }
    }

    /// Takes the rows of all hosts, read by a call sent at `sent_at`, as of a version and a time of
    /// the store's clock; `own` is this host's row, with its version.
    pub fn read(
        &self,
        rows: &[(u64, HostRow)],
        own: Option<&(u64, HostRow)>,
        (version, clock): (u64, Duration),
        sent_at: Duration,
        now: Duration,
    ) {
        let claims: Vec<ClaimRow> = rows.iter().filter_map(claimed).collect();
        let view = ClaimsSnapshot::of(&claims, version, clock);
        let mut share = self.share.borrow_mut();
        if self.row.get().is_none() {
            self.row.set(Some(own.map_or(0, |(version, _)| *version)));
            if let Some(row) = own.and_then(claimed) {
                share.take_over(&row, &view, sent_at);
                self.found_age.set(clock.checked_sub(row.claim.read_at));
            }
            let before: Vec<RecordedRetries> =
                own.into_iter().flat_map(|(_, r)| recorded(r)).collect();
            self.budgets.borrow_mut().inherit(&before, now);
            log::info!(
                target: "roster",
                hosts = view.hosts,
                claimed = own.is_some(),
                repeats = before.iter().map(|r| r.retries).sum::<u32>();
                "What an earlier process has claimed is taken over."
            );
        }
        share.merge_snapshot(view, sent_at, now);
    }

    /// Takes the claims as another host told them, who was asked at `sent_at`.
    pub fn told(&self, told: &ClaimsView, sent_at: Duration, now: Duration) {
        let age = Duration::from_micros(told.age_us);
        // Before this process started: it has read the rows itself since.
        let Some(sent_at) = sent_at.checked_sub(age) else {
            return;
        };
        let view = ClaimsSnapshot {
            version: told.version,
            clock: Duration::from_millis(told.clock_ms),
            hosts: told.hosts,
            newest: told.newest,
            counted_by_all: told.counted_by_all,
            first_held: told.first_held,
        };
        self.share.borrow_mut().merge_snapshot(view, sent_at, now);
    }

    /// The claims as other hosts are told them.
    pub fn to_tell(&self, now: Duration) -> Option<ClaimsView> {
        let share = self.share.borrow();
        let (view, age) = (share.snapshot()?, share.snapshot_age(now)?);
        Some(ClaimsView {
            version: view.version,
            clock_ms: millis(view.clock),
            age_us: age.as_micros() as u64,
            hosts: view.hosts,
            newest: view.newest,
            counted_by_all: view.counted_by_all,
            first_held: view.first_held,
        })
    }

    /// What the store's clock says now, as far as a read of the rows tells.
    pub fn store_clock(&self, now: Duration) -> Option<Duration> {
        let share = self.share.borrow();
        Some(share.snapshot()?.clock + share.snapshot_age(now)?)
    }

    /// Hosts that may use bounds over all of them; `None` until that is known.
    pub fn hosts(&self) -> Option<u32> {
        self.share.borrow().snapshot().map(|v| v.hosts)
    }

    /// By how many this host may divide such a bound now; `None` if it has no part of it.
    pub fn divisor(&self, now: Duration) -> Option<u32> {
        self.share.borrow_mut().divisor(now)
    }

    /// A request for a service came in.
    pub fn count_request(&self, service: &Rc<str>, now: Duration) {
        self.budgets
            .borrow_mut()
            .service(service)
            .count_request(now);
    }

    /// Takes one repeat of a request; false if none is left.
    pub fn take_repeat(&self, service: &Rc<str>, now: Duration) -> bool {
        let divisor = self.divisor(now);
        let mut budgets = self.budgets.borrow_mut();
        let taken = budgets.service(service).try_acquire(now, divisor);
        if budgets.service(service).record_due(now, divisor) {
            self.wanted.notify_one();
        }
        taken
    }

    /// How the budget of a service stands.
    pub fn standing(&self, service: &Rc<str>, now: Duration) -> BudgetState {
        let divisor = self.divisor(now);
        self.budgets
            .borrow_mut()
            .service(service)
            .state(now, divisor)
    }

    /// The version of this host's row, 0 if there is none; `None` until the rows were read.
    pub fn row(&self) -> Option<u64> {
        self.row.get()
    }

    /// How old the row of an earlier process of this host was when it was read, if there was one.
    pub fn found_age(&self) -> Option<Duration> {
        self.found_age.get()
    }

    /// Whether another host waits for this one's row to count it.
    pub fn awaited(&self) -> bool {
        self.share.borrow().awaited()
    }

    /// Whether the row is to allow more repeats than it does.
    pub fn record_due(&self, now: Duration) -> bool {
        let divisor = self.divisor(now);
        self.budgets.borrow_mut().record_due(now, divisor)
    }

    /// This host is about to end.
    pub fn leave(&self) {
        self.budgets.borrow_mut().begin_shutdown();
    }

    /// What the row is to say; from now on the store may hold it.
    pub fn draft(
        &self,
        services: impl Iterator<Item = Rc<str>>,
        now: Duration,
    ) -> Option<RowDraft> {
        let divisor = self.divisor(now);
        let share = self.share.borrow_mut().draft(now)?;
        let mut budgets = self.budgets.borrow_mut();
        for service in services {
            budgets.service(&service);
        }
        let recorded = budgets.to_record(now, divisor);
        budgets.begin_record(&recorded);
        Some(RowDraft { share, recorded })
    }

    /// The store holds the draft as that version of the row.
    pub fn wrote(&self, draft: &RowDraft, version: u64, now: Duration) {
        self.row.set(Some(version));
        self.share
            .borrow_mut()
            .confirm_write(&draft.share, version, now);
        self.budgets.borrow_mut().confirm_record(&draft.recorded);
        self.failing.set(false);
        self.written.send_replace(());
    }

    /// The row was found to have another version, 0 if it is gone: a write of this host without an
    /// answer has taken effect after all.
    pub fn found_row(&self, version: u64) {
        self.row.set(Some(version));
    }

    /// The row could not be written.
    pub fn write_failed(&self) {
        self.failing.set(true);
        self.written.send_replace(());
    }

    /// The row can be written again, as far as is known.
    pub fn write_again(&self) {
        self.failing.set(false);
    }

    /// Whether a write of the row is worth waiting for.
    pub fn writes_row(&self) -> bool {
        self.row.get().is_some() && !self.failing.get()
    }

    /// A request waits for a repeat to be written down until what is given is dropped.
    pub fn wait<'a>(&'a self, service: &'a Rc<str>) -> Waiting<'a> {
        self.budgets.borrow_mut().service(service).begin_wait();
        let bounds = self;
        Waiting { bounds, service }
    }

    /// Has the row written; changes when that has ended.
    pub fn write_row(&self) -> watch::Receiver<()> {
        let written = self.written.subscribe();
        self.wanted.notify_one();
        written
    }

    /// Waits until somebody wants the row to be written.
    pub async fn row_wanted(&self) {
        self.wanted.notified().await;
    }
}

/// A request that waits for a repeat to be written down.
pub struct Waiting<'a> {
    bounds: &'a Bounds,
    service: &'a Rc<str>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut budgets = self.bounds.budgets.borrow_mut();
        budgets.service(self.service).end_wait();
    }
}

/// The claim of a row, as it stands in the store.
fn claimed((version, row): &(u64, HostRow)) -> Option<ClaimRow> {
    Some(ClaimRow {
        version: *version,
        claim: claim_from_wire(row.claim.as_ref()?),
    })
}

fn recorded(row: &HostRow) -> impl Iterator<Item = RecordedRetries> {
    row.repeats.iter().map(|r| RecordedRetries {
        service: r.service.as_str().into(),
        retries: r.repeats,
    })
}

fn claim_to_wire(claim: &Claim) -> ShareClaim {
    let held = |held: ShareHolding| HeldShare {
        version: held.version,
        whole_at_ms: millis(held.usable_at),
    };
    ShareClaim {
        since: claim.since,
        counted_to: claim.counted_to,
        read_at_ms: millis(claim.read_at),
        held: claim.held.map(held),
    }
}

fn claim_from_wire(claim: &ShareClaim) -> Claim {
    let held = |held: HeldShare| ShareHolding {
        version: held.version,
        usable_at: Duration::from_millis(held.whole_at_ms),
    };
    Claim {
        since: claim.since,
        counted_to: claim.counted_to,
        read_at: Duration::from_millis(claim.read_at_ms),
        held: claim.held.map(held),
    }
}
