//! Connections to endpoints, over which the steps of many requests are sent in batches.
//!
//! An engine batches continuously, so steps queued for the same engine are sent in one HTTP request
//! and their results arrive one by one as the steps finish.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::{CallError, EngineClient, wire};
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;

/// The maximum number of steps in one HTTP request.
const MAX_BATCH_STEPS: usize = 64;
/// The timeout of an HTTP request that carries steps. The sender of a step applies the step's own
/// timeout.
const BATCH_TIMEOUT: Duration = Duration::from_secs(60);
/// The timeout of a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// How a step sent to an endpoint ended.
#[derive(Debug)]
pub enum StepEnd {
    /// The endpoint answered.
    Answered(wire::StepResult),
    /// No result will arrive.
    Lost {
        /// The step's attempt.
        attempt: u32,
        /// The step's first position.
        start: u32,
        /// Why no result will arrive.
        error: CallError,
    },
}

/// The end of a step, with the endpoint that the step was sent to.
#[derive(Debug)]
pub struct StepReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How the step ended.
    pub end: StepEnd,
}

struct QueuedStep {
    step: wire::TracedStep,
    tx: mpsc::UnboundedSender<StepReport>,
}

struct EndpointQueue {
    addr: SocketAddr,
    tx: mpsc::UnboundedSender<QueuedStep>,
}

/// The connections of one host to all endpoints.
#[derive(Clone)]
pub struct Pool {
    http: awc::Client,
    queues: Rc<RefCell<FxHashMap<EndpointId, EndpointQueue>>>,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new()
    }
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new() -> Self {
        let connector = awc::Connector::new()
            .limit(0)
            .timeout(Duration::from_secs(1));
        let http = awc::Client::builder().connector(connector).finish();
        Self {
            http,
            queues: Rc::default(),
        }
    }

    /// The HTTP client, for requests other than steps.
    pub fn http(&self) -> &awc::Client {
        &self.http
    }

    /// Queues `step` for the endpoint at `addr` and reports its end to `tx`.
    pub fn send(
        &self,
        endpoint: &EndpointId,
        addr: SocketAddr,
        step: wire::TracedStep,
        tx: mpsc::UnboundedSender<StepReport>,
    ) {
        let mut queues = self.queues.borrow_mut();
        let stale = queues.get(endpoint).is_none_or(|q| q.addr != addr);
        if stale {
            queues.insert(endpoint.clone(), self.connect(endpoint.clone(), addr));
        }
        // The receiver is open as long as `queues` holds the sender.
        let _ = queues[endpoint].tx.send(QueuedStep { step, tx });
    }

    /// Sends `cancel` to the endpoint at `addr`, which frees what it holds for the request. Doesn't
    /// wait for the answer; a failure is only logged.
    pub fn cancel(&self, addr: SocketAddr, cancel: wire::Cancel) {
        let engine = EngineClient::new(self.http.clone(), addr);
        actix_rt::spawn(async move {
            if let Err(e) = engine.cancel(&cancel, CANCEL_TIMEOUT).await {
                log::debug!("pool: Cancel of {} at {addr} failed: {e}.", cancel.request);
            }
        });
    }

    fn connect(&self, endpoint: EndpointId, addr: SocketAddr) -> EndpointQueue {
        let (tx, rx) = mpsc::unbounded_channel();
        let engine = EngineClient::new(self.http.clone(), addr);
        actix_rt::spawn(run_queue(endpoint, engine, rx));
        EndpointQueue { addr, tx }
    }
}

/// Sends the steps that are queued at the same time as one batch, without waiting for the batches
/// before it.
async fn run_queue(
    endpoint: EndpointId,
    engine: EngineClient,
    mut rx: mpsc::UnboundedReceiver<QueuedStep>,
) {
    let mut queued_steps = Vec::new();
    while rx.recv_many(&mut queued_steps, MAX_BATCH_STEPS).await > 0 {
        let batch = std::mem::take(&mut queued_steps);
        actix_rt::spawn(run_batch(endpoint.clone(), engine.clone(), batch));
    }
}

async fn run_batch(endpoint: EndpointId, engine: EngineClient, queued_steps: Vec<QueuedStep>) {
    let (steps, mut waiting): (Vec<_>, Vec<_>) = queued_steps
        .into_iter()
        .map(|queued| (queued.step, Some(queued.tx)))
        .unzip();
    let answered = |result: wire::StepResult| {
        let at = steps.iter().position(|s| {
            let s = &s.step;
            s.start == result.start && s.attempt == result.attempt && s.request == result.request
        });
        let Some(tx) = at.and_then(|i| waiting[i].take()) else {
            log::warn!(
                "pool: {endpoint} sent a result for a step that its batch does not contain."
            );
            return;
        };
        let end = StepEnd::Answered(result);
        // The channel is closed if the request has ended meanwhile.
        let _ = tx.send(StepReport {
            endpoint: endpoint.clone(),
            end,
        });
    };
    let sent = engine.steps(&steps, BATCH_TIMEOUT, answered).await;
    let error = sent
        .err()
        .unwrap_or_else(|| CallError::Lost("no result for the step".into()));
    for (step, tx) in steps.iter().zip(waiting) {
        let Some(tx) = tx else { continue };
        let (attempt, start, error) = (step.step.attempt, step.step.start, error.clone());
        let end = StepEnd::Lost {
            attempt,
            start,
            error,
        };
        let _ = tx.send(StepReport {
            endpoint: endpoint.clone(),
            end,
        });
    }
}
