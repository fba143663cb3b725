//! Parses a `[group MODEL DATA_CENTRE]` section.

use super::{KeyFamily, RANGE_PREFIX, Section};
use crate::{
    declare::value,
    entry::{Entry, GroupEntry, RangeEntry},
    fault::{Fault, FaultKind},
};

const RANGE_KEYS: KeyFamily = KeyFamily {
    prefix: RANGE_PREFIX,
    form: "range.FIRST..END",
};

impl Section<'_> {
    pub(super) fn group(
        &self,
        model: &str,
        data_centre: &str,
        faults: &mut Vec<Fault>,
    ) -> Option<Entry> {
        const KEYS: [&str; 5] = [
            "version",
            "spares",
            "endpoints",
            "loads_at_once",
            "layers_per_second",
        ];
        self.check_keys(&KEYS, Some(&RANGE_KEYS), faults);
        let model = self.parse_name(model, faults);
        let data_centre = self.parse_name(data_centre, faults);
        let version = self.parse_value(KEYS[0], None, value::version, faults);
        let ranges = self.ranges(faults);
        let spares = self.parse_value(KEYS[1], Some(0), value::count, faults);
        let endpoints = self.parse_value(KEYS[2], None, value::endpoints, faults);
        let loads_at_once = self.parse_value(KEYS[3], Some(1), value::positive, faults);
        let layers_per_second = self.parse_value(KEYS[4], None, value::positive, faults);
        let entry = GroupEntry {
            model: model?,
            data_centre: data_centre?,
            version: version?,
            ranges,
            spares: spares?,
            endpoints: endpoints?,
            loads_at_once: loads_at_once?,
            layers_per_second: layers_per_second?,
        };
        Some(Entry::Group(entry))
    }

    /// The ranges in layer order. Whether they cover the model is checked by [`crate::validate`].
    fn ranges(&self, faults: &mut Vec<Fault>) -> Vec<RangeEntry> {
        let mut ranges = Vec::new();
        for (key, raw) in self.properties.iter() {
            let Some(layers) = key.strip_prefix(RANGE_PREFIX) else {
                continue;
            };
            let Some((first, end)) = bounds(layers) else {
                let expected = "range.FIRST..END: two layers, the first below the end";
                let fault = self.fault(FaultKind::UnknownKey, expected);
                faults.push(fault.at_key(key).with_value(raw));
                continue;
            };
            if let Some(min) = self.check_value(key, raw, value::positive, faults) {
                ranges.push(RangeEntry { first, end, min });
            }
        }
        ranges.sort_by_key(|r| (r.first, r.end));
        ranges
    }
}

fn bounds(layers: &str) -> Option<(u32, u32)> {
    let (first, end) = layers.split_once("..")?;
    let first = value::count(first).ok()?;
    let end = value::count(end).ok()?;
    (first < end).then_some((first, end))
}
