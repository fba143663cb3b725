//! The judge on constructed evidence. Guards against a violation that is not found, which would
//! pass a faulty run, and against a finding without a violation.

use std::time::Duration;

use dragonflyrill_engines::wire::Layers;
use dragonflyrill_replay::{
    faults::FaultResult,
    judge::{self, Evidence, Finding, FindingState, recovery},
    ledger::{self, EngineEntry, Ledger, Ledgers, ServiceEntry},
    record::{Answer, CallAnswer, Record, Refusal, RequestOutcome, RunState},
    reference,
    run::RunResult,
    trace::{Trace, Work},
};

/// A trace with a generation of 2 tokens after a prompt of 4, a call that may not be repeated, and
/// every check that needs no fault.
const TRACE: &str = r#"{"trace":1,"deployment":"namhae","model":"drill-lm","layers":4}
{"kind":"request","at_ms":0,"id":"r","workspace":"w","class":"c","prompt_tokens":4,"max_tokens":2,"deadline_ms":1000,"stream":true,"data_centre":"geoje"}
{"kind":"call","at_ms":1,"id":"c","workspace":"w","class":"c","service":"quay-app","method":"POST","path":"/certificates","body":{"lot":1},"repeatable":false,"data_centre":"geoje"}
{"kind":"outcome","check":"answers_equal"}
{"kind":"outcome","check":"layers_once"}
{"kind":"outcome","check":"not_run_true"}
{"kind":"outcome","check":"at_most_once"}
{"kind":"outcome","check":"refused"}
{"kind":"outcome","check":"failed"}
{"kind":"outcome","check":"late"}"#;

/// Evidence of a run without violations. Each test modifies it.
struct Scenario {
    trace: Trace,
    run_result: RunResult,
    ledgers: Ledgers,
}

impl Scenario {
    fn new() -> Self {
        let trace = Trace::parse("t", TRACE).unwrap();
        let Work::Generation(generation) = &trace.arrivals[0].work else {
            panic!("not a generation");
        };
        let tokens = reference::expected_tokens(&trace.header, &trace.arrivals[0], generation);
        let echo = r#"{"service":"quay-app","endpoint":"e","method":"POST","path":"/certificates","body":"{\"lot\":1}","run":1}"#;
        let call = CallAnswer {
            status: 200,
            body: echo.into(),
        };
        let records = vec![
            record(0, RequestOutcome::Answered(Answer::Tokens(tokens))),
            record(1, RequestOutcome::Answered(Answer::Call(call))),
        ];
        let engine = |endpoint: &str, entries| Ledger {
            endpoint: endpoint.to_owned(),
            entries,
        };
        // The 4 positions of the prompt and the first token are fed to the model; the second token
        // is the last and is not.
        let ledgers = Ledgers {
            engines: vec![
                engine("a", vec![step(1, 0, 2, 0, 4), step(1, 0, 2, 4, 1)]),
                engine("b", vec![step(1, 2, 4, 0, 4), step(1, 2, 4, 4, 1)]),
            ],
            services: vec![Ledger {
                endpoint: "q".to_owned(),
                entries: vec![service("w/c", 1)],
            }],
            ..Ledgers::default()
        };
        let run_result = RunResult {
            records,
            ..RunResult::default()
        };
        Self {
            trace,
            run_result,
            ledgers,
        }
    }

    fn evidence(&self) -> Evidence<'_> {
        Evidence {
            trace: &self.trace,
            run_result: &self.run_result,
            ledgers: &self.ledgers,
        }
    }

    /// A description of each finding that is not kept.
    fn broken(&self) -> Vec<String> {
        let verdict = judge::judge(self.evidence());
        let findings = verdict
            .findings
            .iter()
            .filter(|f| f.state != FindingState::Kept);
        let lines: Vec<String> = findings.map(line).collect();
        assert_eq!(verdict.kept, lines.is_empty());
        lines
    }

    fn tokens(&mut self) -> &mut Vec<String> {
        match &mut self.run_result.records[0].outcome {
            RequestOutcome::Answered(Answer::Tokens(tokens)) => tokens,
            other => panic!("{other:?}"),
        }
    }
}

