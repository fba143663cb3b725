//! Checks of one group against its model, the data centres and the other groups.

use std::collections::BTreeSet;

use super::{DeclaredNames, FoundFaults};
use crate::{
    declare,
    entry::{EntryKey, GroupEntry},
    render,
};

pub(super) fn check(
    names: &DeclaredNames<'_>,
    key: &EntryKey,
    e: &GroupEntry,
    found: &mut FoundFaults,
) {
    let layers = names.models.get(&e.model).copied();
    if layers.is_none() {
        let expected = "a model that is declared";
        found.add_conflict(key, None, Some(&e.model), expected);
    }
    names.check_data_centre(key, None, &e.data_centre, found);
    if !declare::is_version(&e.version) {
        let expected = "1 to 128 printable ASCII characters without spaces and backslashes";
        found.add_value_fault(key, "version", &e.version, expected);
    }
    check_ranges(key, e, layers, found);
    check_endpoints(names, key, e, found);
    found.require_at_least_one(key, "loads_at_once", e.loads_at_once);
    found.require_at_least_one(key, "layers_per_second", e.layers_per_second);
}

/// Checks that the ranges are contiguous from layer 0 to the model's last layer. Reports only the
/// first gap or overlap, as it would make all following ranges wrong.
fn check_ranges(key: &EntryKey, e: &GroupEntry, layers: Option<u32>, found: &mut FoundFaults) {
    for range in &e.ranges {
        found.require_at_least_one(key, &render::range_key(range), range.min);
    }
    let mut next = 0;
    for range in &e.ranges {
        if range.first != next || range.end <= range.first {
            let property = render::range_key(range);
            let expected = format!("a range that begins at layer {next} and is not empty");
            found.add_conflict(key, Some(&property), Some(&range.min), &expected);
            return;
        }
        next = range.end;
    }
    if let Some(layers) = layers.filter(|layers| *layers != next) {
        let expected = format!("ranges that cover layers 0..{layers}");
        let covered = format!("0..{next}");
        found.add_conflict(key, Some("range.*"), Some(&covered), &expected);
    }
}

fn check_endpoints(
    names: &DeclaredNames<'_>,
    key: &EntryKey,
    e: &GroupEntry,
    found: &mut FoundFaults,
) {
    let mut seen = BTreeSet::new();
    for id in &e.endpoints {
        if !seen.insert(id) {
            found.add_value_fault(key, "endpoints", id, "each endpoint once");
        }
        // An endpoint in several groups is reported at all of them but the first, like any entry
        // that is declared twice.
        let first = names.groups.get(id).and_then(|groups| groups.first());
        if let Some(first) = first.filter(|first| *first != key) {
            let expected = format!("endpoints of no other group; [{}]", render::section(first));
            let expected = format!("{expected} has it");
            found.add_conflict(key, Some("endpoints"), Some(id), &expected);
        }
    }
    let minimums = e.ranges.iter().map(|range| u64::from(range.min));
    let need = minimums.sum::<u64>() + u64::from(e.spares);
    let have = seen.len() as u64;
    if have < need {
        let expected = format!("at least {need} endpoints, by the minimums and spares");
        found.add_conflict(key, Some("endpoints"), Some(&have), &expected);
    }
}
