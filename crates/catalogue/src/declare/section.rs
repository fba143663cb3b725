//! Parses one section of a declaration file into one entry.

mod group;

use std::collections::BTreeMap;

use super::value;
use crate::{
    entry::{
        DataCentreEntry, EndpointEntry, EndpointIntent, Entry, LimitEntry, LimitKey, LinkEntry,
        ModelEntry, ServiceEntry, WorkspaceEntry,
    },
    fault::{Fault, FaultKind},
    name::DataCentre,
};

/// The prefix of the keys that declare a data centre's share; the data centre's name follows.
pub(crate) const SHARE_PREFIX: &str = "share.";

/// The prefix of the keys that declare a layer range's minimum number of replicas; the range
/// follows.
pub(crate) const RANGE_PREFIX: &str = "range.";

/// Keys with a common prefix, of which a section can have any number.
struct KeyFamily {
    prefix: &'static str,
    /// The form of a complete key, for fault messages.
    form: &'static str,
}

const SHARE_KEYS: KeyFamily = KeyFamily {
    prefix: SHARE_PREFIX,
    form: "share.DATA_CENTRE",
};

const EXPECTED_SECTIONS: &str = "[workspace NAME], [model NAME], [service NAME], \
    [limit WORKSPACE/TARGET/CLASS], [endpoint ID], [link DATA_CENTRE DATA_CENTRE], \
    [data_centre NAME] or [group MODEL DATA_CENTRE]";

/// A section as parsed from the file.
pub(super) struct Section<'a> {
    pub(super) file: &'a str,
    pub(super) name: &'a str,
    pub(super) properties: &'a ini::Properties,
}

