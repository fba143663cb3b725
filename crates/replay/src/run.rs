//! Replays a trace in open loop.

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_rt::{
    task::JoinHandle,
    time::{self, Instant},
};
use futures_util::future;

use crate::{
    client::{self, CallerContext},
    faults::{self, FaultInjector},
    hosts::{Addresses, Hosts},
    record::Record,
    trace::{Arrival, Trace},
};

/// The options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The factor by which the trace is replayed faster than recorded. Above 0. Deadlines are not
    /// scaled.
    pub speed: f64,
    /// The entry hosts.
    pub entries: Addresses,
    /// The maximum number of retries of one request.
    pub retries: u32,
    /// The maximum number of requests in flight. The run stops if an arrival would exceed it.
    pub max_in_flight: usize,
    /// The seed of the random choices of the simulated load balancer.
    pub seed: u64,
    /// The prefix of every idempotency key. With another prefix a trace can be replayed again
    /// against the same processes.
    pub run_id: String,
}

/// The result of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunResult {
    /// The record of each request that was sent, in the order in which the requests ended.
    pub records: Vec<Record>,
    /// The results of the faults, in the order of the trace.
    pub faults: Vec<faults::FaultResult>,
    /// The maximum number of requests that were in flight at a time.
    pub peak_in_flight: usize,
    /// The value of [`Options::run_id`].
    pub run_id: String,
}

impl RunResult {
    /// The idempotency key that `arrival` was sent with.
    pub fn idempotency_key(&self, arrival: &Arrival) -> String {
        idempotency_key(&self.run_id, arrival)
    }

    /// The id of the work of `arrival` in ledgers, `WORKSPACE/KEY`.
    pub fn ledger_id(&self, arrival: &Arrival) -> String {
        format!("{}/{}", arrival.workspace, self.idempotency_key(arrival))
    }
}

/// The idempotency key of `arrival` in the run `run_id`.
pub fn idempotency_key(run_id: &str, arrival: &Arrival) -> String {
    match run_id {
        "" => arrival.key.clone(),
        _ => format!("{run_id}.{}", arrival.key),
    }
}

/// Replays `trace` and waits until every caller has ended. Calls `progress` with the number of
/// callers that have ended.
pub async fn run(
    trace: &Rc<Trace>,
    options: &Options,
    injector: &FaultInjector,
    progress: impl Fn(usize),
) -> RunResult {
    let http = http_client(options.max_in_flight);
    let hosts = Hosts::new(&options.entries, options.seed);
    let probe_task = actix_rt::spawn(hosts.clone().probe_loop(http.clone()));
    let context = CallerContext {
        http: http.clone(),
        hosts,
        origin: Instant::now(),
        retries: options.retries,
        run_id: options.run_id.clone(),
    };
    let origin = context.origin;
    let scheduler = ArrivalScheduler {
        trace: Rc::clone(trace),
        context,
        records: Rc::default(),
        tasks: Vec::new(),
        peak_in_flight: 0,
    };
    let arrivals = scheduler.run_arrivals(options, progress);
    let faults = faults::run(injector, &http, &trace.faults, origin, options.speed);
    let (mut run_result, faults) = future::join(arrivals, faults).await;
    probe_task.abort();
    run_result.faults = faults;
    run_result.run_id.clone_from(&options.run_id);
    run_result
}

/// An HTTP client for at least `max_in_flight` concurrent requests to one address.
pub(crate) fn http_client(max_in_flight: usize) -> awc::Client {
    let connector = awc::Connector::new().limit(max_in_flight.saturating_add(1));
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Starts the caller of each arrival at its intended time.
struct ArrivalScheduler {
    trace: Rc<Trace>,
    context: CallerContext,
    records: Rc<RefCell<Vec<Record>>>,
    tasks: Vec<JoinHandle<()>>,
    peak_in_flight: usize,
}

impl ArrivalScheduler {
    async fn run_arrivals(mut self, options: &Options, progress: impl Fn(usize)) -> RunResult {
        let trace = Rc::clone(&self.trace);
        for (index, arrival) in trace.arrivals.iter().enumerate() {
            let intended = arrival.at.div_f64(options.speed);
            time::sleep_until(self.context.origin + intended).await;
            progress(self.ended_count());
            let in_flight = self.tasks.len() - self.ended_count();
            if in_flight >= options.max_in_flight {
                log::error!("run: stopped at the limit of {in_flight} requests in flight");
                break;
            }
            self.peak_in_flight = self.peak_in_flight.max(in_flight + 1);
            let task = self.spawn(index, intended);
            self.tasks.push(task);
        }
        for task in std::mem::take(&mut self.tasks) {
            if task.await.is_err() {
                log::error!("run: a caller panicked");
            }
            progress(self.ended_count());
        }
        RunResult {
            records: self.records.take(),
            peak_in_flight: self.peak_in_flight,
            ..RunResult::default()
        }
    }

    fn ended_count(&self) -> usize {
        self.records.borrow().len()
    }

    fn spawn(&self, index: usize, intended: Duration) -> JoinHandle<()> {
        let context = self.context.clone();
        let trace = Rc::clone(&self.trace);
        let records = Rc::clone(&self.records);
        actix_rt::spawn(async move {
            let arrival = &trace.arrivals[index];
            let record = client::run_request(&context, index, arrival, intended).await;
            records.borrow_mut().push(record);
        })
    }
}
