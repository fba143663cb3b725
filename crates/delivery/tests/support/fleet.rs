//! A generation and stand-in engines, under a random schedule of messages and faults.

use std::{collections::VecDeque, time::Duration};

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_delivery::{
    Action, Chain, Config, ErrorKind, Event, Generation, ResumeState, Spec, Stage,
};
use dragonflyrill_engines::wire;
use dragonflyrill_standins::{
    engine::{EngineConfig, core, outcome::Submitted},
    reference,
};

const MODEL: &str = "m";
const REQUEST: &str = "w/1";
/// The number of steps after which a run is considered stuck.
const MAX_STEPS: usize = 20_000;

/// The request, the chain and the schedule of one run.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) stages: u32,
    pub(crate) layers_per_stage: u32,
    pub(crate) prompt: Vec<u64>,
    pub(crate) tokens: u32,
    pub(crate) export_every: u32,
    pub(crate) keep_bytes: u64,
    pub(crate) schedule: Vec<Step>,
}

/// One step of the schedule. Indices are taken modulo the number of messages or endpoints.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Step {
    Deliver(usize),
    Copy(usize),
    Drop(usize),
    Restart(usize),
    /// No message to or from the endpoint is delivered for the given number of steps.
    Freeze(usize, u8),
    Tick,
    Handover(bool),
}

#[derive(Debug, Clone)]
enum Message {
    Step(wire::Step),
    Result(wire::StepResult),
    Cancel(wire::Cancel),
    Export,
    Exported(wire::KvCheckpoint),
    Import(wire::KvCheckpoint),
    Imported(u32, bool),
}

struct Endpoint {
    id: EndpointId,
    engine: core::Engine,
    incarnation: u64,
    frozen_steps: usize,
}

pub(crate) struct Fleet {
    plan: Plan,
    now: Duration,
    generation: Generation,
    endpoints: Vec<Endpoint>,
    net: Vec<(usize, Message)>,
    /// The number of replacements so far, which selects the next spares.
    replaced: usize,
    same_chain: bool,
    pub(crate) released: Vec<u64>,
    pub(crate) end: Option<Result<(), ErrorKind>>,
}

fn config(plan: &Plan) -> Config {
    Config {
        max_replacements: 64,
        min_step_timeout: Duration::from_millis(50),
        export_every_tokens: plan.export_every,
        max_kept_bytes: plan.keep_bytes,
        ..Config::default()
    }
}

impl Fleet {
    pub(crate) fn new(plan: Plan) -> Self {
        let layers = plan.stages * plan.layers_per_stage;
        let spec = Spec {
            request: REQUEST.to_owned(),
            model: MODEL.to_owned(),
            layers,
            prompt: plan.prompt.clone(),
            max_tokens: plan.tokens,
            priority: 0,
            deadline: Duration::from_secs(100_000),
            prefix: Vec::new(),
        };
        let endpoint = |i: u32| {
            let id = format!("e{i}");
            let config = EngineConfig::new(&id, MODEL, layers);
            Endpoint {
                id: EndpointId::try_from(id.as_str()).expect("a name"),
                engine: core::Engine::new(config, 1),
                incarnation: 1,
                frozen_steps: 0,
            }
        };
        Self {
            now: Duration::ZERO,
            generation: Generation::with_config(spec, config(&plan)),
            endpoints: (0..plan.stages * 4).map(endpoint).collect(),
            net: Vec::new(),
            replaced: 0,
            same_chain: true,
            released: Vec::new(),
            end: None,
            plan,
        }
    }

    pub(crate) fn expected(&self) -> Vec<u64> {
        let layers = self.plan.stages * self.plan.layers_per_stage;
        let n = self.plan.tokens as usize;
        reference::expected_tokens(MODEL, layers, &self.plan.prompt, n)
    }

    /// Whether any engine holds a slot for the request.
    pub(crate) fn holds_slot(&self) -> bool {
        let mut engines = self.endpoints.iter().map(|e| &e.engine);
        engines.any(|engine| engine.export(REQUEST).is_some())
    }

    /// Applies the schedule, and then delivers all messages until the generation has ended and none
    /// is left.
    pub(crate) fn run(&mut self) {
        let chain = self.chain(all_layers(&self.plan), 0);
        self.handle(Event::Start(chain));
        for step in self.plan.schedule.clone() {
            self.apply(step);
        }
        for endpoint in &mut self.endpoints {
            endpoint.frozen_steps = 0;
        }
        for _ in 0..MAX_STEPS {
            if !self.net.is_empty() {
                self.deliver(0);
            } else if self.end.is_none() {
                self.tick();
            } else {
                return;
            }
        }
        panic!("the run is stuck");
    }

    fn apply(&mut self, step: Step) {
        for endpoint in &mut self.endpoints {
            endpoint.frozen_steps = endpoint.frozen_steps.saturating_sub(1);
        }
        let n = self.net.len().max(1);
        let endpoints = self.endpoints.len();
        match step {
            Step::Deliver(i) => {
                if !self.net.is_empty() {
                    self.deliver(i % n);
                }
            }
            Step::Copy(i) => {
                if let Some(message) = self.net.get(i % n).cloned() {
                    self.net.push(message);
                }
            }
            Step::Drop(i) => self.drop_message(i % n),
            Step::Restart(i) => {
                let endpoint = &mut self.endpoints[i % endpoints];
                endpoint.incarnation += 1;
                endpoint.engine.restart(endpoint.incarnation);
            }
            Step::Freeze(i, steps) => {
                self.endpoints[i % endpoints].frozen_steps = usize::from(steps);
            }
            Step::Tick => self.tick(),
            Step::Handover(same_chain) => {
                self.same_chain = same_chain;
                self.handle(Event::Handover);
            }
        }
    }

