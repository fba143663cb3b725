//! Tests that every mistake in a declaration is reported, with its location and the valid values.

mod common;

use common::{CATALOGUE, faults};
use dragonflyrill_catalogue::{fault::FaultKind, validate};

#[test]
fn the_example_is_accepted() {
    let entries = common::parse(CATALOGUE).expect("valid");
    assert_eq!(entries.len(), 8);
    assert_eq!(validate::check(&entries), Ok(()));
}

#[test]
fn a_fault_names_file_section_key_value_and_the_valid_values() {
    let text = "[workspace a]\nweight = none\n";
    assert_eq!(
        faults(text),
        ["test.ini: [workspace a] weight = \"none\": bad value; \
          expected a whole number from 1 to 4294967295"]
    );
}

#[test]
fn all_faults_of_a_file_are_reported() {
    let text = "[workspace a]\nwheight = 3\n[model m]\nlayers = 0\n[nothing]\n[service s]\nx\n";
    assert_eq!(
        faults(text),
        [
            "test.ini:7: \"x\": not understood; \
             expected a comment, `[section]` or `key = value` on a line of its own",
            "test.ini: [workspace a] wheight = \"3\": unknown key; expected one of weight",
            "test.ini: [model m] layers = \"0\": bad value; \
             expected a whole number from 1 to 4294967295",
            "test.ini: [model m] context: missing; expected a whole number from 1 to 4294967295",
            "test.ini: [nothing]: bad section; expected [workspace NAME], [model NAME], \
             [service NAME], [limit WORKSPACE/TARGET/CLASS], [endpoint ID], \
             [link DATA_CENTRE DATA_CENTRE], [data_centre NAME] or [group MODEL DATA_CENTRE]",
        ]
    );
}

#[test]
fn lines_that_the_ini_library_would_join_or_drop_are_refused() {
    for line in [
        "weight = 1 \\",
        "weight",
        "  weight",
        "[workspace b",
        "[workspace b] weight = 2",
        "= 3",
        "weight = 1\u{0}",
    ] {
        let text = format!("[workspace a]\n{line}\n");
        let faults = common::parse(&text).expect_err(line);
        assert_eq!(faults.0[0].kind, FaultKind::Syntax, "{line}");
        assert_eq!(faults.0[0].line, Some(2), "{line}");
    }
}

#[test]
fn an_indented_comment_is_a_comment() {
    let text = "[workspace a]\n  ; not a key\n\t# nor this = 1\nweight = 2\n";
    assert_eq!(common::parse(text).expect("valid").len(), 1);
}

#[test]
fn bad_values_are_refused() {
    let number = "a decimal number above 0, up to 1000000000";
    for (key, value, expected) in [
        ("requests_per_second", "0", number),
        ("requests_per_second", "-1", number),
        ("requests_per_second", "nan", number),
        ("requests_per_second", "inf", number),
        ("requests_per_second", "1e3", number),
        ("requests_per_second", "1000000001", number),
        ("requests_per_second", "0.0000001", number),
        ("burst_seconds", "0", number),
        ("in_flight", "0", "a whole number from 1"),
        ("in_flight", "+1", "a whole number from 1"),
        ("in_flight", "4294967296", "a whole number from 1"),
        ("priority", "256", "a whole number from 0 to 255"),
        ("repeatable", "yes", "true or false"),
        ("share.geoje", "1.1", "a fraction from 0 to 1"),
        ("share.Geoje", "0.1", "share.DATA_CENTRE"),
    ] {
        let base: Vec<&str> = CATALOGUE.lines().filter(|l| !l.starts_with(key)).collect();
        let limit = "[limit co-op/drill-lm/interactive]";
        let with = format!("{limit}\n{key} = {value}");
        let found = faults(&base.join("\n").replace(limit, &with));
        assert_eq!(found.len(), 1, "{found:?}");
        let start = format!("test.ini: {limit} {key} = \"{value}\": ");
        assert!(found[0].starts_with(&start), "{found:?}");
        assert!(found[0].contains(expected), "{found:?}");
    }
}

