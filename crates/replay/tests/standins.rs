//! The program against in-process stand-ins. Guards against ledgers that are misread or whose gaps
//! are not reported, faults that are not injected, and a wrong answer of the chain driven directly.

mod support;

use std::{collections::BTreeSet, fs, time::Duration};

use actix_rt::time::Instant;
use dragonflyrill_engines::wire::Layers;
use dragonflyrill_replay::{
    client::CallerContext,
    faults::{self, FaultInjector},
    hosts::{Addresses, Hosts},
    ledger::Ledgers,
    load::{
        self, RequestSpec, cpu,
        direct::{self, Chain, Stage},
    },
    record::{Answer, RequestOutcome},
    reference,
    targets::Targets,
    trace::{Trace, Work},
};
use dragonflyrill_standins::{Running, engine, service};
use support::{Reply, fake_host, json};

const HEADER: &str = r#"{"trace":1,"deployment":"namhae","model":"drill-lm","layers":8}"#;

fn engine_config(id: &str, first: u32, end: u32) -> engine::EngineConfig {
    let mut cfg = engine::EngineConfig::new(id, "drill-lm", 8);
    cfg.layers = Layers { first, end };
    cfg
}

async fn engines() -> Running {
    let cfgs = vec![engine_config("a", 0, 3), engine_config("b", 3, 8)];
    engine::start(cfgs).await.unwrap()
}

fn targets(engines: &Running, service: &Running) -> Targets {
    let [a, b] = engines.addrs() else {
        panic!("two engines");
    };
    let q = service.addr();
    let text = format!(
        "[a]\nrole = engine\naddress = {a}\n[b]\nrole = engine\naddress = {b}\n\
         [q]\nrole = service\naddress = {q}\n"
    );
    Targets::parse("targets.ini", &text).unwrap()
}

fn context() -> CallerContext {
    CallerContext {
        http: awc::Client::default(),
        hosts: Hosts::new(&Addresses::new(), 1),
        origin: Instant::now(),
        retries: 0,
        run_id: "t".to_owned(),
    }
}

#[actix_rt::test]
async fn a_chain_driven_directly_gives_the_reference_answer_and_ledger_entries() {
    let engines = engines().await;
    let service = service::start(vec![service::ServiceConfig::new("q", "quay-app")]);
    let service = service.await.unwrap();
    let spec = RequestSpec {
        model: "drill-lm".to_owned(),
        layers: 8,
        prompt_tokens: 6,
        max_tokens: 3,
        workspace: "w".to_owned(),
        class: "c".to_owned(),
        data_centre: "geoje".to_owned(),
    };
    let (header, mut arrival) = load::request_template(&spec).unwrap();
    arrival.key = "k".to_owned();
    let stages = [(0, 3), (3, 8)].into_iter().zip(engines.addrs());
    let stages = stages.map(|((first, end), addr)| Stage {
        addr: *addr,
        layers: Layers { first, end },
    });
    let chain = Chain::new(stages.collect(), 8).unwrap();
    let record = direct::run_request(&context(), &chain, 0, &arrival, Duration::ZERO).await;
    let Work::Generation(generation) = &arrival.work else {
        panic!("not a generation");
    };
    let tokens = reference::expected_tokens(&header, &arrival, generation);
    assert_eq!(
        record.outcome,
        RequestOutcome::Answered(Answer::Tokens(tokens))
    );

    let targets = targets(&engines, &service);
    let ledgers = Ledgers::fetch(&awc::Client::default(), &targets, &[]).await;
    assert_eq!(ledgers.gaps(), BTreeSet::new());
    let steps: Vec<usize> = ledgers.engines.iter().map(|l| l.entries.len()).collect();
    assert_eq!(steps, [3, 3]);
    assert_eq!(ledgers.engines[0].entries[0].request, "w/t-direct-k");
    engines.stop().await;
    service.stop().await;
}

#[actix_rt::test]
async fn a_ledger_that_cannot_be_read_is_a_gap() {
    let (addr, _) = fake_host(vec![Reply::KeepOpen(json("404 Not Found", "", "{}"))]).await;
    let text =
        format!("[gone]\nrole = engine\naddress = {addr}\n[q]\nrole = service\naddress = {addr}\n");
    let targets = Targets::parse("t", &text).unwrap();
    let ledgers = Ledgers::fetch(&awc::Client::default(), &targets, &[]).await;
    let gaps = Vec::from_iter(ledgers.gaps());
    let reason = "could not be read: status 404 Not Found";
    let expected = ["gone", "q"].map(|name| format!("the ledger of {name} {reason}"));
    assert_eq!(gaps, expected);
}

