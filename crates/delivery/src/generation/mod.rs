//! One generation: the state machine that drives a request through a chain of stages, token by
//! token.
//!
//! A [`Generation`] ends when it has finished, moved to another host or failed. The host passes
//! [`Event`]s to it, including an [`Event::Tick`] at [`Generation::next_wake`], and carries out the
//! [`Action`]s that it returns. A token is released only when the receipts for its position show
//! that each layer ran exactly once, in order.
//!
//! A result is matched to the pending step by endpoint, attempt and first position. A result that
//! is late, duplicated or out of order does not match and is dropped. The attempt number increases
//! with each change of the chain.
//!
//! The `recover` module handles faults: it first sends the step again, then replaces only the
//! failed stage and rebuilds the stage's KV cache from a checkpoint or from kept activations. If
//! neither is available, it replaces the whole chain and rebuilds it from the prompt and the
//! released tokens.

mod deadline;
mod message;

mod recover;
mod resume;
mod stage;
mod timing;

use std::time::Duration;

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire;

pub use message::{Action, Config, Event, ResumeState, Spec};
pub use timing::StepTimes;

use crate::{chain::Chain, error::ErrorKind};
use stage::{Inputs, StageState};

/// The time after which a caller should retry when endpoints have failed.
const FAILURE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The phase of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// There is no chain yet.
    Waiting,
    /// A stage is running a step.
    Running(PendingCall),
    /// A stage is importing a KV cache.
    Importing(PendingCall),
    /// A stage's step is to be sent again at `until`.
    BackingOff {
        pending: PendingCall,
        until: Duration,
    },
    /// A stage, or for `None` the whole chain, is waiting for its replacement.
    Replacing {
        stage: Option<usize>,
        /// The step of a stage that is only silent. Nothing of its run has been freed: it continues if it answers
        /// first or if there is no replacement.
        silent: Option<PendingCall>,
    },
    /// The generation has finished, failed, moved or been cancelled.
    Ended,
}

/// A step or import whose answer is pending.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PendingCall {
    /// The index of the stage.
    stage_index: usize,
    /// How many times it was sent.
    sends: u32,
    /// When it was last sent.
    sent_at: Duration,
    /// When its answer times out.
    timeout_at: Duration,
}

/// A run whose silent stage was replaced, while the replacement has not answered yet. Its endpoints still hold it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct KeptRun {
    stages: Vec<StageState>,
    receipts: Vec<StageReceipt>,
    attempt: u32,
    pending: PendingCall,
    /// Whether the whole chain was replaced, so that the other run continues none of its sessions.
    whole_chain_replaced: bool,
}

impl KeptRun {
    fn includes(&self, endpoint: &EndpointId) -> bool {
        self.stages.iter().any(|s| s.stage.endpoint == *endpoint)
    }
}

/// The layers of a receipt, and the end of the positions that it covers.
#[derive(Debug, Clone, PartialEq, Eq)]
struct StageReceipt {
    layers: wire::Layers,
    end: u32,
}

/// The state of one generation.
///
/// Invariants: `tokens` are the released tokens; the inputs of stage 0 are the prompt and `tokens`;
/// `contacted` lists every endpoint to which anything was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    spec: Spec,
    cfg: Config,
    stages: Vec<StageState>,
    contacted: Vec<EndpointId>,
    /// The attempt number of the current run.
    attempt: u32,
    /// The highest attempt number that was used.
    last_attempt: u32,
    kept_run: Option<KeptRun>,
    phase: Phase,
    receipts: Vec<StageReceipt>,
    tokens: Vec<u64>,
    replacements: u32,
    step_times: StepTimes,
    /// The number of tokens timed since the last recovery.
    tokens_since_recovery: u32,
    /// When the pass for the next token started; `None` if a recovery took place during it.
    pass_started_at: Option<Duration>,
    handover_deadline: Option<Duration>,
    retry_after: Option<Duration>,
}

impl Generation {
    /// Makes a generation without a chain, with the default configuration.
    pub fn new(spec: Spec) -> Self {
        Self::with_config(spec, Config::default())
    }

