//! The engine as a state machine: each call gets the time and returns its answer. It uses no sockets,
//! tasks or clocks.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dragonflyrill_engines::wire::{self, StepOutcome, StepRefusal};
use xxhash_rust::xxh3;

use super::{
    cache::PrefixCache,
    config::EngineConfig,
    ledger::{Ledger, LedgerEntry},
    load::LoadHistory,
    order::LoadedModel,
    outcome::{Finished, Iteration, Refusal, Stats, Submitted, Ticket},
    session::StepId,
    sessions::Sessions,
};

/// The order of steps in the queue: by priority, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: u8,
    ticket: Ticket,
}

#[derive(Debug)]
struct Queued {
    step: wire::Step,
    deadline_ms: u64,
}

#[derive(Debug)]
struct RunningStep {
    ticket: Ticket,
    step: wire::Step,
    cached: u32,
}

/// The state of one engine.
#[derive(Debug)]
pub struct Engine {
    cfg: EngineConfig,
    incarnation: u64,
    loaded: LoadedModel,
    draining: bool,
    sessions: Sessions,
    queue: BTreeMap<QueueKey, Queued>,
    running: Vec<RunningStep>,
    next_ticket: u64,
    cache: PrefixCache,
    load: LoadHistory,
    ledger: Ledger,
    stats: Stats,
}

impl Engine {
    /// Creates an engine that has the model and layers of its settings loaded.
    pub fn new(cfg: EngineConfig, incarnation: u64) -> Self {
        Self {
            loaded: LoadedModel::new(&cfg),
            sessions: Sessions::new(cfg.max_sessions, cfg.session_idle_ms),
            cache: new_cache(&cfg),
            load: LoadHistory::new(cfg.load_lag_ms),
            cfg,
            incarnation,
            draining: false,
            queue: BTreeMap::new(),
            running: Vec::new(),
            next_ticket: 0,
            ledger: Ledger::default(),
            stats: Stats::default(),
        }
    }

    /// Begins a new incarnation, which keeps only the ledger and the counters. Steps that were queued or
    /// running are never answered.
    pub fn restart(&mut self, incarnation: u64) {
        let mut fresh = Self::new(self.cfg.clone(), incarnation);
        fresh.next_ticket = self.next_ticket;
        fresh.ledger = std::mem::take(&mut self.ledger);
        fresh.stats = self.stats;
        *self = fresh;
    }

