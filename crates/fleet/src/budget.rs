//! Bounds how often requests are retried.
//!
//! All hosts share one budget per service: in any window, the dispatches beyond the first of each request are
//! at most a fraction of the number of requests, plus a burst. No call is made for a retry. Instead the bound
//! holds because each host keeps to the fraction of its own requests and to its share of the burst, see
//! [`crate::share`].
//!
//! Callers move from one host to another, for example when hosts shut down. A caller that moves to a host is
//! at first counted twice: here, and on the host where it was in the window before. So a host counts the
//! requests of the current window or of the one before it, whichever has fewer.
//!
//! A process may terminate at any time and start again, and the retries that it made must still count. So a
//! host records beforehand, in its row of the store, how many retries it may make in a window: half of the
//! allowed number while few are used, and more as soon as these are being used up. The next process counts
//! the recorded number as made, for one window. Thus few writes are made, a burst of retries waits a few ms
//! for a write at most, and half of the budget is available at once after a start and while the store is
//! unavailable.
//!
//! When engines are full, refusals are many times as frequent as losses, and would use up the budget first. A
//! request that was only refused can be answered as not run, so that its caller may return; one whose run was
//! lost can't. Therefore half of the allowed retries is kept for losses.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

/// The fraction of the budget that is used. The rest allows for dispatches that are counted in another order
/// at the endpoints than here.
const USABLE_FRACTION: f64 = 0.9;

/// How much longer than the window retries count, as a fraction of it: a retry that is delayed on a link for
/// a second may arrive together with newer ones.
const EXTRA_SPAN_FRACTION: f64 = 0.1;

/// The fraction of the allowed retries that is recorded before any is used. The same number is left to the
/// next process, and can be used while the store is unavailable.
const IDLE_RECORD_FRACTION: f64 = 0.5;

/// Ratio of the recorded number to the retries made and waited for in a burst. A larger factor takes fewer
/// writes, but the next process counts more retries as made that were not.
const RECORD_GROWTH_FACTOR: f64 = 1.25;

/// The fraction of the allowed retries that may be used before retries after refusals are denied.
const REFUSAL_FRACTION: f64 = 0.5;

/// What a retry follows. It decides how much of the budget the retry may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// A dispatch of the request may have run, and its answer is lost.
    Loss,
    /// Endpoints refused the request and have not run it.
    Refusal,
}

impl RetryReason {
    /// The name in the log.
    pub fn label(self) -> &'static str {
        match self {
            Self::Loss => "loss",
            Self::Refusal => "refusal",
        }
    }

    /// The fraction of the allowed retries that may be used by retries for this reason and all before them.
    fn usable_fraction(self) -> f64 {
        match self {
            Self::Loss => 1.0,
            Self::Refusal => REFUSAL_FRACTION,
        }
    }
}

/// The bounds of a budget.
#[derive(Debug, Clone, Copy)]
pub struct BudgetConfig {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in addition, over all hosts together.
    pub burst: f64,
    /// Length of the window.
    pub window: Duration,
}

impl BudgetConfig {
    /// How long a retry counts.
    pub fn span(&self) -> Duration {
        self.window.mul_f64(1.0 + EXTRA_SPAN_FRACTION)
    }
}

/// State of a budget on which the decision on a retry is based.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetState {
    /// Requests of the current window, or of the one before it if that has fewer.
    pub requests: usize,
    /// Retries that count: those made by this process, and those that an earlier one may have made.
    pub retries: usize,
    /// Number of retries that this host may make in a window.
    pub allowed: f64,
    /// Number of retries in a window that this host's row in the store permits.
    pub recorded: u32,
    /// Requests that wait for a retry to be recorded.
    pub waiting: usize,
    /// This host is shutting down.
    shutting_down: bool,
}

impl BudgetState {
    /// Whether one more retry may be made now.
    pub fn retry_left(&self, reason: RetryReason) -> bool {
        self.allows_one_more(reason) && self.retries < self.recorded as usize
    }

    /// Whether one more retry could be made if it were recorded first.
    pub fn needs_record(&self, reason: RetryReason) -> bool {
        self.allows_one_more(reason) && !self.retry_left(reason)
    }