    /// Makes a generation without a chain, with the configuration `cfg`.
    pub fn with_config(spec: Spec, cfg: Config) -> Self {
        Self {
            step_times: cfg.step_times,
            spec,
            cfg,
            stages: Vec::new(),
            contacted: Vec::new(),
            attempt: 1,
            last_attempt: 1,
            kept_run: None,
            phase: Phase::Waiting,
            receipts: Vec::new(),
            tokens: Vec::new(),
            replacements: 0,
            tokens_since_recovery: 0,
            pass_started_at: None,
            handover_deadline: None,
            retry_after: None,
        }
    }

    /// The specification of what is generated.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// The tokens released so far, including those released before a handover.
    pub fn released(&self) -> &[u64] {
        &self.tokens
    }

    /// The step durations, updated by the steps of this generation.
    pub fn step_times(&self) -> StepTimes {
        self.step_times
    }

    /// The time after which the caller should retry after [`Action::Fail`].
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// When [`Event::Tick`] is due; `None` after the end. It may change with each event.
    pub fn next_wake(&self) -> Option<Duration> {
        let due = match &self.phase {
            Phase::Ended => return None,
            Phase::Running(pending) | Phase::Importing(pending) => pending.timeout_at,
            Phase::BackingOff { until, .. } => *until,
            Phase::Waiting | Phase::Replacing { .. } => self.spec.deadline,
        };
        let due = due.min(self.spec.deadline);
        Some(self.handover_deadline.map_or(due, |until| due.min(until)))
    }

