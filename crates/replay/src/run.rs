//! Plays a trace in open loop.

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_rt::{
    task::JoinHandle,
    time::{self, Instant},
};
use futures_util::future;

use crate::{
    client::{self, Callers},
    faults::{self, FaultInjector},
    hosts::{Addresses, Hosts},
    record::Record,
    trace::{Arrival, Trace},
};

/// How a trace is played.
#[derive(Debug, Clone)]
pub struct Options {
    /// How many times faster than the trace it is played. Above 0. Deadlines stay as they are.
    pub speed: f64,
    /// The entry hosts.
    pub entries: Addresses,
    /// The most retries of one request.
    pub retries: u32,
    /// The most requests in flight; at this bound the run stops.
    pub max_in_flight: usize,
    /// The seed of the balancer's choices.
    pub seed: u64,
    /// Put before every key, so that a trace can be replayed against the same processes.
    pub run_id: String,
}

/// What a run gave.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Played {
    /// One record for each request that was sent, in the order they ended.
    pub records: Vec<Record>,
    /// The faults that came due, in the order of the trace.
    pub faults: Vec<faults::FaultResult>,
    /// The most requests that were in flight.
    pub peak_in_flight: usize,
    /// [`Options::run_id`].
    pub run_id: String,
}

impl Played {
    /// The idempotency key that `arrival` was sent with.
    pub fn key(&self, arrival: &Arrival) -> String {
        key(&self.run_id, arrival)
    }

    /// The id under which ledgers know the work of `arrival`.
    pub fn ledger_id(&self, arrival: &Arrival) -> String {
        format!("{}/{}", arrival.workspace, self.key(arrival))
    }
}

/// The idempotency key of `arrival` in the run `run_id`.
pub fn key(run_id: &str, arrival: &Arrival) -> String {
    match run_id {
        "" => arrival.key.clone(),
        _ => format!("{run_id}.{}", arrival.key),
    }
}

/// Plays `trace` and waits for every caller to end. `progress` is told how many have.
pub async fn run(
    trace: &Rc<Trace>,
    options: &Options,
    injector: &FaultInjector,
    progress: impl Fn(usize),
) -> Played {
    let http = http_client(options.max_in_flight);
    let hosts = Hosts::new(&options.entries, options.seed);
    let probes = actix_rt::spawn(hosts.clone().probe_loop(http.clone()));
    let callers = Callers {
        http: http.clone(),
        hosts,
        origin: Instant::now(),
        retries: options.retries,
        run_id: options.run_id.clone(),
    };
    let origin = callers.origin;
    let player = Player {
        trace: Rc::clone(trace),
        callers,
        records: Rc::default(),
        tasks: Vec::new(),
        peak_in_flight: 0,
    };
    let arrivals = player.play(options, progress);
    let faults = faults::run(injector, &http, &trace.faults, origin, options.speed);
    let (mut played, faults) = future::join(arrivals, faults).await;
    probes.abort();
    played.faults = faults;
    played.run_id.clone_from(&options.run_id);
    played
}

/// A client for up to `max_in_flight` requests at once to one address.
pub(crate) fn http_client(max_in_flight: usize) -> awc::Client {
    let connector = awc::Connector::new().limit(max_in_flight.saturating_add(1));
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Sends arrivals at their times.
struct Player {
    trace: Rc<Trace>,
    callers: Callers,
    records: Rc<RefCell<Vec<Record>>>,
    tasks: Vec<JoinHandle<()>>,
    peak_in_flight: usize,
}

impl Player {
    async fn play(mut self, options: &Options, progress: impl Fn(usize)) -> Played {
        let trace = Rc::clone(&self.trace);
        for (index, arrival) in trace.arrivals.iter().enumerate() {
            let intended = arrival.at.div_f64(options.speed);
            time::sleep_until(self.callers.origin + intended).await;
            progress(self.ended());
            let in_flight = self.tasks.len() - self.ended();
            if in_flight >= options.max_in_flight {
                log::error!("run: stopped, {in_flight} requests in flight is the bound");
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
            progress(self.ended());
        }
        Played {
            records: self.records.take(),
            peak_in_flight: self.peak_in_flight,
            ..Played::default()
        }
    }

    fn ended(&self) -> usize {
        self.records.borrow().len()
    }

    fn spawn(&self, index: usize, intended: Duration) -> JoinHandle<()> {
        let callers = self.callers.clone();
        let trace = Rc::clone(&self.trace);
        let records = Rc::clone(&self.records);
        actix_rt::spawn(async move {
            let arrival = &trace.arrivals[index];
            let record = client::call(&callers, index, arrival, intended).await;
            records.borrow_mut().push(record);
        })
    }
}
