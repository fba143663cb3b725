//! Checks in the ledgers of the engines that each layer ran each position once.
//!
//! When the chain of a request changes, the attempt number increases and the new chain may run
//! again the positions that the previous one ran (a rebuild). Therefore, over all attempts every
//! layer must have run each position of an answered request, and within one attempt no layer may
//! have run a position twice.

use std::collections::{BTreeMap, BTreeSet};

use super::{Evidence, Violations};
use crate::{
    ledger::EngineEntry,
    record::RequestOutcome,
    trace::{Work, checked::Generation},
};

/// The ledger entries of each request id.
type Steps<'a> = BTreeMap<&'a str, Vec<&'a EngineEntry>>;

/// A contiguous range of layers within which no step begins or ends, so that each step ran either
/// all of its layers or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LayerRange {
    first: u32,
    end: u32,
}

/// The positions `start..end` that one step of an attempt ran in a layer range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PositionSpan {
    attempt: u32,
    start: u64,
    end: u64,
}

/// The violations: one line for each request with a position that a layer did not run, and one for
/// each with a position that a layer ran twice in an attempt.
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
        let missing_position =
            answered.then(|| missing_position(steps, layers, required_positions(generation)));
        let repeated_position = seen.insert(id).then(|| repeated_position(steps, layers));
        violations.looked_at += 1;
        let errors = [missing_position.flatten(), repeated_position.flatten()];
        let lines = errors.into_iter().flatten();
        violations
            .lines
            .extend(lines.map(|error| format!("{}: {error}", arrival.id)));
    }
    violations
}

/// The number of layer positions that were run again by a later attempt, over all requests of the
/// run. One layer position is one position run by one layer.
pub fn rebuilt_layer_positions(evidence: Evidence<'_>) -> u64 {
    let steps = steps(evidence);
    let arrivals = evidence.trace.arrivals.iter();
    let ids: BTreeSet<String> = arrivals.map(|a| evidence.run_result.ledger_id(a)).collect();
    let steps_of_run = ids.iter().filter_map(|id| steps.get(id.as_str()));
    steps_of_run
        .map(|steps| rebuilt_layer_positions_of(steps, evidence.trace.header.layers))
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

/// The number of positions that must be run. The last token is returned to the caller without being
/// fed to the model.
fn required_positions(generation: &Generation) -> u64 {
    u64::from(generation.prompt_tokens) + u64::from(generation.max_tokens) - 1
}

/// Describes the first position of the first layer range that no step ran, if any.
fn missing_position(steps: &[&EngineEntry], layers: u32, positions: u64) -> Option<String> {
    layer_ranges(steps, layers).into_iter().find_map(|range| {
        let mut next = 0;
        for span in spans_by_start(steps, range) {
            if span.start > next {
                break;
            }
            next = next.max(span.end);
        }
        let LayerRange { first, end } = range;
        (next < positions).then(|| format!("layers {first}..{end} did not run position {next}"))
    })
}

/// Describes a position that two steps of one attempt ran in the same layers, if any.
fn repeated_position(steps: &[&EngineEntry], layers: u32) -> Option<String> {
    layer_ranges(steps, layers).into_iter().find_map(|range| {
        let mut spans = spans(steps, range);
        spans.sort_unstable();
        let overlapping_pair = spans
            .windows(2)
            .find(|pair| pair[0].attempt == pair[1].attempt && pair[1].start < pair[0].end)?;
        let PositionSpan { attempt, start, .. } = overlapping_pair[1];
        let LayerRange { first, end } = range;
        Some(format!(
            "layers {first}..{end} ran position {start} twice in attempt {attempt}"
        ))
    })
}

fn rebuilt_layer_positions_of(steps: &[&EngineEntry], layers: u32) -> u64 {
    let layer_ranges = layer_ranges(steps, layers).into_iter();
    layer_ranges
        .map(|range| {
            let mut covered = 0;
            let mut rebuilt = 0;
            for span in spans_by_start(steps, range) {
                let overlap = covered.min(span.end).saturating_sub(span.start);
                rebuilt += overlap;
                covered = covered.max(span.end);
            }
            rebuilt * u64::from(range.end - range.first)
        })
        .sum()
}

/// Splits the layers `0..layers` at the boundaries of all steps, in order.
fn layer_ranges(steps: &[&EngineEntry], layers: u32) -> Vec<LayerRange> {
    let ends = steps.iter().flat_map(|s| [s.layers.first, s.layers.end]);
    let mut boundaries: Vec<u32> = ends.filter(|boundary| *boundary < layers).collect();
    boundaries.extend([0, layers]);
    boundaries.sort_unstable();
    boundaries.dedup();
    boundaries
        .windows(2)
        .map(|pair| LayerRange {
            first: pair[0],
            end: pair[1],
        })
        .collect()
}

/// The positions of each step that ran `range`.
fn spans(steps: &[&EngineEntry], range: LayerRange) -> Vec<PositionSpan> {
    let covering = steps
        .iter()
        .filter(|s| s.layers.first <= range.first && range.end <= s.layers.end);
    covering
        .map(|s| PositionSpan {
            attempt: s.attempt,
            start: s.start.into(),
            end: u64::from(s.start) + u64::from(s.count),
        })
        .collect()
}

fn spans_by_start(steps: &[&EngineEntry], range: LayerRange) -> Vec<PositionSpan> {
    let mut spans = spans(steps, range);
    spans.sort_unstable_by_key(|span| (span.start, span.end));
    spans
}
