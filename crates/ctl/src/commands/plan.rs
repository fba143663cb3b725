//! Computes the change from the catalogue in force to the declared entries.

use std::collections::BTreeMap;

use dragonflyrill_catalogue::{
    declare::Declarations,
    diff::{Diff, UndeclaredEntries},
    entry::{Entry, EntryKey},
    state::Catalogue,
    validate,
};

use crate::error::CtlError;

/// Returns the change that brings `current` in line with `declared`. With `prune`, it removes all
/// entries that are not declared.
///
/// # Errors
/// [`CtlError::Invalid`] when the resulting catalogue would be inconsistent.
pub(super) fn compute_diff(
    current: &Catalogue,
    declared: &Declarations,
    prune: bool,
) -> Result<Diff, CtlError> {
    let others = if prune {
        UndeclaredEntries::Prune
    } else {
        UndeclaredEntries::Keep
    };
    let diff = Diff::between(current, declared.entries(), others);
    let result = apply_diff(current, &diff);
    validate::check(result.values()).map_err(|mut faults| {
        declared.locate(&mut faults.0);
        faults
    })?;
    Ok(diff)
}

/// Returns the entries of `current` after `diff`.
fn apply_diff(current: &Catalogue, diff: &Diff) -> BTreeMap<EntryKey, Entry> {
    let entries = current.entries().cloned();
    let mut result: BTreeMap<EntryKey, Entry> = entries.map(|e| (e.key(), e)).collect();
    for key in diff.deletes() {
        result.remove(&key);
    }
    result.extend(diff.puts().into_iter().map(|e| (e.key(), e)));
    result
}