impl Section<'_> {
    /// The entry that this section declares. If it has mistakes, returns `None` and adds them to
    /// `faults`.
    pub(super) fn entry(&self, faults: &mut Vec<Fault>) -> Option<Entry> {
        let mut words = self.name.split_whitespace();
        let kind = words.next().unwrap_or_default();
        let words: Vec<&str> = words.collect();
        let faults_before = faults.len();
        let entry = match (kind, words.as_slice()) {
            ("workspace", [name]) => self.workspace(name, faults),
            ("model", [name]) => self.model(name, faults),
            ("service", [name]) => self.service(name, faults),
            ("limit", [path]) => self.limit(path, faults),
            ("endpoint", [id]) => self.endpoint(id, faults),
            ("link", [a, b]) => self.link(a, b, faults),
            ("data_centre", [name]) => self.data_centre(name, faults),
            ("group", [model, data_centre]) => self.group(model, data_centre, faults),
            _ => {
                faults.push(self.fault(FaultKind::Section, EXPECTED_SECTIONS));
                None
            }
        };
        entry.filter(|_| faults.len() == faults_before)
    }

    fn workspace(&self, name: &str, faults: &mut Vec<Fault>) -> Option<Entry> {
        self.check_keys(&["weight"], None, faults);
        let entry = WorkspaceEntry {
            name: self.parse_name(name, faults)?,
            weight: self.parse_value("weight", Some(1), value::positive, faults)?,
        };
        Some(Entry::Workspace(entry))
    }

    fn model(&self, name: &str, faults: &mut Vec<Fault>) -> Option<Entry> {
        self.check_keys(&["layers", "context"], None, faults);
        let name = self.parse_name(name, faults);
        let layers = self.parse_value("layers", None, value::positive, faults);
        let context = self.parse_value("context", None, value::positive, faults);
        let entry = ModelEntry {
            name: name?,
            layers: layers?,
            context: context?,
        };
        Some(Entry::Model(entry))
    }

    fn service(&self, name: &str, faults: &mut Vec<Fault>) -> Option<Entry> {
        self.check_keys(&["not_repeatable"], None, faults);
        let name = self.parse_name(name, faults);
        let not_repeatable =
            self.parse_value("not_repeatable", Some(Vec::new()), value::prefixes, faults);
        let entry = ServiceEntry {
            name: name?,
            not_repeatable: not_repeatable?,
        };
        Some(Entry::Service(entry))
    }

    fn limit(&self, path: &str, faults: &mut Vec<Fault>) -> Option<Entry> {
        const KEYS: [&str; 7] = [
            "requests_per_second",
            "tokens_per_second",
            "in_flight",
            "burst_seconds",
            "priority",
            "deadline_ms",
            "repeatable",
        ];
        self.check_keys(&KEYS, Some(&SHARE_KEYS), faults);
        let key = self.limit_key(path, faults);
        let requests_per_second = self.parse_value(KEYS[0], None, value::above_zero, faults);
        let tokens_per_second = self.parse_value(KEYS[1], Some(0.0), value::decimal, faults);
        let in_flight = self.parse_value(KEYS[2], None, value::positive, faults);
        let burst_seconds = self.parse_value(KEYS[3], Some(1.0), value::above_zero, faults);
        let priority = self.parse_value(KEYS[4], Some(0), value::priority, faults);
        let deadline_ms = self.parse_value(KEYS[5], None, value::positive, faults);
        let repeatable = self.parse_value(KEYS[6], None, value::boolean, faults);
        let shares = self.shares(faults);
        let entry = LimitEntry {
            key: key?,
            requests_per_second: requests_per_second?,
            tokens_per_second: tokens_per_second?,
            in_flight: in_flight?,
            burst_seconds: burst_seconds?,
            priority: priority?,
            deadline_ms: deadline_ms?,
            repeatable: repeatable?,
            shares,
        };
        Some(Entry::Limit(entry))
    }

    fn limit_key(&self, path: &str, faults: &mut Vec<Fault>) -> Option<LimitKey> {
        let parts: Vec<&str> = path.split('/').collect();
        let [workspace, target, class] = parts.as_slice() else {
            faults.push(self.fault(FaultKind::Section, "[limit WORKSPACE/TARGET/CLASS]"));
            return None;
        };
        Some(LimitKey {
            workspace: self.parse_name(workspace, faults)?,
            target: self.parse_name(target, faults)?,
            class: self.parse_name(class, faults)?,
        })
    }

    fn shares(&self, faults: &mut Vec<Fault>) -> BTreeMap<DataCentre, f64> {
        let mut shares = BTreeMap::new();
        for (key, raw) in self.properties.iter() {
            let Some(name) = key.strip_prefix(SHARE_PREFIX) else {
                continue;
            };
            let data_centre = match DataCentre::try_from(name) {
                Ok(data_centre) => data_centre,
                Err(e) => {
                    let expected = format!("share.DATA_CENTRE: {e}");
                    let fault = self.fault(FaultKind::UnknownKey, expected);
                    faults.push(fault.at_key(key).with_value(raw));
                    continue;
                }
            };
            if let Some(share) = self.check_value(key, raw, value::fraction, faults) {
                shares.insert(data_centre, share);
            }
        }
        shares
    }

    fn endpoint(&self, id: &str, faults: &mut Vec<Fault>) -> Option<Entry> {
        self.check_keys(&["intent", "checks_fence"], None, faults);
        let id = self.parse_name(id, faults);
        let serve = Some(EndpointIntent::Serve);
        let intent = self.parse_value("intent", serve, value::intent, faults);
        let checks_fence = self.parse_value("checks_fence", Some(false), value::boolean, faults);
        let entry = EndpointEntry {
            id: id?,
            intent: intent?,
            checks_fence: checks_fence?,
        };
        Some(Entry::Endpoint(entry))
    }

    fn link(&self, a: &str, b: &str, faults: &mut Vec<Fault>) -> Option<Entry> {
        self.check_keys(&["latency_us", "mbit_per_second"], None, faults);
        let a: Option<DataCentre> = self.parse_name(a, faults);
        let b = self.parse_name(b, faults);
        let latency_us = self.parse_value("latency_us", None, value::count, faults);
        let mbit_per_second = self.parse_value("mbit_per_second", None, value::positive, faults);
        let (a, b) = (a?, b?);
        if a == b {
            faults.push(self.fault(FaultKind::Section, "a link between two data centres"));
            return None;
        }
        let entry = LinkEntry {
            a: a.clone().min(b.clone()),
            b: a.max(b),
            latency_us: latency_us?,
            mbit_per_second: mbit_per_second?,
        };
        Some(Entry::Link(entry))
    }

    fn data_centre(&self, name: &str, faults: &mut Vec<Fault>) -> Option<Entry> {
        self.check_keys(&[], None, faults);
        let name = self.parse_name(name, faults)?;
        Some(Entry::DataCentre(DataCentreEntry { name }))
    }

    /// Reports every key that is neither one of `keys` nor in `family`, and every key that occurs
    /// twice.
    fn check_keys(&self, keys: &[&str], family: Option<&KeyFamily>, faults: &mut Vec<Fault>) {
        let mut seen = Vec::new();
        for (key, raw) in self.properties.iter() {
            let in_family = family.is_some_and(|f| key.starts_with(f.prefix));
            if !in_family && !keys.contains(&key) {
                let mut expected = match keys {
                    [] => "no key in this section".to_owned(),
                    keys => format!("one of {}", keys.join(", ")),
                };
                if let Some(family) = family {
                    expected.push_str(", ");
                    expected.push_str(family.form);
                }
                let fault = self.fault(FaultKind::UnknownKey, expected);
                faults.push(fault.at_key(key).with_value(raw));
            } else if seen.contains(&key) {
                let fault = self.fault(FaultKind::Duplicate, "each key once");
                faults.push(fault.at_key(key).with_value(raw));
            }
            seen.push(key);
        }
    }

    /// Parses a name that is part of the section's name.
    fn parse_name<'n, N>(&self, raw: &'n str, faults: &mut Vec<Fault>) -> Option<N>
    where
        N: TryFrom<&'n str>,
        N::Error: std::fmt::Display,
    {
        match N::try_from(raw) {
            Ok(name) => Some(name),
            Err(e) => {
                let fault = self.fault(FaultKind::Section, format!("a valid name: {e}"));
                faults.push(fault.with_value(raw));
                None
            }
        }
    }

    /// Parses the value of `key`, or returns `default` when the key is missing. Without a default,
    /// a missing key is a fault.
    fn parse_value<T>(
        &self,
        key: &str,
        default: Option<T>,
        check: value::Check<T>,
        faults: &mut Vec<Fault>,
    ) -> Option<T> {
        match self.properties.get(key) {
            Some(raw) => self.check_value(key, raw, check, faults),
            None if default.is_some() => default,
            None => {
                let fault = self.fault(FaultKind::MissingKey, check("").err()?);
                faults.push(fault.at_key(key));
                None
            }
        }
    }

    fn check_value<T>(
        &self,
        key: &str,
        raw: &str,
        check: value::Check<T>,
        faults: &mut Vec<Fault>,
    ) -> Option<T> {
        match check(raw) {
            Ok(value) => Some(value),
            Err(expected) => {
                let fault = self.fault(FaultKind::Value, expected);
                faults.push(fault.at_key(key).with_value(raw));
                None
            }
        }
    }

    fn fault(&self, kind: FaultKind, expected: impl Into<String>) -> Fault {
        Fault::new(kind, self.file, expected).in_section(self.name)
    }
}
