//! The budget of repeats is kept over all hosts, whatever becomes of them and of their calls.
//!
//! Random schedules of a small fleet over the real state machines: processes end and start again at
//! once, soon, or after longer than a claim lasts; they stand still and go on; they are cut off from
//! the store, from each other or from both; rows are written late or without an answer, on condition
//! of their version; hosts join and leave for good. Whoever can repeat a request does. An observer
//! counts all requests and repeats, and no window may hold more repeats than the budget allows.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    budget::{BudgetTerms, Budgets, Recorded},
    share::{Draft, Row, Share, View},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

mod common;
use common::ms;

const TERMS: BudgetTerms = BudgetTerms {
    ratio: 0.2,
    burst: 60.0,
    window: Duration::from_secs(3),
};
/// How often a host writes its row if nothing else makes it.
const BEAT: Duration = Duration::from_secs(8);
/// How often a host reads the rows, or is told of them.
const LOOK: Duration = Duration::from_millis(1200);
const STEP: Duration = Duration::from_millis(100);

/// A host's row in the store.
#[derive(Debug, Clone)]
struct Stored {
    row: Row,
    recorded: Vec<Recorded>,
}

/// The store: rows by host, a version for all, and its own clock.
#[derive(Default)]
struct Store {
    rows: BTreeMap<usize, Stored>,
    version: u64,
    now: Duration,
}

impl Store {
    /// Writes a row if it has the version that the writer knows.
    fn write(&mut self, host: usize, expected: u64, write: &Write) -> Result<u64, u64> {
        let at = self.rows.get(&host).map_or(0, |s| s.row.version);
        // Other rows are written all the time.
        self.version += 1;
        if at != expected {
            return Err(at);
        }
        let row = Row {
            version: self.version,
            claim: write.draft.claim,
        };
        let recorded = write.recorded.clone();
        self.rows.insert(host, Stored { row, recorded });
        Ok(self.version)
    }

    fn view(&self) -> View {
        let rows: Vec<Row> = self.rows.values().map(|s| s.row).collect();
        View::of(&rows, self.version, self.now)
    }
}

#[derive(Clone)]
struct Write {
    draft: Draft,
    recorded: Vec<Recorded>,
}

/// A process of a host.
struct Process {
    share: Share,
    budgets: Budgets,
    /// The version of its row as far as it knows.
    row: Option<u64>,
    read_at: Option<Duration>,
    written_at: Option<Duration>,
    /// Requests that wait for a repeat to be written down.
    waiting: usize,
    /// Its clock is that of the world less this.
    started_at: Duration,
    /// It stands still until then.
    frozen_until: Duration,
}

/// What goes wrong, and how often.
#[derive(Clone, Copy)]
struct Trouble {
    kill: f64,
    /// Kills all at once.
    herd: f64,
    freeze: f64,
    cut: f64,
    lose: f64,
    join: f64,
}

struct World {
    rng: Pcg64,
    now: Duration,
    store: Store,
    hosts: Vec<Host>,
    /// Writes that take effect later: when, whose, with which condition.
    late: Vec<(Duration, usize, u64, Write)>,
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
    service: Rc<str>,
}