    /// Handles `event` at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if self.phase == Phase::Ended {
            return;
        }
        match event {
            Event::Start(chain) => self.on_start(now, &chain, actions),
            Event::Continue => self.continue_chain(now, actions),
            Event::Result { endpoint, result } => {
                self.on_step_result(now, &endpoint, result, actions);
            }
            Event::StepLost {
                endpoint,
                attempt,
                start,
            } => self.on_step_lost(now, &endpoint, attempt, start, actions),
            Event::Replacement(chain) => self.on_replacement(now, &chain, actions),
            Event::NoReplacement => self.on_no_replacement(now, actions),
            Event::Exported {
                endpoint,
                checkpoint,
            } => self.on_checkpoint(&endpoint, checkpoint),
            Event::Imported { endpoint, attempt } => {
                self.on_imported(now, &endpoint, attempt, actions);
            }
            Event::ImportFailed { endpoint, attempt } => {
                self.on_import_failed(now, &endpoint, attempt, actions);
            }
            Event::Tick => self.on_tick(now, actions),
            Event::Handover => self.on_handover(now, actions),
            Event::Cancel => self.fail(ErrorKind::Cancelled, None, actions),
        }
    }

    fn on_start(&mut self, now: Duration, chain: &Chain, actions: &mut Vec<Action>) {
        if self.phase != Phase::Waiting {
            return;
        }
        if self.will_miss_deadline(now) {
            self.fail_at_deadline(actions);
            return;
        }
        self.build_stages(chain);
        self.start_pass(now, actions);
    }

    /// Replaces all stages by those of `chain`, with empty KV caches.
    fn build_stages(&mut self, chain: &Chain) {
        let stages = chain.stages().iter().cloned();
        self.stages = stages
            .map(|stage| StageState::new(stage, Inputs::default()))
            .collect();
        self.stages[0].inputs.values = [&self.spec.prompt[..], &self.tokens].concat();
        self.receipts.clear();
    }

    fn start_pass(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.pass_started_at = Some(now);
        self.send_to_stage(now, 0, actions);
    }

    /// Starts another attempt.
    fn begin_attempt(&mut self) {
        self.last_attempt += 1;
        self.attempt = self.last_attempt;
    }

    /// Sends the next import or step to a stage.
    fn send_to_stage(&mut self, now: Duration, stage_index: usize, actions: &mut Vec<Action>) {
        let endpoint = &self.stages[stage_index].stage.endpoint;
        if self.kept_run.as_ref().is_some_and(|k| k.includes(endpoint)) {
            self.free_kept_run(actions);
        }
        let pending = PendingCall {
            stage_index,
            sends: 0,
            sent_at: now,
            timeout_at: now,
        };
        self.resend(now, pending, actions);
    }

    fn resend(&mut self, now: Duration, mut pending: PendingCall, actions: &mut Vec<Action>) {
        pending.sends += 1;
        pending.sent_at = now;
        let stage = &self.stages[pending.stage_index];
        let endpoint = stage.stage.endpoint.clone();
        if !self.contacted.contains(&endpoint) {
            self.contacted.push(endpoint.clone());
        }
        if let Some(checkpoint) = stage.checkpoint.as_ref().filter(|_| stage.import_pending) {
            let mut checkpoint = checkpoint.clone();
            checkpoint.attempt = self.attempt;
            pending.timeout_at = self.step_timeout_at(now, 1);
            self.phase = Phase::Importing(pending);
            actions.push(Action::Import {
                endpoint,
                checkpoint,
            });
            return;
        }
        let step = self.build_step(now, pending.stage_index);
        pending.timeout_at = self.step_timeout_at(now, step.inputs.len() as u32);
        self.phase = Phase::Running(pending);
        actions.push(Action::Send { endpoint, step });
    }

    fn build_step(&self, now: Duration, stage_index: usize) -> wire::Step {
        let stage = &self.stages[stage_index];
        let start = stage.cache_end;
        let prefix = match start {
            0 => self.spec.prefix.clone(),
            _ => Vec::new(),
        };
        wire::Step {
            request: self.spec.request.clone(),
            attempt: self.attempt,
            model: self.spec.model.clone(),
            layers: stage.stage.layers,
            start,
            inputs: stage.inputs.tail_from(start).to_vec(),
            prefix,
            priority: self.spec.priority,
            deadline_ms: self.spec.deadline.saturating_sub(now).as_millis() as u32,
        }
    }

    /// The pending step, if an answer from `endpoint` for `attempt` and `start` matches it.
    fn pending_step(&self, endpoint: &EndpointId, attempt: u32, start: u32) -> Option<PendingCall> {
        let (Phase::Running(pending)
        | Phase::BackingOff { pending, .. }
        | Phase::Replacing {
            silent: Some(pending),
            ..
        }) = &self.phase
        else {
            return None;
        };
        let stage = &self.stages[pending.stage_index];
        let matches = attempt == self.attempt
            && start == stage.cache_end
            && !stage.import_pending
            && stage.stage.endpoint == *endpoint;
        matches.then(|| pending.clone())
    }

    fn on_step_result(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        result: wire::StepResult,
        actions: &mut Vec<Action>,
    ) {
        let pending = match self.pending_step(endpoint, result.attempt, result.start) {
            Some(pending) => pending,
            None if self.is_answer_of_kept_run(endpoint, &result) => {
                let Some(pending) = self.restore_kept_run(actions) else {
                    return;
                };
                pending
            }
            None => return,
        };
        match result.outcome {
            wire::StepOutcome::Done {
                receipt, outputs, ..
            } => self.on_step_done(now, pending, receipt, &outputs, actions),
            wire::StepOutcome::Refused { reason, expected } => {
                self.on_step_refused(now, pending, reason, expected, actions);
            }
        }
    }

    fn on_step_done(
        &mut self,
        now: Duration,
        pending: PendingCall,
        receipt: wire::Receipt,
        outputs: &[u64],
        actions: &mut Vec<Action>,
    ) {
        let stage_index = pending.stage_index;
        let stage = &mut self.stages[stage_index];
        let start = stage.cache_end;
        let same_incarnation =
            stage.incarnation.is_none_or(|i| i == receipt.incarnation) || start == 0;
        let receipt_matches = receipt.layers == stage.stage.layers
            && receipt.endpoint == stage.stage.endpoint.as_str()
            && outputs.len() as u32 == stage.inputs.end() - start;
        if !receipt_matches || !same_incarnation {
            self.request_replacement(now, stage_index, actions);
            return;
        }
        stage.incarnation = Some(receipt.incarnation);
        let end = stage.inputs.end();
        let forwarded = std::mem::replace(&mut stage.forwarded, end);
        stage.cache_end = end;
        if pending.sends == 1 {
            let took = now.saturating_sub(pending.sent_at);
            self.step_times.observe_step(outputs.len() as u32, took);
        }
        self.receipts.push(StageReceipt {
            layers: receipt.layers,
            end,
        });
        let Some(next) = self.stages.get_mut(stage_index + 1) else {
            self.release_token(now, outputs[outputs.len() - 1], actions);
            return;
        };
        // A rebuilt stage repeats positions whose outputs were already forwarded to the next stage.
        let already_forwarded = (forwarded - start) as usize;
        next.inputs
            .values
            .extend_from_slice(&outputs[already_forwarded..]);
        self.limit_kept_activations();
        self.send_to_stage(now, stage_index + 1, actions);
    }

    /// Releases the token that the last stage returned, and starts the pass for the next token.
    fn release_token(&mut self, now: Duration, token: u64, actions: &mut Vec<Action>) {
        if !self.receipts_cover_layers() {
            self.fail(
                ErrorKind::EndpointFailed,
                Some(FAILURE_RETRY_AFTER),
                actions,
            );
            return;
        }
        self.receipts.clear();
        self.free_kept_run(actions);
        actions.push(Action::Release {
            index: self.tokens.len() as u32,
            token,
        });
        self.tokens.push(token);
        self.observe_token(now);
        if self.tokens.len() as u32 >= self.spec.max_tokens {
            self.free_all(actions);
            self.phase = Phase::Ended;
            actions.push(Action::Finish);
            return;
        }
        self.stages[0].inputs.values.push(token);
        if self.handover_deadline.is_some() {
            self.finish_handover(now, true, actions);
            return;
        }
        if self.will_miss_deadline(now) {
            self.fail_at_deadline(actions);
            return;
        }
        self.request_checkpoints(actions);
        self.start_pass(now, actions);
    }

    /// Whether the receipts cover each layer exactly once, in order, up to the same position.
    fn receipts_cover_layers(&self) -> bool {
        let end = self.stages[0].inputs.end();
        let mut next = 0;
        for stage_receipt in &self.receipts {
            if stage_receipt.layers.first != next || stage_receipt.end != end {
                return false;
            }
            next = stage_receipt.layers.end;
        }
        next == self.spec.layers
    }

    fn on_tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now >= self.spec.deadline {
            self.fail_at_deadline(actions);
            return;
        }
        if self.handover_deadline.is_some_and(|until| now >= until) {
            self.finish_handover(now, false, actions);
            return;
        }
        match self.phase.clone() {
            Phase::Running(pending) if now >= pending.timeout_at => {
                self.on_silence(now, pending, actions);
            }
            Phase::Importing(pending) if now >= pending.timeout_at => {
                self.continue_without_checkpoint(now, pending.stage_index, actions);
            }
            Phase::BackingOff { pending, until } if now >= until => {
                self.resend(now, pending, actions);
            }
            _ => {}
        }
    }

    fn fail(&mut self, kind: ErrorKind, retry_after: Option<Duration>, actions: &mut Vec<Action>) {
        self.free_all(actions);
        self.phase = Phase::Ended;
        if kind.answer().retry_after {
            self.retry_after = Some(retry_after.unwrap_or(FAILURE_RETRY_AFTER));
        }
        actions.push(Action::Fail(kind));
    }

    /// Frees the slots of all contacted endpoints, including those that failed and may have
    /// recovered.
    fn free_all(&self, actions: &mut Vec<Action>) {
        for endpoint in &self.contacted {
            actions.push(self.free(endpoint, self.last_attempt));
        }
    }

    fn free(&self, endpoint: &EndpointId, attempt: u32) -> Action {
        Action::Free {
            endpoint: endpoint.clone(),
            cancel: wire::Cancel {
                request: self.spec.request.clone(),
                attempt,
            },
        }
    }
}
