//! The retry budget holds over all hosts together, whatever happens to the hosts and to their calls.
//!
//! Random schedules of a small fleet over the real state machines. Processes terminate and restart at once,
//! soon, or after longer than the term of a claim; they stall and resume; they are cut off from the store,
//! from each other or from both. Conditional writes of rows take effect late or get no answer. Hosts join and
//! leave permanently. Any host that may retry a request does. An observer counts all requests and retries; no
//! window may contain more retries than the budget allows.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    budget::{BudgetConfig, RecordedRetries, RetryBudgets, RetryReason},
    share::{ClaimDraft, ClaimRow, ClaimsSnapshot, Share},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

mod common;
use common::ms;

const CONFIG: BudgetConfig = BudgetConfig {
    ratio: 0.2,
    burst: 60.0,
    window: Duration::from_secs(3),
};
/// How often a host writes its row if nothing else requires a write.
const WRITE_PERIOD: Duration = Duration::from_secs(8);
/// How often a host reads the rows or receives them from another host.
const READ_PERIOD: Duration = Duration::from_millis(1200);
const STEP: Duration = Duration::from_millis(100);

/// A host's row in the store.
#[derive(Debug, Clone)]
struct Stored {
    row: ClaimRow,
    recorded: Vec<RecordedRetries>,
}

/// The store: rows by host, one version for all rows, and the store's own clock.
#[derive(Default)]
struct Store {
    rows: BTreeMap<usize, Stored>,
    version: u64,
    now: Duration,
}

impl Store {
    /// Writes a row on the condition that its version is `expected`; otherwise returns its actual version.
    fn write(&mut self, host: usize, expected: u64, write: &RowWrite) -> Result<u64, u64> {
        let at = self.rows.get(&host).map_or(0, |s| s.row.version);
        // Other rows are written all the time, so the version grows with every call.
        self.version += 1;
        if at != expected {
            return Err(at);
        }
        let row = ClaimRow {
            version: self.version,
            claim: write.draft.claim,
        };
        let recorded = write.recorded.clone();
        self.rows.insert(host, Stored { row, recorded });
        Ok(self.version)
    }

    fn snapshot(&self) -> ClaimsSnapshot {
        let rows: Vec<ClaimRow> = self.rows.values().map(|s| s.row).collect();
        ClaimsSnapshot::of(&rows, self.version, self.now)
    }
}

#[derive(Clone)]
struct RowWrite {
    draft: ClaimDraft,
    recorded: Vec<RecordedRetries>,
}

/// A process of a host.
struct Process {
    share: Share,
    budgets: RetryBudgets,
    /// The version of its row as far as the process knows.
    row: Option<u64>,
    read_at: Option<Duration>,
    written_at: Option<Duration>,
    /// Requests that wait for a retry to be recorded.
    waiting: usize,
    /// When the process started; its clock is the time of the simulation less this.
    started_at: Duration,
    /// The process is stalled until then.
    stalled_until: Duration,
}

/// Probabilities of faults for each step.
#[derive(Clone, Copy)]
struct FaultRates {
    kill: f64,
    /// Kills all processes at once.
    kill_all: f64,
    stall: f64,
    cut: f64,
    lose_answer: f64,
    join: f64,
}

struct World {
    rng: Pcg64,
    now: Duration,
    store: Store,
    hosts: Vec<Host>,
    /// Writes that take effect later: when, by which host, and under which condition.
    late: Vec<(Duration, usize, u64, RowWrite)>,
    requests: Vec<Duration>,
    retries: Vec<Duration>,
    service: Rc<str>,
}

struct Host {
    process: Option<Process>,
    starts_at: Duration,
    removed: bool,
    store_cut_until: Duration,
    peers_cut_until: Duration,
    requests_per_step: f64,
}

impl World {
    fn new(seed: u64, hosts: usize) -> Self {
        let mut world = Self {
            rng: Pcg64::seed_from_u64(seed),
            now: ms(0),
            store: Store::default(),
            hosts: Vec::new(),
            late: Vec::new(),
            requests: Vec::new(),
            retries: Vec::new(),
            service: "llm".into(),
        };
        (0..hosts).for_each(|_| world.join());
        world
    }