#[test]
fn a_duplicate_entry_is_refused_in_either_order_of_a_links_ends() {
    let link = "latency_us = 1\nmbit_per_second = 1\n";
    let text = format!("[link a b]\n{link}[link b a]\n{link}");
    assert_eq!(
        faults(&text),
        ["test.ini: [link a b]: declared twice; \
          expected one section for each entry; the first is in test.ini"]
    );
}

#[test]
fn a_duplicate_key_is_refused() {
    assert_eq!(
        faults("[workspace a]\nweight = 1\nweight = 2\n"),
        ["test.ini: [workspace a] weight = \"2\": declared twice; expected each key once"]
    );
}

#[test]
fn a_key_before_the_first_section_is_refused() {
    assert_eq!(
        faults("weight = 1\n"),
        ["test.ini: weight = \"1\": bad section; expected a section before the first key"]
    );
}

fn contradictions(from: &str, to: &str) -> Vec<String> {
    assert!(CATALOGUE.contains(from));
    let entries = common::parse(&CATALOGUE.replace(from, to)).expect("each entry alone is valid");
    let faults = validate::check(&entries).expect_err("a contradiction");
    faults.0.iter().map(ToString::to_string).collect()
}

#[test]
fn entries_that_contradict_each_other_are_refused() {
    let limit = "catalogue: [limit co-op/drill-lm/interactive]";
    let fit = "does not fit the catalogue; expected";
    for (from, to, expected) in [
        (
            "[workspace co-op]",
            "[workspace other]",
            format!("{limit} \"co-op\": {fit} a workspace that is declared"),
        ),
        (
            "[model drill-lm]",
            "[model other]",
            format!("{limit} \"drill-lm\": {fit} a model or service that is declared"),
        ),
        (
            "share.geoje = 0.4",
            "share.geoje = 0.6\nshare.tongyeong = 0.5",
            format!("{limit} share.* = \"1.1\": {fit} shares that sum to at most 1"),
        ),
        (
            "share.geoje = 0.4",
            "share.goeje = 0.4",
            format!(
                "{limit} share.goeje = \"goeje\": {fit} a data centre that is declared; \
                 declared: geoje, tongyeong"
            ),
        ),
        (
            "[link tongyeong geoje]",
            "[link tongyeong namhae]",
            format!(
                "catalogue: [link namhae tongyeong] \"namhae\": {fit} a data centre that is \
                 declared; declared: geoje, tongyeong"
            ),
        ),
        (
            "tokens_per_second = 40000\n",
            "",
            format!(
                "{limit} tokens_per_second = \"0\": bad value; expected a number above 0, up to 1000000000"
            ),
        ),
        (
            "[service quay-app]",
            "[service drill-lm]",
            format!("catalogue: [service drill-lm] \"drill-lm\": {fit} a name that no model has"),
        ),
    ] {
        assert_eq!(contradictions(from, to), [expected]);
    }
}

#[test]
fn a_data_centre_has_a_section_without_keys() {
    let entries = common::parse("[data_centre a]\n[data_centre b]\n").expect("valid");
    assert_eq!(entries.len(), 2);
    assert_eq!(
        faults("[data_centre a]\nregion = x\n"),
        ["test.ini: [data_centre a] region = \"x\": unknown key; expected no key in this section"]
    );
    assert_eq!(
        faults("[data_centre a]\n[data_centre a]\n"),
        ["test.ini: [data_centre a]: declared twice; \
          expected one section for each entry; the first is in test.ini"]
    );
}

#[test]
fn limits_without_any_data_centre_are_refused_once() {
    let data_centres = "[data_centre geoje]\n\n[data_centre tongyeong]\n";
    let text = CATALOGUE.replace(data_centres, "");
    let more = text.replace("share.geoje = 0.4\n", "");
    let link = more.find("[link").expect("a link");
    let batch = more[more.find("[limit").expect("a limit")..link].replace("interactive", "batch");
    let batch = &batch[..batch.find("[endpoint").expect("an endpoint")];
    let entries = common::parse(&format!("{}{batch}", &more[..link])).expect("valid alone");
    let found = validate::check(&entries).expect_err("nothing to split over");
    assert_eq!(
        found.to_string(),
        "catalogue: [limit co-op/drill-lm/batch]: does not fit the catalogue; \
         expected at least one [data_centre NAME] for limits to be split over"
    );
}
