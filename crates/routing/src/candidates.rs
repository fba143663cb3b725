//! Gathers the few endpoints of a group among which a choice is made, with the estimated cost of
//! each.

use std::{ops::Range, time::Duration};

use dragonflyrill_engines::wire;
use rand::Rng;

use crate::{
    Tuning,
    affinity::{self, Member},
    index::{Group, GroupId},
    links::{Links, Site},
    table::EndpointTable,
};

/// Maximum number of members scanned, apart from random draws, before the members of a group in one
/// data centre are considered to contain no further candidate.
const MAX_SCANNED_MEMBERS: usize = 64;
/// Cost of a probe in microseconds, so low that the probe is chosen.
const PROBE_COST_US: f64 = 1e-3;

/// The amount of work in a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestSize<'a> {
    /// Positions in the prompt.
    pub(crate) prompt: f64,
    /// Tokens to generate.
    pub(crate) decode: f64,
    /// Hashes of the prompt's prefix blocks.
    pub(crate) prefix: &'a [u64],
}

impl RequestSize<'_> {
    /// The size of one call of a service.
    pub(crate) const CALL: Self = Self {
        prompt: 1.0,
        decode: 0.0,
        prefix: &[],
    };
}

/// The circumstances of a choice.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChoiceContext<'a> {
    pub(crate) now: Duration,
    /// The data centre of this host.
    pub(crate) home: Site,
    pub(crate) size: RequestSize<'a>,
    /// Slots of endpoints that must not be chosen.
    pub(crate) avoid: &'a [u32],
}

/// An endpoint that may be chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) slot: u32,
    pub(crate) group: GroupId,
    pub(crate) site: Site,
    pub(crate) layers: wire::Layers,
    /// Expected cost in microseconds that is independent of the number of layers.
    pub(crate) fixed_us: f64,
    /// Expected cost in microseconds per layer; for a service, of the call.
    pub(crate) layer_us: f64,
    /// Whether a call would be the probe of an ejected endpoint.
    pub(crate) probe: bool,
}

/// Whether an endpoint may be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Eligibility {
    Good,
    /// The endpoint may be used only if there is no good one.
    Suspect,
    /// The endpoint is at its concurrency limit.
    AtLimit,
    Excluded,
}

/// What gathering found in a group besides candidates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct GatherResult {
    /// Whether an endpoint was skipped because it is at its limit.
    pub(crate) at_limit: bool,
}

/// Gathers candidates into `out`.
pub(crate) struct Gatherer<'a, R> {
    pub(crate) table: &'a EndpointTable,
    pub(crate) links: &'a Links,
    pub(crate) tuning: &'a Tuning,
    pub(crate) rng: &'a mut R,
    pub(crate) context: ChoiceContext<'a>,
    pub(crate) out: &'a mut Vec<Candidate>,
}

