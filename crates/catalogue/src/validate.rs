//! Checks of a complete catalogue, in which no entry may contradict another.
//!
//! Entries parsed from a file have passed the checks of [`crate::declare`]. Those of a stored
//! change may not have, so the bounds of single values are checked here again.

mod group;

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    declare,
    entry::{Entry, EntryKey, LimitEntry},
    fault::{Fault, FaultKind, Faults},
    name::{DataCentre, EndpointId, TargetName, WorkspaceName},
    render,
};

/// The amount by which rounding may raise the sum of a limit's shares above 1.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Checks that `entries` form a valid catalogue. The error holds every fault found.
///
/// # Errors
/// [`Faults`] of kind [`FaultKind::Conflict`] or [`FaultKind::Value`], with an empty file name:
/// see [`declare::Declarations::locate`].
pub fn check<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> Result<(), Faults> {
    let entries: Vec<&Entry> = entries.into_iter().collect();
    let names = DeclaredNames::of(&entries);
    let mut found = FoundFaults::default();
    for entry in &entries {
        names.check(entry, &mut found);
    }
    names.check_limits_can_be_split(&entries, &mut found);
    if found.0.is_empty() {
        Ok(())
    } else {
        Err(Faults(found.0))
    }
}

/// The declared names to which entries may refer.
#[derive(Default)]
struct DeclaredNames<'a> {
    workspaces: BTreeSet<&'a WorkspaceName>,
    /// The models with their number of layers.
    models: BTreeMap<&'a TargetName, u32>,
    services: BTreeSet<&'a TargetName>,
    data_centres: BTreeSet<&'a DataCentre>,
    /// The groups that list each endpoint.
    groups: BTreeMap<&'a EndpointId, BTreeSet<EntryKey>>,
}

