//! The processing time of a token in the generation, per stage, and of a record in the recorder.

use std::{hint::black_box, time::Duration};

use criterion::{BatchSize, Criterion, Throughput};
use dragonflyrill_catalogue::{EndpointId, Name};
use dragonflyrill_delivery::{
    Action, Chain, Config, Event, Generation, Spec, Stage,
    record::{self, Recorder},
};
use dragonflyrill_engines::wire;
use dragonflyrill_protocol::{HostId, HostRef};
use dragonflyrill_store::table::TxnOutcome;

const TOKENS: u32 = 256;
const PROMPT_TOKENS: usize = 256;
/// The number of records of one iteration; more than fit into one transaction.
const NEW_RECORDS: usize = 420;
/// The number of recorded calls that have not ended: 2 s of calls at 2,000 a second.
const OPEN_CALLS: usize = 4000;

fn chain(stages: u32) -> Chain {
    let stage = |i| Stage {
        endpoint: EndpointId::try_from(format!("engine-{i}").as_str()).expect("a name"),
        layers: wire::Layers {
            first: i,
            end: i + 1,
        },
    };
    let layers = wire::Layers {
        first: 0,
        end: stages,
    };
    Chain::new(layers, (0..stages).map(stage).collect()).expect("a cover")
}

fn spec(stages: u32) -> Spec {
    Spec {
        request: "workspace/0123456789abcdef".to_owned(),
        model: "model".to_owned(),
        layers: stages,
        prompt: vec![7; PROMPT_TOKENS],
        max_tokens: TOKENS,
        priority: 0,
        deadline: Duration::from_secs(1000),
        prefix: Vec::new(),
    }
}

/// Runs a generation whose steps are all answered at once, and returns the number of its tokens.
fn generate(stages: u32, chain: Chain) -> u32 {
    let mut generation = Generation::with_config(spec(stages), Config::default());
    let mut actions = Vec::new();
    let mut now = Duration::ZERO;
    let mut released = 0;
    generation.handle(now, Event::Start(chain), &mut actions);
    while let Some(action) = actions.pop() {
        match action {
            Action::Send { endpoint, step } => {
                now += Duration::from_micros(10);
                let receipt = wire::Receipt {
                    endpoint: endpoint.as_str().to_owned(),
                    incarnation: 1,
                    layers: step.layers,
                };
                let result = wire::StepResult {
                    request: step.request,
                    attempt: step.attempt,
                    start: step.start,
                    outcome: wire::StepOutcome::Done {
                        receipt,
                        outputs: step.inputs,
                        cached: 0,
                    },
                };
                let event = Event::Result { endpoint, result };
                generation.handle(now, event, &mut actions);
                black_box(generation.next_wake());
            }
            Action::Release { .. } => released += 1,
            _ => {}
        }
    }
    released
}

fn recorder() -> Recorder {
    let id = HostId(Name::try_from("host").expect("a name"));
    let host = HostRef { id, incarnation: 1 };
    Recorder::new(record::Config {
        max_waiting: OPEN_CALLS,
        ..record::Config::new(host, Duration::from_secs(1_000_000))
    })
}

fn keys(from: usize, n: usize) -> Vec<String> {
    let keys = from..from + n;
    keys.map(|i| format!("workspace/{i:016x}")).collect()
}

/// Starts calls whose inserts all succeed, and returns the number of recorded calls.
fn record_all(recorder: &mut Recorder, keys: &[String]) -> usize {
    let mut actions = Vec::new();
    for key in keys {
        recorder.begin(Duration::ZERO, key, 1, &mut actions);
    }
    recorder.tick(Duration::from_millis(10), &mut actions);
    let mut recorded = 0;
    while let Some(action) = actions.pop() {
        match action {
            record::Action::CallTable { id, .. } => {
                let outcome = TxnOutcome::done(0);
                recorder.on_table_result(Duration::from_millis(12), id, Ok(outcome), &mut actions);
            }
            record::Action::Recorded { .. } => recorded += 1,
            _ => {}
        }
    }
    recorded
}

fn bench(c: &mut Criterion) {
    let mut group = c.benchmark_group("generation, per token and stage");
    for stages in [1, 4] {
        group.throughput(Throughput::Elements(u64::from(TOKENS * stages)));
        group.bench_function(format!("{stages} stages"), |b| {
            b.iter(|| assert_eq!(generate(stages, chain(stages)), TOKENS));
        });
    }
    group.finish();
    let mut group = c.benchmark_group("recorder, per record");
    group.throughput(Throughput::Elements(NEW_RECORDS as u64));
    let new = keys(OPEN_CALLS, NEW_RECORDS);
    for open in [0, OPEN_CALLS] {
        let mut busy = recorder();
        assert_eq!(record_all(&mut busy, &keys(0, open)), open);
        group.bench_function(format!("{open} calls open"), |b| {
            let fresh = || busy.clone();
            let run = |mut recorder| assert_eq!(record_all(&mut recorder, &new), NEW_RECORDS);
            b.iter_batched(fresh, run, BatchSize::LargeInput);
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench(&mut criterion);
    criterion.final_summary();
}
