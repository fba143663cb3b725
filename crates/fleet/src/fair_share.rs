//! Fair shares of the engines for workspaces, over all hosts.
//!
//! Each host counts the work that its requests have under way for each workspace and reports the largest by name and the
//! rest as one entry. The fair share is the water level of max-min fairness, and [`WorkspaceUsage::excess`] is how far a
//! workspace is above it. Admission control rejects requests of such workspaces earlier than others.
//!
//! Reports travel in the lists of endpoint loads, so that [`crate::reported_loads`] sums them, and hosts that don't know
//! them pass them on as loads of unknown endpoints. [`WorkspaceReport::add_to`] puts them in and
//! [`WorkspaceReport::take_from`] takes them out.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::choice::{Load, LoadMap};

/// Maximum number of workspaces that a host reports by name.
pub const MAX_NAMED: usize = 8;
/// Maximum number of workspaces by name in a sum of reports. An entry has about 30 bytes, and hosts receive four sums a
/// second: this takes 3 KB/s of the 10 KB/s that control may use.
pub const MAX_NAMED_IN_SUM: usize = 24;
/// Maximum length of the name of a workspace in a report; longer names would make reports unbounded.
pub const MAX_NAME_BYTES: usize = 64;

/// What precedes the name of a workspace in the id of its entry.
const NAME_PREFIX: &str = "workspace/";
/// The id of the entry for all workspaces that are not named. It lacks [`NAME_PREFIX`], so no name of a workspace leads
/// to it.
const REST_ID: &str = "workspaces-not-named";

/// Age up to which reports of other hosts are used, as of their loads of endpoints.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);
/// How many times its work under way a workspace is assumed to want: demand rises up to fourfold in the surges that
/// shares are for. What a workspace would not even use then is lent to the others.
const MAX_DEMAND_FACTOR: f64 = 4.0;
/// Ratio of a workspace's work to its fair share at which its excess is 1.
const FULL_EXCESS_RATIO: f64 = 3.0;
/// Relative difference up to which work and share count as equal: reports carry `f32`, with rounding errors of 6e-8,
/// and are summed several times.
const ROUNDING: f64 = 1e-6;
/// Tokens above which a request counts no more; bounds what an absurd length in a request's headers can do to sums.
const MAX_TOKENS: f64 = 1e9;

/// Work of the workspaces that a report does not name.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rest {
    /// Sum of the work, in tokens.
    pub tokens: f64,
    /// Number of workspaces with work other than the [`MAX_NAMED`] largest; at least 1. In a sum it is an estimate,
    /// because several hosts count the same workspaces.
    pub workspaces: f64,
}

/// The work that requests of workspaces have under way, on one host or on several.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkspaceReport {
    /// Workspaces by name with their work in tokens, the largest first.
    pub named: Vec<(Rc<str>, f64)>,
    /// The other workspaces; `None` if there are none.
    pub rest: Option<Rest>,
}

impl WorkspaceReport {
    /// Removes the entries of workspaces from a list of loads and returns what they report. Malformed entries are
    /// removed as well and otherwise ignored.
    pub fn take_from(loads: &mut LoadMap) -> Self {
        let mut report = Self::default();
        loads.retain(|id, load| {
            if let Some(name) = id.strip_prefix(NAME_PREFIX) {
                if is_reportable(name) && is_amount(load.token_layers) {
                    report.named.push((name.into(), load.token_layers));
                }
                return false;
            }
            if **id != *REST_ID {
                return true;
            }
            if is_amount(load.token_layers) && is_amount(load.requests) {
                report.rest = Some(Rest {
                    tokens: load.token_layers,
                    workspaces: (load.token_layers / load.requests).max(1.0),
                });
            }
            false
        });
        sort_largest_first(&mut report.named);
        report
    }

    /// Adds the report to a list of loads, which may be a sum that contains other reports.
    ///
    /// [`crate::reported_loads`] drops entries with less than half a request. A named entry therefore counts as one
    /// request for each report. The requests of the entry for the rest are the tokens of an average workspace in it,
    /// whose sum over hosts gives the number of workspaces: a sum of their numbers would count a workspace once for each
    /// host.
    pub fn add_to(&self, loads: &mut LoadMap) {
        for (name, tokens) in &self.named {
            let entry = loads.entry(format!("{NAME_PREFIX}{name}").into());
            let load = entry.or_default();
            *load = load.plus(Load {
                requests: 1.0,
                token_layers: *tokens,
            });
        }
        if let Some(rest) = self.rest {
            let load = loads.entry(REST_ID.into()).or_default();
            *load = load.plus(Load {
                requests: (rest.tokens / rest.workspaces).max(1.0),
                token_layers: rest.tokens,
            });
        }
    }

