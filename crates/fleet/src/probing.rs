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
const FRESH: Duration = Duration::from_millis(100);
/// The maximum number of doublings of that time for a chain that is probed repeatedly: it is slow,
/// and not lost.
const MOST_DOUBLED: u32 = 4;
/// How long after a probe the next one of the same chain counts as unrelated to it.
const FORGOTTEN: Duration = Duration::from_secs(4);
/// How long after an event of any stream a chain counts as running: twice the typical pause of one
/// stream on a slow chain.
const RUNS: Duration = Duration::from_millis(80);
/// The rate of probes of all hosts together, per second, in the long run: a single stream pauses
/// often, and many hosts have one or two streams per chain.
const ALL_PER_S: f64 = 8.0;
/// The maximum burst of probes of one host: after the loss of a stage two to four chains of a data
/// centre stall.
const AT_ONCE: f64 = 4.0;
/// The number of chains above which those that no longer run are removed.
const MOST_REMEMBERED: usize = 64;

/// Why a chain is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// No events come over it: a stage may be lost. Stages of chains that run are not.
    Still,
    /// A first event is late: a stage may be slow, whether the chain runs or not.
    Late,
}

/// What is to be done about a suspected chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Nothing: other streams still run over it, it was probed a moment ago, or the bound of probes
    /// is reached.
    Nothing,
    /// Probe these stages, by their endpoint ids.
    Ask(Vec<Rc<str>>),
}

/// A chain over which events come.
#[derive(Debug)]
struct Running {
    at: Duration,
    parts: Vec<Rc<str>>,
}

/// The last probe of a chain.
#[derive(Debug, Clone, Copy)]
struct Probed {
    at: Duration,
    /// The number of probes in a row before it.
    before: u32,
}

impl Probed {
    /// Whether its result still holds, so that a new probe would not tell more.
    fn stands(&self, now: Duration) -> bool {
        self.at + FRESH * 2u32.pow(self.before.min(MOST_DOUBLED)) > now
    }
}

/// The state of the chains that a host uses, from the events that come over them and from its
/// probes.
#[derive(Debug)]
pub struct ProbeSchedule {
    /// By the key of the chain.
    running: FxHashMap<u64, Running>,
    /// By the key of the chain.
    probed: FxHashMap<u64, Probed>,
    /// When a stage last answered, by its endpoint id.
    answered: FxHashMap<Rc<str>, Duration>,
    /// The probes that may still be made, and when that number was computed.
    left: (f64, Duration),
}

impl Default for ProbeSchedule {
    fn default() -> Self {
        Self {
            running: FxHashMap::default(),
            probed: FxHashMap::default(),
            answered: FxHashMap::default(),
            left: (AT_ONCE, Duration::ZERO),
        }
    }
}

impl ProbeSchedule {
    /// Records an event of a stream on a chain.
    pub fn event(&mut self, chain: &Chain, now: Duration) {
        if let Some(running) = self.running.get_mut(&chain.key) {
            running.at = now;
            return;
        }
        if self.running.len() >= MOST_REMEMBERED {
            self.running.retain(|_, r| r.at + RUNS > now);
        }
        let parts = chain.parts.iter().map(|p| p.id.clone()).collect();
        self.running.insert(chain.key, Running { at: now, parts });
    }

    /// Records that a stage has answered.
    pub fn answered(&mut self, id: &Rc<str>, now: Duration) {
        self.answered.insert(id.clone(), now);
    }

    /// Whether events of any stream still come over a chain.
    pub fn runs(&self, chain: &Chain, now: Duration) -> bool {
        let running = self.running.get(&chain.key);
        running.is_some_and(|r| r.at + RUNS > now)
    }

    /// Decides what is to be done about a suspected chain. `hosts` is the number of hosts that
    /// probe; `None` if it is unknown.
    pub fn next(&mut self, chain: &Chain, doubt: Doubt, now: Duration, hosts: Option<u32>) -> Next {
        if doubt == Doubt::Still && self.runs(chain, now) {
            return Next::Nothing;
        }
        self.forget(now);
        let last = self.probed.get(&chain.key).copied();
        if last.is_some_and(|last| last.stands(now)) || !self.take(now, hosts) {
            return Next::Nothing;
        }
        let before = last.map_or(0, |last| last.before + 1);
        self.probed.insert(chain.key, Probed { at: now, before });
        let ids = chain.parts.iter().map(|p| &p.id);
        Next::Ask(ids.filter(|id| !self.known(id, doubt)).cloned().collect())
    }

    /// Acquires one of the probes that a host may make.
    ///
    /// While the number of hosts is unknown, only the initial burst is available: all hosts may
    /// have just started, and each would count itself as the only one.
    fn take(&mut self, now: Duration, hosts: Option<u32>) -> bool {
        let (left, at) = self.left;
        let per_s = hosts.map_or(0.0, |hosts| ALL_PER_S / f64::from(hosts.max(1)));
        let filled = left + now.saturating_sub(at).as_secs_f64() * per_s;
        let left = filled.min(AT_ONCE);
        let taken = left >= 1.0;
        self.left = (if taken { left - 1.0 } else { left }, now);
        taken
    }

    /// Removes outdated records.
    fn forget(&mut self, now: Duration) {
        self.running.retain(|_, r| r.at + RUNS > now);
        self.answered.retain(|_, at| *at + FRESH > now);
        self.probed.retain(|_, e| e.at + FORGOTTEN > now);
    }

    /// Whether a stage is known to be healthy: it has just answered, or a chain with it runs.
    fn known(&self, id: &Rc<str>, doubt: Doubt) -> bool {
        let runs = || self.running.values().any(|r| r.parts.contains(id));
        self.answered.contains_key(id) || (doubt == Doubt::Still && runs())
    }
}
