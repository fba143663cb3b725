//! A model of many hosts that send streams to engines with little memory.
//!
//! The hosts play the real decisions, and exchange their loads as real ones do: with the sums of their
//! data centre, and through these with the others.

use std::{ops::Range, rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    admission::{AdmissionConfig, Level, Rank, Verdict},
    chains::Chain,
    choice::{self, Choice, Loads, RequestDemand},
    rank_demand::RankDemand,
    reported_loads::ReportedLoads,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::{
    chain_model::{self, ANSWER_TOKENS, Attempt, ChainModel, DATA_CENTRES, Event, STEP_MS},
    common::{STREAM, ms},
};

/// Interval at which a host reports its loads and receives those of the others: what it uses is up
/// to half a second old.
const REPORT_INTERVAL_MS: u64 = 250;
const REPORT_TTL: Duration = Duration::from_millis(1500);
/// Time after which a refused caller comes back, in ms.
const RETURN_MS: Range<u64> = 6000..6600;
/// Length of the windows in which requests are counted, in ms.
pub(crate) const WINDOW_MS: u64 = 2000;

pub(crate) const RANKS: [u8; 3] = [0, 1, 2];

/// The service of all streams.
const SERVICE: &str = "llm";

fn route_rank(priority: u8) -> Rank {
    Rank {
        priority,
        route_priority: priority,
    }
}

/// Fraction of the load of each rank.
const RANK_SHARES: [f64; 3] = [0.5, 0.3, 0.2];

/// The rule by which a host refuses streams.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Rule {
    /// Without admission: only if the memory of the best chain is filled beyond this.
    MaxFill(f64),
    /// By admission.
    Admission(AdmissionConfig),
}

/// A fault during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No host receives reports.
    NoReports,
    /// One data centre and the others don't reach each other.
    DataCentreCutOff,
    /// All hosts restart at the beginning of the fault, and their streams end.
    Restart,
}

/// What is played.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) hosts: usize,
    pub(crate) chains: usize,
    pub(crate) rule: Rule,
    /// Load as a fraction of saturation, each with the time until which it lasts, in ms.
    pub(crate) load: Vec<(u64, f64)>,
    pub(crate) fault: Option<(Range<u64>, Fault)>,
    pub(crate) seed: u64,
}

/// Counts of a window; streams are counted where their attempt arrived.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Window {
    /// First attempts, by rank.
    pub(crate) requested: [u32; 3],
    /// Attempts whose first event and gaps were on time, by rank.
    pub(crate) on_time: [u32; 3],
    /// Attempts that a host refused.
    pub(crate) rejected: u32,
    pub(crate) dispatched: u32,
    pub(crate) refused_by_engines: u32,
    pub(crate) preemptions: u32,
}

fn window_of(attempt: &Attempt) -> usize {
    (attempt.arrived_ms / WINDOW_MS) as usize
}

struct Play {
    scenario: Scenario,
    chains: Vec<Chain>,
    models: Vec<ChainModel>,
    hosts: Vec<Loads>,
    /// Demand by rank that each host has measured.
    demand: Vec<RankDemand>,
    /// Reports received in each data centre.
    reported: Vec<ReportedLoads>,
    /// Refused attempts with the time at which they return.
    returning: Vec<(u64, Attempt)>,
    windows: Vec<Window>,
    rng: Pcg64,
}