    /// Drops a message. Every second dropped step or result is reported at once, as by a broken
    /// connection.
    fn drop_message(&mut self, i: usize) {
        // Cancels are not dropped: an engine ends the session of a lost cancel by its idle timeout,
        // which is not simulated here.
        if !self
            .net
            .get(i)
            .is_some_and(|(_, m)| !matches!(m, Message::Cancel(_)))
        {
            return;
        }
        let (at, message) = self.net.remove(i);
        let endpoint = self.endpoints[at].id.clone();
        match message {
            Message::Step(wire::Step { attempt, start, .. })
            | Message::Result(wire::StepResult { attempt, start, .. })
                if i.is_multiple_of(2) =>
            {
                self.handle(Event::StepLost {
                    endpoint,
                    attempt,
                    start,
                });
            }
            _ => {}
        }
    }

    fn tick(&mut self) {
        if let Some(due) = self.generation.next_wake() {
            self.now = self.now.max(due);
            self.handle(Event::Tick);
        }
    }

    fn deliver(&mut self, i: usize) {
        if self.endpoints[self.net[i].0].frozen_steps > 0 {
            return;
        }
        let (at, message) = self.net.remove(i);
        let ms = self.now.as_millis() as u64;
        let endpoint = &mut self.endpoints[at];
        let id = endpoint.id.clone();
        match message {
            Message::Step(step) => {
                let results = match endpoint.engine.submit(ms, step) {
                    Submitted::Answered(result) => vec![result],
                    Submitted::Waiting(_) => {
                        let begun = endpoint.engine.begin(ms).refused;
                        let done = endpoint.engine.finish(ms);
                        begun.into_iter().chain(done).map(|f| f.result).collect()
                    }
                };
                let results = results.into_iter();
                self.net.extend(results.map(|r| (at, Message::Result(r))));
            }
            Message::Cancel(cancel) => endpoint.engine.cancel(ms, &cancel),
            Message::Export => {
                let kv = endpoint.engine.export(REQUEST);
                self.net.extend(kv.map(|kv| (at, Message::Exported(kv))));
            }
            Message::Import(kv) => {
                let accepted = endpoint.engine.import(ms, &kv).is_ok();
                self.net.push((at, Message::Imported(kv.attempt, accepted)));
            }
            Message::Result(result) => self.handle(Event::Result {
                endpoint: id,
                result,
            }),
            Message::Exported(checkpoint) => self.handle(Event::Exported {
                endpoint: id,
                checkpoint,
            }),
            Message::Imported(attempt, true) => self.handle(Event::Imported {
                endpoint: id,
                attempt,
            }),
            Message::Imported(attempt, false) => self.handle(Event::ImportFailed {
                endpoint: id,
                attempt,
            }),
        }
    }

    fn handle(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.generation.handle(self.now, event, &mut actions);
            for action in actions {
                events.extend(self.carry_out(action));
            }
        }
    }

    fn carry_out(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send { endpoint, step } => self.send(&endpoint, Message::Step(step)),
            Action::Export { endpoint, .. } => self.send(&endpoint, Message::Export),
            Action::Import {
                endpoint,
                checkpoint,
            } => self.send(&endpoint, Message::Import(checkpoint)),
            Action::Free { endpoint, cancel } => self.send(&endpoint, Message::Cancel(cancel)),
            Action::Release { index, token } => {
                assert_eq!(
                    index as usize,
                    self.released.len(),
                    "a token is duplicated or missing"
                );
                self.released.push(token);
            }
            Action::Replace { layers, .. } => {
                self.replaced += 1;
                return Some(Event::Replacement(self.chain(layers, self.replaced)));
            }
            Action::Finish => self.end = Some(Ok(())),
            Action::Fail(kind) => self.end = Some(Err(kind)),
            Action::Moved(resume) => return Some(self.resume_elsewhere(resume)),
        }
        None
    }

    /// Continues the generation at another host.
    fn resume_elsewhere(&mut self, resume: ResumeState) -> Event {
        let continue_chain = self.same_chain && !resume.stages.is_empty();
        self.generation = Generation::resume(self.now, resume, config(&self.plan));
        match continue_chain {
            true => Event::Continue,
            false => Event::Start(self.chain(all_layers(&self.plan), self.replaced)),
        }
    }

    fn send(&mut self, endpoint: &EndpointId, message: Message) {
        let at = self.endpoints.iter().position(|e| e.id == *endpoint);
        self.net.push((at.expect("an endpoint"), message));
    }

    /// A chain for `layers`, with other endpoints in each `round` and other boundaries in every
    /// third one. In round `r` the endpoint for the layers of stage `s` has the index
    /// `4 s + r % 4`.
    fn chain(&self, layers: wire::Layers, round: usize) -> Chain {
        let per_stage = self.plan.layers_per_stage;
        let mut stages = Vec::new();
        let mut first = layers.first;
        while first < layers.end {
            let end = (first / per_stage + 1) * per_stage;
            let end = end.min(layers.end);
            let at = (first / per_stage) as usize * 4;
            let split = round % 3 == 2 && end - first > 1;
            let middle = first + (end - first) / 2;
            if split {
                stages.push(self.stage(at + (round + 1) % 4, first, middle));
                first = middle;
            }
            stages.push(self.stage(at + round % 4, first, end));
            first = end;
        }
        Chain::new(layers, stages).expect("a cover")
    }

    fn stage(&self, at: usize, first: u32, end: u32) -> Stage {
        Stage {
            endpoint: self.endpoints[at].id.clone(),
            layers: wire::Layers { first, end },
        }
    }
}

fn all_layers(plan: &Plan) -> wire::Layers {
    wire::Layers {
        first: 0,
        end: plan.stages * plan.layers_per_stage,
    }
}