struct Host {
    process: Option<Process>,
    starts_at: Duration,
    gone: bool,
    no_store_until: Duration,
    no_peers_until: Duration,
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
            repeats: Vec::new(),
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
            gone: false,
            no_store_until: ms(0),
            no_peers_until: ms(0),
            requests_per_step: self.rng.random_range(0.0..3.0),
        });
    }

    /// Lets the fleet run for so long, with such trouble; `storm` is how often whoever can repeats.
    fn run(&mut self, long: Duration, trouble: Trouble, storm: f64) {
        let until = self.now + long;
        while self.now < until {
            self.now += STEP;
            self.store.now = self.now;
            self.trouble(trouble);
            self.late_writes();
            for at in 0..self.hosts.len() {
                self.step(at, trouble, storm);
            }
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }

    fn trouble(&mut self, t: Trouble) {
        let herd = self.chance(t.herd);
        let join = self.chance(t.join) && self.hosts.len() < 12;
        if join {
            self.join();
        }
        for at in 0..self.hosts.len() {
            if herd || self.chance(t.kill) {
                self.kill(at);
            }
            if self.chance(t.freeze) {
                let long = self.duration();
                let until = self.now + long;
                if let Some(p) = &mut self.hosts[at].process {
                    p.frozen_until = until;
                }
            }
            if self.chance(t.cut) {
                let until = self.now + self.duration();
                let (store, peers) = (self.chance(0.7), self.chance(0.7));
                let host = &mut self.hosts[at];
                if store {
                    host.no_store_until = until;
                }
                if peers {
                    host.no_peers_until = until;
                }
            }
        }
    }

    /// Short or long, now and then about as long as a claim lasts.
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
        let gone = self.hosts.len() > 3 && self.rng.random_bool(0.05);
        let host = &mut self.hosts[at];
        if host.process.take().is_some() {
            host.starts_at = self.now + after;
            host.gone = gone;
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

    fn step(&mut self, at: usize, t: Trouble, storm: f64) {
        self.start(at);
        let now = self.now;
        let Some(mut p) = self.hosts[at].process.take() else {
            return;
        };
        if p.frozen_until <= now {
            let clock = now - p.started_at;
            self.serve(at, &mut p, clock, storm);
            self.read(at, &mut p, clock);
            self.write(at, &mut p, clock, t);
            self.serve(at, &mut p, clock, storm);
        }
        self.hosts[at].process = Some(p);
    }

    fn start(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        if host.process.is_none() && !host.gone && host.starts_at <= self.now {
            host.process = Some(Process {
                share: Share::new(TERMS.span()),
                budgets: Budgets::new(TERMS),
                row: None,
                read_at: None,
                written_at: None,
                waiting: 0,
                started_at: self.now,
                frozen_until: ms(0),
            });
        }
    }

    /// Requests come, and all that may be repeated is.
    fn serve(&mut self, at: usize, p: &mut Process, clock: Duration, storm: f64) {
        let mean = self.hosts[at].requests_per_step / 2.0;
        let n = (mean + self.rng.random::<f64>()) as usize;
        for _ in 0..n {
            p.budgets.of(&self.service).request(clock);
            self.requests.push(self.now);
        }
        let storms = self.chance(storm);
        let waits = self.rng.random_range(0..20);
        let divisor = p.share.divisor(clock);
        let budget = p.budgets.of(&self.service);
        (0..std::mem::take(&mut p.waiting)).for_each(|_| budget.waited());
        if storms {
            while budget.take(clock, divisor) {
                self.repeats.push(self.now);
            }
            if budget.standing(clock, divisor).waits_for_record() {
                p.waiting = waits;
                (0..waits).for_each(|_| budget.wait());
            }
        }
    }

    /// The host reads the rows, or is told of them by another one that has read them.
    fn read(&mut self, at: usize, p: &mut Process, clock: Duration) {
        if p.read_at.is_some_and(|t| t + LOOK > clock) {
            return;
        }
        let host = &self.hosts[at];
        if host.no_store_until <= self.now {
            let view = self.store.view();
            if p.read_at.is_none() {
                let own = self.store.rows.get(&at);
                p.row = Some(own.map_or(0, |s| s.row.version));
                if let Some(own) = own {
                    p.share.take_over(&own.row, &view, clock);
                    p.budgets.inherit(&own.recorded, clock);
                }
            }
            p.share.see(view, clock, clock);
            p.read_at = Some(clock);
        } else if p.read_at.is_some() && host.no_peers_until <= self.now {
            let others = self.hosts.iter().filter(|h| h.no_peers_until <= self.now);
            let other = others.filter_map(|h| h.process.as_ref()).next();
            let told = other.and_then(|o| {
                let age = o.share.view_age(self.now - o.started_at)?;
                Some((*o.share.view()?, age))
            });
            if let Some((view, age)) = told
                && let Some(sent_at) = clock.checked_sub(age)
            {
                p.share.see(view, sent_at, clock);
            }
        }
    }

    fn write(&mut self, at: usize, p: &mut Process, clock: Duration, t: Trouble) {
        let Some(expected) = p.row else {
            return;
        };
        let divisor = p.share.divisor(clock);
        let beat = p.written_at.is_none_or(|t| t + BEAT <= clock);
        if !(beat || p.share.awaited() || p.budgets.record_due(clock, divisor)) {
            return;
        }
        let Some(draft) = p.share.draft(clock) else {
            return;
        };
        let recorded = p.budgets.to_record(clock, divisor);
        let write = Write { draft, recorded };
        if self.hosts[at].no_store_until > self.now {
            return;
        }
        p.budgets.recording(&write.recorded);
        p.written_at = Some(clock);
        if self.chance(t.lose) {
            // No answer: not done, done, or done later.
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
                p.share.wrote(&write.draft, version, clock);
                p.budgets.recorded(&write.recorded);
            }
            Err(version) => p.row = Some(version),
        }
    }

    /// The most by which any window passes the budget; negative if none does.
    fn most_beyond(&self) -> f64 {
        let window = TERMS.window;
        let within = |times: &[Duration], from: Duration, to: Duration| {
            let after = |t: Duration| times.partition_point(|x| *x <= t);
            (after(to) - after(from)) as f64
        };
        let beyond = |end: &Duration| {
            let from = end.saturating_sub(window);
            let repeated = within(&self.repeats, from, *end);
            let asked = |back: Duration| {
                let back = |t: Duration| t.saturating_sub(back);
                within(&self.requests, back(from), back(*end))
            };
            let asked = asked(ms(0)).max(asked(window / 2)).max(asked(window));
            repeated - TERMS.ratio * asked - TERMS.burst
        };
        self.repeats.iter().map(beyond).fold(f64::MIN, f64::max)
    }

    /// What all hosts together may repeat now without any request.
    fn shared(&mut self) -> f64 {
        let now = self.now;
        let processes = self.hosts.iter_mut().filter_map(|h| h.process.as_mut());
        let part = |p: &mut Process| {
            let divisor = p.share.divisor(now - p.started_at);
            divisor.map_or(0.0, |n| 1.0 / f64::from(n))
        };
        processes.map(part).sum()
    }
}