/// Plays a scenario; returns the counts by window.
pub(crate) fn play(scenario: Scenario) -> Vec<Window> {
    let chains = chain_model::separate_chains(scenario.chains);
    let saturation_per_s: f64 = chains.iter().map(chain_model::saturation_per_s).sum();
    let end_ms = scenario.load.last().map_or(0, |(until, _)| *until);
    let mut play = Play {
        models: chains.iter().map(ChainModel::new).collect(),
        hosts: (0..scenario.hosts)
            .map(|_| new_host(scenario.hosts))
            .collect(),
        demand: (0..scenario.hosts).map(|_| RankDemand::default()).collect(),
        reported: (0..DATA_CENTRES)
            .map(|_| ReportedLoads::new(REPORT_TTL))
            .collect(),
        returning: Vec::new(),
        windows: vec![Window::default(); end_ms.div_ceil(WINDOW_MS) as usize],
        rng: Pcg64::seed_from_u64(scenario.seed),
        chains,
        scenario,
    };
    let mut due = 0.0;
    for now_ms in (0..end_ms).step_by(STEP_MS as usize) {
        play.exchange_reports(now_ms);
        play.return_callers(now_ms);
        let load = play.scenario.load.iter().find(|(until, _)| now_ms < *until);
        let per_step = saturation_per_s * load.map_or(0.0, |(_, l)| *l) * STEP_MS as f64 / 1000.0;
        // The time between arrivals has an exponential distribution.
        while due < per_step {
            play.first_attempt(now_ms);
            due -= f64::ln(1.0 - play.rng.random::<f64>());
        }
        due -= per_step;
        play.run_engines(now_ms + STEP_MS);
    }
    play.windows
}

fn new_host(hosts: usize) -> Loads {
    let mut loads = Loads::default();
    loads.hosts = hosts as u32;
    loads
}

impl Play {
    fn fault(&self, now_ms: u64) -> Option<Fault> {
        let (during, fault) = self.scenario.fault.as_ref()?;
        during.contains(&now_ms).then_some(*fault)
    }

    fn exchange_reports(&mut self, now_ms: u64) {
        let (now, fault) = (ms(now_ms), self.fault(now_ms));
        if let Some((during, Fault::Restart)) = &self.scenario.fault
            && during.start == now_ms
        {
            self.restart_hosts();
        }
        if fault == Some(Fault::NoReports) {
            return;
        }
        for (from, to) in (0..DATA_CENTRES).flat_map(|a| (0..DATA_CENTRES).map(move |b| (a, b))) {
            let cut = fault == Some(Fault::DataCentreCutOff) && (from == 0) != (to == 0);
            if from == to || cut || !now_ms.is_multiple_of(5 * STEP_MS) {
                continue;
            }
            let name = format!("z{from}");
            let sum = self.reported[from].sum_of(&name, now);
            self.reported[to].record(&name, &name, sum, now);
        }
        let intervals = (REPORT_INTERVAL_MS / STEP_MS) as usize;
        let turn = (now_ms / STEP_MS) as usize % intervals;
        for host in (turn..self.hosts.len()).step_by(intervals) {
            let data_centre = host % DATA_CENTRES;
            let reported = &mut self.reported[data_centre];
            let name = format!("h{host}");
            let mut own = self.hosts[host].own().clone();
            self.hosts[host].arrivals.add_to(&mut own, now);
            reported.record(&name, &format!("z{data_centre}"), own, now);
            let others = reported.sum_except(&name, now);
            self.hosts[host].apply_update(others, now);
        }
    }

    /// Engines end the requests of hosts that they lose.
    fn restart_hosts(&mut self) {
        self.hosts.fill_with(|| new_host(self.scenario.hosts));
        self.demand.fill_with(RankDemand::default);
        self.reported.fill_with(|| ReportedLoads::new(REPORT_TTL));
        for model in &mut self.models {
            model.running.clear();
            model.waiting.clear();
        }
    }

    fn return_callers(&mut self, now_ms: u64) {
        let due = self.returning.extract_if(.., |(at, _)| *at <= now_ms);
        for (_, refused) in due.collect::<Vec<_>>() {
            let attempt = Attempt {
                host: self.rng.random_range(0..self.hosts.len()),
                arrived_ms: now_ms,
                returning: true,
                ..refused
            };
            self.dispatch(attempt);
        }
    }