impl<R: Rng> Gatherer<'_, R> {
    /// Adds candidates of the group `id` to `out`.
    pub(crate) fn gather(&mut self, id: GroupId) -> GatherResult {
        let table = self.table;
        let group = table.index.get(id);
        let mut result = GatherResult::default();
        let Some(near) = self.nearest(group, None) else {
            return result;
        };
        let first_near = self.out.len();
        let (samples, remote) = (self.tuning.samples, self.tuning.remote_samples);
        let good = self.add_site(id, group, near, samples, &mut result);
        self.add_probe(id, group, near);
        let is_home = near == self.context.home;
        if group.sites.len() == 1 || (is_home && good && !self.may_spill(group)) {
            return result;
        }
        // A full data centre spills over, but only up to its allowed share: otherwise its load
        // would fill the other data centres.
        if is_home && result.at_limit && !self.may_spill(group) {
            return result;
        }
        let spill_from = self.out.len();
        if let Some(next) = self.nearest(group, Some(near)) {
            self.add_site(id, group, next, remote, &mut result);
        }
        if group.sites.len() > 2 {
            let any = self.rng.random_range(0..group.sites.len());
            let site = group.sites.keys().nth(any).copied();
            if let Some(site) = site.filter(|s| *s != near) {
                self.add_site(id, group, site, remote, &mut result);
            }
        }
        if is_home && (good || result.at_limit) {
            self.drop_costly_crossings(spill_from);
        }
        if is_home && first_near < spill_from {
            let factor = match group.spilling {
                true => self.tuning.spill_stop_ratio,
                false => self.tuning.spill_start_ratio,
            };
            for candidate in &mut self.out[spill_from..] {
                candidate.layer_us *= factor;
            }
        }
        result
    }

    /// Drops the candidates from index `from` on for which the crossing costs far more than the
    /// work. For their callers it is better to retry when a nearer endpoint has free capacity.
    fn drop_costly_crossings(&mut self, from: usize) {
        let mut kept = from;
        for i in from..self.out.len() {
            let candidate = self.out[i];
            let layers = candidate.layers.end - candidate.layers.first;
            let work = candidate.layer_us * f64::from(layers.max(1));
            if self.crossing_us(candidate.site) <= self.tuning.max_crossing_ratio * work {
                self.out[kept] = candidate;
                kept += 1;
            }
        }
        self.out.truncate(kept);
    }

    /// Returns the cost in microseconds of the transfers from this host to `site` and back for the
    /// whole request.
    fn crossing_us(&self, site: Site) -> f64 {
        let (link, size) = (
            self.links.between(self.context.home, site),
            self.context.size,
        );
        let bytes = (size.prompt + size.decode) * self.tuning.activation_bytes;
        2.0 * ((1.0 + size.decode) * link.latency_us + bytes * link.us_per_byte)
    }

    /// Returns the nearest data centre with members, other than `except`.
    fn nearest(&self, group: &Group, except: Option<Site>) -> Option<Site> {
        let home = self.context.home;
        if except.is_none() && group.sites.contains_key(&home) {
            return Some(home);
        }
        let others = group.sites.keys().copied().filter(|s| Some(*s) != except);
        others.min_by(|a, b| {
            let latency = |s: Site| self.links.between(home, s).latency_us;
            latency(*a).total_cmp(&latency(*b))
        })
    }

    fn may_spill(&self, group: &Group) -> bool {
        let away = group.own_load_outside(self.context.home);
        f64::from(away) < 1.0 + self.tuning.max_remote_share * f64::from(group.own_load())
    }

    /// Adds candidates of one data centre; returns whether a good one was among them.
    fn add_site(
        &mut self,
        id: GroupId,
        group: &Group,
        site: Site,
        count: usize,
        result: &mut GatherResult,
    ) -> bool {
        let ring = &group.sites[&site];
        if !self.tuning.mechanisms.power_of_two {
            return self.best_of_all(id, group, ring, result);
        }
        let from = self.out.len();
        let preferred = self.preferred(group, ring);
        if let Some(slot) = preferred {
            self.add(id, group, slot, true);
        }
        let more = from + count + usize::from(preferred.is_some());
        self.sample(id, group, ring, from..more, result)
    }

    /// Returns the member preferred for the prompt's prefix whose load is within the bound.
    fn preferred(&self, group: &Group, ring: &[Member]) -> Option<u32> {
        if !self.tuning.mechanisms.affinity {
            return None;
        }
        let key = affinity::key(self.context.size.prefix)?;
        let mean = f64::from(group.own_load()) / group.len as f64;
        let bound = (self.tuning.load_bound * (mean + 1.0)).ceil();
        affinity::preferred(ring, key, |at| {
            let slot = self.table.slot(at);
            let own = slot.stats.own_load(slot.endpoint.in_flight);
            own + 1.0 <= bound && self.eligibility(group, at) == Eligibility::Good
        })
    }

    /// Adds random members until the indices `range` of `out` are filled. A suspect member is added
    /// only if no good one was found. Returns whether there is a good one.
    fn sample(
        &mut self,
        id: GroupId,
        group: &Group,
        ring: &[Member],
        range: Range<usize>,
        result: &mut GatherResult,
    ) -> bool {
        // Independent random draws come first, then a scan in ring order, so that no member is
        // missed.
        let draws = match ring.len() > 2 * range.len() {
            true => 2 * range.len(),
            false => 0,
        };
        let mut suspect = None;
        let start = self.rng.random_range(0..ring.len());
        for i in 0..draws + ring.len().min(MAX_SCANNED_MEMBERS) {
            let at = match i < draws {
                true => self.rng.random_range(0..ring.len()),
                false => (start + i) % ring.len(),
            };
            let slot = ring[at].slot;
            if self.out[range.start..].iter().any(|c| c.slot == slot) {
                continue;
            }
            match self.eligibility(group, slot) {
                Eligibility::Good => self.add(id, group, slot, false),
                Eligibility::Suspect => suspect = Some(slot),
                Eligibility::AtLimit => result.at_limit = true,
                Eligibility::Excluded => {}
            }
            if self.out.len() >= range.end {
                return true;
            }
        }
        let good = self.out.len() > range.start;
        if let Some(slot) = suspect.filter(|_| !good) {
            self.add(id, group, slot, false);
        }
        good
    }

    /// Adds the member with the lowest estimated cost of all. Returns whether there is a good one.
    fn best_of_all(
        &mut self,
        id: GroupId,
        group: &Group,
        ring: &[Member],
        result: &mut GatherResult,
    ) -> bool {
        let from = self.out.len();
        let preferred = self.preferred(group, ring);
        let mut good = false;
        for member in ring {
            let eligibility = self.eligibility(group, member.slot);
            result.at_limit |= eligibility == Eligibility::AtLimit;
            good |= eligibility == Eligibility::Good;
            if eligibility == Eligibility::Good || eligibility == Eligibility::Suspect {
                self.add(id, group, member.slot, preferred == Some(member.slot));
            }
        }
        let costs = self.out[from..].iter().map(|c| c.fixed_us + c.layer_us);
        let best = costs.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
        if let Some((i, _)) = best {
            self.out.swap(from, from + i);
            self.out.truncate(from + 1);
        }
        good
    }

    /// Adds an ejected member whose probe is due.
    fn add_probe(&mut self, id: GroupId, group: &Group, near: Site) {
        let due = group.ejected.iter().copied().find(|at| {
            let slot = self.table.slot(*at);
            let due = slot
                .stats
                .breaker
                .is_probe_due(self.context.now, self.tuning);
            due && slot.site == near && !self.context.avoid.contains(at)
        });
        let Some(at) = due else { return };
        self.out.push(Candidate {
            slot: at,
            group: id,
            site: near,
            layers: group.layers,
            fixed_us: 0.0,
            layer_us: PROBE_COST_US,
            probe: true,
        });
    }

    fn eligibility(&self, group: &Group, at: u32) -> Eligibility {
        let (now, tuning) = (self.context.now, self.tuning);
        if self.context.avoid.contains(&at) {
            return Eligibility::Excluded;
        }
        let slot = self.table.slot(at);
        let stats = &slot.stats;
        let ejected = stats.breaker.is_ejected();
        if ejected && group.ejected.len() <= group.max_ejected(tuning.max_ejected_share) {
            return Eligibility::Excluded;
        }
        if tuning.mechanisms.concurrency {
            let limit = stats.limiter.limit() * stats.ramp_share(now, tuning);
            let own = stats.own_load(slot.endpoint.in_flight);
            if own >= limit.max(1.0) || stats.out_of_sessions(now, tuning) {
                return Eligibility::AtLimit;
            }
        }
        let health = tuning.mechanisms.health;
        let suspected = stats.breaker.is_suspect(now, tuning) || stats.is_silent(now, tuning);
        match ejected || (health && suspected) {
            true => Eligibility::Suspect,
            false => Eligibility::Good,
        }
    }

    fn add(&mut self, id: GroupId, group: &Group, at: u32, preferred: bool) {
        let slot = self.table.slot(at);
        let candidate = Candidate {
            slot: at,
            group: id,
            site: slot.site,
            layers: group.layers,
            fixed_us: self.failure_us(slot),
            layer_us: self.work_us(group, slot, preferred),
            probe: false,
        };
        self.out.push(candidate);
    }
}
