//! This host's portion of the bounds that apply to all hosts together.
//!
//! [`dragonflyrill_fleet::share`] and [`dragonflyrill_fleet::budget`] decide how much this host may use. This module
//! holds their state and converts it to and from the host's row in the store, which [`crate::control::host_row`] writes.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use dragonflyrill_fleet::{
    budget::{BudgetConfig, BudgetState, RecordedRetries, RetryBudgets, RetryReason},
    share::{Claim, ClaimDraft, ClaimRow, ClaimsSnapshot, Share, ShareHolding},
};
use dragonflyrill_protocol::exchange::{
    ClaimsView, HeldShare, HostRow, RetriesRow, ShareClaim, millis,
};
use tokio::sync::{Notify, watch};

/// The claim and the recorded retries of a row that is being written.
pub struct RowDraft {
    share: ClaimDraft,
    recorded: Vec<RecordedRetries>,
}

impl RowDraft {
    /// The claim in the form that the row stores.
    pub fn claim(&self) -> ShareClaim {
        claim_to_wire(&self.share.claim)
    }

    /// The recorded retries in the form that the row stores.
    pub fn retries(&self) -> Vec<RetriesRow> {
        let to_wire = |r: &RecordedRetries| RetriesRow {
            service: r.service.to_string(),
            retries: r.retries,
        };
        self.recorded.iter().map(to_wire).collect()
    }
}

/// This host's portion of the bounds over all hosts.
pub struct SharedBounds {
    share: RefCell<Share>,
    budgets: RefCell<RetryBudgets>,
    /// The last known version of this host's row, 0 if there is none; `None` until the rows were read, and with them
    /// the claim and the retries of an earlier process of this host.
    row_version: Cell<Option<u64>>,
    /// The age of the row of an earlier process of this host when this process read it.
    inherited_row_age: Cell<Option<Duration>>,
    /// The last write of the row failed, so that no request waits for the next one.
    write_failing: Cell<bool>,
    write_request: Notify,
    written: watch::Sender<()>,
}

impl SharedBounds {
    /// Creates the state of a host that has not read the rows. Until it has, it may use nothing of a shared bound.
    pub fn new(config: BudgetConfig) -> Self {
        Self {
            share: RefCell::new(Share::new(config.span())),
            budgets: RefCell::new(RetryBudgets::new(config)),
            row_version: Cell::new(None),
            inherited_row_age: Cell::new(None),
            write_failing: Cell::new(false),
            write_request: Notify::new(),
            written: watch::Sender::new(()),
        }
    }

    /// Merges the rows of all hosts, read by a call sent at `sent_at`, as of a version and a time of the store's clock;
    /// `own` is this host's row, with its version. The first call inherits the claim and the retries of `own`.
    pub fn merge_rows(
        &self,
        rows: &[(u64, HostRow)],
        own: Option<&(u64, HostRow)>,
        (version, clock): (u64, Duration),
        sent_at: Duration,
        now: Duration,
    ) {
        let claims: Vec<ClaimRow> = rows.iter().filter_map(claim_row).collect();
        let snapshot = ClaimsSnapshot::of(&claims, version, clock);
        let mut share = self.share.borrow_mut();
        if self.row_version.get().is_none() {
            self.row_version
                .set(Some(own.map_or(0, |(version, _)| *version)));
            if let Some(row) = own.and_then(claim_row) {
                share.take_over(&row, &snapshot, sent_at);
                self.inherited_row_age
                    .set(clock.checked_sub(row.claim.read_at));
            }
            let inherited: Vec<RecordedRetries> = own
                .into_iter()
                .flat_map(|(_, r)| recorded_retries(r))
                .collect();
            self.budgets.borrow_mut().inherit(&inherited, now);
            log::info!(
                target: "roster",
                hosts = snapshot.hosts,
                claimed = own.is_some(),
                repeats = inherited.iter().map(|r| r.retries).sum::<u32>();
                "Claims of an earlier process of this host are inherited."
            );
        }
        share.merge_snapshot(snapshot, sent_at, now);
    }

    /// Merges the claims that another host reported in answer to a poll sent at `sent_at`.
    pub fn merge_report(&self, report: &ClaimsView, sent_at: Duration, now: Duration) {
        let age = Duration::from_micros(report.age_us);
        // The report is older than this process, which has read the rows itself since it started.
        let Some(sent_at) = sent_at.checked_sub(age) else {
            return;
        };
        let snapshot = ClaimsSnapshot {
            version: report.version,
            clock: Duration::from_millis(report.clock_ms),
            hosts: report.hosts,
            newest: report.newest,
            counted_by_all: report.counted_by_all,
            first_held: report.first_held,
        };
        self.share
            .borrow_mut()
            .merge_snapshot(snapshot, sent_at, now);
    }

    /// Records that the store was restored from a copy.
    pub fn record_restoration(&self) {
        self.share.borrow_mut().record_restoration();
    }

    /// The claims as they are reported to other hosts; `None` until they are known, and after a restoration of the store
    /// until the rows were read again.
    pub fn report(&self, now: Duration) -> Option<ClaimsView> {
        let share = self.share.borrow();
        let (snapshot, age) = (share.current_snapshot()?, share.snapshot_age(now)?);
        Some(ClaimsView {
            version: snapshot.version,
            clock_ms: millis(snapshot.clock),
            age_us: age.as_micros() as u64,
            hosts: snapshot.hosts,
            newest: snapshot.newest,
            counted_by_all: snapshot.counted_by_all,
            first_held: snapshot.first_held,
        })
    }

    /// The current time of the store's clock, extrapolated from the last read of the rows.
    pub fn store_clock(&self, now: Duration) -> Option<Duration> {
        let share = self.share.borrow();
        Some(share.snapshot()?.clock + share.snapshot_age(now)?)
    }

