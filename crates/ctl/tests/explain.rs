//! Runs `explain` on logs of hosts and checks which lines it shows.

mod common;

use common::{TempFile, run_command};
use dragonflyrill_ctl::report::Exit;

/// The log of the host that accepted request `a1`. Its lines don't name the host: the file name
/// does.
const REQUEST_HOST_LOG: &str = r#"{"t":100,"level":"INFO","part":"catalogue","m":"Catalogue is in force.","version":1}
{"t":20000,"level":"INFO","part":"catalogue","m":"Catalogue is in force.","version":2}
{"t":20500,"level":"INFO","part":"forward","m":"Request is answered.","id":"other","status":200}
{"t":21000,"level":"INFO","part":"forward","m":"Request is admitted.","id":"a1","catalogue":2}
{"t":21001,"level":"INFO","part":"forward","m":"Request is sent.","id":"a1","to":"e-1=0-4,e-2=4-8"}
{"t":21900,"level":"INFO","part":"forward","m":"Request is not served.","id":"a1","why":"Stale"}
{"t":22000,"level":"INFO","part":"fleet","m":"Endpoint is gone.","endpoint":"e-1"}
"#;

/// Logs of several hosts in one file, with a time and the host before each line. The last line is
/// not of a gateway's log.
const COLLECTED_LOG: &str = r#"20.9 host-b {"t":20900,"level":"INFO","part":"fleet","m":"Endpoint does not answer and is avoided.","endpoint":"e-2"}
20.9 host-b {"t":20900,"level":"INFO","part":"fleet","m":"Endpoint does not answer and is avoided.","endpoint":"e-9"}
20.9 host-c {"t":20905,"level":"INFO","part":"fleet","m":"Endpoint does not answer and is avoided.","endpoint":"e-2"}
20.9 host-b {"t":20910,"level":"INFO","part":"catalogue","m":"Catalogue is in force.","version":2}
the day begins
"#;

/// Writes both logs to files; `name` is used by one test only.
fn write_logs(name: &str) -> (TempFile, TempFile) {
    let own = TempFile::new(&format!("{name}-host-a.log"), REQUEST_HOST_LOG);
    let collected = TempFile::new(&format!("{name}-collected.log"), COLLECTED_LOG);
    (own, collected)
}

#[actix_rt::test]
async fn a_request_is_shown_with_lines_on_its_endpoints_and_its_host() {
    let (own, collected) = write_logs("plain");
    let (exit, out) = run_command(&["explain", "a1", own.path(), collected.path()]).await;
    assert_eq!(exit, Exit::Ok, "{out}");
    let lines: Vec<&str> = out.lines().collect();
    let starts = [
        "request a1; ms from its first line:",
        "h   -1000 ",
        "e    -100 host-b fleet: Endpoint does not answer and is avoided. endpoint=\"e-2\"",
        ">      +0 ",
        ">      +1 ",
        ">    +900 ",
        "1 lines are not of the gateway's log",
    ];
    assert_eq!(lines.len(), starts.len(), "{out}");
    for (line, start) in lines.iter().zip(starts) {
        assert!(line.starts_with(start), "{line} instead of {start}");
    }
    assert!(lines[1].contains("plain-host-a catalogue: Catalogue is in force. version=2"));
    assert!(lines[5].ends_with(r#"Request is not served. why="Stale""#));
}

/// The log of a host whose endpoints report their incarnation. An endpoint's id is then its name
/// and its incarnation, but a line on a faulty registry entry has only the name.
const INCARNATIONS_LOG: &str = r#"{"t":20800,"level":"WARN","part":"fleet","m":"An entry names no endpoint to use.","endpoint":"e-1","fault":"field","used_before":true,"why":"missing field `slots`"}
{"t":20850,"level":"WARN","part":"fleet","m":"An entry names no endpoint to use.","endpoint":"e-10","fault":"field","used_before":true,"why":"missing field `slots`"}
{"t":21000,"level":"INFO","part":"forward","m":"Request is sent.","id":"a1","to":"e-1·1700000000000=0-4,e-2·1700000000001=4-8"}
{"t":21100,"level":"INFO","part":"fleet","m":"Endpoint has ended: another incarnation has replaced it.","endpoint":"e-2·1700000000001","by":"e-2·1700000009000"}
{"t":21200,"level":"INFO","part":"forward","m":"Request is answered.","id":"a1","status":200}
"#;

#[actix_rt::test]
async fn a_faulty_entry_is_shown_for_requests_to_the_endpoint_of_its_name() {
    let log = TempFile::new("starts-host-a.log", INCARNATIONS_LOG);
    let (exit, out) = run_command(&["explain", "a1", log.path()]).await;
    assert_eq!(exit, Exit::Ok, "{out}");
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(lines.len(), 5, "{out}");
    assert!(lines[1].starts_with("e    -200 "), "{out}");
    assert!(
        lines[1].contains(r#"endpoint="e-1" fault="field""#),
        "{out}"
    );
    assert!(lines[3].contains("e-2·1700000009000"), "{out}");
}

#[actix_rt::test]
async fn before_ms_limits_how_far_back_host_lines_are_shown() {
    let (own, collected) = write_logs("back");
    let all = ["explain", "--before-ms", "30000", "a1", own.path()];
    let (_, out) = run_command(&all).await;
    assert!(out.contains("version=1"), "{out}");
    let none = [
        "explain",
        "--before-ms",
        "0",
        "a1",
        own.path(),
        collected.path(),
    ];
    let (_, out) = run_command(&none).await;
    assert!(!out.contains("catalogue:"), "{out}");
}

#[actix_rt::test]
async fn json_lines_keep_their_fields_and_add_host_and_role() {
    let (own, collected) = write_logs("json");
    let line = [
        "--output",
        "json",
        "explain",
        "a1",
        own.path(),
        collected.path(),
    ];
    let (exit, out) = run_command(&line).await;
    assert_eq!(exit, Exit::Ok);
    let report: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(report["id"], "a1");
    assert_eq!(report["lines"][1]["host"], "host-b");
    assert_eq!(report["lines"][1]["role"], "endpoint");
    assert_eq!(report["lines"][4]["why"], "Stale");
}

#[actix_rt::test]
async fn an_unknown_id_and_an_unreadable_file_are_reported() {
    let (own, _collected) = write_logs("unknown");
    let (exit, out) = run_command(&["explain", "a2", own.path()]).await;
    assert_eq!(exit, Exit::Invalid);
    assert!(out.starts_with("no line has id a2"), "{out}");
    let (exit, out) = run_command(&["explain", "a1", "no-such.log"]).await;
    assert_eq!(exit, Exit::Invalid);
    assert!(out.starts_with("no-such.log: cannot be read"), "{out}");
    let (exit, out) = run_command(&["explain", "a1"]).await;
    assert_eq!(
        (exit, out.as_str()),
        (Exit::Invalid, "no log file is given\n")
    );
}