    /// Moves all but the largest [`MAX_NAMED_IN_SUM`] workspaces to the rest.
    fn limit_named(&mut self) {
        if self.named.len() <= MAX_NAMED_IN_SUM {
            return;
        }
        let workspaces = workspace_count(self.named.len(), self.rest) - MAX_NAMED as f64;
        let moved = self.named.split_off(MAX_NAMED_IN_SUM);
        let moved: f64 = moved.iter().map(|(_, tokens)| tokens).sum();
        self.rest = Some(Rest {
            tokens: moved + self.rest.map_or(0.0, |r| r.tokens),
            workspaces,
        });
    }
}

/// Bounds the number of workspaces that a sum of reports contains by name.
pub fn limit_named(loads: &mut LoadMap) {
    let named = loads.keys().filter(|id| id.starts_with(NAME_PREFIX));
    if named.count() > MAX_NAMED_IN_SUM {
        let mut report = WorkspaceReport::take_from(loads);
        report.limit_named();
        report.add_to(loads);
    }
}

/// Whether a workspace of this name can be reported by name.
fn is_reportable(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

fn is_amount(n: f64) -> bool {
    n.is_finite() && n > 0.0
}

fn sort_largest_first(named: &mut [(Rc<str>, f64)]) {
    named.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
}

/// Estimated number of workspaces with work, of which `named` are known by name.
fn workspace_count(named: usize, rest: Option<Rest>) -> f64 {
    let counted = rest.map_or(0.0, |r| MAX_NAMED as f64 + r.workspaces);
    counted.max(named as f64)
}

/// Work under way of one workspace on this host.
#[derive(Debug, Default)]
struct OwnWork {
    runs: u32,
    /// A whole number: sums of fractions would drift.
    tokens: u64,
}

/// Work under way of each workspace, of this host and as reported by the others.
#[derive(Debug, Default)]
pub struct WorkspaceUsage {
    enabled: bool,
    own: FxHashMap<Rc<str>, OwnWork>,
    others: FxHashMap<Rc<str>, f64>,
    others_rest: Option<Rest>,
    others_updated_at: Option<Duration>,
}

impl WorkspaceUsage {
    /// Sets whether work is reported and shares are computed. Initially they are not: no report is made and every
    /// excess is 0.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.enabled = enabled;
    }

    /// Counts work that begins for a workspace: the tokens of the prompt and of the expected answer.
    pub fn begin(&mut self, workspace: &Rc<str>, tokens: f64) {
        let work = self.own.entry(workspace.clone()).or_default();
        work.runs += 1;
        work.tokens += whole_tokens(tokens);
    }

    /// Ends work that [`Self::begin`] has counted with the same number of tokens.
    pub fn end(&mut self, workspace: &str, tokens: f64) {
        let Some(work) = self.own.get_mut(workspace) else {
            return;
        };
        work.runs -= 1;
        work.tokens = work.tokens.saturating_sub(whole_tokens(tokens));
        if work.runs == 0 {
            self.own.remove(workspace);
        }
    }

    /// The work of this host: at most [`MAX_NAMED`] workspaces by name and the rest. Empty if shares are not enabled.
    pub fn own_report(&self) -> WorkspaceReport {
        if !self.enabled {
            return WorkspaceReport::default();
        }
        let own = self.own.iter().map(|(name, w)| (name, w.tokens as f64));
        let mut all: Vec<(Rc<str>, f64)> = own.map(|(name, n)| (name.clone(), n)).collect();
        sort_largest_first(&mut all);
        let mut report = WorkspaceReport::default();
        let mut rest = Rest {
            tokens: 0.0,
            workspaces: 0.0,
        };
        for (name, tokens) in all {
            if report.named.len() < MAX_NAMED && is_reportable(&name) {
                report.named.push((name, tokens));
            } else {
                rest.tokens += tokens;
                rest.workspaces += 1.0;
            }
        }
        report.rest = Some(rest).filter(|r| r.workspaces > 0.0);
        report
    }

    /// Replaces what the other hosts have reported by a sum that was received at `now`.
    pub fn apply_others(&mut self, others: WorkspaceReport, now: Duration) {
        self.others = others.named.into_iter().collect();
        self.others_rest = others.rest;
        self.others_updated_at = Some(now);
    }

    /// How far a workspace is above its fair share: 0.0 up to the share, 1.0 from three times the share on; 0.0 if it has
    /// no work under way, as far as known by name. Without a recent report of other hosts, only the work of this host is
    /// known.
    pub fn excess(&self, workspace: &str, now: Duration) -> f64 {
        let tokens = self.own_tokens(workspace) + self.reported_tokens(workspace, now);
        if !self.enabled || tokens == 0.0 {
            return 0.0;
        }
        let share = water_level(self.work(now), self.reported_rest(now));
        excess_over(share, tokens)
    }

    /// Number of workspaces above their fair share, of those known by name.
    pub fn over_share_count(&self, now: Duration) -> usize {
        if !self.enabled {
            return 0;
        }
        let work = self.work(now);
        let share = water_level(work.clone(), self.reported_rest(now));
        let over = work.iter().filter(|n| excess_over(share, **n) > 0.0);
        over.count()
    }

    /// The work of each workspace that is known by name, in tokens.
    fn work(&self, now: Duration) -> Vec<f64> {
        let recent = self.has_recent_report(now);
        let reported = self.others.iter().filter(|_| recent);
        let mut work: Vec<f64> = reported
            .map(|(name, tokens)| tokens + self.own_tokens(name))
            .collect();
        let own = self.own.iter();
        let own = own.filter(|(name, _)| !recent || !self.others.contains_key(*name));
        work.extend(own.map(|(_, w)| w.tokens as f64));
        work
    }

    fn own_tokens(&self, workspace: &str) -> f64 {
        self.own.get(workspace).map_or(0.0, |w| w.tokens as f64)
    }

    fn reported_tokens(&self, workspace: &str, now: Duration) -> f64 {
        let reported = self.others.get(workspace);
        let reported = reported.filter(|_| self.has_recent_report(now));
        reported.copied().unwrap_or(0.0)
    }

    fn reported_rest(&self, now: Duration) -> Option<Rest> {
        self.others_rest.filter(|_| self.has_recent_report(now))
    }

    fn has_recent_report(&self, now: Duration) -> bool {
        let at = self.others_updated_at;
        at.is_some_and(|at| at + MAX_REPORT_AGE > now)
    }
}

