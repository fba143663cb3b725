//! Compares three designs under the same arrivals and faults: useful work, fairness between owners,
//! recovery, and the cost in messages and calls of the table.
//!
//! `cargo bench -p dragonflyrill-limits --bench compare`

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use dragonflyrill_catalogue::entry::{LimitEntry, LimitKey};
use dragonflyrill_limits::{
    Action, AdmissionRequest, Config, Declaration, HostLimiter, Peer, Ticket, TxnId,
    baseline::{Leased, StaticSplit},
};
use dragonflyrill_protocol::{HostRef, rights::Message};
use dragonflyrill_store::{error::PlatformError, table::TxnOutcome};
use rand::Rng;
use support::{
    data_centre,
    fleet::{Conditions, Fleet, Limiter, forward},
    key, limit,
};

const SECOND: Duration = Duration::from_secs(1);
const TOKENS: u32 = 280;

forward!(StaticSplit);

impl Limiter for Leased {
    fn new(cfg: Config) -> Self {
        Leased::new(cfg)
    }
    fn configure(&mut self, now: Duration, d: &Declaration<'_>, a: &mut Vec<Action>) {
        self.limiter().configure(now, d, a)
    }
    fn set_peers(&mut self, now: Duration, peers: &[Peer], a: &mut Vec<Action>) {
        Leased::set_peers(self, now, peers, a)
    }
    fn request_admission(
        &mut self,
        now: Duration,
        request: &AdmissionRequest,
        a: &mut Vec<Action>,
    ) -> Ticket {
        self.limiter().request_admission(now, request, a)
    }
    fn settle(&mut self, now: Duration, t: Ticket, used: u32, a: &mut Vec<Action>) {
        self.limiter().settle(now, t, used, a)
    }
    fn receive(&mut self, now: Duration, f: &HostRef, m: Message, a: &mut Vec<Action>) {
        self.limiter().receive(now, f, m, a)
    }
    fn handle_table_answer(
        &mut self,
        now: Duration,
        id: TxnId,
        result: Result<TxnOutcome, PlatformError>,
        a: &mut Vec<Action>,
    ) {
        self.limiter().handle_table_answer(now, id, result, a)
    }
    fn tick(&mut self, now: Duration, a: &mut Vec<Action>) {
        self.limiter().tick(now, a)
    }
    fn next_tick(&self, now: Duration) -> Duration {
        self.limiter_ref().next_tick(now)
    }
    fn hand_over(&mut self, now: Duration, a: &mut Vec<Action>) {
        self.limiter().hand_over(now, a)
    }
}

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
struct Size {
    name: &'static str,
    data_centres: usize,
    hosts: usize,
    owners: usize,
    /// The limit of each owner, in requests a second.
    rate: f64,
}

/// The pattern in which requests arrive.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Arrivals {
    Steady,
    Skewed,
    Bursty,
    Overload,
}

/// The fault that occurs five seconds after the measurement begins.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    HostDeath,
    PlatformOut,
    Cut,
}

impl Arrivals {
    /// The arrival rate at `t` as a multiple of the limit.
    fn demand(self, t: Duration) -> f64 {
        match self {
            Self::Steady => 0.8,
            Self::Skewed => 1.3,
            Self::Overload => 3.0,
            Self::Bursty if t.as_millis() % 2000 < 500 => 4.0,
            Self::Bursty => 0.5,
        }
    }
}

struct Run<L> {
    fleet: Fleet<L>,
    size: Size,
    arrivals: Arrivals,
}

impl<L: Limiter> Run<L> {
    fn new(size: Size, arrivals: Arrivals) -> Self {
        let limits = limits(size);
        let mut fleet = Fleet::new(7, size.data_centres, &limits, Conditions::default());
        for i in 0..size.hosts {
            fleet.start(i, 1, i % size.data_centres);
            let next = fleet.now + Duration::from_millis(100);
            fleet.run(next);
        }
        let next = fleet.now + 10 * SECOND;
        fleet.run(next);
        Self {
            fleet,
            size,
            arrivals,
        }
    }

    /// Runs the fleet under arrivals for `time`. Returns the tokens that they want in all.
    fn load(&mut self, time: Duration) -> f64 {
        let end = self.fleet.now + time;
        let mut wanted = 0.0;
        while self.fleet.now < end {
            let demand = self.arrivals.demand(self.fleet.now);
            let rate = self.size.rate * self.size.owners as f64 * demand;
            let u: f64 = self.fleet.rng.random_range(f64::EPSILON..1.0);
            let next = self.fleet.now + Duration::from_secs_f64(-u.ln() / rate);
            self.fleet.run(next);
            let owner = self.fleet.rng.random_range(0..self.size.owners);
            let host = self.host(owner);
            let used = self.fleet.rng.random_range(TOKENS / 2..=TOKENS);
            let run_time = Duration::from_millis(self.fleet.rng.random_range(100..900));
            wanted += f64::from(used);
            let key = key(owner, 0);
            self.fleet
                .request_admission(host, &key, TOKENS, used, run_time, SECOND);
        }
        wanted
    }

