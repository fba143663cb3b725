//! Replay of a trace against a fake entry host. Guards against callers that do not retry or resume
//! as a real client does, and against records that omit an error in the received answer.

mod support;

use std::rc::Rc;

use dragonflyrill_replay::{
    faults::FaultInjector,
    hosts::Addresses,
    judge,
    ledger::Ledgers,
    record::{Answer, Record, RequestOutcome, RunState},
    run::{self, Options},
    trace::Trace,
};
use support::{Reply, fake_host, json, stream, token};

const HEADER: &str = r#"{"trace":1,"deployment":"namhae","model":"drill-lm","layers":32}"#;

fn request(stream: bool) -> String {
    format!(
        r#"{{"kind":"request","at_ms":0,"id":"r","workspace":"w","class":"c","prompt_tokens":4,"max_tokens":2,"deadline_ms":20000,"stream":{stream},"data_centre":"geoje"}}"#
    )
}

async fn run_one(line: &str, hosts: &[std::net::SocketAddr]) -> Record {
    let trace = Trace::parse("t", &format!("{HEADER}\n{line}")).unwrap();
    let mut entries = Addresses::new();
    entries.insert("geoje".try_into().unwrap(), hosts.to_vec());
    let options = Options {
        speed: 1.0,
        entries,
        retries: 3,
        max_in_flight: 10,
        seed: 1,
        run_id: "t".to_owned(),
    };
    let mut run_result =
        run::run(&Rc::new(trace), &options, &FaultInjector::default(), |_| {}).await;
    run_result.records.remove(0)
}

#[actix_rt::test]
async fn a_run_stops_at_its_limit_of_requests_in_flight() {
    let again = request(false).replace("\"r\"", "\"r2\"");
    let lines = [HEADER, &request(false), &again].join("\n");
    let trace = Rc::new(Trace::parse("t", &lines).unwrap());
    let mut entries = Addresses::new();
    let (addr, received) = fake_host(vec![Reply::Close(String::new())]).await;
    entries.insert("geoje".try_into().unwrap(), vec![addr]);
    let options = Options {
        speed: 1.0,
        entries,
        retries: 0,
        max_in_flight: 1,
        seed: 1,
        run_id: String::new(),
    };
    let run_result = run::run(&trace, &options, &FaultInjector::default(), |_| {}).await;
    assert_eq!(run_result.records.len(), 1);
    assert_eq!(run_result.peak_in_flight, 1);
    assert_eq!(received.0.borrow().len(), 1);
    let evidence = judge::Evidence {
        trace: &trace,
        run_result: &run_result,
        ledgers: &Ledgers::default(),
    };
    let verdict = judge::judge(evidence);
    assert!(!verdict.kept);
    assert_eq!(
        verdict.invalid[0],
        "1 requests were not sent or not followed"
    );
}

fn tokens(texts: &[&str]) -> RequestOutcome {
    let texts = texts.iter().map(|t| (*t).to_owned()).collect();
    RequestOutcome::Answered(Answer::Tokens(texts))
}

#[actix_rt::test]
async fn an_unstreamed_answer_is_split_into_tokens() {
    let body = r#"{"choices":[{"index":0,"text":" ab 1","finish_reason":"length"}]}"#;
    let (addr, received) = fake_host(vec![Reply::KeepOpen(json("200 OK", "", body))]).await;
    let record = run_one(&request(false), &[addr]).await;
    assert_eq!(record.outcome, tokens(&[" ab", " 1"]));
    let received = received.0.borrow();
    assert!(received[0].starts_with("POST /v1/completions HTTP/1.1"));
    assert!(
        received[0]
            .to_lowercase()
            .contains("idempotency-key: t.r\r\n")
    );
    assert!(received[0].to_lowercase().contains("x-workspace: w\r\n"));
}

#[actix_rt::test]
async fn a_broken_stream_is_resumed_after_the_last_token() {
    let interrupted = stream(&token(0, " ab"));
    let rest = stream(&(token(1, " 1") + "data: [DONE]\n\n"));
    let (addr, received) = fake_host(vec![Reply::Close(interrupted), Reply::Close(rest)]).await;
    let record = run_one(&request(true), &[addr]).await;
    assert_eq!(record.outcome, tokens(&[" ab", " 1"]));
    assert_eq!(record.protocol_errors, Vec::<String>::new());
    assert_eq!(record.attempts, 2);
    let received = received.0.borrow();
    assert!(
        received[1].starts_with("GET /v1/requests/r1/events"),
        "{}",
        received[1]
    );
    assert!(received[1].to_lowercase().contains("last-event-id: 0\r\n"));
}

#[actix_rt::test]
async fn a_stream_that_cannot_be_resumed_is_retried_with_its_key() {
    let interrupted = stream(&token(0, " ab"));
    let unknown = json("404 Not Found", "", "{}");
    let complete = stream(&(token(0, " ab") + &token(1, " 1") + "data: [DONE]\n\n"));
    let replies = vec![
        Reply::Close(interrupted),
        Reply::KeepOpen(unknown),
        Reply::Close(complete),
    ];
    let (addr, received) = fake_host(replies).await;
    let record = run_one(&request(true), &[addr]).await;
    assert_eq!(record.outcome, tokens(&[" ab", " 1"]));
    assert_eq!(record.protocol_errors, Vec::<String>::new());
    assert!(received.0.borrow()[2].starts_with("POST /v1/completions"));
}

#[actix_rt::test]
async fn a_repeated_token_is_recorded() {
    let complete =
        stream(&(token(0, " ab") + &token(0, " ab") + &token(1, " 1") + "data: [DONE]\n\n"));
    let (addr, _) = fake_host(vec![Reply::Close(complete)]).await;
    let record = run_one(&request(true), &[addr]).await;
    assert_eq!(record.protocol_errors, ["token 0 came where 1 was due"]);
}

#[actix_rt::test]
async fn a_refusal_that_ran_nothing_is_retried() {
    let body = r#"{"error":{"code":"overloaded","message":"m","run":"not_run"}}"#;
    let refused = json("503 Service Unavailable", "retry-after: 0\r\n", body);
    let answer = json("200 OK", "", r#"{"choices":[{"index":0,"text":" 1 2"}]}"#);
    let (addr, _) = fake_host(vec![Reply::KeepOpen(refused), Reply::KeepOpen(answer)]).await;
    let record = run_one(&request(false), &[addr]).await;
    assert_eq!(record.outcome, tokens(&[" 1", " 2"]));
    assert_eq!(record.attempts, 2);
}

#[actix_rt::test]
async fn not_run_after_a_lost_attempt_is_recorded_as_may_have_run() {
    let body = r#"{"error":{"code":"limit","message":"m","run":"not_run"}}"#;
    let refused = json("429 Too Many Requests", "", body);
    let (addr, _) = fake_host(vec![Reply::Close(String::new()), Reply::KeepOpen(refused)]).await;
    let record = run_one(&request(false), &[addr]).await;
    let RequestOutcome::Refused(refusal) = record.outcome else {
        panic!("{:?}", record.outcome);
    };
    assert_eq!((refusal.status, refusal.run), (429, RunState::MayHaveRun));
}