/// The tokens of a request as a whole number, the same at its begin and at its end; at least 1, so that an entry with
/// work is never empty.
fn whole_tokens(tokens: f64) -> u64 {
    tokens.round().clamp(1.0, MAX_TOKENS).max(1.0) as u64
}

fn excess_over(share: f64, tokens: f64) -> f64 {
    let ratio = tokens / share;
    match ratio > 1.0 + ROUNDING {
        true => ((ratio - 1.0) / (FULL_EXCESS_RATIO - 1.0)).min(1.0),
        false => 0.0,
    }
}

/// The water level of max-min fairness: the share of each workspace that wants more than its share, if the work under
/// way is the capacity and each workspace wants [`MAX_DEMAND_FACTOR`] times what it has. It is at least the mean, and at
/// most the largest work.
///
/// The work of the rest is spread evenly over the workspaces other than the [`MAX_NAMED`] largest: a host names its
/// largest ones, so the fragments in the rest belong to smaller ones, some of which other hosts name.
fn water_level(mut work: Vec<f64>, rest: Option<Rest>) -> f64 {
    work.sort_by(|a, b| b.total_cmp(a));
    let named = work.len() as f64;
    let count = workspace_count(work.len(), rest);
    let rest_tokens = rest.map_or(0.0, |r| r.tokens);
    let small = count - named.min(MAX_NAMED as f64);
    let fragment = rest_tokens / small.max(1.0);
    let small_named = work.iter_mut().skip(MAX_NAMED);
    small_named.for_each(|tokens| *tokens += fragment);
    let mut groups: Vec<(f64, f64)> = work.into_iter().map(|tokens| (tokens, 1.0)).collect();
    if count > named {
        groups.push((fragment, count - named));
    }
    groups.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut capacity: f64 = groups.iter().map(|(tokens, n)| tokens * n).sum();
    let mut unsatisfied = count;
    for (tokens, n) in groups {
        let wanted = MAX_DEMAND_FACTOR * tokens;
        if wanted * unsatisfied >= capacity {
            break;
        }
        capacity -= wanted * n;
        unsatisfied -= n;
    }
    capacity / unsatisfied
}