    /// Accepts a step: answers it immediately or adds it to the queue.
    pub fn submit(&mut self, now_ms: u64, step: wire::Step) -> Submitted {
        if let Err(reason) = self.admit(now_ms, &step) {
            return Submitted::Answered(self.refuse(&step, reason));
        }
        if let Some(result) = self.earlier_result(&step) {
            return Submitted::Answered(result);
        }
        if let Some(session) = self.sessions.get_mut(&step.request) {
            session.add_pending(&step);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let deadline_ms = now_ms + u64::from(step.deadline_ms);
        let key = QueueKey {
            priority: step.priority,
            ticket,
        };
        self.queue.insert(key, Queued { step, deadline_ms });
        self.record_load(now_ms);
        Submitted::Waiting(ticket)
    }

    /// Starts an iteration with the next batch of the queue. If the iteration has a duration,
    /// [`Engine::finish`] has to be called when it has elapsed.
    pub fn begin(&mut self, now_ms: u64) -> Iteration {
        let mut refused = Vec::new();
        while self.running.len() < self.cfg.max_batch {
            let Some((QueueKey { ticket, .. }, Queued { step, deadline_ms })) =
                self.queue.pop_first()
            else {
                break;
            };
            if deadline_ms < now_ms {
                self.remove_pending(&step);
                let result = self.refuse(&step, StepRefusal::Deadline);
                refused.push(Finished { ticket, result });
                continue;
            }
            if let Err(reason) = self.sessions.check_attempt(&step) {
                self.remove_pending(&step);
                let result = self.refuse(&step, reason);
                refused.push(Finished { ticket, result });
                continue;
            }
            let count = step.inputs.len() as u32;
            let cached = self.cache.covered(&step.prefix, step.start, count);
            self.running.push(RunningStep {
                ticket,
                step,
                cached,
            });
        }
        self.record_load(now_ms);
        let duration = (!self.running.is_empty()).then(|| self.duration());
        Iteration { refused, duration }
    }

    /// Runs the steps of the batch and returns their results.
    pub fn finish(&mut self, now_ms: u64) -> Vec<Finished> {
        let running = std::mem::take(&mut self.running);
        self.stats.iterations += u64::from(!running.is_empty());
        let mut finished = Vec::with_capacity(running.len());
        for RunningStep {
            ticket,
            step,
            cached,
        } in running
        {
            self.remove_pending(&step);
            let result = self.run(now_ms, &step, cached);
            finished.push(Finished { ticket, result });
        }
        self.record_load(now_ms);
        finished
    }

    /// Refuses attempts of a request up to the cancelled one from now on, and removes the session of the
    /// request unless a newer attempt ran.
    pub fn cancel(&mut self, now_ms: u64, cancel: &wire::Cancel) {
        self.sessions.cancel(cancel);
        self.record_load(now_ms);
    }

    /// Returns a checkpoint of the KV cache of a request, or `None` if it has no session.
    pub fn export(&self, request: &str) -> Option<wire::KvCheckpoint> {
        Some(self.sessions.get(request)?.export(&self.loaded.model))
    }

    /// Replaces the session of a request by a checkpoint of its KV cache.
    ///
    /// # Errors
    /// Fails if the checkpoint does not fit the loaded model and layers, is stale, or finds no free slot.
    pub fn import(&mut self, now_ms: u64, kv: &wire::KvCheckpoint) -> Result<(), Refusal> {
        let layers = kv.layers;
        let count = layers.end.saturating_sub(layers.first) as usize;
        if !self.loaded.includes(now_ms, &kv.model, layers) || kv.state.len() != count {
            return Err(Refusal::Layers);
        }
        self.sessions.import(now_ms, kv, self.draining)?;
        self.record_load(now_ms);
        Ok(())
    }

    /// Executes an order to load a model and layers.
    ///
    /// # Errors
    /// Fails if the order names layers that the model does not have, or if it carries an outdated fencing
    /// number and the engine checks fencing numbers.
    pub fn order(
        &mut self,
        now_ms: u64,
        order: &wire::Order,
    ) -> Result<wire::EngineState, Refusal> {
        if order.layers.range().is_empty() || order.layers.end > self.cfg.model_layers {
            return Err(Refusal::Layers);
        }
        if self.cfg.checks_fence && order.fence < self.loaded.fence {
            return Err(Refusal::Stale);
        }
        if self
            .loaded
            .apply_order(now_ms, order, self.cfg.load_ms_per_layer)
        {
            self.sessions.clear();
            self.cache.clear(now_ms);
            self.record_load(now_ms);
        }
        Ok(self.state(now_ms))
    }

    /// Refuses new requests from now on; requests with a session continue.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// The identity, the loaded model and the status of the engine.
    pub fn state(&self, now_ms: u64) -> wire::EngineState {
        wire::EngineState {
            endpoint: self.cfg.id.clone(),
            incarnation: self.incarnation,
            fence: self.loaded.fence,
            model: self.loaded.model.clone(),
            version: self.loaded.version.clone(),
            layers: self.loaded.layers,
            loading: self.loaded.is_loading(now_ms),
            leaving: self.draining,
        }
    }

    /// The load as it was `load_lag_ms` ago.
    pub fn load(&mut self, now_ms: u64) -> wire::LoadReport {
        let load = self.load.reported(now_ms);
        wire::LoadReport {
            endpoint: self.cfg.id.clone(),
            incarnation: self.incarnation,
            running: load.running,
            waiting: load.waiting,
            sessions: load.sessions,
            max_sessions: self.cfg.max_sessions as u32,
            age_ms: self.cfg.load_lag_ms as u32,
        }
    }

    /// The published cache events with sequence numbers above `after`.
    pub fn cache_events(&self, now_ms: u64, after: u64) -> wire::CacheEvents {
        self.cache.events(now_ms, after)
    }

    /// The ledger of the steps that ran.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The counters since the start.
    pub fn stats(&self) -> Stats {
        Stats {
            prefix_blocks: self.cache.len() as u64,
            ..self.stats
        }
    }

    /// The settings.
    pub fn config(&self) -> &EngineConfig {
        &self.cfg
    }

    /// Checks whether the step may run after the queued ones, and creates the session of a new request.
    fn admit(&mut self, now_ms: u64, step: &wire::Step) -> Result<(), StepRefusal> {
        self.sessions.check_attempt(step)?;
        self.check_loaded(now_ms, step)?;
        self.sessions.admit(now_ms, step, self.draining)
    }

    /// Checks a queued step again before it runs: its attempt, model, layers and position.
    fn check_run(&self, now_ms: u64, step: &wire::Step) -> Result<(), StepRefusal> {
        self.sessions.check_attempt(step)?;
        self.check_loaded(now_ms, step)?;
        self.sessions.check_position(step)
    }

    fn check_loaded(&self, now_ms: u64, step: &wire::Step) -> Result<(), StepRefusal> {
        match self.loaded.includes(now_ms, &step.model, step.layers) {
            true => Ok(()),
            false => Err(StepRefusal::Layers),
        }
    }

    fn run(&mut self, now_ms: u64, step: &wire::Step, cached: u32) -> wire::StepResult {
        if let Err(reason) = self.check_run(now_ms, step) {
            return self.refuse(step, reason);
        }
        if let Some(result) = self.earlier_result(step) {
            return result;
        }
        let Some(session) = self.sessions.get_mut(&step.request) else {
            return self.refuse(step, StepRefusal::Position);
        };
        session.last_used_ms = now_ms;
        let last_layer = step.layers.end == self.cfg.model_layers;
        let outputs = session.run(step, cached, last_layer).outputs.clone();
        self.cache.store(now_ms, &step.prefix, session.position);
        let count = outputs.len() as u32;
        self.stats.ran += 1;
        self.stats.positions += u64::from(count);
        self.stats.cached += u64::from(cached);
        self.ledger.push(LedgerEntry {
            request: Arc::clone(&session.request),
            attempt: step.attempt,
            layers: step.layers,
            start: step.start,
            count,
            at_ms: now_ms,
        });
        self.done(step, outputs, cached)
    }

    fn earlier_result(&mut self, step: &wire::Step) -> Option<wire::StepResult> {
        let earlier = self
            .sessions
            .get(&step.request)?
            .result_of(StepId::of(step))?
            .clone();
        self.stats.repeated += 1;
        Some(self.done(step, earlier.outputs, earlier.cached))
    }

    fn done(&self, step: &wire::Step, outputs: Vec<u64>, cached: u32) -> wire::StepResult {
        let receipt = wire::Receipt {
            endpoint: self.cfg.id.clone(),
            incarnation: self.incarnation,
            layers: step.layers,
        };
        result(
            step,
            StepOutcome::Done {
                receipt,
                outputs,
                cached,
            },
        )
    }

    fn refuse(&mut self, step: &wire::Step, reason: StepRefusal) -> wire::StepResult {
        self.stats.refused += 1;
        let expected = self
            .sessions
            .get(&step.request)
            .map_or(0, |session| session.position);
        result(step, StepOutcome::Refused { reason, expected })
    }

    fn remove_pending(&mut self, step: &wire::Step) {
        if let Some(session) = self.sessions.get_mut(&step.request) {
            session.remove_pending(StepId::of(step));
        }
    }

    /// The duration of the current batch by the formula of the module [`super`], without the factors
    /// `slow` and `time_scale`.
    fn duration(&self) -> Duration {
        let mut layers = 0;
        let mut extra = 0;
        for RunningStep { step, cached, .. } in &self.running {
            let uncached = (step.inputs.len() as u32).saturating_sub(*cached);
            if uncached > 0 {
                layers = layers.max(step.layers.range().len() as u32);
                extra += u64::from(uncached - 1);
            }
        }
        let first = self.cfg.layer_us as f64 * f64::from(layers);
        let factor = 1.0 + self.cfg.prefill_factor * extra as f64;
        Duration::try_from_secs_f64(first * factor / 1e6).unwrap_or(Duration::MAX)
    }

    fn record_load(&mut self, now_ms: u64) {
        let running = self.running.len() as u32;
        let waiting = self.queue.len() as u32;
        self.load
            .record(now_ms, running, waiting, self.sessions.len() as u32);
    }
}

fn result(step: &wire::Step, outcome: StepOutcome) -> wire::StepResult {
    wire::StepResult {
        request: step.request.clone(),
        attempt: step.attempt,
        start: step.start,
        outcome,
    }
}

fn new_cache(cfg: &EngineConfig) -> PrefixCache {
    let seed = xxh3::xxh3_64(cfg.id.as_bytes());
    PrefixCache::new(
        cfg.prefix_blocks,
        cfg.cache_event_lag_ms,
        cfg.cache_event_loss,
        seed,
    )
}