const CALM: Trouble = Trouble {
    kill: 0.0,
    herd: 0.0,
    freeze: 0.0,
    cut: 0.0,
    lose: 0.0,
    join: 0.0,
};

#[test]
fn no_window_passes_the_budget_on_any_schedule() {
    let quick = Trouble {
        kill: 0.004,
        herd: 0.01,
        freeze: 0.001,
        cut: 0.002,
        lose: 0.2,
        join: 0.005,
    };
    for seed in 0..400 {
        let mut world = World::new(seed, 2 + seed as usize % 6);
        let storm = [1.0, 0.3, 0.05][seed as usize % 3];
        world.run(ms(15_000), CALM, 0.0);
        world.run(ms(60_000), quick, storm);
        let slow = Trouble {
            herd: 0.001,
            kill: 0.001,
            ..quick
        };
        world.run(ms(150_000), slow, storm);
        let beyond = world.most_beyond();
        assert!(beyond <= 0.0, "seed {seed}: {beyond} beyond the budget");
    }
}

#[test]
fn shares_sum_to_the_whole_again_when_trouble_is_over() {
    let trouble = Trouble {
        kill: 0.005,
        herd: 0.005,
        freeze: 0.002,
        cut: 0.005,
        lose: 0.3,
        join: 0.01,
    };
    for seed in 0..100 {
        let mut world = World::new(seed, 3);
        world.run(ms(60_000), trouble, 1.0);
        for host in &mut world.hosts {
            host.no_store_until = ms(0);
            host.no_peers_until = ms(0);
            host.starts_at = ms(0);
            host.gone = false;
            host.process.iter_mut().for_each(|p| p.frozen_until = ms(0));
        }
        world.run(ms(120_000), CALM, 1.0);
        let shared = world.shared();
        assert!((0.99..1.01).contains(&shared), "seed {seed}: {shared}");
    }
}

#[test]
fn hosts_that_start_together_for_the_first_time_hold_their_shares_within_seconds() {
    let mut world = World::new(1, 8);
    world.run(ms(4000), CALM, 0.0);
    assert!(world.shared() > 0.99, "{}", world.shared());
}

#[test]
fn a_fleet_that_starts_again_holds_its_shares_at_once() {
    let mut world = World::new(1, 8);
    world.run(ms(20_000), CALM, 0.0);
    (0..8).for_each(|at| world.kill(at));
    world.hosts.iter_mut().for_each(|h| {
        h.starts_at = world.now + ms(500);
        h.gone = false;
    });
    world.run(ms(800), CALM, 0.0);
    assert!(world.shared() > 0.99, "{}", world.shared());
}

#[test]
fn a_host_that_joins_waits_until_what_the_others_took_is_out_of_the_window() {
    let mut world = World::new(1, 4);
    world.run(ms(20_000), CALM, 0.0);
    world.join();
    world.run(ms(2000), CALM, 0.0);
    let shared = world.shared();
    assert!((0.79..0.81).contains(&shared), "four of five: {shared}");
    world.run(TERMS.span() + LOOK * 2, CALM, 0.0);
    assert!(world.shared() > 0.99, "{}", world.shared());
}

#[test]
fn a_host_that_is_cut_off_stops_before_the_others_take_its_share() {
    let mut world = World::new(1, 4);
    world.run(ms(20_000), CALM, 0.0);
    world.hosts[0].no_store_until = ms(1_000_000);
    world.hosts[0].no_peers_until = ms(1_000_000);
    let mut least: f64 = 1.0;
    for _ in 0..1200 {
        world.run(STEP, CALM, 0.0);
        assert!(world.shared() <= 1.0 + 1e-9);
        least = least.min(world.shared());
    }
    assert!(least < 0.8, "the share was given up: {least}");
    assert!(world.shared() > 0.99, "and is the others' after the term");
}