fn line(finding: &Finding) -> String {
    let Finding {
        check,
        state,
        examples,
        ..
    } = finding;
    format!("{check:?} {state:?} {}", examples.join("; "))
}

fn record(arrival: usize, outcome: RequestOutcome) -> Record {
    Record {
        arrival,
        intended: Duration::ZERO,
        first_token: None,
        streamed: Vec::new(),
        inter_token_gaps: Vec::new(),
        ended: Duration::from_millis(10),
        attempts: 1,
        protocol_errors: Vec::new(),
        outcome,
    }
}

fn step(attempt: u32, first: u32, end: u32, start: u32, count: u32) -> EngineEntry {
    EngineEntry {
        request: "w/r".to_owned(),
        attempt,
        layers: Layers { first, end },
        start,
        count,
    }
}

fn service(key: &str, count: u64) -> ServiceEntry {
    ServiceEntry {
        key: key.to_owned(),
        path: "/certificates".to_owned(),
        count,
    }
}

fn refusal(run: RunState) -> RequestOutcome {
    RequestOutcome::Refused(Refusal {
        status: 503,
        code: "overloaded".to_owned(),
        run,
    })
}

#[test]
fn a_run_without_violations_is_kept() {
    assert_eq!(Scenario::new().broken(), Vec::<String>::new());
}

#[test]
fn a_truncated_answer_is_found() {
    let mut scenario = Scenario::new();
    scenario.tokens().pop();
    assert_eq!(scenario.broken(), ["AnswersEqual Broken r: 1 tokens of 2"]);
}

#[test]
fn a_wrong_token_is_found() {
    let mut scenario = Scenario::new();
    scenario.tokens()[1].push('0');
    let expected = "AnswersEqual Broken r: token 1 differs from the reference";
    assert_eq!(scenario.broken(), [expected]);
}

#[test]
fn a_repeated_token_is_found() {
    let mut scenario = Scenario::new();
    let fault = "token 0 came where 1 was due";
    scenario.run_result.records[0]
        .protocol_errors
        .push(fault.to_owned());
    assert_eq!(
        scenario.broken(),
        [format!("AnswersEqual Broken r: {fault}")]
    );
}

#[test]
fn a_wrong_token_of_a_stream_that_failed_later_is_found() {
    let mut scenario = Scenario::new();
    let correct_token = scenario.tokens()[0].clone();
    let record = &mut scenario.run_result.records[0];
    record.outcome = refusal(RunState::Ran);
    record.streamed = vec![correct_token.clone()];
    assert_eq!(scenario.broken(), ["Failed Broken r: overloaded"]);
    scenario.run_result.records[0].streamed = vec![correct_token.clone() + "0"];
    let expected = "AnswersEqual Broken r: token 0 differs from the reference";
    assert_eq!(scenario.broken()[0], expected);
    scenario.run_result.records[0].streamed = vec![correct_token; 3];
    let expected = "AnswersEqual Broken r: 3 tokens streamed of 2";
    assert_eq!(scenario.broken()[0], expected);
}

#[test]
fn the_answer_to_another_call_is_found() {
    let mut scenario = Scenario::new();
    let echo =
        r#"{"service":"quay-app","method":"POST","path":"/certificates","body":"{\"lot\":2}"}"#;
    let answer = CallAnswer {
        status: 200,
        body: echo.into(),
    };
    scenario.run_result.records[1].outcome = RequestOutcome::Answered(Answer::Call(answer));
    let broken = scenario.broken();
    assert_eq!(broken.len(), 1);
    assert!(broken[0].starts_with("AnswersEqual Broken c: the answer is to another call"));
}

#[test]
fn a_repeated_step_is_found() {
    let mut scenario = Scenario::new();
    scenario.ledgers.engines[0]
        .entries
        .push(step(1, 0, 2, 4, 1));
    let expected = "LayersOnce Broken r: layers 0..2 ran position 4 twice in attempt 1";
    assert_eq!(scenario.broken(), [expected]);
}