    fn allows_one_more(&self, reason: RetryReason) -> bool {
        (self.retries + 1) as f64 <= reason.usable_fraction() * self.allowed
    }

    /// Number of retries to record in the row.
    fn retries_to_record(self) -> u32 {
        // A host that shuts down leaves what it doesn't need to the next process.
        let idle = match self.shutting_down {
            true => 1,
            false => (IDLE_RECORD_FRACTION * self.allowed).ceil() as usize,
        };
        let wanted = match self.half_used() {
            true => idle
                .max((RECORD_GROWTH_FACTOR * (self.retries + self.waiting) as f64).ceil() as usize),
            false => idle,
        };
        // Never record fewer retries than already count.
        let max = self.allowed.floor() as usize;
        wanted.min(max).max(self.retries) as u32
    }

    /// Whether to write the row ahead of its next regular write.
    fn record_due(&self) -> bool {
        let (wanted, recorded) = (self.retries_to_record(), self.recorded);
        if wanted <= recorded {
            return false;
        }
        let many_more = f64::from(wanted) >= RECORD_GROWTH_FACTOR * f64::from(recorded);
        self.waiting > 0 || (many_more && (self.half_used() || wanted >= 2 * recorded))
    }

    /// Whether half of the recorded retries are used or waited for.
    fn half_used(&self) -> bool {
        2 * (self.retries + self.waiting) >= self.recorded as usize
    }
}

/// This host's part of one service's budget.
#[derive(Debug)]
pub struct RetryBudget {
    config: BudgetConfig,
    /// Arrival times of the requests of the last two windows.
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
    /// Retries that an earlier process may have made, and until when they count.
    inherited: (u32, Duration),
    /// Number of retries in a window that the host's row permits.
    recorded: u32,
    waiting: usize,
    shutting_down: bool,
}

impl RetryBudget {
    /// Creates a budget with nothing used and nothing recorded, so that no retry is allowed yet.
    pub fn new(config: BudgetConfig) -> Self {
        Self {
            config,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            inherited: (0, Duration::ZERO),
            recorded: 0,
            waiting: 0,
            shutting_down: false,
        }
    }

    /// Takes over the number of retries that an earlier process has recorded.
    pub fn inherit(&mut self, retries: u32, now: Duration) {
        self.inherited = (retries, now + self.config.span());
        self.recorded = retries;
    }

    /// Counts an incoming request.
    pub fn count_request(&mut self, now: Duration) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Acquires one retry if the budget has one left; `divisor` is the number of hosts that share the burst,
    /// `None` if this host has no share of it.
    pub fn try_acquire(
        &mut self,
        now: Duration,
        divisor: Option<u32>,
        reason: RetryReason,
    ) -> bool {
        let acquired = self.state(now, divisor).retry_left(reason);
        if acquired {
            self.retries.push_back(now);
        }
        acquired
    }

    /// State of the budget; `divisor` is the number of hosts that share the burst, `None` if this host has no
    /// share of it.
    pub fn state(&mut self, now: Duration, divisor: Option<u32>) -> BudgetState {
        self.expire(now);
        let requests = self.counted_requests(now);
        let own = self.config.ratio * requests as f64;
        let burst = divisor.map_or(0.0, |hosts| self.config.burst / f64::from(hosts.max(1)));
        BudgetState {
            requests,
            retries: self.retries.len() + self.inherited.0 as usize,
            allowed: USABLE_FRACTION * (own + burst),
            recorded: self.recorded,
            waiting: self.waiting,
            shutting_down: self.shutting_down,
        }
    }

    /// Counts a request that begins to wait for a retry to be recorded.
    pub fn begin_wait(&mut self) {
        self.waiting += 1;
    }

    /// Counts a request that has stopped waiting.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Marks this host as shutting down: its row is to permit no more retries than it needs.
    pub fn begin_shutdown(&mut self) {
        self.shutting_down = true;
    }

    /// Number of retries that the host's row is to permit.
    pub fn retries_to_record(&mut self, now: Duration, divisor: Option<u32>) -> u32 {
        self.state(now, divisor).retries_to_record()
    }

