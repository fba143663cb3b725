//! Every layer once for each position, by the ledgers of the engines.
//!
//! A chain that changes gets a new attempt number, and the new chain may run again what the old
//! one did (a rebuild). So over all attempts every layer must have run each position of an answered
//! request, and within one attempt none may have run it twice.

use std::collections::{BTreeMap, BTreeSet};

use super::{Evidence, Violations};
use crate::{
    ledger::EngineEntry,
    record::RequestOutcome,
    trace::{Work, checked::Generation},
};

/// The steps of each request.
type Steps<'a> = BTreeMap<&'a str, Vec<&'a EngineEntry>>;

/// A contiguous range of layers in which no step begins or ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Band {
    first: u32,
    end: u32,
}

/// Positions that one attempt ran in a band.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Span {
    attempt: u32,
    start: u64,
    end: u64,
}

/// The violations: one line for each request that misses or doubles a layer.
pub fn violations(evidence: Evidence<'_>) -> Violations {
    let steps = steps(evidence);
    let layers = evidence.trace.header.layers;
    let mut violations = Violations::default();
    let mut seen = BTreeSet::new();
    for record in &evidence.run_result.records {
        let arrival = &evidence.trace.arrivals[record.arrival];
        let Work::Generation(generation) = &arrival.work else {
            continue;
        };
        let id = evidence.run_result.ledger_id(arrival);
        let steps = steps.get(id.as_str()).map_or(&[][..], Vec::as_slice);
        let answered = matches!(record.outcome, RequestOutcome::Answered(_));
        let missed = answered.then(|| missed(steps, layers, positions(generation)));
        let doubled = seen.insert(id).then(|| doubled(steps, layers));
        violations.looked_at += 1;
        let faults = [missed.flatten(), doubled.flatten()];
        let lines = faults.into_iter().flatten();
        violations
            .lines
            .extend(lines.map(|fault| format!("{}: {fault}", arrival.id)));
    }
    violations
}

/// Layer positions that were run again by a later attempt, over all requests of the run.
pub fn rebuilt(evidence: Evidence<'_>) -> u64 {
    let steps = steps(evidence);
    let arrivals = evidence.trace.arrivals.iter();
    let ids: BTreeSet<String> = arrivals.map(|a| evidence.run_result.ledger_id(a)).collect();
    let of_run = ids.iter().filter_map(|id| steps.get(id.as_str()));
    of_run
        .map(|steps| rebuilt_of(steps, evidence.trace.header.layers))
        .sum()
}

fn steps(evidence: Evidence<'_>) -> Steps<'_> {
    let mut steps = Steps::new();
    let ledgers = evidence.ledgers.engines.iter();
    for entry in ledgers.flat_map(|ledger| &ledger.entries) {
        steps.entry(&entry.request).or_default().push(entry);
    }
    steps
}

/// The positions that must be run: the last token is released, not fed.
fn positions(generation: &Generation) -> u64 {
    u64::from(generation.prompt_tokens) + u64::from(generation.max_tokens) - 1
}

fn missed(steps: &[&EngineEntry], layers: u32, positions: u64) -> Option<String> {
    bands(steps, layers).into_iter().find_map(|band| {
        let mut next = 0;
        for span in by_start(steps, band) {
            if span.start > next {
                break;
            }
            next = next.max(span.end);
        }
        let Band { first, end } = band;
        (next < positions).then(|| format!("layers {first}..{end} did not run position {next}"))
    })
}

fn doubled(steps: &[&EngineEntry], layers: u32) -> Option<String> {
    bands(steps, layers).into_iter().find_map(|band| {
        let mut spans = spans(steps, band);
        spans.sort_unstable();
        let twice = spans
            .windows(2)
            .find(|pair| pair[0].attempt == pair[1].attempt && pair[1].start < pair[0].end)?;
        let Span { attempt, start, .. } = twice[1];
        let Band { first, end } = band;
        Some(format!(
            "layers {first}..{end} ran position {start} twice in attempt {attempt}"
        ))
    })
}

fn rebuilt_of(steps: &[&EngineEntry], layers: u32) -> u64 {
    let bands = bands(steps, layers).into_iter();
    bands
        .map(|band| {
            let mut covered = 0;
            let mut rebuilt = 0;
            for span in by_start(steps, band) {
                let again = covered.min(span.end).saturating_sub(span.start);
                rebuilt += again;
                covered = covered.max(span.end);
            }
            rebuilt * u64::from(band.end - band.first)
        })
        .sum()
}

/// The bands of the layers `0..layers`, in order.
fn bands(steps: &[&EngineEntry], layers: u32) -> Vec<Band> {
    let ends = steps.iter().flat_map(|s| [s.layers.first, s.layers.end]);
    let mut cuts: Vec<u32> = ends.filter(|cut| *cut < layers).collect();
    cuts.extend([0, layers]);
    cuts.sort_unstable();
    cuts.dedup();
    cuts.windows(2)
        .map(|pair| Band {
            first: pair[0],
            end: pair[1],
        })
        .collect()
}

fn spans(steps: &[&EngineEntry], band: Band) -> Vec<Span> {
    let covering = steps
        .iter()
        .filter(|s| s.layers.first <= band.first && band.end <= s.layers.end);
    covering
        .map(|s| Span {
            attempt: s.attempt,
            start: s.start.into(),
            end: u64::from(s.start) + u64::from(s.count),
        })
        .collect()
}

fn by_start(steps: &[&EngineEntry], band: Band) -> Vec<Span> {
    let mut spans = spans(steps, band);
    spans.sort_unstable_by_key(|span| (span.start, span.end));
    spans
}
