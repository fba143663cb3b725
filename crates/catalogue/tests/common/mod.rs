//! Generators of valid entries, and a small valid catalogue.
#![allow(dead_code, reason = "each test file uses a different subset")]

use std::collections::BTreeMap;

use dragonflyrill_catalogue::{
    declare::Source,
    entry::{
        DataCentreEntry, EndpointEntry, EndpointIntent, Entry, GroupEntry, LimitEntry, LimitKey,
        LinkEntry, ModelEntry, RangeEntry, ServiceEntry, WorkspaceEntry,
    },
    fault::Faults,
    name::{DataCentre, EndpointId, Name},
};
use proptest::{collection, prelude::*, sample};

/// A valid catalogue as an operator would write it.
pub(crate) const CATALOGUE: &str = "\
; an example
[workspace co-op]
weight = 2

[model drill-lm]
layers = 32
context = 8192

[service quay-app]
not_repeatable = /certificates, /seals

[data_centre geoje]

[data_centre tongyeong]

[limit co-op/drill-lm/interactive]
requests_per_second = 20
tokens_per_second = 40000
in_flight = 64
deadline_ms = 30000
repeatable = true
share.geoje = 0.4

[endpoint engine-07]
intent = leave

[link tongyeong geoje]
latency_us = 300
mbit_per_second = 1000
";

/// Parses `text` as a file with the name `test.ini`.
pub(crate) fn parse(text: &str) -> Result<Vec<Entry>, Faults> {
    let file = "test.ini";
    Vec::try_from(Source { file, text })
}

/// The faults of `text`, as one message each.
pub(crate) fn faults(text: &str) -> Vec<String> {
    let faults = parse(text).expect_err("the text has a fault");
    faults.0.iter().map(ToString::to_string).collect()
}

fn name() -> impl Strategy<Value = Name> {
    "[a-z0-9][a-z0-9._-]{0,12}".prop_map(|raw| Name::try_from(raw).expect("a valid name"))
}

/// A number with at most 6 digits after the decimal point, from `low` millionths up to `high`.
fn decimal(low: u64, high: u64) -> impl Strategy<Value = f64> {
    (low..=high * 1_000_000).prop_map(|n| n as f64 / 1e6)
}

fn limit() -> impl Strategy<Value = Entry> {
    let key = (name(), name(), name());
    let rates = (
        decimal(1, 1_000_000_000),
        decimal(0, 1_000_000_000),
        decimal(1, 1000),
    );
    let rest = (1..=u32::MAX, any::<u8>(), 1..=u32::MAX, any::<bool>());
    let shares = collection::btree_map(name().prop_map(DataCentre), decimal(0, 1), 0..4);
    (key, rates, rest, shares).prop_map(|(key, rates, rest, shares)| {
        Entry::Limit(LimitEntry {
            key: LimitKey {
                workspace: dragonflyrill_catalogue::WorkspaceName(key.0),
                target: dragonflyrill_catalogue::TargetName(key.1),
                class: dragonflyrill_catalogue::ClassName(key.2),
            },
            requests_per_second: rates.0,
            tokens_per_second: rates.1,
            burst_seconds: rates.2,
            in_flight: rest.0,
            priority: rest.1,
            deadline_ms: rest.2,
            repeatable: rest.3,
            shares,
        })
    })
}

/// Contiguous ranges from layer 0, with the given lengths and minimums.
fn ranges(sizes: Vec<(u32, u32)>) -> Vec<RangeEntry> {
    let mut first = 0;
    let range = |(len, min)| {
        let end = first + len;
        let range = RangeEntry { first, end, min };
        first = end;
        range
    };
    sizes.into_iter().map(range).collect()
}

fn group() -> impl Strategy<Value = Entry> {
    let version = "[!-\\[\\]-~]{1,20}";
    let sizes = collection::vec((1..100_u32, 1..=u32::MAX), 0..4);
    let endpoints = collection::btree_set(name().prop_map(EndpointId), 1..5);
    let numbers = (any::<u32>(), 1..=u32::MAX, 1..=u32::MAX);
    (name(), name(), version, sizes, endpoints, numbers).prop_map(
        |(model, data_centre, version, sizes, endpoints, numbers)| {
            Entry::Group(GroupEntry {
                model: dragonflyrill_catalogue::TargetName(model),
                data_centre: DataCentre(data_centre),
                version,
                ranges: ranges(sizes),
                spares: numbers.0,
                endpoints: endpoints.into_iter().collect(),
                loads_at_once: numbers.1,
                layers_per_second: numbers.2,
            })
        },
    )
}

/// Any entry that a file can declare.
pub(crate) fn entry() -> impl Strategy<Value = Entry> {
    let positive = 1..=u32::MAX;
    let workspace = (name(), positive.clone()).prop_map(|(name, weight)| {
        let name = dragonflyrill_catalogue::WorkspaceName(name);
        Entry::Workspace(WorkspaceEntry { name, weight })
    });
    let model = (name(), positive.clone(), positive.clone()).prop_map(|(name, layers, context)| {
        let name = dragonflyrill_catalogue::TargetName(name);
        Entry::Model(ModelEntry {
            name,
            layers,
            context,
        })
    });
    let prefixes = collection::vec("/[a-zA-Z0-9/._:;%='\"-]{0,12}", 0..3);
    let service = (name(), prefixes).prop_map(|(name, not_repeatable)| {
        let name = dragonflyrill_catalogue::TargetName(name);
        Entry::Service(ServiceEntry {
            name,
            not_repeatable,
        })
    });
    let intent = sample::select(vec![EndpointIntent::Serve, EndpointIntent::Drain]);
    let endpoint = (name(), intent, any::<bool>()).prop_map(|(id, intent, checks_fence)| {
        let id = EndpointId(id);
        Entry::Endpoint(EndpointEntry {
            id,
            intent,
            checks_fence,
        })
    });
    let link = (name(), name(), any::<u32>(), positive)
        .prop_filter("two ends", |(a, b, ..)| a != b)
        .prop_map(|(a, b, latency_us, mbit_per_second)| {
            Entry::Link(LinkEntry {
                a: DataCentre(a.clone().min(b.clone())),
                b: DataCentre(a.max(b)),
                latency_us,
                mbit_per_second,
            })
        });
    let data_centre = name().prop_map(|name| {
        let name = DataCentre(name);
        Entry::DataCentre(DataCentreEntry { name })
    });
    prop_oneof![
        workspace,
        model,
        service,
        limit(),
        endpoint,
        link,
        data_centre,
        group()
    ]
}

/// Entries with distinct keys, in key order.
pub(crate) fn entries() -> impl Strategy<Value = Vec<Entry>> {
    collection::vec(entry(), 0..8).prop_map(|entries| {
        let by_key: BTreeMap<_, _> = entries.into_iter().map(|e| (e.key(), e)).collect();
        by_key.into_values().collect()
    })
}