    /// Whether the row is to permit more retries before its next regular write.
    pub fn record_due(&mut self, now: Duration, divisor: Option<u32>) -> bool {
        self.state(now, divisor).record_due()
    }

    /// Notes that a row with this number of retries is about to be written, which may take effect at any time
    /// from now on.
    pub fn begin_record(&mut self, retries: u32) {
        self.recorded = self.recorded.min(retries);
    }

    /// Notes that the store holds a row with this number of retries.
    pub fn confirm_record(&mut self, retries: u32) {
        self.recorded = retries;
    }

    fn counted_requests(&self, now: Duration) -> usize {
        let old = |t: &Duration| *t + self.config.window <= now;
        let before = self.requests.partition_point(old);
        before.min(self.requests.len() - before)
    }

    fn expire(&mut self, now: Duration) {
        drop_older(&mut self.requests, now, 2 * self.config.window);
        drop_older(&mut self.retries, now, self.config.span());
        if self.inherited.1 <= now {
            self.inherited.0 = 0;
        }
    }
}

fn drop_older(times: &mut VecDeque<Duration>, now: Duration, span: Duration) {
    while times.front().is_some_and(|t| *t + span <= now) {
        times.pop_front();
    }
}

/// The entry for one service in a host's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedRetries {
    /// The service.
    pub service: Rc<str>,
    /// Number of retries that the host may make in a window.
    pub retries: u32,
}

/// This host's parts of the budgets of all services.
#[derive(Debug)]
pub struct RetryBudgets {
    config: BudgetConfig,
    by_service: BTreeMap<Rc<str>, RetryBudget>,
}

impl RetryBudgets {
    /// Creates budgets with nothing used and nothing recorded.
    pub fn new(config: BudgetConfig) -> Self {
        Self {
            config,
            by_service: BTreeMap::new(),
        }
    }

    /// The budget of a service, created on first use.
    pub fn service(&mut self, service: &Rc<str>) -> &mut RetryBudget {
        let config = self.config;
        let entry = self.by_service.entry(service.clone());
        entry.or_insert_with(|| RetryBudget::new(config))
    }

    /// Takes over what an earlier process of this host has recorded.
    pub fn inherit(&mut self, recorded: &[RecordedRetries], now: Duration) {
        for RecordedRetries { service, retries } in recorded {
            self.service(service).inherit(*retries, now);
        }
    }

    /// Marks this host as shutting down.
    pub fn begin_shutdown(&mut self) {
        self.by_service
            .values_mut()
            .for_each(RetryBudget::begin_shutdown);
    }

    /// Entries that the host's row is to contain.
    pub fn to_record(&mut self, now: Duration, divisor: Option<u32>) -> Vec<RecordedRetries> {
        let budgets = self.by_service.iter_mut();
        let one = |(service, budget): (&Rc<str>, &mut RetryBudget)| RecordedRetries {
            service: service.clone(),
            retries: budget.retries_to_record(now, divisor),
        };
        budgets.map(one).filter(|r| r.retries > 0).collect()
    }

    /// Whether the row is to permit more retries of any service before its next regular write.
    pub fn record_due(&mut self, now: Duration, divisor: Option<u32>) -> bool {
        let mut budgets = self.by_service.values_mut();
        budgets.any(|b| b.record_due(now, divisor))
    }

    /// Notes that a row with these entries is about to be written.
    pub fn begin_record(&mut self, row: &[RecordedRetries]) {
        self.apply_row(row, RetryBudget::begin_record);
    }

    /// Notes that the store holds a row with these entries.
    pub fn confirm_record(&mut self, row: &[RecordedRetries]) {
        self.apply_row(row, RetryBudget::confirm_record);
    }

    /// Passes to each budget the number that the row contains for its service, 0 if the row has no entry for
    /// it.
    fn apply_row(&mut self, row: &[RecordedRetries], apply: impl Fn(&mut RetryBudget, u32)) {
        for (service, budget) in &mut self.by_service {
            let entry = row.iter().find(|r| r.service == *service);
            apply(budget, entry.map_or(0, |r| r.retries));
        }
    }
}
