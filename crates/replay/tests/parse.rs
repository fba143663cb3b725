//! Rejected traces. Guards against a faulty trace that is accepted, a parser that panics, and an
//! error message that does not name the file, line and field at fault.

use dragonflyrill_replay::trace::{Trace, TraceErrorKind};
use proptest::prelude::*;

const HEADER: &str = r#"{"trace":1,"deployment":"namhae","model":"drill-lm","layers":32}"#;
const REQUEST: &str = r#"{"kind":"request","at_ms":5,"id":"r1","workspace":"w","class":"c","prompt_tokens":4,"max_tokens":2,"stream":true,"data_centre":"geoje"}"#;

fn parse_error(lines: &[&str]) -> String {
    let text = lines.join("\n");
    Trace::parse("t.jsonl", &text).unwrap_err().to_string()
}

#[test]
fn a_valid_trace_is_sorted_by_time() {
    let earlier = REQUEST
        .replace("r1", "r0")
        .replace("\"at_ms\":5", "\"at_ms\":1");
    let text = [HEADER, REQUEST, "", &earlier].join("\n");
    let trace = Trace::parse("t", &text).unwrap();
    let ids: Vec<&str> = trace.arrivals.iter().map(|a| a.id.as_str()).collect();
    assert_eq!(ids, ["r0", "r1"]);
}

#[test]
fn an_unknown_field_is_rejected_with_its_line() {
    let line = REQUEST.replace("\"stream\"", "\"streem\":1,\"stream\"");
    let message = parse_error(&[HEADER, "", &line]);
    assert!(
        message.starts_with("t.jsonl:3: unknown field `streem`"),
        "{message}"
    );
}

#[test]
fn an_unknown_header_field_is_rejected() {
    let message = parse_error(&[&HEADER.replace("layers", "layer")]);
    assert!(
        message.starts_with("t.jsonl:1: unknown field `layer`"),
        "{message}"
    );
}

#[test]
fn another_version_is_rejected() {
    let message = parse_error(&[&HEADER.replace("\"trace\":1", "\"trace\":2")]);
    assert_eq!(
        message,
        "t.jsonl:1: trace version 2 is not known; this tool reads version 1"
    );
}

#[test]
fn an_empty_file_is_rejected() {
    let error = Trace::parse("t", "\n \n").unwrap_err();
    assert_eq!(error.kind, TraceErrorKind::Empty);
}

#[test]
fn a_duplicate_id_is_rejected() {
    let message = parse_error(&[HEADER, REQUEST, REQUEST]);
    assert_eq!(
        message,
        "t.jsonl:3: id \"r1\" stands in an earlier line too"
    );
}

#[test]
fn an_invalid_name_is_rejected_with_its_field() {
    let message = parse_error(&[HEADER, &REQUEST.replace("\"w\"", "\"W\"")]);
    assert!(
        message.starts_with("t.jsonl:2: workspace: 'W' is not allowed"),
        "{message}"
    );
}

#[test]
fn an_empty_prompt_is_rejected() {
    let message = parse_error(&[HEADER, &REQUEST.replace("_tokens\":4", "_tokens\":0")]);
    assert_eq!(
        message,
        "t.jsonl:2: prompt_tokens = 0: must be from 1 to 1048576"
    );
}

#[test]
fn a_recovery_of_an_unknown_fault_is_rejected() {
    let line = r#"{"kind":"outcome","check":"recovery","fault":"f1","max_ms":5}"#;
    let message = parse_error(&[HEADER, line]);
    assert_eq!(
        message,
        "t.jsonl:2: fault \"f1\" does not stand in this trace"
    );
}

#[test]
fn a_recovery_without_a_bound_is_rejected() {
    let line = r#"{"kind":"outcome","check":"recovery","fault":"f1"}"#;
    let message = parse_error(&[HEADER, line]);
    assert_eq!(
        message,
        "t.jsonl:2: max_ms is missing: the check \"recovery\" needs it"
    );
}

#[test]
fn a_signal_with_a_body_is_rejected() {
    let line =
        r#"{"kind":"fault","at_ms":1,"id":"f","do":"kill","target":"engine-1","body":{"x":1}}"#;
    let message = parse_error(&[HEADER, line]);
    assert_eq!(
        message,
        "t.jsonl:2: body has no meaning here: only \"do\":\"post\" has a body"
    );
}

#[test]
fn a_key_used_for_other_work_is_rejected() {
    let other = REQUEST
        .replace("\"r1\"", "\"r2\",\"key\":\"r1\"")
        .replace("_tokens\":4", "_tokens\":5");
    let message = parse_error(&[HEADER, REQUEST, &other]);
    assert_eq!(
        message,
        "t.jsonl:3: key \"r1\" stands in an earlier line for other work"
    );
}

#[test]
fn a_post_outside_the_control_interface_is_rejected() {
    let line = r#"{"kind":"fault","at_ms":1,"id":"f","do":"post","target":"e","path":"/v1/steps","body":{}}"#;
    let message = parse_error(&[HEADER, line]);
    assert_eq!(
        message,
        "t.jsonl:2: path = \"/v1/steps\": must be below /standin/"
    );
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in "(?s).{0,300}") {
        let _ = Trace::parse("t", &text);
    }

    #[test]
    fn errors_in_arbitrary_lines_after_a_header_name_the_line(line in "\\PC{1,200}") {
        if let Err(e) = Trace::parse("t", &format!("{HEADER}\n{line}")) {
            prop_assert_eq!(e.line, 2);
        }
    }

    #[test]
    fn corrupted_requests_never_panic(position in 0..REQUEST.len(), replacement in "[\"{}:,0-9a-z-]{0,8}") {
        let line = format!("{}{replacement}{}", &REQUEST[..position], &REQUEST[(position + 1).min(REQUEST.len())..]);
        let _ = Trace::parse("t", &format!("{HEADER}\n{line}"));
    }
}