    fn first_attempt(&mut self, now_ms: u64) {
        let draw: f64 = self.rng.random();
        let rank = usize::from(draw >= RANK_SHARES[0])
            + usize::from(draw >= RANK_SHARES[0] + RANK_SHARES[1]);
        let attempt = Attempt {
            rank,
            host: self.rng.random_range(0..self.hosts.len()),
            chain: 0,
            answer_tokens: self.rng.random_range(ANSWER_TOKENS),
            arrived_ms: now_ms,
            returning: false,
        };
        self.windows[window_of(&attempt)].requested[rank] += 1;
        self.dispatch(attempt);
    }

    /// Decides like a host on a stream, and sends it if it is admitted.
    fn dispatch(&mut self, mut attempt: Attempt) {
        let now = ms(attempt.arrived_ms);
        let cut = self.fault(attempt.arrived_ms) == Some(Fault::DataCentreCutOff);
        let in_first = attempt.host.is_multiple_of(DATA_CENTRES);
        let reachable = |chain: &Chain| !cut || (&*chain.data_centre == "z0") == in_first;
        let demand = RequestDemand {
            prompt_tokens: attempt.prompt_tokens(),
            ..STREAM
        };
        let ranks = RANKS.map(route_rank);
        self.hosts[attempt.host]
            .arrivals
            .record(&SERVICE.into(), now);
        self.demand[attempt.host].record(ranks[attempt.rank], now);
        let loads = &self.hosts[attempt.host];
        let with_capacity = |chain: &Chain| reachable(chain) && !loads.is_full(chain, now);
        let draw = self.rng.random();
        let chosen = choice::choose(&self.chains, loads, &demand, now, draw, with_capacity)
            .or_else(|| choice::choose(&self.chains, loads, &demand, now, draw, reachable));
        let Choice { index, estimate } = chosen.expect("each data centre has chains");
        let admitted = match self.scenario.rule {
            Rule::MaxFill(fill) => estimate.memory_fill <= fill,
            Rule::Admission(cfg) => {
                let demand = &self.demand[attempt.host];
                let rank = demand.position(ranks[attempt.rank], &ranks);
                let level = Level::of(rank, 0.0, attempt.returning);
                let load = loads.service_load(SERVICE, &self.chains, &estimate, now);
                cfg.decide(level, &load, self.rng.random()) == Verdict::Admit
            }
        };
        let window = &mut self.windows[window_of(&attempt)];
        if !admitted {
            window.rejected += 1;
            return self.refuse(attempt);
        }
        window.dispatched += 1;
        attempt.chain = index;
        let (chain, loads) = (&self.chains[index], &mut self.hosts[attempt.host]);
        loads.record_dispatch(now);
        if !self.models[index].submit(attempt) {
            window.refused_by_engines += 1;
            let first: Rc<str> = chain.first_stage().id.clone();
            loads.record_refusal(&first, now);
            return self.refuse(attempt);
        }
        loads.add_request(chain, attempt.expected_tokens());
        loads.add_prefill(chain, attempt.prompt_tokens());
    }

    fn refuse(&mut self, attempt: Attempt) {
        let at = attempt.arrived_ms + self.rng.random_range(RETURN_MS);
        if !attempt.returning {
            self.returning.push((at, attempt));
        }
    }

    fn run_engines(&mut self, now_ms: u64) {
        let mut events = Vec::new();
        for model in &mut self.models {
            model.step(now_ms, &mut events);
            let window = ((now_ms - STEP_MS) / WINDOW_MS) as usize;
            self.windows[window].preemptions += std::mem::take(&mut model.preemptions);
        }
        for event in events {
            match event {
                Event::First(a) => {
                    let chain = &self.chains[a.chain];
                    self.hosts[a.host].remove_prefill(chain, a.prompt_tokens());
                }
                Event::End { attempt: a, late } => {
                    let chain = &self.chains[a.chain];
                    self.hosts[a.host].remove_request(chain, a.expected_tokens());
                    self.windows[window_of(&a)].on_time[a.rank] += u32::from(!late);
                }
            }
        }
    }
}