impl<'a> DeclaredNames<'a> {
    fn of(entries: &[&'a Entry]) -> Self {
        let mut names = Self::default();
        for entry in entries {
            match entry {
                Entry::Workspace(e) => drop(names.workspaces.insert(&e.name)),
                Entry::Model(e) => drop(names.models.insert(&e.name, e.layers)),
                Entry::Service(e) => drop(names.services.insert(&e.name)),
                Entry::DataCentre(e) => drop(names.data_centres.insert(&e.name)),
                Entry::Group(e) => {
                    for id in &e.endpoints {
                        names.groups.entry(id).or_default().insert(entry.key());
                    }
                }
                Entry::Limit(_) | Entry::Endpoint(_) | Entry::Link(_) => {}
            }
        }
        names
    }

    /// Reports a fault if there are limits but no data centre among which to split them. It is
    /// reported once, at the first limit.
    fn check_limits_can_be_split(&self, entries: &[&Entry], found: &mut FoundFaults) {
        let limits = |e: &&&Entry| matches!(e, Entry::Limit(_));
        let first = entries.iter().find(limits);
        if let (Some(limit), true) = (first, self.data_centres.is_empty()) {
            let expected = "at least one [data_centre NAME] for limits to be split over";
            found.add_conflict(&limit.key(), None, None, expected);
        }
    }

    fn check(&self, entry: &Entry, found: &mut FoundFaults) {
        let key = entry.key();
        match entry {
            Entry::Workspace(e) => found.require_at_least_one(&key, "weight", e.weight),
            Entry::Model(e) => {
                found.require_at_least_one(&key, "layers", e.layers);
                found.require_at_least_one(&key, "context", e.context);
            }
            Entry::Service(e) => {
                for prefix in &e.not_repeatable {
                    if !declare::is_path_prefix(prefix) {
                        found.add_value_fault(
                            &key,
                            "not_repeatable",
                            prefix,
                            "path prefixes, each with /",
                        );
                    }
                }
                if self.models.contains_key(&e.name) {
                    let expected = "a name that no model has";
                    found.add_conflict(&key, None, Some(&e.name), expected);
                }
            }
            Entry::Limit(e) => self.check_limit(&key, e, found),
            Entry::Endpoint(_) | Entry::DataCentre(_) => {}
            Entry::Link(e) => {
                self.check_data_centre(&key, None, &e.a, found);
                self.check_data_centre(&key, None, &e.b, found);
                if e.a >= e.b {
                    found.add_conflict(
                        &key,
                        None,
                        Some(&e.b),
                        "two data centres in alphabetical order",
                    );
                }
                found.require_at_least_one(&key, "mbit_per_second", e.mbit_per_second);
            }
            Entry::Group(e) => group::check(self, &key, e, found),
        }
    }

    fn check_limit(&self, key: &EntryKey, e: &LimitEntry, found: &mut FoundFaults) {
        if !self.workspaces.contains(&e.key.workspace) {
            let expected = "a workspace that is declared";
            found.add_conflict(key, None, Some(&e.key.workspace), expected);
        }
        let model = self.models.contains_key(&e.key.target);
        if !model && !self.services.contains(&e.key.target) {
            let expected = "a model or service that is declared";
            found.add_conflict(key, None, Some(&e.key.target), expected);
        }
        found.require_above_zero(key, "requests_per_second", e.requests_per_second);
        if model || e.tokens_per_second != 0.0 {
            found.require_above_zero(key, "tokens_per_second", e.tokens_per_second);
        }
        found.require_at_least_one(key, "in_flight", e.in_flight);
        found.require_above_zero(key, "burst_seconds", e.burst_seconds);
        found.require_at_least_one(key, "deadline_ms", e.deadline_ms);
        self.check_shares(key, e, found);
    }

    fn check_shares(&self, key: &EntryKey, e: &LimitEntry, found: &mut FoundFaults) {
        for (data_centre, share) in &e.shares {
            let property = format!("{}{data_centre}", declare::SHARE_PREFIX);
            if !(0.0..=1.0).contains(share) {
                found.add_value_fault(key, &property, share, "a fraction from 0 to 1");
            }
            self.check_data_centre(key, Some(&property), data_centre, found);
        }
        let sum: f64 = e.shares.values().sum();
        if sum > 1.0 + SHARE_TOLERANCE {
            let expected = "shares that sum to at most 1";
            found.add_conflict(key, Some("share.*"), Some(&sum), expected);
        }
    }

    /// Reports a fault unless the data centre `name` is declared.
    fn check_data_centre(
        &self,
        key: &EntryKey,
        property: Option<&str>,
        name: &DataCentre,
        found: &mut FoundFaults,
    ) {
        if self.data_centres.contains(name) {
            return;
        }
        let names: Vec<&str> = self.data_centres.iter().map(|d| d.as_str()).collect();
        let declared = match names.as_slice() {
            [] => "none".to_owned(),
            names => names.join(", "),
        };
        let expected = format!("a data centre that is declared; declared: {declared}");
        found.add_conflict(key, property, Some(name), &expected);
    }
}

#[derive(Default)]
struct FoundFaults(Vec<Fault>);

impl FoundFaults {
    fn require_at_least_one(&mut self, key: &EntryKey, property: &str, n: u32) {
        if n == 0 {
            self.add_value_fault(key, property, &n, "a whole number of at least 1");
        }
    }

    fn require_above_zero(&mut self, key: &EntryKey, property: &str, n: f64) {
        let possible = n > 0.0 && n <= declare::MAX_DECIMAL_VALUE;
        if !possible {
            self.add_value_fault(key, property, &n, "a number above 0, up to 1000000000");
        }
    }

    fn add_value_fault(
        &mut self,
        key: &EntryKey,
        property: &str,
        value: &dyn ToString,
        expected: &str,
    ) {
        let fault = Fault::new(FaultKind::Value, "", expected)
            .in_section(&render::section(key))
            .at_key(property)
            .with_value(value.to_string());
        self.0.push(fault);
    }

    fn add_conflict(
        &mut self,
        key: &EntryKey,
        property: Option<&str>,
        value: Option<&dyn ToString>,
        expected: &str,
    ) {
        let mut fault = Fault::new(FaultKind::Conflict, "", expected);
        fault = fault.in_section(&render::section(key));
        fault.value = value.map(|v| v.to_string());
        fault.key = property.map(str::to_owned);
        self.0.push(fault);
    }
}
