//! Invalid settings are refused with an error that names the place and the valid values.

use dragonflyrill_entry::settings::{Settings, Spans};
use proptest::prelude::*;

const VALID: &str = "[host]\nid = geoje-1\ndata_centre = geoje\n[listen]\ncallers = 10.0.0.1:80\n\
                    peers = 10.0.0.1:81\n[platform]\naddress = 10.0.0.9:2379\n";

fn message(text: &str) -> String {
    let errors = Settings::parse("e.ini", text).expect_err("invalid settings");
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn valid_settings_have_documented_defaults() {
    let settings = Settings::parse("e.ini", VALID).expect("valid settings");
    assert_eq!(settings.host.as_str(), "geoje-1");
    assert_eq!(settings.max_body_bytes, 1 << 20);
    assert_eq!(settings.spans, Spans::Off);
}

#[test]
fn documented_example_is_valid() {
    let text = include_str!("../../../config/entry.ini");
    Settings::parse("config/entry.ini", text).expect("the documented example");
}

#[test]
fn each_error_names_its_place() {
    let cases = [
        (
            "[host]\nid = geoje-1",
            "[host]\nid = Geoje 1",
            "e.ini: [host] id: \"Geoje 1\" can't be used",
        ),
        (
            "callers = 10.0.0.1:80",
            "callers = localhost:80",
            "e.ini: [listen] callers: \"localhost:80\" can't be used: an IP number",
        ),
        (
            "peers = 10.0.0.1:81\n",
            "",
            "e.ini: [listen] peers: is missing",
        ),
        (
            "[platform]",
            "[platform]\npoll_ms = 5",
            "e.ini: [platform] poll_ms: \"5\" can't be used: a whole number from 10 to 60000",
        ),
        (
            "[platform]",
            "[platform]\npol_ms = 50",
            "e.ini: [platform] pol_ms: is not known; known are: address, poll_ms, poll_hosts_ms, compare_ms",
        ),
        (
            "[platform]",
            "[drains]\n[platform]",
            "e.ini: [drains]: is not known; known are: host, listen",
        ),
        (
            "[platform]",
            "[spans]\nto = collector\n[platform]",
            "e.ini: [spans] to: \"collector\" can't be used: off, file:PATH or otlp:IP:PORT",
        ),
    ];
    for (from, to, expected) in cases {
        let message = message(&VALID.replace(from, to));
        assert!(message.contains(expected), "{message}");
    }
}

#[test]
fn all_errors_are_reported_together() {
    let message = message("[host]\nid = -\n[listen]\ncallers = x\n");
    assert_eq!(message.lines().count(), 5, "{message}");
}

proptest! {
    #[test]
    fn any_text_is_parsed_without_panic(text in "(\\[?[a-z]{1,8}\\]?( = [ -~]{0,12})?\n){0,12}") {
        let _ = Settings::parse("e.ini", &text);
    }
}