    fn join(&mut self) {
        let soon = ms(self.rng.random_range(0..300));
        self.hosts.push(Host {
            process: None,
            starts_at: self.now + soon,
            removed: false,
            store_cut_until: ms(0),
            peers_cut_until: ms(0),
            requests_per_step: self.rng.random_range(0.0..3.0),
        });
    }

    /// Runs the fleet for this time with these faults; `retry_chance` is the probability with which a host
    /// that may retry does.
    fn run(&mut self, duration: Duration, faults: FaultRates, retry_chance: f64) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            self.store.now = self.now;
            self.inject_faults(faults);
            self.late_writes();
            for at in 0..self.hosts.len() {
                self.step(at, faults, retry_chance);
            }
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }

    fn inject_faults(&mut self, t: FaultRates) {
        let kill_all = self.chance(t.kill_all);
        let join = self.chance(t.join) && self.hosts.len() < 12;
        if join {
            self.join();
        }
        for at in 0..self.hosts.len() {
            if kill_all || self.chance(t.kill) {
                self.kill(at);
            }
            if self.chance(t.stall) {
                let duration = self.duration();
                let until = self.now + duration;
                if let Some(p) = &mut self.hosts[at].process {
                    p.stalled_until = until;
                }
            }
            if self.chance(t.cut) {
                let until = self.now + self.duration();
                let (store, peers) = (self.chance(0.7), self.chance(0.7));
                let host = &mut self.hosts[at];
                if store {
                    host.store_cut_until = until;
                }
                if peers {
                    host.peers_cut_until = until;
                }
            }
        }
    }

    /// A duration of a fault: mostly short, sometimes about as long as the term of a claim.
    fn duration(&mut self) -> Duration {
        match self.rng.random_range(0..10) {
            0..6 => ms(self.rng.random_range(200..6000)),
            6..9 => ms(self.rng.random_range(6000..40_000)),
            _ => ms(self.rng.random_range(70_000..120_000)),
        }
    }

    fn kill(&mut self, at: usize) {
        let after = match self.rng.random_range(0..10) {
            0..9 => ms(self.rng.random_range(300..1500)),
            _ => self.duration(),
        };
        let removed = self.hosts.len() > 3 && self.rng.random_bool(0.05);
        let host = &mut self.hosts[at];
        if host.process.take().is_some() {
            host.starts_at = self.now + after;
            host.removed = removed;
        }
    }

    fn late_writes(&mut self) {
        let now = self.now;
        let (due, later) = self.late.drain(..).partition(|(at, ..)| *at <= now);
        self.late = later;
        for (_, host, expected, write) in due {
            let _ = self.store.write(host, expected, &write);
        }
    }

    fn step(&mut self, at: usize, t: FaultRates, retry_chance: f64) {
        self.start(at);
        let now = self.now;
        let Some(mut p) = self.hosts[at].process.take() else {
            return;
        };
        if p.stalled_until <= now {
            let clock = now - p.started_at;
            self.serve(at, &mut p, clock, retry_chance);
            self.read(at, &mut p, clock);
            self.write(at, &mut p, clock, t);
            self.serve(at, &mut p, clock, retry_chance);
        }
        self.hosts[at].process = Some(p);
    }

    fn start(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        if host.process.is_none() && !host.removed && host.starts_at <= self.now {
            host.process = Some(Process {
                share: Share::new(CONFIG.span()),
                budgets: RetryBudgets::new(CONFIG),
                row: None,
                read_at: None,
                written_at: None,
                waiting: 0,
                started_at: self.now,
                stalled_until: ms(0),
            });
        }
    }

    /// Handles incoming requests and makes all retries that are allowed.
    fn serve(&mut self, at: usize, p: &mut Process, clock: Duration, retry_chance: f64) {
        let mean = self.hosts[at].requests_per_step / 2.0;
        let n = (mean + self.rng.random::<f64>()) as usize;
        for _ in 0..n {
            p.budgets.service(&self.service).count_request(clock);
            self.requests.push(self.now);
        }
        let retries_now = self.chance(retry_chance);
        let waits = self.rng.random_range(0..20);
        let divisor = p.share.divisor(clock);
        let budget = p.budgets.service(&self.service);
        (0..std::mem::take(&mut p.waiting)).for_each(|_| budget.end_wait());
        if retries_now {
            while budget.try_acquire(clock, divisor, RetryReason::Loss) {
                self.retries.push(self.now);
            }
            if budget.state(clock, divisor).needs_record(RetryReason::Loss) {
                p.waiting = waits;
                (0..waits).for_each(|_| budget.begin_wait());
            }
        }
    }

    /// The host reads the rows, or receives a snapshot from another host that has read them.
    fn read(&mut self, at: usize, p: &mut Process, clock: Duration) {
        if p.read_at.is_some_and(|t| t + READ_PERIOD > clock) {
            return;
        }
        let host = &self.hosts[at];
        if host.store_cut_until <= self.now {
            let snapshot = self.store.snapshot();
            if p.read_at.is_none() {
                let own = self.store.rows.get(&at);
                p.row = Some(own.map_or(0, |s| s.row.version));
                if let Some(own) = own {
                    p.share.take_over(&own.row, &snapshot, clock);
                    p.budgets.inherit(&own.recorded, clock);
                }
            }
            p.share.merge_snapshot(snapshot, clock, clock);
            p.read_at = Some(clock);
        } else if p.read_at.is_some() && host.peers_cut_until <= self.now {
            let others = self.hosts.iter().filter(|h| h.peers_cut_until <= self.now);
            let other = others.filter_map(|h| h.process.as_ref()).next();
            let reported = other.and_then(|o| {
                let age = o.share.snapshot_age(self.now - o.started_at)?;
                Some((*o.share.snapshot()?, age))
            });
            if let Some((snapshot, age)) = reported
                && let Some(sent_at) = clock.checked_sub(age)
            {
                p.share.merge_snapshot(snapshot, sent_at, clock);
            }
        }
    }

    fn write(&mut self, at: usize, p: &mut Process, clock: Duration, t: FaultRates) {
        let Some(expected) = p.row else {
            return;
        };
        let divisor = p.share.divisor(clock);
        let regular = p.written_at.is_none_or(|t| t + WRITE_PERIOD <= clock);
        if !(regular || p.share.awaited() || p.budgets.record_due(clock, divisor)) {
            return;
        }
        let Some(draft) = p.share.draft(clock) else {
            return;
        };
        let recorded = p.budgets.to_record(clock, divisor);
        let write = RowWrite { draft, recorded };
        if self.hosts[at].store_cut_until > self.now {
            return;
        }
        p.budgets.begin_record(&write.recorded);
        p.written_at = Some(clock);
        if self.chance(t.lose_answer) {
            // No answer: the write is lost, done, or done later.
            match self.rng.random_range(0..3) {
                0 => {}
                1 => drop(self.store.write(at, expected, &write)),
                _ => {
                    let then = self.now + ms(self.rng.random_range(500..12_000));
                    self.late.push((then, at, expected, write));
                }
            }
            return;
        }
        match self.store.write(at, expected, &write) {
            Ok(version) => {
                p.row = Some(version);
                p.share.confirm_write(&write.draft, version, clock);
                p.budgets.confirm_record(&write.recorded);
            }
            Err(version) => p.row = Some(version),
        }
    }

    /// The largest number of retries by which a window exceeds the budget; negative if none does.
    fn max_excess(&self) -> f64 {
        let window = CONFIG.window;
        let within = |times: &[Duration], from: Duration, to: Duration| {
            let after = |t: Duration| times.partition_point(|x| *x <= t);
            (after(to) - after(from)) as f64
        };
        let excess = |end: &Duration| {
            let from = end.saturating_sub(window);
            let retried = within(&self.retries, from, *end);
            let asked = |back: Duration| {
                let back = |t: Duration| t.saturating_sub(back);
                within(&self.requests, back(from), back(*end))
            };
            let asked = asked(ms(0)).max(asked(window / 2)).max(asked(window));
            retried - CONFIG.ratio * asked - CONFIG.burst
        };
        self.retries.iter().map(excess).fold(f64::MIN, f64::max)
    }

    /// The fraction of the burst that all hosts together may use now.
    fn sum_of_shares(&mut self) -> f64 {
        let now = self.now;
        let processes = self.hosts.iter_mut().filter_map(|h| h.process.as_mut());
        let part = |p: &mut Process| {
            let divisor = p.share.divisor(now - p.started_at);
            divisor.map_or(0.0, |n| 1.0 / f64::from(n))
        };
        processes.map(part).sum()
    }
}

