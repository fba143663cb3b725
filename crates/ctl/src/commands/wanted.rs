//! What files ask for, against what is in force.

use std::collections::BTreeMap;

use dragonflyrill_catalogue::{
    declare::Declarations,
    diff::{Diff, UndeclaredEntries},
    entry::{Entry, EntryKey},
    state::Catalogue,
    validate,
};

use crate::error::CtlError;

/// The change that makes `current` what `declared` asks for.
///
/// # Errors
/// [`CtlError::Invalid`] when the catalogue would contradict itself afterwards.
pub(super) fn change(
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
    let after = after(current, &diff);
    validate::check(after.values()).map_err(|mut faults| {
        declared.locate(&mut faults.0);
        faults
    })?;
    Ok(diff)
}

fn after(current: &Catalogue, diff: &Diff) -> BTreeMap<EntryKey, Entry> {
    let entries = current.entries().cloned();
    let mut after: BTreeMap<EntryKey, Entry> = entries.map(|e| (e.key(), e)).collect();
    for key in diff.deletes() {
        after.remove(&key);
    }
    after.extend(diff.puts().into_iter().map(|e| (e.key(), e)));
    after
}
