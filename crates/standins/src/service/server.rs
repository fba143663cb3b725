//! The HTTP server of the service stand-in.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use actix_http::{Method, StatusCode};
use dragonflyrill_fleet::endpoints::Endpoint;
use futures_util::{FutureExt, future::LocalBoxFuture};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::sync::{Semaphore, watch};
use xxhash_rust::xxh3;

use super::{Echo, Faults, LedgerEntry, Mode, ServiceConfig, ServiceLoad};
use crate::{
    Running, clock,
    serve::{self, Answer, Call, Handler},
};

/// Starts services on the current `actix_rt` system, each on its own address.
pub async fn start(cfgs: Vec<ServiceConfig>) -> io::Result<Running> {
    let mut listeners: Vec<(_, Arc<dyn Handler>)> = Vec::with_capacity(cfgs.len());
    for cfg in cfgs {
        let listener = serve::bind(cfg.listen)?;
        listeners.push((listener, Arc::new(ServiceServer::new(cfg))));
    }
    serve::run(listeners, Vec::new())
}

struct ServiceServer {
    cfg: ServiceConfig,
    slots: Semaphore,
    faults: watch::Sender<Faults>,
    state: Mutex<State>,
}

struct State {
    /// Calls that were accepted and have not completed.
    open_calls: usize,
    /// Shown in the endpoint entry only; calls are still answered.
    draining: bool,
    ledger: BTreeMap<String, LedgerEntry>,
    rng: Pcg64,
}

impl Handler for ServiceServer {
    fn answer(self: Arc<Self>, call: Call) -> LocalBoxFuture<'static, Answer> {
        async move {
            match (&call.method, call.path.as_str()) {
                (&Method::POST, "/standin/faults") => self.set_faults(&call),
                (&Method::POST, "/standin/leave") => {
                    self.lock().draining = true;
                    Answer::empty(StatusCode::NO_CONTENT)
                }
                (&Method::GET, "/standin/ledger") => self.ledger(),
                (_, path) if path.starts_with("/standin/") => Answer::not_found(),
                _ => self.serve_call(call).await,
            }
        }
        .boxed_local()
    }

    fn listing(&self, addr: SocketAddr) -> Option<Endpoint> {
        Some(Endpoint {
            draining: self.lock().draining,
            ..self.cfg.listing(addr)
        })
    }
}

impl ServiceServer {
    fn new(cfg: ServiceConfig) -> Self {
        let rng = Pcg64::seed_from_u64(xxh3::xxh3_64(cfg.id.as_bytes()));
        Self {
            slots: Semaphore::new(cfg.max_running),
            cfg,
            faults: watch::Sender::new(Faults::default()),
            state: Mutex::new(State {
                open_calls: 0,
                draining: false,
                ledger: BTreeMap::new(),
                rng,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, call: &Call) -> Answer {
        match call.json::<Faults>() {
            Ok(faults) => {
                log::info!("service {}: faults are now {faults:?}.", self.cfg.id);
                self.faults.send_replace(faults);
                Answer::empty(StatusCode::NO_CONTENT)
            }
            Err(answer) => answer,
        }
    }

    fn ledger(&self) -> Answer {
        let state = self.lock();
        Answer::json(&state.ledger.values().collect::<Vec<_>>())
    }

    /// Answers a call of the service's own interface, to which faults apply.
    async fn serve_call(&self, call: Call) -> Answer {
        let mut rx = self.faults.subscribe();
        let faults = match rx.wait_for(|faults| faults.mode != Mode::Freeze).await {
            Ok(faults) if faults.mode != Mode::Down => faults.clone(),
            _ => return Answer::Abort,
        };
        if call.method == Method::GET && call.path == "/load" {
            return Answer::json(&self.load());
        }
        if self.occurs(faults.error_rate) {
            return Answer::error(StatusCode::SERVICE_UNAVAILABLE, "not run");
        }
        self.lock().open_calls += 1;
        let echo = self.run(&call, &faults).await;
        self.lock().open_calls -= 1;
        if self.occurs(faults.drop_answers) {
            return Answer::Abort;
        }
        Answer::json(&echo)
    }

    async fn run(&self, call: &Call, faults: &Faults) -> Echo {
        let slot = self.slots.acquire().await;
        let work_ms = self.cfg.work_ms + faults.delay_ms;
        if work_ms > 0 {
            tokio::time::sleep(Duration::from_millis(work_ms)).await;
        }
        drop(slot);
        let run = self.lock().record(call);
        Echo {
            service: self.cfg.service.clone(),
            endpoint: self.cfg.id.clone(),
            method: call.method.to_string(),
            path: call.path.clone(),
            body: String::from_utf8_lossy(&call.body).into_owned(),
            run,
        }
    }

    fn load(&self) -> ServiceLoad {
        let running = self.cfg.max_running - self.slots.available_permits();
        let waiting = self.lock().open_calls.saturating_sub(running);
        ServiceLoad {
            running: running as u32,
            waiting: waiting as u32,
        }
    }

    fn occurs(&self, probability: f64) -> bool {
        probability > 0.0 && self.lock().rng.random::<f64>() < probability
    }
}

impl State {
    /// Records a call in the ledger and returns the number of calls with its key that have run.
    fn record(&mut self, call: &Call) -> u64 {
        let request_id = call.header("x-request-id").unwrap_or_default();
        let key = call.header("idempotency-key").unwrap_or(request_id);
        let entry = self
            .ledger
            .entry(key.to_owned())
            .or_insert_with(|| LedgerEntry {
                key: key.to_owned(),
                request_id: String::new(),
                path: String::new(),
                count: 0,
                at_ms: 0,
            });
        request_id.clone_into(&mut entry.request_id);
        entry.path.clone_from(&call.path);
        entry.count += 1;
        entry.at_ms = clock::epoch_ms();
        entry.count
    }
}
