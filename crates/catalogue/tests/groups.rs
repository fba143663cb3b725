//! Tests of declared groups of engines: parsing, checks and diffs.

mod common;

use common::{CATALOGUE, faults};
use dragonflyrill_catalogue::{
    diff::{Diff, UndeclaredEntries},
    entry::{Entry, GroupEntry, RangeEntry},
    render,
    state::{Catalogue, Revision},
    validate,
};

const GROUP: &str = "\
[group drill-lm geoje]
version = 2026-11
range.8..32 = 1
range.0..8 = 2
spares = 1
endpoints = geoje-e01, geoje-e00, geoje-e02, geoje-e03
loads_at_once = 1
layers_per_second = 8
";

fn group(text: &str) -> GroupEntry {
    let entries = common::parse(text).expect("valid");
    match entries.as_slice() {
        [Entry::Group(e)] => e.clone(),
        other => panic!("one group expected: {other:?}"),
    }
}

/// The faults of the example catalogue together with `groups`.
fn contradictions(groups: &str) -> Vec<String> {
    let entries = common::parse(&format!("{CATALOGUE}{groups}")).expect("valid alone");
    match validate::check(&entries) {
        Ok(()) => Vec::new(),
        Err(faults) => faults.0.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn a_group_is_parsed_with_ranges_and_endpoints_in_order() {
    let e = group(GROUP);
    let range = |first, end, min| RangeEntry { first, end, min };
    assert_eq!(e.version, "2026-11");
    assert_eq!(e.ranges, [range(0, 8, 2), range(8, 32, 1)]);
    let ids: Vec<&str> = e.endpoints.iter().map(|id| id.as_str()).collect();
    assert_eq!(ids, ["geoje-e00", "geoje-e01", "geoje-e02", "geoje-e03"]);
    let numbers = (e.spares, e.loads_at_once, e.layers_per_second);
    assert_eq!(numbers, (1, 1, 8));
    assert_eq!(contradictions(GROUP), Vec::<String>::new());
}

#[test]
fn bad_keys_and_values_of_a_group_are_refused() {
    let spaces = "without spaces and backslashes";
    let long = "v".repeat(129);
    for (key, value, expected) in [
        ("version", "", spaces),
        ("version", "a b", spaces),
        ("version", &long, spaces),
        ("range.0..8", "0", "a whole number from 1"),
        ("range.8..8", "1", "range.FIRST..END"),
        ("range.9..8", "1", "range.FIRST..END"),
        ("range.0-8", "1", "range.FIRST..END"),
        ("range.+0..8", "1", "range.FIRST..END"),
        ("spares", "-1", "a whole number from 0"),
        ("endpoints", "", "endpoint ids"),
        ("endpoints", "a, A", "endpoint ids"),
        ("endpoints", "a, b, a", "each once"),
        ("loads_at_once", "0", "a whole number from 1"),
        ("layers_per_second", "0", "a whole number from 1"),
        ("minimum", "1", "layers_per_second, range.FIRST..END"),
    ] {
        let kept = GROUP.lines().filter(|l| !l.starts_with(key));
        let text: Vec<&str> = kept.collect();
        let found = faults(&format!("{}\n{key} = {value}\n", text.join("\n")));
        assert_eq!(found.len(), 1, "{found:?}");
        let start = format!("test.ini: [group drill-lm geoje] {key} = \"{value}\": ");
        assert!(found[0].starts_with(&start), "{found:?}");
        assert!(found[0].contains(expected), "{found:?}");
    }
}

#[test]
fn a_group_that_contradicts_the_catalogue_is_refused() {
    let at = "catalogue: [group drill-lm geoje]";
    let fit = "does not fit the catalogue; expected";
    for (from, to, expected) in [
        (
            "range.8..32 = 1",
            "range.9..32 = 1",
            format!(
                "{at} range.9..32 = \"1\": {fit} a range that begins at layer 8 and is not empty"
            ),
        ),
        (
            "range.8..32 = 1",
            "range.7..32 = 1",
            format!(
                "{at} range.7..32 = \"1\": {fit} a range that begins at layer 8 and is not empty"
            ),
        ),
        (
            "range.8..32 = 1",
            "range.8..31 = 1",
            format!("{at} range.* = \"0..31\": {fit} ranges that cover layers 0..32"),
        ),
        (
            "range.8..32 = 1",
            "range.8..33 = 1",
            format!("{at} range.* = \"0..33\": {fit} ranges that cover layers 0..32"),
        ),
        (
            "range.8..32 = 1\nrange.0..8 = 2\n",
            "",
            format!("{at} range.* = \"0..0\": {fit} ranges that cover layers 0..32"),
        ),
        (
            "spares = 1",
            "spares = 2",
            format!(
                "{at} endpoints = \"4\": {fit} at least 5 endpoints, by the minimums and spares"
            ),
        ),
        (
            "drill-lm geoje",
            "quay-app geoje",
            format!(
                "catalogue: [group quay-app geoje] \"quay-app\": {fit} a model that is declared"
            ),
        ),
        (
            "drill-lm geoje",
            "drill-lm namhae",
            format!(
                "catalogue: [group drill-lm namhae] \"namhae\": {fit} a data centre that is \
                 declared; declared: geoje, tongyeong"
            ),
        ),
    ] {
        assert!(GROUP.contains(from));
        assert_eq!(contradictions(&GROUP.replace(from, to)), [expected]);
    }
}

#[test]
fn an_endpoint_is_in_one_group_only() {
    let other = GROUP
        .replace("drill-lm geoje", "drill-lm tongyeong")
        .replace("geoje-e00", "geoje-e09")
        .replace("geoje-e02, geoje-e03", "geoje-e12, geoje-e13");
    assert_eq!(
        contradictions(&format!("{GROUP}{other}")),
        [
            "catalogue: [group drill-lm tongyeong] endpoints = \"geoje-e01\": does not fit the \
          catalogue; expected endpoints of no other group; [group drill-lm geoje] has it"
        ]
    );
}

#[test]
fn the_values_of_a_stored_group_are_checked_again() {
    let mut e = group(GROUP);
    e.version = "a b".to_owned();
    e.ranges[0].min = 0;
    e.endpoints.push(e.endpoints[0].clone());
    e.loads_at_once = 0;
    e.layers_per_second = 0;
    let mut entries = common::parse(CATALOGUE).expect("valid");
    entries.push(Entry::Group(e));
    let faults = validate::check(&entries).expect_err("bad values");
    let keys: Vec<&str> = faults.0.iter().filter_map(|f| f.key.as_deref()).collect();
    let expected = [
        "version",
        "range.0..8",
        "endpoints",
        "loads_at_once",
        "layers_per_second",
    ];
    assert_eq!(keys, expected);
}

#[test]
fn a_diff_shows_what_changes_in_a_group() {
    let old = Catalogue::from_entries(Revision(1), [Entry::Group(group(GROUP))]);
    let text = GROUP
        .replace("2026-11", "2026-12")
        .replace("8..32 = 1", "8..20 = 1\nrange.20..32 = 1");
    let new = Entry::Group(group(&text));
    let diff = Diff::between(&old, [&new], UndeclaredEntries::Keep);
    assert_eq!(
        diff.to_string(),
        "~ [group drill-lm geoje]\n    range.8..32: 1 -> none\n    version: 2026-11 -> 2026-12\n    \
         range.20..32: none -> 1\n    range.8..20: none -> 1\n"
    );
    assert_eq!(render::section(&new.key()), "group drill-lm geoje");
}