#[test]
fn a_step_repeated_on_another_engine_is_found() {
    let mut scenario = Scenario::new();
    scenario.ledgers.engines[1]
        .entries
        .push(step(1, 1, 2, 2, 1));
    let expected = "LayersOnce Broken r: layers 1..2 ran position 2 twice in attempt 1";
    assert_eq!(scenario.broken(), [expected]);
}

#[test]
fn a_missed_layer_is_found() {
    let mut scenario = Scenario::new();
    scenario.ledgers.engines[1].entries[0] = step(1, 3, 4, 0, 4);
    let expected = "LayersOnce Broken r: layers 2..3 did not run position 0";
    assert_eq!(scenario.broken(), [expected]);
}

#[test]
fn a_missed_position_is_found() {
    let mut scenario = Scenario::new();
    scenario.ledgers.engines[1].entries.pop();
    let expected = "LayersOnce Broken r: layers 2..4 did not run position 4";
    assert_eq!(scenario.broken(), [expected]);
}

#[test]
fn a_rebuild_by_a_later_attempt_is_counted_and_kept() {
    let mut scenario = Scenario::new();
    scenario.ledgers.engines[0].entries[1] = step(2, 0, 2, 0, 5);
    assert_eq!(scenario.broken(), Vec::<String>::new());
    assert_eq!(
        judge::layers::rebuilt_layer_positions(scenario.evidence()),
        8
    );
}

#[test]
fn a_false_not_run_of_a_generation_is_found() {
    let mut scenario = Scenario::new();
    scenario.run_result.records[0].outcome = refusal(RunState::NotRun);
    let expected = [
        "NotRunTrue Broken r: reported as not run, ran 4 steps or calls",
        "Refused Broken r: overloaded",
    ];
    assert_eq!(scenario.broken(), expected);
}

#[test]
fn a_correct_not_run_counts_only_as_a_refusal() {
    let mut scenario = Scenario::new();
    scenario.run_result.records[0].outcome = refusal(RunState::NotRun);
    scenario.ledgers.engines.clear();
    assert_eq!(scenario.broken(), ["Refused Broken r: overloaded"]);
}

#[test]
fn a_false_not_run_of_a_call_is_found_under_the_bare_key_too() {
    let mut scenario = Scenario::new();
    scenario.run_result.records[1].outcome = refusal(RunState::NotRun);
    scenario.ledgers.services[0].entries[0] = service("c", 1);
    let found = "NotRunTrue Broken c: reported as not run, ran 1 steps or calls";
    assert!(scenario.broken().contains(&found.to_owned()));
}

#[test]
fn a_double_dispatch_is_found_on_one_service() {
    let mut scenario = Scenario::new();
    scenario.ledgers.services[0].entries[0].count = 2;
    assert_eq!(scenario.broken(), ["AtMostOnce Broken c: ran 2 times"]);
}

#[test]
fn a_double_dispatch_is_found_over_two_services() {
    let mut scenario = Scenario::new();
    scenario.ledgers.services.push(Ledger {
        endpoint: "q2".to_owned(),
        entries: vec![service("w/c", 1)],
    });
    assert_eq!(scenario.broken(), ["AtMostOnce Broken c: ran 2 times"]);
}

#[test]
fn work_that_may_have_run_counts_as_failed() {
    let mut scenario = Scenario::new();
    scenario.run_result.records[1].outcome = refusal(RunState::MayHaveRun);
    assert_eq!(scenario.broken(), ["Failed Broken c: overloaded"]);
}

#[test]
fn an_answer_after_the_deadline_is_found() {
    let mut scenario = Scenario::new();
    scenario.run_result.records[0].ended = Duration::from_millis(1001);
    assert_eq!(scenario.broken(), ["Late Broken r: 1001 ms of 1000"]);
}

#[test]
fn a_lost_engine_ledger_leaves_checks_of_engine_ledgers_unproved() {
    let mut scenario = Scenario::new();
    scenario.ledgers.engine_gaps.insert("gap".to_owned());
    let expected = ["LayersOnce Unproved gap", "NotRunTrue Unproved gap"];
    assert_eq!(scenario.broken(), expected);
}