    /// The live host that receives an owner's next request.
    fn host(&mut self, owner: usize) -> usize {
        let hosts = self.size.hosts;
        let skewed = self.arrivals == Arrivals::Skewed && self.fleet.rng.random_bool(0.7);
        let mut i = match skewed {
            true => owner % hosts,
            false => self.fleet.rng.random_range(0..hosts),
        };
        while !self.fleet.incarnations[i].alive {
            i = (i + 1) % hosts;
        }
        i
    }

    fn net_tokens(&self) -> Vec<f64> {
        let used = |i| {
            self.fleet
                .ledger
                .used
                .get(&key(i, 0))
                .map_or(0.0, |u| u.net_tokens)
        };
        (0..self.size.owners).map(used).collect()
    }
}

/// The limits. Requests use up the tokens first and the number of requests second.
fn limits(size: Size) -> Vec<LimitEntry> {
    let of = |key: LimitKey| {
        let tokens = size.rate * f64::from(TOKENS) * 0.75;
        limit(key, size.rate, tokens, (size.rate * 2.0).max(4.0) as u32)
    };
    (0..size.owners)
        .map(|i| {
            let mut limit = of(key(i, 0));
            limit.burst_seconds = (2.0 * f64::from(TOKENS) / limit.tokens_per_second).max(1.0);
            limit
        })
        .collect()
}

fn measure<L: Limiter>(design: &str, size: Size, arrivals: Arrivals, fault: Fault) {
    let started_at = Instant::now();
    let mut run: Run<L> = Run::new(size, arrivals);
    run.load(5 * SECOND);
    run.fleet.traffic = Default::default();
    let seconds = 20.0;
    let before = run.net_tokens();
    let mut wanted = run.load(5 * SECOND);
    match fault {
        Fault::None => {}
        Fault::HostDeath => run.fleet.kill(1),
        Fault::PlatformOut => run.fleet.table_up = false,
        Fault::Cut => {
            run.fleet.table_unreachable_from.insert(data_centre(0));
            for other in 1..size.data_centres {
                run.fleet
                    .partitions
                    .insert((data_centre(0), data_centre(other)));
            }
        }
    }
    let bound = run.fleet.ledger.limits[&key(0, 0)].tokens_per_second;
    let total_rate = bound * size.owners as f64;
    let mut slow_until = 0.0;
    let step = Duration::from_millis(500);
    for i in 0..30 {
        let at = run.net_tokens().iter().sum::<f64>();
        wanted += run.load(step);
        let share = (run.net_tokens().iter().sum::<f64>() - at) / (total_rate * step.as_secs_f64());
        if share < 0.95 * arrivals.demand(run.fleet.now).min(1.0) {
            slow_until = f64::from(i + 1) * step.as_secs_f64();
        }
    }
    let after = run.net_tokens();
    let shares: Vec<f64> = (0..size.owners)
        .map(|i| (after[i] - before[i]) / (bound * seconds))
        .collect();
    let useful = shares.iter().sum::<f64>() / size.owners as f64;
    let least = shares.iter().copied().fold(f64::MAX, f64::min);
    let possible = (wanted / (total_rate * seconds)).min(1.0);
    let squares: f64 = shares.iter().map(|s| s * s).sum();
    let jain = (useful * size.owners as f64).powi(2) / (size.owners as f64 * squares);
    let traffic = &run.fleet.traffic;
    let per = |n: u64| n as f64 / size.hosts as f64 / seconds;
    let mut waits = traffic.waits.clone();
    waits.sort();
    let p99 = waits
        .get(waits.len() * 99 / 100)
        .copied()
        .unwrap_or_default();
    println!(
        "{:8} {design:8} {:9} {:12} useful/bound {useful:.3} of possible {:.3} least owner \
         {least:.3} Jain {jain:.4} | slow until {slow_until:4.1} s | over {} | suspended {} | wait \
         p99 {:5.1} ms | {:6.1} msg/s {:7.0} B/s a host | table {:.2} reads/s {:.2} writes/s | \
         ran {:.1} s",
        size.name,
        format!("{arrivals:?}"),
        format!("{fault:?}"),
        useful / possible,
        run.fleet.ledger.violations.len(),
        traffic.suspended,
        p99.as_secs_f64() * 1e3,
        per(traffic.messages),
        per(traffic.bytes),
        traffic.reads as f64 / seconds,
        traffic.writes as f64 / seconds,
        started_at.elapsed().as_secs_f64(),
    );
}

fn all_designs(size: Size, arrivals: Arrivals, fault: Fault) {
    measure::<StaticSplit>("static", size, arrivals, fault);
    measure::<Leased>("leased", size, arrivals, fault);
    measure::<HostLimiter>("escrow", size, arrivals, fault);
}

fn main() {
    let today = Size {
        name: "today",
        data_centres: 3,
        hosts: 8,
        owners: 10,
        rate: 40.0,
    };
    let small = Size {
        name: "small",
        data_centres: 5,
        hosts: 30,
        owners: 60,
        rate: 4.0,
    };
    for size in [today, small] {
        for arrivals in [
            Arrivals::Steady,
            Arrivals::Skewed,
            Arrivals::Bursty,
            Arrivals::Overload,
        ] {
            all_designs(size, arrivals, Fault::None);
        }
        for fault in [Fault::HostDeath, Fault::PlatformOut, Fault::Cut] {
            all_designs(size, Arrivals::Overload, fault);
        }
    }
}