    /// The number of hosts that may use the shared bounds; `None` until that is known.
    pub fn hosts(&self) -> Option<u32> {
        self.share.borrow().snapshot().map(|v| v.hosts)
    }

    /// The number by which this host divides a shared bound now; `None` if it may use none of it.
    pub fn divisor(&self, now: Duration) -> Option<u32> {
        self.share.borrow_mut().divisor(now)
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &Rc<str>, now: Duration) {
        self.budgets
            .borrow_mut()
            .service(service)
            .count_request(now);
    }

    /// Uses one retry of the budget of a service; false if none is left.
    pub fn acquire_retry(&self, service: &Rc<str>, reason: RetryReason, now: Duration) -> bool {
        let divisor = self.divisor(now);
        let mut budgets = self.budgets.borrow_mut();
        let acquired = budgets.service(service).try_acquire(now, divisor, reason);
        if budgets.service(service).record_due(now, divisor) {
            self.write_request.notify_one();
        }
        acquired
    }

    /// The state of the retry budget of a service.
    pub fn budget_state(&self, service: &Rc<str>, now: Duration) -> BudgetState {
        let divisor = self.divisor(now);
        self.budgets
            .borrow_mut()
            .service(service)
            .state(now, divisor)
    }

    /// The version of this host's row, 0 if there is none; `None` until the rows were read.
    pub fn row_version(&self) -> Option<u64> {
        self.row_version.get()
    }

    /// The age of the row of an earlier process of this host when it was read; `None` if there was no such row.
    pub fn inherited_row_age(&self) -> Option<Duration> {
        self.inherited_row_age.get()
    }

    /// Whether another host waits for this host's row to count it.
    pub fn awaited(&self) -> bool {
        self.share.borrow().awaited()
    }

    /// Whether the row is to permit more retries of any service before its next regular write.
    pub fn record_due(&self, now: Duration) -> bool {
        let divisor = self.divisor(now);
        self.budgets.borrow_mut().record_due(now, divisor)
    }

    /// Marks this host as shutting down.
    pub fn begin_shutdown(&self) {
        self.budgets.borrow_mut().begin_shutdown();
    }

    /// Drafts the next content of the row. From now on the store may contain it.
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

    /// Records that the store contains the draft as this version of the row.
    pub fn confirm_write(&self, draft: &RowDraft, version: u64, now: Duration) {
        self.row_version.set(Some(version));
        self.share
            .borrow_mut()
            .confirm_write(&draft.share, version, now);
        self.budgets.borrow_mut().confirm_record(&draft.recorded);
        self.write_failing.set(false);
        self.written.send_replace(());
    }

    /// Records that the row has another version than expected, 0 if it does not exist: a write of this host that was
    /// not answered has taken effect.
    pub fn set_row_version(&self, version: u64) {
        self.row_version.set(Some(version));
    }

    /// Records that the row could not be written.
    pub fn record_write_failure(&self) {
        self.write_failing.set(true);
        self.written.send_replace(());
    }

    /// Records that writes of the row are expected to succeed again.
    pub fn clear_write_failure(&self) {
        self.write_failing.set(false);
    }

    /// Whether a write of the row is expected to succeed, so that a request may wait for it.
    pub fn can_write_row(&self) -> bool {
        self.row_version.get().is_some() && !self.write_failing.get()
    }

    /// Counts a request that waits until its retry is recorded, until the returned guard is dropped.
    pub fn begin_retry_wait<'a>(&'a self, service: &'a Rc<str>) -> RetryWait<'a> {
        self.budgets.borrow_mut().service(service).begin_wait();
        let bounds = self;
        RetryWait { bounds, service }
    }

    /// Requests a write of the row. The receiver changes when the write has ended.
    pub fn request_write(&self) -> watch::Receiver<()> {
        let written = self.written.subscribe();
        self.write_request.notify_one();
        written
    }

    /// Waits until a write of the row is requested.
    pub async fn write_requested(&self) {
        self.write_request.notified().await;
    }
}

/// Guard of a request that waits until its retry is recorded in the row.
pub struct RetryWait<'a> {
    bounds: &'a SharedBounds,
    service: &'a Rc<str>,
}

impl Drop for RetryWait<'_> {
    fn drop(&mut self) {
        let mut budgets = self.bounds.budgets.borrow_mut();
        budgets.service(self.service).end_wait();
    }
}

/// The claim of a row, with the row's version; `None` if the row has no claim.
fn claim_row((version, row): &(u64, HostRow)) -> Option<ClaimRow> {
    Some(ClaimRow {
        version: *version,
        claim: claim_from_wire(row.claim.as_ref()?),
    })
}

fn recorded_retries(row: &HostRow) -> impl Iterator<Item = RecordedRetries> {
    row.retries.iter().map(|r| RecordedRetries {
        service: r.service.as_str().into(),
        retries: r.retries,
    })
}

fn claim_to_wire(claim: &Claim) -> ShareClaim {
    let to_wire = |held: ShareHolding| HeldShare {
        version: held.version,
        usable_at_ms: millis(held.usable_at),
    };
    ShareClaim {
        since: claim.since,
        counted_to: claim.counted_to,
        read_at_ms: millis(claim.read_at),
        held: claim.held.map(to_wire),
    }
}

fn claim_from_wire(claim: &ShareClaim) -> Claim {
    let from_wire = |held: HeldShare| ShareHolding {
        version: held.version,
        usable_at: Duration::from_millis(held.usable_at_ms),
    };
    Claim {
        since: claim.since,
        counted_to: claim.counted_to,
        read_at: Duration::from_millis(claim.read_at_ms),
        held: claim.held.map(from_wire),
    }
}
