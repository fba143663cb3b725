//! The HTTP server of the engine stand-in.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use dragonflyrill_engines::wire;
use dragonflyrill_fleet::{endpoints::Endpoint, layers::LayerRange};
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, watch};
use xxhash_rust::xxh3;

use super::{
    EngineConfig,
    core::Engine,
    faults::{Faults, Mode},
    outcome::{Finished, Refusal, Submitted, Ticket},
};
use crate::{
    Running, clock,
    serve::{self, AbortError, Answer, Call, Handler},
};

/// The resolution of the timer: the minimum duration of an iteration that takes any time.
const TICK: Duration = Duration::from_millis(1);

/// Starts engines on the current `actix_rt` system, each on its own address.
pub async fn start(cfgs: Vec<EngineConfig>) -> io::Result<Running> {
    let mut listeners: Vec<(_, Arc<dyn Handler>)> = Vec::with_capacity(cfgs.len());
    let mut tasks = Vec::with_capacity(cfgs.len());
    for cfg in cfgs {
        let listener = serve::bind(cfg.listen)?;
        let server = Arc::new(EngineServer::new(cfg));
        tasks.push(actix_rt::spawn(Arc::clone(&server).run_iterations()));
        listeners.push((listener, server));
    }
    serve::run(listeners, tasks)
}

/// The results of the steps of one call, in the order in which they finish.
struct Results {
    rx: mpsc::UnboundedReceiver<wire::StepResult>,
    /// The number of steps without a result.
    missing: usize,
}

impl Results {
    /// Waits for at least one result and returns all that are available, or `None` when all steps have
    /// their results. Fails if the engine restarted and lost steps of the call.
    async fn next(&mut self) -> Option<Result<Vec<wire::StepResult>, AbortError>> {
        if self.missing == 0 {
            return None;
        }
        let Some(first) = self.rx.recv().await else {
            return Some(Err(AbortError));
        };
        let mut batch = vec![first];
        while let Ok(result) = self.rx.try_recv() {
            batch.push(result);
        }
        self.missing -= batch.len();
        Some(Ok(batch))
    }
}

/// Serves one engine over HTTP.
struct EngineServer {
    state: Mutex<State>,
    faults: watch::Sender<Faults>,
    /// Notified when steps are queued or the faults change; wakes the iteration loop.
    work_available: tokio::sync::Notify,
}

struct State {
    engine: Engine,
    waiting: FxHashMap<Ticket, mpsc::UnboundedSender<wire::StepResult>>,
    rng: Pcg64,
}

impl Handler for EngineServer {
    fn answer(self: Arc<Self>, call: Call) -> LocalBoxFuture<'static, Answer> {
        async move {
            if call.path.starts_with("/standin/") {
                return self.control(&call).unwrap_or_else(|answer| answer);
            }
            if self.wait_until_responsive().await.is_err() {
                return Answer::Abort;
            }
            self.call(&call).unwrap_or_else(|answer| answer)
        }
        .boxed_local()
    }

    fn listing(&self, addr: SocketAddr) -> Option<Endpoint> {
        let state = self.lock();
        let now = state.engine.state(clock::epoch_ms());
        Some(Endpoint {
            service: now.model.into(),
            layers: LayerRange::new(now.layers.first, now.layers.end),
            draining: now.leaving,
            ..state.engine.config().listing(addr)
        })
    }
}

