//! When the parts of a chain are asked how they are, and which of them.
//!
//! Asking costs a call to each part of a chain from each host, so that it is done only where nothing
//! else tells: not over chains that run, not again at once, more seldom the more often it found
//! nothing, and within a bound over all hosts.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::chains::Chain;

/// How long the news of a probe are as good as those of another one: chains of a data centre
/// share parts, and stand still together when one of these is lost.
const FRESH: Duration = Duration::from_millis(100);
/// How often that doubles for a chain that is probed again and again: it is slow, and not lost.
const MOST_DOUBLED: u32 = 4;
/// How long after a probe the next one of the same chain has nothing to do with it.
const FORGOTTEN: Duration = Duration::from_secs(4);
/// How long after an event of any stream a chain counts as running: twice the usual pause of one
/// stream on a slow chain.
const RUNS: Duration = Duration::from_millis(80);
/// Probes that all hosts together make in a second in the long run: a stream by itself
/// pauses often, and many hosts have one or two streams a chain.
const ALL_PER_S: f64 = 8.0;
/// Probes that a host may make at once: after the loss of a part two to four chains of a data
/// centre stand still.
const AT_ONCE: f64 = 4.0;
/// Chains that are remembered as running before those that don't are forgotten.
const MOST_REMEMBERED: usize = 64;

/// Why a chain is in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// Nothing comes over it: a part may be lost. Parts of chains that run are not.
    Still,
    /// A first event comes late: a part may be slow, whether the chain runs or not.
    Late,
}

/// What is done about a chain in doubt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Nothing: other streams go on over it, it was probed a moment ago, or there have been too many
    /// probes.
    Nothing,
    /// These parts of it are asked, by their ids.
    Ask(Vec<Rc<str>>),
}

/// A chain over which events come.
#[derive(Debug)]
struct Running {
    /// When the last one came.
    at: Duration,
    parts: Vec<Rc<str>>,
}

/// A chain that was probed.
#[derive(Debug, Clone, Copy)]
struct Probed {
    at: Duration,
    /// Probes before it, one soon after the other.
    before: u32,
}

impl Probed {
    /// Whether another one would bring no other news.
    fn stands(&self, now: Duration) -> bool {
        self.at + FRESH * 2u32.pow(self.before.min(MOST_DOUBLED)) > now
    }
}

/// What a host knows of the chains that it uses by what comes over them, and of its probes.
#[derive(Debug)]
pub struct ProbeSchedule {
    /// By the chain's key.
    running: FxHashMap<u64, Running>,
    /// By the chain's key.
    probed: FxHashMap<u64, Probed>,
    /// When a part last answered, by its id.
    answered: FxHashMap<Rc<str>, Duration>,
    /// Probes that may still be made, and when that was so.
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
    /// An event has come over a chain.
    pub fn event(&mut self, chain: &Chain, now: Duration) {
        if let Some(running) = self.running.get_mut(&chain.key) {
            running.at = now;
            return;
        }
        if self.running.len() >= MOST_REMEMBERED {
            self.running.retain(|_, r| r.at + RUNS > now);
        }
        let parts = chain.stages.iter().map(|p| p.id.clone()).collect();
        self.running.insert(chain.key, Running { at: now, parts });
    }

    /// A part has answered.
    pub fn answered(&mut self, id: &Rc<str>, now: Duration) {
        self.answered.insert(id.clone(), now);
    }

    /// Whether events still come over a chain, of whichever stream.
    pub fn runs(&self, chain: &Chain, now: Duration) -> bool {
        let running = self.running.get(&chain.key);
        running.is_some_and(|r| r.at + RUNS > now)
    }

    /// What is done about a chain in doubt, where so many hosts do the same; `None` if that is not
    /// known.
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
        let ids = chain.stages.iter().map(|p| &p.id);
        Next::Ask(ids.filter(|id| !self.known(id, doubt)).cloned().collect())
    }

    /// Takes one of the probes that a host may make.
    ///
    /// While it is not known how many hosts do the same, none is made beyond those at once: all hosts
    /// may have just started, and each would take itself for the only one.
    fn take(&mut self, now: Duration, hosts: Option<u32>) -> bool {
        let (left, at) = self.left;
        let per_s = hosts.map_or(0.0, |hosts| ALL_PER_S / f64::from(hosts.max(1)));
        let filled = left + now.saturating_sub(at).as_secs_f64() * per_s;
        let left = filled.min(AT_ONCE);
        let taken = left >= 1.0;
        self.left = (if taken { left - 1.0 } else { left }, now);
        taken
    }

    /// Forgets what is no longer news.
    fn forget(&mut self, now: Duration) {
        self.running.retain(|_, r| r.at + RUNS > now);
        self.answered.retain(|_, at| *at + FRESH > now);
        self.probed.retain(|_, e| e.at + FORGOTTEN > now);
    }

    /// Whether a part is known to be well: it has just answered, or a chain with it runs.
    fn known(&self, id: &Rc<str>, doubt: Doubt) -> bool {
        let runs = || self.running.values().any(|r| r.parts.contains(id));
        self.answered.contains_key(id) || (doubt == Doubt::Still && runs())
    }
}
