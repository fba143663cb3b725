//! A generation, its engines and the network between them. Every fault is a possible step.

use std::time::Duration;

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_delivery::{
    Action, Chain, Config, ErrorKind, Event, Generation, ResumeState, RunStatus, Spec, Stage,
    generation::StepTimes,
};
use dragonflyrill_engines::wire;
use dragonflyrill_standins::reference;

use super::{
    engine::{Engine, MODEL},
    explore::System,
};

const REQUEST: &str = "w/1";
const DEADLINE: Duration = Duration::from_secs(3600);

/// A check that is removed, to show that the search detects the violation that the check prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutant {
    None,
    /// Every result matches the pending step, whatever its attempt and position.
    StaleResultsAccepted,
    /// A result of the current attempt matches the pending step, whatever its position.
    PositionIgnored,
    /// Every receipt appears to be of the endpoint's first incarnation.
    IncarnationIgnored,
    /// Every receipt appears to cover the requested layers, but the engine runs fewer.
    ReceiptLayersIgnored,
    /// Only the endpoints of the last chain are freed.
    ReplacedNotFreed,
    /// A handover omits the last released token.
    TokenOmitted,
    /// Nothing times out.
    NoTimeouts,
    /// A replacement gets only the newest input instead of all kept inputs, and the number of
    /// outputs is not checked.
    OnlyNewestInput,
    /// The layers of an imported checkpoint are in reverse order.
    CheckpointLayersReversed,
    /// The failure of a request that was sent is reported as not run.
    ClaimsNotRun,
    /// All released tokens are released again when a stage is replaced.
    TokensReleasedAgain,
    /// An answer ends as complete when the generation fails.
    AnswerTruncated,
}

/// The numbers of faults that may still occur.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    /// The total of all kinds.
    pub(crate) any: u32,
    pub(crate) drops: u32,
    pub(crate) copies: u32,
    pub(crate) restarts: u32,
    pub(crate) deaths: u32,
    /// Timeouts while an answer may still arrive, as with frozen or slow endpoints.
    pub(crate) early_ticks: u32,
    pub(crate) cancels: u32,
    pub(crate) handovers: u32,
}