impl EngineServer {
    fn new(cfg: EngineConfig) -> Self {
        let rng = Pcg64::seed_from_u64(xxh3::xxh3_64(cfg.id.as_bytes()));
        let engine = Engine::new(cfg, clock::epoch_micros());
        Self {
            state: Mutex::new(State {
                engine,
                waiting: FxHashMap::default(),
                rng,
            }),
            faults: watch::Sender::new(Faults::default()),
            work_available: tokio::sync::Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the engine is not frozen; fails if it is down.
    async fn wait_until_responsive(&self) -> Result<(), AbortError> {
        let mut rx = self.faults.subscribe();
        let answering = rx.wait_for(|faults| faults.mode != Mode::Freeze).await;
        match answering {
            Ok(faults) if faults.mode != Mode::Down => Ok(()),
            _ => Err(AbortError),
        }
    }

    /// Runs iterations in an endless loop.
    async fn run_iterations(self: Arc<Self>) {
        loop {
            let _ = self.wait_until_responsive().await;
            let iteration = self.lock().begin();
            let Some(duration) = iteration else {
                self.work_available.notified().await;
                continue;
            };
            self.sleep(duration).await;
            let _ = self.wait_until_responsive().await;
            self.lock().finish();
        }
    }

    async fn sleep(&self, duration: Duration) {
        let scale = self.lock().engine.config().time_scale;
        let factor = scale * self.faults.borrow().slow_factor();
        let scaled = duration.as_secs_f64() * factor;
        let scaled = Duration::try_from_secs_f64(scaled).unwrap_or(Duration::MAX);
        if scaled.is_zero() {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(scaled.max(TICK)).await;
        }
    }

    fn call(self: &Arc<Self>, call: &Call) -> Result<Answer, Answer> {
        let now_ms = clock::epoch_ms();
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/v1/steps") => return self.steps(call),
            (&Method::POST, "/v1/cancel") => {
                let cancel = call.json()?;
                self.lock().engine.cancel(now_ms, &cancel);
            }
            (&Method::GET, "/v1/load") => {
                return Ok(Answer::json(&self.lock().engine.load(now_ms)));
            }
            (&Method::GET, "/v1/cache-events") => {
                let after = call.query_value("after").unwrap_or("0").parse();
                let after = after.map_err(|_| bad_request("after: not a number"))?;
                return Ok(Answer::json(
                    &self.lock().engine.cache_events(now_ms, after),
                ));
            }
            (&Method::POST, "/v1/kv") => {
                let kv = call.json()?;
                self.lock().engine.import(now_ms, &kv).map_err(refusal)?;
            }
            (&Method::POST, "/v1/orders") => {
                let order = call.json()?;
                let state = self.lock().engine.order(now_ms, &order).map_err(refusal)?;
                return Ok(Answer::json(&state));
            }
            (&Method::GET, "/v1/state") => {
                return Ok(Answer::json(&self.lock().engine.state(now_ms)));
            }
            (&Method::GET, path) => {
                let request = path.strip_prefix("/v1/kv/").ok_or_else(Answer::not_found)?;
                let kv = self
                    .lock()
                    .engine
                    .export(request)
                    .ok_or_else(Answer::not_found)?;
                return Ok(Answer::json(&kv));
            }
            _ => return Err(Answer::not_found()),
        }
        Ok(Answer::empty(StatusCode::NO_CONTENT))
    }

    /// Submits the steps of the body, one per line, and streams their results, one per line, as they
    /// finish.
    fn steps(self: &Arc<Self>, call: &Call) -> Result<Answer, Answer> {
        let steps = parse_lines(&call.body)?;
        let (tx, rx) = mpsc::unbounded_channel();
        let results = Results {
            rx,
            missing: steps.len(),
        };
        let mut state = self.lock();
        for step in steps {
            state.submit(step, &tx);
        }
        drop(state);
        self.work_available.notify_one();
        let server = Arc::clone(self);
        let batches = stream::unfold(results, async |mut results| {
            Some((results.next().await?, results))
        });
        let lines = batches.then(move |batch| Arc::clone(&server).encode_results(batch));
        Ok(Answer::Stream(Box::pin(lines)))
    }

    /// Encodes results as lines of JSON; fails if the fault `drop_answers` selects one of them.
    async fn encode_results(
        self: Arc<Self>,
        batch: Result<Vec<wire::StepResult>, AbortError>,
    ) -> Result<Bytes, AbortError> {
        self.wait_until_responsive().await?;
        let drop_answers = self.faults.borrow().drop_answers;
        let mut lines = Vec::new();
        for result in &batch? {
            if drop_answers > 0.0 && self.lock().rng.random::<f64>() < drop_answers {
                return Err(AbortError);
            }
            serde_json::to_writer(&mut lines, result).map_err(|_| AbortError)?;
            lines.push(b'\n');
        }
        Ok(lines.into())
    }

    fn control(&self, call: &Call) -> Result<Answer, Answer> {
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/standin/faults") => {
                let faults: Faults = call.json()?;
                self.set_faults(faults);
            }
            (&Method::POST, "/standin/leave") => self.lock().engine.start_draining(),
            (&Method::GET, "/standin/stats") => {
                return Ok(Answer::json(&self.lock().engine.stats()));
            }
            (&Method::GET, "/standin/ledger") => return Ok(self.lock().ledger()),
            _ => return Err(Answer::not_found()),
        }
        Ok(Answer::empty(StatusCode::NO_CONTENT))
    }

    fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        let before = self.faults.borrow().mode;
        if before != Mode::Down && faults.mode == Mode::Down {
            state.waiting.clear();
            state.engine.restart(clock::epoch_micros());
        }
        log::info!(
            "engine {}: faults are now {faults:?}.",
            state.engine.config().id
        );
        drop(state);
        self.faults.send_replace(faults);
        self.work_available.notify_one();
    }
}

impl State {
    fn submit(&mut self, step: wire::Step, tx: &mpsc::UnboundedSender<wire::StepResult>) {
        match self.engine.submit(clock::epoch_ms(), step) {
            Submitted::Answered(result) => drop(tx.send(result)),
            Submitted::Waiting(ticket) => drop(self.waiting.insert(ticket, tx.clone())),
        }
    }

    fn begin(&mut self) -> Option<Duration> {
        let iteration = self.engine.begin(clock::epoch_ms());
        self.answer(iteration.refused);
        iteration.duration
    }

    fn finish(&mut self) {
        let finished = self.engine.finish(clock::epoch_ms());
        self.answer(finished);
    }

    /// Sends results to their callers. A caller that has disconnected is not an error: its steps ran
    /// nevertheless.
    fn answer(&mut self, finished: Vec<Finished>) {
        for Finished { ticket, result } in finished {
            if let Some(tx) = self.waiting.remove(&ticket) {
                let _ = tx.send(result);
            }
        }
    }

    fn ledger(&self) -> Answer {
        let mut body = Vec::new();
        for entry in self.engine.ledger().entries() {
            if serde_json::to_writer(&mut body, entry).is_ok() {
                body.push(b'\n');
            }
        }
        let content_type = "application/x-ndjson";
        Answer::Complete {
            status: StatusCode::OK,
            content_type,
            body: body.into(),
        }
    }
}

fn parse_lines(body: &[u8]) -> Result<Vec<wire::Step>, Answer> {
    let lines = (1_u32..).zip(body.split(|&byte| byte == b'\n'));
    let steps = lines
        .filter(|(_, line)| !line.is_empty())
        .map(|(number, line)| {
            let step = serde_json::from_slice(line);
            step.map_err(|err| bad_request(&format!("line {number}: {err}")))
        });
    steps.collect()
}

fn bad_request(error: &str) -> Answer {
    Answer::error(StatusCode::BAD_REQUEST, error)
}

fn refusal(refusal: Refusal) -> Answer {
    match refusal {
        Refusal::Stale => Answer::error(StatusCode::CONFLICT, "stale"),
        Refusal::Layers => Answer::error(StatusCode::CONFLICT, "layers or model not held"),
        Refusal::Busy => Answer::error(StatusCode::SERVICE_UNAVAILABLE, "busy"),
    }
}
