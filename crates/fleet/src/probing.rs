//! When the stages of a suspected chain are probed, and which of them.
//!
//! A probe costs one call to each stage of a chain from each host, so that it is made only where no
//! other signal tells: not over chains that run, not again at once, at growing intervals while
//! probes find nothing, and within a bound over all hosts.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::chains::Chain;

/// How long the result of a probe is as good as that of a new one: chains of a data centre share
/// stages, and stall together when one of these is lost.
const RESULT_TTL: Duration = Duration::from_millis(100);
/// The maximum number of doublings of that time for a chain that is probed repeatedly: it is slow,
/// and not lost.
const MAX_TTL_DOUBLINGS: u32 = 4;
/// How long after a probe the next one of the same chain counts as unrelated to it.
const BACKOFF_RESET: Duration = Duration::from_secs(4);
/// How long after an event of any stream a chain counts as running: twice the typical pause of one
/// stream on a slow chain.
const RUNNING_WINDOW: Duration = Duration::from_millis(80);
/// The rate of probes of all hosts together, per second, in the long run: a single stream pauses
/// often, and many hosts have one or two streams per chain.
const FLEET_PROBES_PER_S: f64 = 8.0;
/// The maximum burst of probes of one host: after the loss of a stage two to four chains of a data
/// centre stall.
const MAX_BURST_PROBES: f64 = 4.0;
/// The number of chains above which those that no longer run are removed.
const MAX_RUNNING_CHAINS: usize = 64;

/// Why a chain is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// No events come over it: a stage may be lost. Stages of chains that run are not.
    Still,
    /// A first event is late: a stage may be slow, whether the chain runs or not.
    Late,
}

/// What is to be done about a suspected chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Nothing: other streams still run over it, it was probed a moment ago, or the bound of probes
    /// is reached.
    Nothing,
    /// Probe these stages, by their endpoint ids.
    Probe(Vec<Rc<str>>),
}

/// A chain over which events come.
#[derive(Debug)]
struct RunningChain {
    last_event_at: Duration,
    stages: Vec<Rc<str>>,
}

/// The last probe of a chain.
#[derive(Debug, Clone, Copy)]
struct LastProbe {
    at: Duration,
    /// The number of probes in a row before it.
    earlier_probes: u32,
}

impl LastProbe {
    /// Whether its result still holds, so that a new probe would not tell more.
    fn is_valid(&self, now: Duration) -> bool {
        self.at + RESULT_TTL * 2u32.pow(self.earlier_probes.min(MAX_TTL_DOUBLINGS)) > now
    }
}

/// The state of the chains that a host uses, from the events that come over them and from its
/// probes.
#[derive(Debug)]
pub struct ProbeSchedule {
    /// By the key of the chain.
    running: FxHashMap<u64, RunningChain>,
    /// By the key of the chain.
    last_probes: FxHashMap<u64, LastProbe>,
    /// When a stage last answered, by its endpoint id.
    answered_at: FxHashMap<Rc<str>, Duration>,
    /// The probes that may still be made, and when that number was computed.
    available: (f64, Duration),
}

impl Default for ProbeSchedule {
    fn default() -> Self {
        Self {
            running: FxHashMap::default(),
            last_probes: FxHashMap::default(),
            answered_at: FxHashMap::default(),
            available: (MAX_BURST_PROBES, Duration::ZERO),
        }
    }
}

impl ProbeSchedule {
    /// Records an event of a stream on a chain.
    pub fn record_event(&mut self, chain: &Chain, now: Duration) {
        if let Some(running) = self.running.get_mut(&chain.key) {
            running.last_event_at = now;
            return;
        }
        if self.running.len() >= MAX_RUNNING_CHAINS {
            self.running
                .retain(|_, r| r.last_event_at + RUNNING_WINDOW > now);
        }
        let stages = chain.stages.iter().map(|p| p.id.clone()).collect();
        self.running.insert(
            chain.key,
            RunningChain {
                last_event_at: now,
                stages,
            },
        );
    }

    /// Records that a stage has answered.
    pub fn record_answer(&mut self, id: &Rc<str>, now: Duration) {
        self.answered_at.insert(id.clone(), now);
    }

    /// Whether events of any stream still come over a chain.
    pub fn is_running(&self, chain: &Chain, now: Duration) -> bool {
        let running = self.running.get(&chain.key);
        running.is_some_and(|r| r.last_event_at + RUNNING_WINDOW > now)
    }

    /// Decides what is to be done about a suspected chain. `hosts` is the number of hosts that
    /// probe; `None` if it is unknown.
    pub fn decide(
        &mut self,
        chain: &Chain,
        suspicion: Suspicion,
        now: Duration,
        hosts: Option<u32>,
    ) -> Decision {
        if suspicion == Suspicion::Still && self.is_running(chain, now) {
            return Decision::Nothing;
        }
        self.remove_outdated(now);
        let last = self.last_probes.get(&chain.key).copied();
        if last.is_some_and(|last| last.is_valid(now)) || !self.acquire_probe(now, hosts) {
            return Decision::Nothing;
        }
        let earlier_probes = last.map_or(0, |last| last.earlier_probes + 1);
        self.last_probes.insert(
            chain.key,
            LastProbe {
                at: now,
                earlier_probes,
            },
        );
        let ids = chain.stages.iter().map(|p| &p.id);
        Decision::Probe(
            ids.filter(|id| !self.is_known_healthy(id, suspicion))
                .cloned()
                .collect(),
        )
    }

    /// Acquires one of the probes that a host may make.
    ///
    /// While the number of hosts is unknown, only the initial burst is available: all hosts may
    /// have just started, and each would count itself as the only one.
    fn acquire_probe(&mut self, now: Duration, hosts: Option<u32>) -> bool {
        let (available, at) = self.available;
        let per_s = hosts.map_or(0.0, |hosts| FLEET_PROBES_PER_S / f64::from(hosts.max(1)));
        let filled = available + now.saturating_sub(at).as_secs_f64() * per_s;
        let available = filled.min(MAX_BURST_PROBES);
        let acquired = available >= 1.0;
        self.available = (if acquired { available - 1.0 } else { available }, now);
        acquired
    }

    /// Removes outdated records.
    fn remove_outdated(&mut self, now: Duration) {
        self.running
            .retain(|_, r| r.last_event_at + RUNNING_WINDOW > now);
        self.answered_at.retain(|_, at| *at + RESULT_TTL > now);
        self.last_probes.retain(|_, p| p.at + BACKOFF_RESET > now);
    }

    /// Whether a stage is known to be healthy: it has just answered, or a chain with it runs.
    fn is_known_healthy(&self, id: &Rc<str>, suspicion: Suspicion) -> bool {
        let in_running_chain = || self.running.values().any(|r| r.stages.contains(id));
        self.answered_at.contains_key(id) || (suspicion == Suspicion::Still && in_running_chain())
    }
}