impl Faults {
    pub(crate) fn up_to(any: u32) -> Self {
        Self {
            any,
            drops: any,
            copies: any,
            restarts: any,
            deaths: any,
            early_ticks: any,
            cancels: any.min(1),
            handovers: any.min(1),
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
enum Message {
    Step(usize, wire::Step),
    Result(usize, wire::StepResult),
    Lost(usize, u32, u32),
    Cancel(usize, wire::Cancel),
    Export(usize),
    Exported(usize, wire::KvCheckpoint),
    Import(usize, wire::KvCheckpoint),
    Imported(usize, u32, bool),
}

#[derive(Debug, Clone, PartialEq)]
enum Ended {
    Complete,
    Failed(ErrorKind),
}

/// The parameters of a search.
#[derive(Debug, Clone)]
pub(crate) struct Setup {
    pub(crate) stage_ends: Vec<u32>,
    pub(crate) tokens: u32,
    pub(crate) export_every: u32,
    pub(crate) keep_bytes: u64,
    pub(crate) faults: Faults,
    pub(crate) mutant: Mutant,
}

#[derive(Debug, Clone)]
pub(crate) struct World {
    setup_layers: u32,
    mutant: Mutant,
    faults: Faults,
    now: Duration,
    generations: Vec<Generation>,
    /// For n stages: the n endpoints of the first chain, their n spares, and one more spare.
    engines: Vec<Engine>,
    stages: Vec<wire::Layers>,
    net: Vec<Message>,
    replacement_for: Option<wire::Layers>,
    replaced: Vec<usize>,
    moved: Option<ResumeState>,
    released: Vec<u64>,
    expected: Vec<u64>,
    ended: Option<Ended>,
    sent: bool,
    last_sent: Option<(usize, wire::Step)>,
    /// The number of inputs of the last step sent, before a mutation.
    last_inputs: usize,
    /// Whether a cancel was lost in the network or by a restart of its engine.
    cancel_lost: bool,
    /// Whether the answer may be incomplete: after a cancel, a missing replacement or the deadline.
    failure_allowed: bool,
    violation: Option<String>,
}

fn endpoint(i: usize) -> EndpointId {
    EndpointId::try_from(format!("e{i}").as_str()).expect("a name")
}

impl World {
    pub(crate) fn new(setup: Setup) -> Self {
        let layers = *setup.stage_ends.last().expect("a stage");
        let mut first = 0;
        let mut stages = Vec::new();
        for &end in &setup.stage_ends {
            stages.push(wire::Layers { first, end });
            first = end;
        }
        let prompt = vec![7];
        let spec = Spec {
            request: REQUEST.to_owned(),
            model: MODEL.to_owned(),
            layers,
            prompt: prompt.clone(),
            max_tokens: setup.tokens,
            priority: 0,
            deadline: DEADLINE,
            prefix: Vec::new(),
        };
        let cfg = config(&setup);
        let mut engines: Vec<Engine> = Vec::new();
        for i in 0..2 * stages.len() + 1 {
            let mut engine = Engine::new(&format!("e{i}"), layers);
            engine.checks_position = setup.mutant != Mutant::IncarnationIgnored;
            engines.push(engine);
        }
        let mut this = Self {
            setup_layers: layers,
            mutant: setup.mutant,
            faults: setup.faults,
            now: Duration::ZERO,
            generations: vec![Generation::with_config(spec, cfg)],
            engines,
            stages,
            net: Vec::new(),
            replacement_for: None,
            replaced: Vec::new(),
            moved: None,
            released: Vec::new(),
            expected: reference::expected_tokens(MODEL, layers, &prompt, setup.tokens as usize),
            ended: None,
            sent: false,
            last_sent: None,
            last_inputs: 0,
            cancel_lost: false,
            failure_allowed: false,
            violation: None,
        };
        let chain = this.chain(0);
        this.handle(0, Event::Start(chain));
        this
    }

    /// The first chain for `skip` 0, or the chain of the spares for `skip` n.
    fn chain(&self, skip: usize) -> Chain {
        let layers = wire::Layers {
            first: 0,
            end: self.setup_layers,
        };
        let stages = self.stages.iter().enumerate();
        let stages = stages.map(|(i, &layers)| Stage {
            endpoint: endpoint(i + skip),
            layers,
        });
        Chain::new(layers, stages.collect()).expect("a cover")
    }

    fn handle(&mut self, host: usize, event: Event) {
        let mut actions = Vec::new();
        self.generations[host].handle(self.now, event, &mut actions);
        let lost = actions.iter().find_map(|action| match action {
            Action::Replace { failed, .. } => Some(number(failed)),
            _ => None,
        });
        self.replaced.extend(lost);
        for action in actions {
            self.carry_out(action);
        }
        self.sort_messages();
    }

    /// Sorts the messages in flight, as states that differ only in their order are equal.
    fn sort_messages(&mut self) {
        self.net.sort_by_cached_key(|m| format!("{m:?}"));
    }

    fn carry_out(&mut self, action: Action) {
        if self.ended.is_some() && !matches!(action, Action::Free { .. }) {
            self.violation = Some("an action follows the end".to_owned());
        }
        match action {
            Action::Send { endpoint, mut step } => {
                self.sent = true;
                self.last_sent = Some((number(&endpoint), step.clone()));
                self.last_inputs = step.inputs.len();
                if self.mutant == Mutant::OnlyNewestInput && step.inputs.len() > 1 {
                    step.inputs.drain(..step.inputs.len() - 1);
                }
                self.net.push(Message::Step(number(&endpoint), step));
            }
            Action::Release { index, token } => {
                if index as usize != self.released.len() {
                    self.violation = Some("a token is duplicated or missing".to_owned());
                }
                self.released.push(token);
            }
            Action::Replace { layers, .. } => {
                if self.mutant == Mutant::TokensReleasedAgain {
                    self.released.extend_from_within(..);
                }
                self.replacement_for = Some(layers);
            }
            Action::Export { endpoint, .. } => self.net.push(Message::Export(number(&endpoint))),
            Action::Import {
                endpoint,
                mut checkpoint,
            } => {
                if self.mutant == Mutant::CheckpointLayersReversed {
                    checkpoint.state.reverse();
                }
                self.net
                    .push(Message::Import(number(&endpoint), checkpoint));
            }
            Action::Free { endpoint, cancel } => {
                let i = number(&endpoint);
                let freed = self.mutant != Mutant::ReplacedNotFreed || !self.replaced.contains(&i);
                if freed {
                    self.net.push(Message::Cancel(i, cancel));
                }
            }
            Action::Finish => self.ended = Some(Ended::Complete),
            Action::Moved(resume) => self.moved = Some(resume),
            Action::Fail(_) if self.mutant == Mutant::AnswerTruncated => {
                self.ended = Some(Ended::Complete);
            }
            Action::Fail(kind) => {
                let kind = match self.mutant {
                    Mutant::ClaimsNotRun => ErrorKind::Overloaded,
                    _ => kind,
                };
                self.ended = Some(Ended::Failed(kind));
            }
        }
    }

    fn host(&self) -> usize {
        self.generations.len() - 1
    }

    /// Delivers a message to its engine, or to the current generation.
    fn deliver(&mut self, message: Message) {
        let dead = |this: &Self, i: usize| this.engines[i].dead;
        match message {
            Message::Step(i, step) if dead(self, i) => {
                self.net.push(Message::Lost(i, step.attempt, step.start));
            }
            Message::Import(i, kv) if dead(self, i) => {
                self.net.push(Message::Imported(i, kv.attempt, false));
            }
            Message::Cancel(i, _) | Message::Export(i) if dead(self, i) => {}
            Message::Step(i, step) => {
                let result = self.run(i, step);
                self.net.push(Message::Result(i, result));
            }
            Message::Cancel(i, cancel) => self.engines[i].cancel(&cancel),
            Message::Export(i) => {
                if let Some(kv) = self.engines[i].export(REQUEST) {
                    self.net.push(Message::Exported(i, kv));
                }
            }
            Message::Import(i, kv) => {
                let accepted = self.engines[i].import(&kv);
                self.net.push(Message::Imported(i, kv.attempt, accepted));
            }
            Message::Result(i, result) => self.result(i, result),
            Message::Lost(i, attempt, start) => {
                let endpoint = endpoint(i);
                self.deliver_event(Event::StepLost {
                    endpoint,
                    attempt,
                    start,
                });
            }
            Message::Exported(i, checkpoint) => self.deliver_event(Event::Exported {
                endpoint: endpoint(i),
                checkpoint,
            }),
            Message::Imported(i, attempt, accepted) => {
                let endpoint = endpoint(i);
                self.deliver_event(match accepted {
                    true => Event::Imported { endpoint, attempt },
                    false => Event::ImportFailed { endpoint, attempt },
                });
            }
        }
        self.sort_messages();
    }

    fn run(&mut self, i: usize, mut step: wire::Step) -> wire::StepResult {
        if self.mutant == Mutant::ReceiptLayersIgnored && step.layers.range().len() > 1 {
            step.layers.end -= 1;
        }
        self.engines[i].step(&step)
    }

    /// Passes an event to the generation of the current host.
    fn deliver_event(&mut self, event: Event) {
        self.failure_allowed |= matches!(event, Event::Cancel | Event::NoReplacement);
        self.handle(self.host(), event);
    }

    fn result(&mut self, i: usize, mut result: wire::StepResult) {
        let mut from = i;
        if let Some((at, last)) = self.last_sent.clone() {
            let layers = last.layers;
            match self.mutant {
                Mutant::StaleResultsAccepted => {
                    (from, result.attempt, result.start) = (at, last.attempt, last.start);
                }
                Mutant::PositionIgnored if result.attempt == last.attempt && at == i => {
                    result.start = last.start;
                }
                _ => {}
            }
            if let wire::StepOutcome::Done {
                receipt, outputs, ..
            } = &mut result.outcome
            {
                match self.mutant {
                    Mutant::OnlyNewestInput => {
                        let newest = outputs[outputs.len() - 1];
                        outputs.resize(self.last_inputs, newest);
                    }
                    Mutant::IncarnationIgnored => receipt.incarnation = 1,
                    Mutant::ReceiptLayersIgnored => receipt.layers = layers,
                    Mutant::StaleResultsAccepted => {
                        receipt.layers = layers;
                        receipt.endpoint = format!("e{at}");
                        receipt.incarnation = 1;
                    }
                    _ => {}
                }
            }
        }
        self.deliver_event(Event::Result {
            endpoint: endpoint(from),
            result,
        });
    }

    /// The chains that may replace `layers`: of spares, or of two endpoints with other boundaries.
    fn replacements(&self, layers: wire::Layers) -> Vec<Chain> {
        let n = self.stages.len();
        if layers.range().len() as u32 == self.setup_layers && n > 1 {
            return vec![self.chain(n)];
        }
        let at = self.stages.iter().position(|s| s.first == layers.first);
        let at = at.unwrap_or_default();
        let fresh = |i: &usize| !self.replaced.contains(i);
        let free: Vec<usize> = [at + n, 2 * n].into_iter().filter(fresh).collect();
        let one = |&i: &usize| {
            let endpoint = endpoint(i);
            Chain::new(layers, vec![Stage { endpoint, layers }]).expect("a cover")
        };
        let mut chains: Vec<Chain> = free.first().map(one).into_iter().collect();
        if let ([a, b], true) = (free.as_slice(), layers.range().len() > 1) {
            let middle = layers.first + 1;
            let (first, end) = (layers.first, layers.end);
            let left = Stage {
                endpoint: endpoint(*a),
                layers: wire::Layers { first, end: middle },
            };
            let right = Stage {
                endpoint: endpoint(*b),
                layers: wire::Layers { first: middle, end },
            };
            chains.push(Chain::new(layers, vec![left, right]).expect("a cover"));
        }
        chains
    }

    fn with(&self, step: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        step(&mut next);
        next
    }

    fn tick(&mut self) {
        let Some(due) = self.generations[self.host()].next_wake() else {
            return;
        };
        self.now = self.now.max(due);
        self.failure_allowed |= self.now >= DEADLINE;
        self.handle(self.host(), Event::Tick);
    }

    fn next_faults(&self, next: &mut Vec<(String, Self)>) {
        if self.faults.any == 0 {
            return;
        }
        let spent = |set: fn(&mut Faults) -> &mut u32| {
            let mut world = self.clone();
            world.faults.any -= 1;
            let left = set(&mut world.faults);
            if *left == 0 {
                return None;
            }
            *left -= 1;
            Some(world)
        };
        for i in 0..self.net.len() {
            if let Some(mut world) = spent(|f| &mut f.drops) {
                let message = world.net.remove(i);
                world.cancel_lost |= matches!(message, Message::Cancel(..));
                next.push((format!("drop {message:?}"), world));
            }
            if let Some(mut world) = spent(|f| &mut f.copies) {
                let message = world.net[i].clone();
                next.push((format!("copy {message:?}"), {
                    world.net.push(message);
                    world.sort_messages();
                    world
                }));
            }
        }
        for i in 0..self.engines.len() {
            if !self.engines[i].holds_slot() {
                continue;
            }
            if let Some(mut world) = spent(|f| &mut f.restarts) {
                world.engines[i].restart();
                world.cancel_lost = true;
                next.push((format!("restart {i}"), world));
            }
            if let Some(mut world) = spent(|f| &mut f.deaths) {
                world.engines[i].dead = true;
                next.push((format!("death {i}"), world));
            }
        }
        if self.ended.is_some() {
            return;
        }
        if let Some(mut world) = spent(|f| &mut f.early_ticks) {
            world.tick();
            next.push(("early tick".to_owned(), world));
        }
        if let Some(mut world) = spent(|f| &mut f.cancels) {
            world.deliver_event(Event::Cancel);
            next.push(("cancel".to_owned(), world));
        }
        if let Some(mut world) = spent(|f| &mut f.handovers) {
            world.handle(world.host(), Event::Handover);
            next.push(("handover".to_owned(), world));
        }
    }

    /// The host to which a generation moved continues it with the same chain, or starts it again
    /// with the first chain.
    fn next_resumptions(&self, resume: &ResumeState, next: &mut Vec<(String, Self)>) {
        let mut resume = resume.clone();
        if self.mutant == Mutant::TokenOmitted {
            resume.released.pop();
        }
        let cfg = Config {
            handover_timeout: Duration::from_millis(1),
            ..base_config()
        };
        let prepared = self.with(|w| {
            w.moved = None;
            w.generations
                .push(Generation::resume(w.now, resume.clone(), cfg));
        });
        if !resume.stages.is_empty() {
            let world = prepared.with(|w| w.handle(1, Event::Continue));
            next.push(("continue".to_owned(), world));
        }
        let chain = self.chain(0);
        let world = prepared.with(|w| w.handle(1, Event::Start(chain)));
        next.push(("start again".to_owned(), world));
    }
}

fn base_config() -> Config {
    Config {
        max_replacements: 3,
        min_step_timeout: Duration::from_millis(1),
        step_timeout_factor: 0,
        step_times: StepTimes {
            step: Duration::ZERO,
            position: Duration::ZERO,
            token: None,
        },
        free_retry_delay: Duration::from_millis(1),
        handover_timeout: Duration::from_millis(1),
        ..Config::default()
    }
}

fn config(setup: &Setup) -> Config {
    Config {
        export_every_tokens: setup.export_every,
        max_kept_bytes: setup.keep_bytes,
        ..base_config()
    }
}

fn number(endpoint: &EndpointId) -> usize {
    endpoint.as_str()[1..].parse().expect("a number")
}

impl System for World {
    fn next_steps(&self) -> Vec<(String, Self)> {
        let mut next = Vec::new();
        if let Some(resume) = &self.moved {
            self.next_resumptions(resume, &mut next);
            return next;
        }
        if let Some(layers) = self.replacement_for {
            let prepared = self.with(|w| w.replacement_for = None);
            for chain in self.replacements(layers) {
                let name = format!("replacement {chain:?}");
                next.push((
                    name,
                    prepared.with(|w| w.deliver_event(Event::Replacement(chain))),
                ));
            }
            let world = prepared.with(|w| w.deliver_event(Event::NoReplacement));
            next.push(("no replacement".to_owned(), world));
            // Messages may also be delivered before the replacement arrives.
        }
        for i in 0..self.net.len() {
            if i > 0 && self.net[i] == self.net[i - 1] {
                continue;
            }
            let name = format!("deliver {:?}", self.net[i]);
            let world = self.with(|w| {
                let message = w.net.remove(i);
                w.deliver(message);
            });
            next.push((name, world));
        }
        let idle = self.net.is_empty() && self.replacement_for.is_none();
        if idle && self.ended.is_none() && self.mutant != Mutant::NoTimeouts {
            next.push(("tick".to_owned(), self.with(Self::tick)));
        }
        self.next_faults(&mut next);
        next
    }

    fn violation(&self) -> Option<String> {
        if let Some(violation) = &self.violation {
            return Some(violation.clone());
        }
        if !self.expected.starts_with(&self.released) {
            return Some("a released token is not that of a run without faults".to_owned());
        }
        let complete = self.released == self.expected;
        match &self.ended {
            Some(Ended::Complete) if !complete => return Some("an answer is truncated".to_owned()),
            Some(Ended::Failed(kind)) if self.sent && kind.answer().run == RunStatus::NotRun => {
                return Some("a request that was sent is reported as not run".to_owned());
            }
            Some(Ended::Failed(kind)) if !self.failure_allowed => {
                return Some(format!(
                    "failed with {kind:?} although endpoints were available"
                ));
            }
            _ => {}
        }
        let idle = self.net.is_empty() && self.replacement_for.is_none() && self.moved.is_none();
        if idle && self.ended.is_none() && self.mutant == Mutant::NoTimeouts {
            return Some("a request is stuck".to_owned());
        }
        let slots = self.engines.iter().any(Engine::holds_slot);
        if idle && self.ended.is_some() && slots && !self.cancel_lost {
            return Some("a slot is held after the end".to_owned());
        }
        None
    }
}
