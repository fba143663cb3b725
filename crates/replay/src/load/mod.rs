//! Load: the time that the entry host adds against driving the same chain of engines directly.
//!
//! Both kinds of requests are sent in one run at one open-loop rate, taking turns: a request by the
//! entry host, and half an interval later its twin directly. Every answer is checked against the
//! reference. The first tenth warms up and is not counted.
//!
//! The engines should answer at once (time scale 0), and the entry host should have no other chain
//! than the one that is driven directly.

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
use table::Measured;

/// The part of the requests that only warm up, as a divisor.
const WARM_UP: usize = 10;

/// What is measured.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The model and its layers.
    pub header: Header,
    /// The entry hosts.
    pub entries: Addresses,
    /// The chain that is driven directly; without it only the entry host is measured.
    pub chain: Option<Chain>,
    /// What every request looks like, but for its id, key and time.
    pub request: Arrival,
    /// Requests a second of each kind. Above 0.
    pub rate: f64,
    /// Requests of each kind.
    pub count: usize,
    /// The most requests in flight; beyond it none are sent.
    pub max_in_flight: usize,
    /// Put before every key.
    pub run_id: String,
}

/// One stage of a chain, as `IP:PORT=FIRST..END`.
pub fn parse_stage(text: &str) -> anyhow::Result<direct::Stage> {
    let form = || format!("--chain {text:?}: must be IP:PORT=FIRST..END");
    let (addr, layers) = text.split_once('=').with_context(form)?;
    let (first, end) = layers.split_once("..").with_context(form)?;
    let addr: SocketAddr = addr.parse().with_context(form)?;
    let first = first.parse().with_context(form)?;
    let end = end.parse().with_context(form)?;
    ensure!(first < end, form());
    let layers = Layers { first, end };
    Ok(direct::Stage { addr, layers })
}

/// Measures `plan`.
pub async fn measure(plan: &Plan) -> Measured {
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
            log::error!("load: stopped, {in_flight} requests in flight is the bound");
            break;
        }
        tasks.push(actix_rt::spawn(by_entry(Rc::clone(&shared), index, at)));
        if plan.chain.is_some() {
            let at = at + interval / 2;
            tasks.push(actix_rt::spawn(directly(Rc::clone(&shared), index, at)));
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

/// What all tasks share.
struct Shared {
    plan: Plan,
    context: CallerContext,
    measured: RefCell<Measured>,
}

impl Shared {
    fn arrival(&self, index: usize, at: Duration) -> Arrival {
        let id = format!("l{index}");
        Arrival {
            at,
            key: id.clone(),
            id,
            ..self.plan.request.clone()
        }
    }

    /// Why the answer of `record` is not the whole right one.
    fn fault(&self, arrival: &Arrival, record: &Record) -> Option<String> {
        match &record.outcome {
            RequestOutcome::Answered(_) => {
                answers::answer_error(&self.plan.header, arrival, record)
            }
            other => Some(format!("{other:?}")),
        }
    }

    fn counted(&self, index: usize) -> bool {
        index >= self.plan.count / WARM_UP
    }
}

async fn by_entry(shared: Rc<Shared>, index: usize, at: Duration) {
    let arrival = shared.arrival(index, at);
    let record = client::run_request(&shared.context, index, &arrival, at).await;
    let fault = shared.fault(&arrival, &record);
    let counted = shared.counted(index);
    let mut measured = shared.measured.borrow_mut();
    let Measured { ended, entry, .. } = &mut *measured;
    *ended += 1;
    entry.add(&record, fault, counted);
}

async fn directly(shared: Rc<Shared>, index: usize, at: Duration) {
    let Some(chain) = &shared.plan.chain else {
        return;
    };
    time::sleep_until(shared.context.origin + at).await;
    let arrival = shared.arrival(index, at);
    let record = direct::run_request(&shared.context, chain, index, &arrival, at).await;
    let fault = shared.fault(&arrival, &record);
    let counted = shared.counted(index);
    let mut measured = shared.measured.borrow_mut();
    let Measured { ended, direct, .. } = &mut *measured;
    *ended += 1;
    direct.add(&record, fault, counted);
}

/// The request that every request of a load looks like.
pub fn request(shape: &Shape) -> anyhow::Result<(Header, Arrival)> {
    let model = shape.model.as_str().try_into().context("--model")?;
    let header = Header {
        deployment: "load".try_into()?,
        model,
        layers: shape.layers,
        seed: None,
    };
    let generation = Generation {
        model: header.model.clone(),
        prompt_tokens: shape.prompt_tokens,
        max_tokens: shape.max_tokens,
        stream: true,
        chat: false,
    };
    let arrival = Arrival {
        at: Duration::ZERO,
        id: String::new(),
        workspace: shape.workspace.as_str().try_into().context("--workspace")?,
        class: shape.class.as_str().try_into().context("--class")?,
        deadline: None,
        repeatable: Some(true),
        data_centre: shape.data_centre.as_str().try_into().context("--entries")?,
        key: String::new(),
        work: Work::Generation(generation),
    };
    Ok((header, arrival))
}

/// The raw settings of [`request`].
#[derive(Debug, Clone)]
pub struct Shape {
    /// The model.
    pub model: String,
    /// Its layers.
    pub layers: u32,
    /// The length of each prompt.
    pub prompt_tokens: u32,
    /// The length of each answer.
    pub max_tokens: u32,
    /// The owner.
    pub workspace: String,
    /// The class of work.
    pub class: String,
    /// The data centre whose entry hosts are measured.
    pub data_centre: String,
}
