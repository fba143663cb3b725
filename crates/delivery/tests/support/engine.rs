//! A minimal engine that can be cloned, so that a search can branch on it. It follows the rules of
//! the engine interface and runs the reference model.

use dragonflyrill_engines::wire::{self, StepOutcome, StepRefusal};
use dragonflyrill_standins::reference;

pub(crate) const MODEL: &str = "m";

#[derive(Debug, Clone, PartialEq, Eq)]
struct CachedAnswer {
    attempt: u32,
    start: u32,
    outputs: Vec<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Session {
    layers: wire::Layers,
    latest_attempt: u32,
    last_run_attempt: u32,
    position: u32,
    layer_states: Vec<u64>,
    cached_answers: Vec<CachedAnswer>,
}

/// An engine with capacity for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Engine {
    pub(crate) id: String,
    pub(crate) incarnation: u64,
    pub(crate) dead: bool,
    model_layers: u32,
    session: Option<Session>,
    cancelled: u32,
    latest_attempt: u32,
    /// Whether a step has to start at the session's position; false only for a mutant.
    pub(crate) checks_position: bool,
}

impl Engine {
    pub(crate) fn new(id: &str, model_layers: u32) -> Self {
        Self {
            id: id.to_owned(),
            incarnation: 1,
            dead: false,
            model_layers,
            session: None,
            cancelled: 0,
            latest_attempt: 0,
            checks_position: true,
        }
    }

    pub(crate) fn holds_slot(&self) -> bool {
        self.session.is_some() && !self.dead
    }

    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.session = None;
        self.cancelled = 0;
        self.latest_attempt = 0;
    }

    pub(crate) fn step(&mut self, step: &wire::Step) -> wire::StepResult {
        let outcome = match self.run(step) {
            Ok(outputs) => StepOutcome::Done {
                receipt: wire::Receipt {
                    endpoint: self.id.clone(),
                    incarnation: self.incarnation,
                    layers: step.layers,
                },
                outputs,
                cached: 0,
            },
            Err(reason) => StepOutcome::Refused {
                reason,
                expected: self.session.as_ref().map_or(0, |s| s.position),
            },
        };
        wire::StepResult {
            request: step.request.clone(),
            attempt: step.attempt,
            start: step.start,
            outcome,
        }
    }

    fn run(&mut self, step: &wire::Step) -> Result<Vec<u64>, StepRefusal> {
        if step.attempt <= self.cancelled {
            return Err(StepRefusal::Cancelled);
        }
        if step.attempt
            < self
                .session
                .as_ref()
                .map_or(self.latest_attempt, |s| s.latest_attempt)
        {
            return Err(StepRefusal::StaleAttempt);
        }
        if self.session.is_none() {
            if step.start != 0 && self.checks_position {
                return Err(StepRefusal::Position);
            }
            self.session = Some(new_session(step));
        }
        let last_layer = step.layers.end == self.model_layers;
        let checks_position = self.checks_position;
        let Some(session) = self.session.as_mut() else {
            return Err(StepRefusal::Busy);
        };
        session.latest_attempt = step.attempt;
        if session.layers != step.layers {
            return Err(StepRefusal::Layers);
        }
        let mut kept = session.cached_answers.iter();
        if let Some(kept) = kept.find(|k| k.attempt == step.attempt && k.start == step.start) {
            return Ok(kept.outputs.clone());
        }
        if step.start != session.position && checks_position {
            return Err(StepRefusal::Position);
        }
        if session.last_run_attempt != step.attempt {
            session.cached_answers.clear();
            session.last_run_attempt = step.attempt;
        }
        let outputs = session.run(step, last_layer);
        session.cached_answers.push(CachedAnswer {
            attempt: step.attempt,
            start: step.start,
            outputs: outputs.clone(),
        });
        Ok(outputs)
    }

    pub(crate) fn cancel(&mut self, cancel: &wire::Cancel) {
        self.cancelled = self.cancelled.max(cancel.attempt);
        self.latest_attempt = self.latest_attempt.max(cancel.attempt);
        if let Some(session) = self
            .session
            .take_if(|s| s.last_run_attempt <= cancel.attempt)
        {
            self.latest_attempt = self.latest_attempt.max(session.latest_attempt);
        }
    }

    pub(crate) fn export(&self, request: &str) -> Option<wire::KvCheckpoint> {
        let session = self.session.as_ref()?;
        Some(wire::KvCheckpoint {
            request: request.to_owned(),
            attempt: session.last_run_attempt,
            model: MODEL.to_owned(),
            layers: session.layers,
            position: session.position,
            state: session.layer_states.clone(),
        })
    }

    pub(crate) fn import(&mut self, kv: &wire::KvCheckpoint) -> bool {
        let latest_attempt = self
            .session
            .as_ref()
            .map_or(self.latest_attempt, |s| s.latest_attempt);
        if kv.attempt <= self.cancelled || kv.attempt < latest_attempt {
            return false;
        }
        self.session = Some(Session {
            layers: kv.layers,
            latest_attempt: kv.attempt,
            last_run_attempt: kv.attempt,
            position: kv.position,
            layer_states: kv.state.clone(),
            cached_answers: Vec::new(),
        });
        true
    }
}

fn new_session(step: &wire::Step) -> Session {
    Session {
        layers: step.layers,
        latest_attempt: step.attempt,
        last_run_attempt: step.attempt,
        position: 0,
        layer_states: reference::initial_states(MODEL, step.layers.first, step.layers.end),
        cached_answers: Vec::new(),
    }
}

impl Session {
    fn run(&mut self, step: &wire::Step, last_layer: bool) -> Vec<u64> {
        let mut outputs = Vec::new();
        for &input in &step.inputs {
            let first = self.layers.first;
            let x = reference::run_position(&mut self.layer_states, first, self.position, input);
            outputs.push(match last_layer {
                true => reference::token_id(x),
                false => x,
            });
            self.position += 1;
        }
        outputs
    }
}