const NO_FAULTS: FaultRates = FaultRates {
    kill: 0.0,
    kill_all: 0.0,
    stall: 0.0,
    cut: 0.0,
    lose_answer: 0.0,
    join: 0.0,
};

#[test]
fn no_window_exceeds_the_budget_on_any_schedule() {
    let frequent = FaultRates {
        kill: 0.004,
        kill_all: 0.01,
        stall: 0.001,
        cut: 0.002,
        lose_answer: 0.2,
        join: 0.005,
    };
    for seed in 0..400 {
        let mut world = World::new(seed, 2 + seed as usize % 6);
        let retry_chance = [1.0, 0.3, 0.05][seed as usize % 3];
        world.run(ms(15_000), NO_FAULTS, 0.0);
        world.run(ms(60_000), frequent, retry_chance);
        let rare = FaultRates {
            kill_all: 0.001,
            kill: 0.001,
            ..frequent
        };
        world.run(ms(150_000), rare, retry_chance);
        let excess = world.max_excess();
        assert!(excess <= 0.0, "seed {seed}: {excess} beyond the budget");
    }
}

#[test]
fn shares_sum_to_the_whole_again_after_the_faults() {
    let faults = FaultRates {
        kill: 0.005,
        kill_all: 0.005,
        stall: 0.002,
        cut: 0.005,
        lose_answer: 0.3,
        join: 0.01,
    };
    for seed in 0..100 {
        let mut world = World::new(seed, 3);
        world.run(ms(60_000), faults, 1.0);
        for host in &mut world.hosts {
            host.store_cut_until = ms(0);
            host.peers_cut_until = ms(0);
            host.starts_at = ms(0);
            host.removed = false;
            host.process
                .iter_mut()
                .for_each(|p| p.stalled_until = ms(0));
        }
        world.run(ms(120_000), NO_FAULTS, 1.0);
        let shared = world.sum_of_shares();
        assert!((0.99..1.01).contains(&shared), "seed {seed}: {shared}");
    }
}

