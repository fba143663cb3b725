//! How often requests may be sent a second time.
//!
//! All hosts share one budget a service: in any window, sends beyond the first of each request are
//! at most a share of the requests, plus a burst. Without a call per repeat that holds if each host
//! keeps to the share of its own requests and to its part of the burst, see [`crate::share`].
//!
//! Callers move from one host to another, as when hosts end. Those that come to a host are counted twice at
//! first: here, and where they were in the window before. So a host counts the requests of the window or of
//! the one before it, whichever has fewer.
//!
//! A process may end at any moment and start again, and what it has taken must not be forgotten with
//! it. So a host writes down beforehand, in its row of the store, how many repeats it may take in a
//! window: half of what is allowed in quiet times, and more as soon as it uses that. The process that
//! starts next counts as taken what the row says, for one window. Thus few writes are made, a surge
//! of repeats waits a few ms for one at the most, and half of the budget is there at once after a
//! start, and while the store is away.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

/// The part of the budget that is used. The rest is for sends that are counted in another order at
/// the endpoints than here.
const USED: f64 = 0.9;

/// How much longer repeats are counted than the window lasts, as a part of it: a repeat that waits on
/// a link for a second may arrive together with newer ones.
const LONGER: f64 = 0.1;

/// The part of what is allowed that is written down before any of it is used. As much as that is left
/// for the process that starts next, and as much can be taken while the store is away.
const QUIET: f64 = 0.5;

/// How much more than what is taken and waited for is written down in a surge: few writes, and little
/// that the process that starts next counts as taken though it was not.
const STEP: f64 = 1.25;

/// The bounds of a budget.
#[derive(Debug, Clone, Copy)]
pub struct BudgetTerms {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, over all hosts.
    pub burst: f64,
    /// The length of the window.
    pub window: Duration,
}

impl BudgetTerms {
    /// For how long a repeat counts.
    pub fn span(&self) -> Duration {
        self.window.mul_f64(1.0 + LONGER)
    }
}

/// How a budget stands: what a decision on a repeat rests on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// Requests of the window, or of the one before it if that has fewer.
    pub requests: usize,
    /// Repeats that count: those taken, and those that an earlier process may have taken.
    pub repeats: usize,
    /// Repeats that this host may have made in the window.
    pub allowed: f64,
    /// Repeats that it has written down that it may make.
    pub recorded: u32,
    /// Requests that wait for a repeat to be written down.
    waiting: usize,
    /// This host is about to end.
    leaving: bool,
}

impl Standing {
    /// Whether one more repeat is left.
    pub fn left(&self) -> bool {
        self.allows_one_more() && self.repeats < self.recorded as usize
    }

    /// Whether one more repeat would be left if it were written down.
    pub fn waits_for_record(&self) -> bool {
        self.allows_one_more() && !self.left()
    }

    fn allows_one_more(&self) -> bool {
        (self.repeats + 1) as f64 <= self.allowed
    }

    /// How many repeats are to be written down.
    fn to_record(self) -> u32 {
        // What a host that is about to end does not need is left for the process that starts next.
        let quiet = match self.leaving {
            true => 1,
            false => (QUIET * self.allowed).ceil() as usize,
        };
        let wanted = match self.used_much() {
            true => quiet.max((STEP * (self.repeats + self.waiting) as f64).ceil() as usize),
            false => quiet,
        };
        // Never less than what counts already.
        let most = self.allowed.floor() as usize;
        wanted.min(most).max(self.repeats) as u32
    }

    /// Whether that is to be done before the row is written anyway.
    fn record_due(&self) -> bool {
        let (wanted, recorded) = (self.to_record(), self.recorded);
        if wanted <= recorded {
            return false;
        }
        let many_more = f64::from(wanted) >= STEP * f64::from(recorded);
        self.waiting > 0 || (many_more && (self.used_much() || wanted >= 2 * recorded))
    }

    /// Whether half of what is written down is used or wanted.
    fn used_much(&self) -> bool {
        2 * (self.repeats + self.waiting) >= self.recorded as usize
    }
}

/// This host's part of one service's budget.
#[derive(Debug)]
pub struct RetryBudget {
    terms: BudgetTerms,
    /// When the requests of two windows came.
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
    /// Repeats that an earlier process may have made, and until when they count.
    inherited: (u32, Duration),
    /// Repeats of one window that the host's row says it may make.
    recorded: u32,
    waiting: usize,
    leaving: bool,
}

impl RetryBudget {
    /// A budget of which nothing is used, and of which nothing is written down: no repeat is left.
    pub fn new(terms: BudgetTerms) -> Self {
        Self {
            terms,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
            inherited: (0, Duration::ZERO),
            recorded: 0,
            waiting: 0,
            leaving: false,
        }
    }

    /// An earlier process has written down that it may make so many repeats.
    pub fn inherit(&mut self, repeats: u32, now: Duration) {
        self.inherited = (repeats, now + self.terms.span());
        self.recorded = repeats;
    }

