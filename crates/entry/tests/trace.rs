//! A request has one trace from the caller to the last stage, with a span for each hop. The test
//! guards against a hop without a span and against a span outside the caller's trace.
//!
//! This is a test binary of its own because spans can be set up only once in a process.

mod common;

use common::Fleet;
use dragonflyrill_telemetry::spans;
use serde_json::{Value, json};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN: &str = "b7ad6b7169203331";

fn spans_named<'a>(spans: &'a [Value], name: &str) -> Vec<&'a Value> {
    spans.iter().filter(|s| s["name"] == name).collect()
}

#[actix_rt::test]
async fn each_hop_of_a_request_has_a_span_in_the_callers_trace() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("spans.jsonl");
    let guard = spans::to_file("entry-test", &path).expect("a file");

    let fleet = Fleet::start(1).await;
    let req = json!({"model": "m", "prompt": "trace", "max_tokens": 3});
    let call = fleet
        .completion(0)
        .insert_header(("traceparent", format!("00-{TRACE}-{CALLER_SPAN}-01")));
    let rsp = call.send_json(&req).await.expect("an answer");
    assert_eq!(rsp.status(), 200);
    drop(guard);

    let text = std::fs::read_to_string(&path).expect("spans");
    let spans: Vec<Value> = text
        .lines()
        .map(|l| serde_json::from_str(l).expect("JSON"))
        .collect();
    let traced: Vec<Value> = spans.into_iter().filter(|s| s["trace"] == TRACE).collect();
    let request = spans_named(&traced, "request");
    assert_eq!(request.len(), 1);
    assert_eq!(request[0]["parent"], CALLER_SPAN);
    assert_eq!(spans_named(&traced, "admit").len(), 1);
    let steps = spans_named(&traced, "step");
    assert_eq!(steps.len(), 6, "two stages, three tokens");
    for step in steps {
        assert_eq!(step["parent"], request[0]["span"]);
    }
}
