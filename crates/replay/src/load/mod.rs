//! Measures the latency that the entry host adds, compared with driving the same chain of engines
//! directly.
//!
//! Requests are sent on both paths in one run at the same open-loop rate and in alternation: one
//! through the entry host, and half an interval later the same request directly. Every answer is
//! compared with the reference. The first tenth of the requests warms up the system, and its
//! latencies are not recorded.
//!
//! The engines should answer without delay (time scale 0), and the entry host should have no chain
//! other than the one that is driven directly.

pub mod cpu;
pub mod direct;
pub mod table;

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::time::{self, Instant};
use anyhow::{Context, ensure};
use dragonflyrill_engines::wire::Layers;

use crate::{
    client::{self, CallerContext},
    hosts::{Addresses, Hosts},
    judge::answers,
    record::{Record, RequestOutcome},
    run,
    trace::{Arrival, Header, Work, checked::Generation},
};
use direct::Chain;
use table::LoadMeasurement;

/// The number of requests divided by this is the number of warm-up requests.
const WARM_UP_DIVISOR: usize = 10;

/// The parameters of a load measurement.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The trace header with the model and its layers.
    pub header: Header,
    /// The entry hosts.
    pub entries: Addresses,
    /// The chain to drive directly. If it is `None`, only the entry host is measured.
    pub chain: Option<Chain>,
    /// The template of every request, which has all values except the id, key and time.
    pub template: Arrival,
    /// The number of requests per second on each path. Above 0.
    pub rate: f64,
    /// The number of requests on each path.
    pub count: usize,
    /// The maximum number of requests in flight. The run stops when it is reached.
    pub max_in_flight: usize,
    /// The prefix of every idempotency key.
    pub run_id: String,
}

/// Parses one stage of a chain in the form `IP:PORT=FIRST..END`.
pub fn parse_stage(text: &str) -> anyhow::Result<direct::Stage> {
    let expected_format = || format!("--chain {text:?}: must be IP:PORT=FIRST..END");
    let (addr, layers) = text.split_once('=').with_context(expected_format)?;
    let (first, end) = layers.split_once("..").with_context(expected_format)?;
    let addr: SocketAddr = addr.parse().with_context(expected_format)?;
    let first = first.parse().with_context(expected_format)?;
    let end = end.parse().with_context(expected_format)?;
    ensure!(first < end, expected_format());
    let layers = Layers { first, end };
    Ok(direct::Stage { addr, layers })
}

/// Runs the load measurement `plan`.
pub async fn measure(plan: &Plan) -> LoadMeasurement {
    let http = run::http_client(plan.max_in_flight);
    let context = CallerContext {
        hosts: Hosts::new(&plan.entries, 1),
        http,
        origin: Instant::now(),
        retries: 0,
        run_id: plan.run_id.clone(),
    };
    let shared = Rc::new(Shared {
        plan: plan.clone(),
        context,
        measured: RefCell::default(),
    });
    let interval = Duration::from_secs_f64(1.0 / plan.rate);
    let mut tasks = Vec::new();
    for index in 0..plan.count {
        let at = interval.mul_f64(index as f64);
        time::sleep_until(shared.context.origin + at).await;
        let in_flight = tasks.len() - shared.measured.borrow().ended;
        if in_flight >= plan.max_in_flight {
            log::error!("load: stopped, {in_flight} requests in flight have reached the limit");
            break;
        }
        tasks.push(actix_rt::spawn(send_through_entry(
            Rc::clone(&shared),
            index,
            at,
        )));
        if plan.chain.is_some() {
            let at = at + interval / 2;
            tasks.push(actix_rt::spawn(send_directly(
                Rc::clone(&shared),
                index,
                at,
            )));
        }
    }
    let sent = tasks.len();
    for task in tasks {
        if task.await.is_err() {
            log::error!("load: a caller panicked");
        }
    }
    let mut measured = shared.measured.take();
    let kinds = 1 + usize::from(plan.chain.is_some());
    measured.not_sent = plan.count * kinds - sent;
    measured.elapsed = shared.context.origin.elapsed();
    measured
}

/// The state that all tasks share.
struct Shared {
    plan: Plan,
    context: CallerContext,
    measured: RefCell<LoadMeasurement>,
}

impl Shared {
    fn arrival(&self, index: usize, at: Duration) -> Arrival {
        let id = format!("l{index}");
        Arrival {
            at,
            key: id.clone(),
            id,
            ..self.plan.template.clone()
        }
    }

    /// Describes why the answer of `record` is not complete and correct; `None` if it is.
    fn answer_error(&self, arrival: &Arrival, record: &Record) -> Option<String> {
        match &record.outcome {
            RequestOutcome::Answered(_) => {
                answers::answer_error(&self.plan.header, arrival, record)
            }
            other => Some(format!("{other:?}")),
        }
    }

    /// Whether the latencies of request `index` are recorded, that is, whether it is no warm-up
    /// request.
    fn is_measured(&self, index: usize) -> bool {
        index >= self.plan.count / WARM_UP_DIVISOR
    }
}

async fn send_through_entry(shared: Rc<Shared>, index: usize, at: Duration) {
    let arrival = shared.arrival(index, at);
    let record = client::run_request(&shared.context, index, &arrival, at).await;
    let error = shared.answer_error(&arrival, &record);
    let is_measured = shared.is_measured(index);
    let mut measured = shared.measured.borrow_mut();
    let LoadMeasurement { ended, entry, .. } = &mut *measured;
    *ended += 1;
    entry.add(&record, error, is_measured);
}

async fn send_directly(shared: Rc<Shared>, index: usize, at: Duration) {
    let Some(chain) = &shared.plan.chain else {
        return;
    };
    time::sleep_until(shared.context.origin + at).await;
    let arrival = shared.arrival(index, at);
    let record = direct::run_request(&shared.context, chain, index, &arrival, at).await;
    let error = shared.answer_error(&arrival, &record);
    let is_measured = shared.is_measured(index);
    let mut measured = shared.measured.borrow_mut();
    let LoadMeasurement { ended, direct, .. } = &mut *measured;
    *ended += 1;
    direct.add(&record, error, is_measured);
}

/// The trace header and the template of all requests of a load measurement.
pub fn request_template(spec: &RequestSpec) -> anyhow::Result<(Header, Arrival)> {
    let model = spec.model.as_str().try_into().context("--model")?;
    let header = Header {
        deployment: "load".try_into()?,
        model,
        layers: spec.layers,
        seed: None,
    };
    let generation = Generation {
        model: header.model.clone(),
        prompt_tokens: spec.prompt_tokens,
        max_tokens: spec.max_tokens,
        stream: true,
        chat: false,
    };
    let arrival = Arrival {
        at: Duration::ZERO,
        id: String::new(),
        workspace: spec.workspace.as_str().try_into().context("--workspace")?,
        class: spec.class.as_str().try_into().context("--class")?,
        deadline: None,
        repeatable: Some(true),
        data_centre: spec.data_centre.as_str().try_into().context("--entries")?,
        key: String::new(),
        work: Work::Generation(generation),
    };
    Ok((header, arrival))
}

/// The unchecked parameters of [`request_template`].
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// The model.
    pub model: String,
    /// The number of layers of the model.
    pub layers: u32,
    /// The length of each prompt in tokens.
    pub prompt_tokens: u32,
    /// The length of each answer in tokens.
    pub max_tokens: u32,
    /// The workspace that owns the work.
    pub workspace: String,
    /// The class of work.
    pub class: String,
    /// The data centre whose entry hosts are measured.
    pub data_centre: String,
}