#[test]
fn a_lost_service_ledger_leaves_checks_of_service_ledgers_unproved() {
    let mut scenario = Scenario::new();
    scenario.ledgers.service_gaps.insert("gap".to_owned());
    let expected = ["NotRunTrue Unproved gap", "AtMostOnce Unproved gap"];
    assert_eq!(scenario.broken(), expected);
}

#[test]
fn a_violation_beside_a_lost_ledger_is_still_broken() {
    let mut scenario = Scenario::new();
    scenario.ledgers.service_gaps.insert("gap".to_owned());
    scenario.ledgers.services[0].entries[0].count = 2;
    let expected = "AtMostOnce Broken c: ran 2 times; gap";
    assert!(scenario.broken().contains(&expected.to_owned()));
}

#[test]
fn a_run_that_did_not_send_all_requests_is_not_kept() {
    let mut scenario = Scenario::new();
    scenario.run_result.records.pop();
    let verdict = judge::judge(scenario.evidence());
    assert!(!verdict.kept);
    assert_eq!(verdict.invalid.len(), 1);
}

#[test]
fn a_run_with_a_fault_that_was_not_injected_is_not_kept() {
    let mut scenario = Scenario::new();
    let text = format!(
        "{TRACE}\n{}",
        r#"{"kind":"fault","at_ms":1,"id":"f","do":"kill","target":"e"}"#
    );
    scenario.trace = Trace::parse("t", &text).unwrap();
    scenario.run_result.faults.push(FaultResult {
        id: "f".to_owned(),
        at: Duration::ZERO,
        error: Some("refused".to_owned()),
    });
    let verdict = judge::judge(scenario.evidence());
    assert_eq!(verdict.invalid, ["0 of 1 faults were done"]);
}

#[test]
fn ledgers_are_read_as_an_array_or_as_lines() {
    let one = r#"{"key":"k","path":"/p","count":2,"at_ms":7,"request_id":""}"#;
    let array: Vec<ServiceEntry> = ledger::parse(format!(" [{one},{one}]").as_bytes()).unwrap();
    let lines: Vec<ServiceEntry> = ledger::parse(format!("{one}\n{one}\n").as_bytes()).unwrap();
    assert_eq!(array.len(), 2);
    assert_eq!(array, lines);
    assert!(ledger::parse::<ServiceEntry>(b"").unwrap().is_empty());
}

/// One request every 10 ms for 3 s, each answered after 10 ms, except for a stall: the requests
/// sent from 990 ms to `until` ms are answered 1 ms after `until`.
fn stalled_until(until: u64) -> Vec<recovery::Sample> {
    let at = |n: u64| n * 10;
    let samples = (0..300).map(|n| {
        let stalled = (990..until).contains(&at(n));
        let answered = if stalled { until + 1 } else { at(n) + 10 };
        recovery::Sample {
            intended: Duration::from_millis(at(n)),
            answered: Some(Duration::from_millis(answered)),
        }
    });
    samples.collect()
}

fn recovered(samples: &[recovery::Sample]) -> Option<u64> {
    let window = Duration::from_millis(500);
    let found = recovery::measure(samples, Duration::from_secs(1), window).unwrap();
    found.recovered.map(|time| time.as_millis() as u64)
}

#[test]
fn a_run_without_a_dip_recovers_at_once() {
    assert_eq!(recovered(&stalled_until(0)), Some(0));
}

#[test]
fn the_recovery_is_timed_to_the_first_recovered_window() {
    // The window that starts 5 % of its length before the end of the stall reaches the minimum
    // ratio.
    assert_eq!(recovered(&stalled_until(1800)), Some(800));
}

#[test]
fn answers_to_a_backlog_do_not_hide_a_stall_shorter_than_the_window() {
    let found = recovered(&stalled_until(1200));
    assert_eq!(found, Some(200));
}

#[test]
fn a_stall_until_the_end_is_not_a_recovery() {
    assert_eq!(recovered(&stalled_until(3000)), None);
}

#[test]
fn no_recovery_is_measured_if_nothing_completed_before_the_fault() {
    let samples = [recovery::Sample {
        intended: Duration::ZERO,
        answered: None,
    }];
    let window = Duration::from_millis(500);
    assert_eq!(
        recovery::measure(&samples, Duration::from_secs(1), window),
        None
    );
}
