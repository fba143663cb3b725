//! Renders entries as INI that [`crate::declare`] can parse.

use crate::{
    declare::{RANGE_PREFIX, SHARE_PREFIX},
    entry::{EndpointIntent, Entry, EntryKey, GroupEntry, RangeEntry},
};

/// The section name of `key`, without brackets.
pub fn section(key: &EntryKey) -> String {
    match key {
        EntryKey::Workspace(name) => format!("workspace {name}"),
        EntryKey::Model(name) => format!("model {name}"),
        EntryKey::Service(name) => format!("service {name}"),
        EntryKey::Limit(k) => format!("limit {}/{}/{}", k.workspace, k.target, k.class),
        EntryKey::Endpoint(id) => format!("endpoint {id}"),
        EntryKey::Link(a, b) => format!("link {a} {b}"),
        EntryKey::DataCentre(name) => format!("data_centre {name}"),
        EntryKey::Group(model, data_centre) => format!("group {model} {data_centre}"),
    }
}

/// One `key = value` line of a section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Property {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
}

/// All keys and values of `entry`, including defaults.
pub fn properties(entry: &Entry) -> Vec<Property> {
    let mut properties = PropertyList::default();
    match entry {
        Entry::Workspace(e) => properties.add("weight", e.weight),
        Entry::Model(e) => {
            properties.add("layers", e.layers);
            properties.add("context", e.context);
        }
        Entry::Service(e) => properties.add("not_repeatable", e.not_repeatable.join(", ")),
        Entry::Limit(e) => {
            properties.add("requests_per_second", e.requests_per_second);
            properties.add("tokens_per_second", e.tokens_per_second);
            properties.add("in_flight", e.in_flight);
            properties.add("burst_seconds", e.burst_seconds);
            properties.add("priority", e.priority);
            properties.add("deadline_ms", e.deadline_ms);
            properties.add("repeatable", e.repeatable);
            for (data_centre, share) in &e.shares {
                properties.add(&format!("{SHARE_PREFIX}{data_centre}"), share);
            }
        }
        Entry::Endpoint(e) => {
            let intent = match e.intent {
                EndpointIntent::Serve => "serve",
                EndpointIntent::Drain => "leave",
            };
            properties.add("intent", intent);
            properties.add("checks_fence", e.checks_fence);
        }
        Entry::Link(e) => {
            properties.add("latency_us", e.latency_us);
            properties.add("mbit_per_second", e.mbit_per_second);
        }
        // The section has no keys; its name declares the data centre.
        Entry::DataCentre(_) => {}
        Entry::Group(e) => add_group(e, &mut properties),
    }
    properties.0
}

fn add_group(e: &GroupEntry, properties: &mut PropertyList) {
    let endpoints: Vec<&str> = e.endpoints.iter().map(|id| id.as_str()).collect();
    properties.add("version", &e.version);
    for range in &e.ranges {
        properties.add(&range_key(range), range.min);
    }
    properties.add("spares", e.spares);
    properties.add("endpoints", endpoints.join(", "));
    properties.add("loads_at_once", e.loads_at_once);
    properties.add("layers_per_second", e.layers_per_second);
}

/// The key under which a section declares `range`.
pub(crate) fn range_key(range: &RangeEntry) -> String {
    format!("{RANGE_PREFIX}{}..{}", range.first, range.end)
}

/// The complete section of `entry`, with a line break at its end.
pub fn entry(entry: &Entry) -> String {
    let mut text = format!("[{}]\n", section(&entry.key()));
    for property in properties(entry) {
        text.push_str(&format!("{} = {}\n", property.key, property.value));
    }
    text
}

/// A file with the sections of `entries`, in the given order.
pub fn file<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> String {
    let sections: Vec<String> = entries.into_iter().map(entry).collect();
    sections.join("\n")
}

#[derive(Default)]
struct PropertyList(Vec<Property>);

impl PropertyList {
    fn add(&mut self, key: &str, value: impl ToString) {
        self.0.push(Property {
            key: key.to_owned(),
            value: value.to_string(),
        });
    }
}