    /// A request came in.
    pub fn request(&mut self, now: Duration) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat out of the budget, if there is one left for a host that divides the burst by
    /// so many.
    pub fn take(&mut self, now: Duration, divisor: Option<u32>) -> bool {
        let taken = self.standing(now, divisor).left();
        if taken {
            self.repeats.push_back(now);
        }
        taken
    }

    /// How the budget stands for a host that divides the burst by so many; `None` if it has no part
    /// of the burst.
    pub fn standing(&mut self, now: Duration, divisor: Option<u32>) -> Standing {
        self.expire(now);
        let requests = self.requests_counted(now);
        let own = self.terms.ratio * requests as f64;
        let burst = divisor.map_or(0.0, |hosts| self.terms.burst / f64::from(hosts.max(1)));
        Standing {
            requests,
            repeats: self.repeats.len() + self.inherited.0 as usize,
            allowed: USED * (own + burst),
            recorded: self.recorded,
            waiting: self.waiting,
            leaving: self.leaving,
        }
    }

    /// A request begins to wait for a repeat to be written down.
    pub fn wait(&mut self) {
        self.waiting += 1;
    }

    /// It waits no more.
    pub fn waited(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// This host is about to end: its row is to say no more than it needs.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// How many repeats the host's row is to say that it may make.
    pub fn to_record(&mut self, now: Duration, divisor: Option<u32>) -> u32 {
        self.standing(now, divisor).to_record()
    }

    /// Whether the row is to say more before it is written anyway.
    pub fn record_due(&mut self, now: Duration, divisor: Option<u32>) -> bool {
        self.standing(now, divisor).record_due()
    }

    /// A row that says so much is about to be written. It may take effect at any time from now on.
    pub fn recording(&mut self, repeats: u32) {
        self.recorded = self.recorded.min(repeats);
    }

    /// The store holds a row that says so much.
    pub fn recorded(&mut self, repeats: u32) {
        self.recorded = repeats;
    }

    fn requests_counted(&self, now: Duration) -> usize {
        let old = |t: &Duration| *t + self.terms.window <= now;
        let before = self.requests.partition_point(old);
        before.min(self.requests.len() - before)
    }

    fn expire(&mut self, now: Duration) {
        drop_older(&mut self.requests, now, 2 * self.terms.window);
        drop_older(&mut self.repeats, now, self.terms.span());
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

/// What a host's row says of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recorded {
    /// The service.
    pub service: Rc<str>,
    /// Repeats that the host may make in a window.
    pub repeats: u32,
}

/// This host's parts of the budgets of all services.
#[derive(Debug)]
pub struct Budgets {
    terms: BudgetTerms,
    by_service: BTreeMap<Rc<str>, RetryBudget>,
}

impl Budgets {
    /// Budgets of which nothing is used or written down.
    pub fn new(terms: BudgetTerms) -> Self {
        Self {
            terms,
            by_service: BTreeMap::new(),
        }
    }

    /// The budget of a service.
    pub fn of(&mut self, service: &Rc<str>) -> &mut RetryBudget {
        let terms = self.terms;
        let entry = self.by_service.entry(service.clone());
        entry.or_insert_with(|| RetryBudget::new(terms))
    }

    /// Takes over what a process that this host ran before has written down.
    pub fn inherit(&mut self, recorded: &[Recorded], now: Duration) {
        for Recorded { service, repeats } in recorded {
            self.of(service).inherit(*repeats, now);
        }
    }

    /// This host is about to end.
    pub fn leave(&mut self) {
        self.by_service.values_mut().for_each(RetryBudget::leave);
    }

    /// What the host's row is to say.
    pub fn to_record(&mut self, now: Duration, divisor: Option<u32>) -> Vec<Recorded> {
        let budgets = self.by_service.iter_mut();
        let one = |(service, budget): (&Rc<str>, &mut RetryBudget)| Recorded {
            service: service.clone(),
            repeats: budget.to_record(now, divisor),
        };
        budgets.map(one).filter(|r| r.repeats > 0).collect()
    }

    /// Whether the row is to say more of a service before it is written anyway.
    pub fn record_due(&mut self, now: Duration, divisor: Option<u32>) -> bool {
        let mut budgets = self.by_service.values_mut();
        budgets.any(|b| b.record_due(now, divisor))
    }

    /// A row that says this is about to be written.
    pub fn recording(&mut self, row: &[Recorded]) {
        self.each(row, RetryBudget::recording);
    }

    /// The store holds a row that says this.
    pub fn recorded(&mut self, row: &[Recorded]) {
        self.each(row, RetryBudget::recorded);
    }

    /// Tells each budget what a row says of its service: nothing if it is not named.
    fn each(&mut self, row: &[Recorded], tell: impl Fn(&mut RetryBudget, u32)) {
        for (service, budget) in &mut self.by_service {
            let said = row.iter().find(|r| r.service == *service);
            tell(budget, said.map_or(0, |r| r.repeats));
        }
    }
}