#[actix_rt::test]
async fn faults_are_posted_and_signals_are_written_to_the_orders_file() {
    let engines = engines().await;
    let service = service::start(vec![service::ServiceConfig::new("q", "quay-app")]);
    let service = service.await.unwrap();
    let lines = [
        HEADER,
        r#"{"kind":"fault","at_ms":0,"id":"f1","do":"post","target":"a","body":{"mode":"down"}}"#,
        r#"{"kind":"fault","at_ms":1,"id":"f2","do":"kill","target":"b"}"#,
        r#"{"kind":"fault","at_ms":2,"id":"f3","do":"post","target":"q","body":{"mode":"absurd"}}"#,
    ];
    let trace = Trace::parse("t", &lines.join("\n")).unwrap();
    let orders = std::env::temp_dir().join(format!("orders-{}", std::process::id()));
    let targets = targets(&engines, &service);
    let injector = FaultInjector::new(targets, Some(&orders), &trace.faults).unwrap();
    let http = awc::Client::default();
    let done = faults::run(&injector, &http, &trace.faults, Instant::now(), 1.0).await;
    let errors: Vec<bool> = done.iter().map(|d| d.error.is_some()).collect();
    assert_eq!(errors, [false, false, true]);
    assert_eq!(fs::read_to_string(&orders).unwrap(), "kill b\n");
    fs::remove_file(&orders).unwrap();
    let down = http.get(format!("http://{}/v1/state", engines.addrs()[0]));
    assert!(down.send().await.is_err());

    let ledgers = Ledgers::fetch(&http, &injector.targets, &trace.faults).await;
    let gaps = Vec::from_iter(ledgers.gaps());
    assert_eq!(gaps, ["b was ended and may have lost its ledger"]);
    engines.stop().await;
    service.stop().await;
}

#[actix_rt::test]
async fn without_targets_all_ledgers_are_gaps() {
    let ledgers = Ledgers::fetch(&awc::Client::default(), &Targets::default(), &[]).await;
    let gaps = Vec::from_iter(ledgers.gaps());
    let expected = [
        "the targets file has no engine",
        "the targets file has no service",
    ];
    assert_eq!(gaps, expected);
}

#[test]
fn faults_that_cannot_be_injected_are_rejected_before_the_run() {
    let line = r#"{"kind":"fault","at_ms":0,"id":"f1","do":"kill","target":"x"}"#;
    let trace = Trace::parse("t", &format!("{HEADER}\n{line}")).unwrap();
    let error = FaultInjector::new(Targets::default(), None, &trace.faults).unwrap_err();
    let expected = "fault f1: target x does not stand in the targets file";
    assert_eq!(error.to_string(), expected);
    let targets = Targets::parse("t", "[x]\nrole = entry\naddress = 127.0.0.1:1\n").unwrap();
    let error = FaultInjector::new(targets, None, &trace.faults).unwrap_err();
    assert_eq!(error.to_string(), "fault f1: signals need --orders");
}

#[test]
fn an_invalid_targets_file_is_rejected_with_the_location() {
    let parse_error = |text: &str| format!("{:#}", Targets::parse("t.ini", text).unwrap_err());
    let unknown = parse_error("[a]\nrole = engine\naddres = 127.0.0.1:1\n");
    assert_eq!(
        unknown,
        "t.ini: [a] addres: unknown key; known are role and address"
    );
    let name = parse_error("[a]\nrole = engine\naddress = localhost:1\n");
    assert!(name.starts_with("t.ini: [a] address = localhost:1: must be IP:PORT"));
    assert_eq!(
        parse_error("[a]\nrole = engine\n"),
        "t.ini: [a] address is missing"
    );
    let role = parse_error("[a]\nrole = x\n");
    assert_eq!(
        role,
        "t.ini: [a] role = x: must be entry, engine, service or platform"
    );
}

#[test]
fn a_chain_that_skips_a_layer_is_rejected() {
    let stages = ["127.0.0.1:1=0..3", "127.0.0.1:2=4..8"];
    let stages = stages.map(|s| load::parse_stage(s).unwrap()).to_vec();
    let error = Chain::new(stages, 8).unwrap_err();
    assert_eq!(error.to_string(), "--chain: 4..8 follows layer 3");
}

#[test]
fn processor_time_is_parsed_after_a_command_with_spaces() {
    let stat = "42 (a) b) S 1 42 42 0 -1 4194304 1 0 0 0 150 50 0 0 20 0 4 0 100 1 1";
    assert_eq!(cpu::parse_stat(stat), Some(Duration::from_secs(2)));
    assert_eq!(cpu::parse_stat("42 (a) S 1"), None);
}