#[test]
fn hosts_that_start_together_for_the_first_time_hold_their_shares_within_seconds() {
    let mut world = World::new(1, 8);
    world.run(ms(4000), NO_FAULTS, 0.0);
    assert!(world.sum_of_shares() > 0.99, "{}", world.sum_of_shares());
}

#[test]
fn a_fleet_that_restarts_holds_its_shares_at_once() {
    let mut world = World::new(1, 8);
    world.run(ms(20_000), NO_FAULTS, 0.0);
    (0..8).for_each(|at| world.kill(at));
    world.hosts.iter_mut().for_each(|h| {
        h.starts_at = world.now + ms(500);
        h.removed = false;
    });
    world.run(ms(800), NO_FAULTS, 0.0);
    assert!(world.sum_of_shares() > 0.99, "{}", world.sum_of_shares());
}

#[test]
fn a_joining_host_waits_until_the_retries_of_the_others_have_left_the_window() {
    let mut world = World::new(1, 4);
    world.run(ms(20_000), NO_FAULTS, 0.0);
    world.join();
    world.run(ms(2000), NO_FAULTS, 0.0);
    let shared = world.sum_of_shares();
    assert!((0.79..0.81).contains(&shared), "four of five: {shared}");
    world.run(CONFIG.span() + READ_PERIOD * 2, NO_FAULTS, 0.0);
    assert!(world.sum_of_shares() > 0.99, "{}", world.sum_of_shares());
}

#[test]
fn a_host_that_is_cut_off_stops_before_the_others_use_its_share() {
    let mut world = World::new(1, 4);
    world.run(ms(20_000), NO_FAULTS, 0.0);
    world.hosts[0].store_cut_until = ms(1_000_000);
    world.hosts[0].peers_cut_until = ms(1_000_000);
    let mut least: f64 = 1.0;
    for _ in 0..1200 {
        world.run(STEP, NO_FAULTS, 0.0);
        assert!(world.sum_of_shares() <= 1.0 + 1e-9);
        least = least.min(world.sum_of_shares());
    }
    assert!(least < 0.8, "the share was released: {least}");
    assert!(
        world.sum_of_shares() > 0.99,
        "the other hosts hold it after the term"
    );
}
