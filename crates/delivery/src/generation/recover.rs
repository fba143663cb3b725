//! Recovery of a generation from faults.
//!
//! A stage that is only silent is kept until there is a replacement that has answered, and continues if it answers
//! first, or if the replacement fails and there is no other one.
//!
//! The measures, in order: send the same step again, as only its answer may be lost; continue from
//! the positions that the endpoint still holds; replace the stage and import its checkpoint;
//! replace the stage and run the kept activations; replace the whole chain and run the prompt and
//! the released tokens.

use std::time::Duration;

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire;

use super::{
    Action, FAILURE_RETRY_AFTER, Generation, KeptRun, PendingCall, Phase,
    stage::{Inputs, StageState},
};
use crate::{chain::Chain, error::ErrorKind};

impl Generation {
    /// Handles the host's report that the answer of a step will not arrive.
    pub(super) fn on_step_lost(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        attempt: u32,
        start: u32,
        actions: &mut Vec<Action>,
    ) {
        if matches!(
            self.phase,
            Phase::BackingOff { .. } | Phase::Replacing { .. }
        ) {
            return;
        }
        if let Some(pending) = self.pending_step(endpoint, attempt, start) {
            self.retry_or_replace(now, pending, actions);
        }
    }

    /// Handles the timeout of a step: sends it again, or requests a replacement after `max_step_sends` sends. The
    /// run is given up only once there is a replacement, as the stage may still answer.
    pub(super) fn on_silence(
        &mut self,
        now: Duration,
        pending: PendingCall,
        actions: &mut Vec<Action>,
    ) {
        self.stop_timing();
        if pending.sends < self.cfg.max_step_sends || !self.has_replacement_left() {
            self.resend(now, pending, actions);
            return;
        }
        let stage_index = pending.stage_index;
        let stage = &self.stages[stage_index];
        let failed = stage.stage.endpoint.clone();
        let (stage, layers) = match stage.can_rebuild() {
            true => (Some(stage_index), stage.stage.layers),
            false => (None, self.all_layers()),
        };
        self.phase = Phase::Replacing {
            stage,
            silent: Some(pending),
        };
        actions.push(Action::Replace { layers, failed });
    }

    /// Sends the lost step again, or replaces the stage after `max_step_sends` sends.
    fn retry_or_replace(&mut self, now: Duration, pending: PendingCall, actions: &mut Vec<Action>) {
        if pending.sends < self.cfg.max_step_sends {
            self.resend(now, pending, actions);
        } else {
            self.request_replacement(now, pending.stage_index, actions);
        }
    }

    pub(super) fn on_step_refused(
        &mut self,
        now: Duration,
        pending: PendingCall,
        reason: wire::StepRefusal,
        expected: u32,
        actions: &mut Vec<Action>,
    ) {
        match reason {
            // The endpoint holds a session of other layers, from before the chain was replaced.
            wire::StepRefusal::Layers
                if expected > 0 && self.stages[pending.stage_index].cache_end == 0 =>
            {
                self.free_older_attempt(now, pending, actions);
            }
            wire::StepRefusal::Position => {
                self.on_position_mismatch(now, pending, expected, actions);
            }
            wire::StepRefusal::StaleAttempt => {
                // Another host drives the request with a newer attempt.
                self.fail(
                    ErrorKind::RunningElsewhere,
                    Some(FAILURE_RETRY_AFTER),
                    actions,
                );
            }
            wire::StepRefusal::Deadline => self.fail_at_deadline(actions),
            wire::StepRefusal::Layers
            | wire::StepRefusal::Busy
            | wire::StepRefusal::Leaving
            | wire::StepRefusal::Cancelled => {
                self.request_replacement(now, pending.stage_index, actions);
            }
        }
    }

    /// Handles a refusal by an endpoint whose KV cache ends at `expected`.
    fn on_position_mismatch(
        &mut self,
        now: Duration,
        pending: PendingCall,
        expected: u32,
        actions: &mut Vec<Action>,
    ) {
        let stage_index = pending.stage_index;
        let stage = &self.stages[stage_index];
        if stage.cache_end == 0 && expected > 0 {
            self.free_older_attempt(now, pending, actions);
            return;
        }
        let kept = expected >= stage.inputs.from;
        let can_continue = expected < stage.cache_end && (kept || stage.can_rebuild());
        if !can_continue {
            self.request_replacement(now, stage_index, actions);
            return;
        }
        if !self.spend_replacement() {
            self.continue_kept_run_or_fail(now, actions);
            return;
        }
        self.begin_attempt();
        let stage = &mut self.stages[stage_index];
        if expected > 0 && kept {
            stage.cache_end = expected;
            stage.incarnation = None;
        } else {
            let checkpoint = stage.usable_checkpoint().cloned();
            stage.rebuild(checkpoint);
        }
        self.send_to_stage(now, stage_index, actions);
    }

    /// Frees the KV cache of an older attempt that the endpoint still holds, and sends the step
    /// again after a delay.
    fn free_older_attempt(
        &mut self,
        now: Duration,
        pending: PendingCall,
        actions: &mut Vec<Action>,
    ) {
        if matches!(self.phase, Phase::BackingOff { .. }) {
            return;
        }
        if pending.sends > self.cfg.max_step_sends {
            self.request_replacement(now, pending.stage_index, actions);
            return;
        }
        let endpoint = self.stages[pending.stage_index].stage.endpoint.clone();
        actions.push(self.free(&endpoint, self.attempt - 1));
        self.phase = Phase::BackingOff {
            until: now + self.cfg.free_retry_delay * pending.sends,
            pending,
        };
    }

    /// Requests other endpoints for a stage, or for the whole chain if the stage's KV cache can't
    /// be rebuilt.
    pub(super) fn request_replacement(
        &mut self,
        now: Duration,
        stage_index: usize,
        actions: &mut Vec<Action>,
    ) {
        if !self.spend_replacement() {
            self.continue_kept_run_or_fail(now, actions);
            return;
        }
        let stage = &self.stages[stage_index];
        let failed = stage.stage.endpoint.clone();
        if stage.can_rebuild() {
            let layers = stage.stage.layers;
            self.phase = Phase::Replacing {
                stage: Some(stage_index),
                silent: None,
            };
            actions.push(self.free(&failed, self.attempt));
            actions.push(Action::Replace { layers, failed });
            return;
        }
        self.request_new_chain(failed, actions);
    }

    fn request_new_chain(&mut self, failed: EndpointId, actions: &mut Vec<Action>) {
        match &self.kept_run {
            Some(kept) => self.free_stages_except(kept, actions),
            None => self.free_all(actions),
        }
        self.phase = Phase::Replacing {
            stage: None,
            silent: None,
        };
        let layers = self.all_layers();
        actions.push(Action::Replace { layers, failed });
    }

    pub(super) fn on_replacement(
        &mut self,
        now: Duration,
        chain: &Chain,
        actions: &mut Vec<Action>,
    ) {
        let Phase::Replacing { stage, silent } = self.phase.clone() else {
            return;
        };
        let layers = stage.map_or(self.all_layers(), |stage_index| {
            self.stages[stage_index].stage.layers
        });
        let Ok(chain) = Chain::new(layers, chain.stages().to_vec()) else {
            self.fail(
                ErrorKind::EndpointFailed,
                Some(FAILURE_RETRY_AFTER),
                actions,
            );
            return;
        };
        if let Some(pending) = silent {
            self.spend_replacement();
            self.keep_or_free(pending, stage, actions);
        }
        self.begin_attempt();
        match stage {
            Some(stage_index) => self.splice_stages(stage_index, &chain),
            None => {
                self.build_stages(&chain);
                if let Some(kept) = &mut self.kept_run {
                    kept.whole_chain_replaced = true;
                }
            }
        }
        self.send_to_stage(now, stage.unwrap_or(0), actions);
    }

    fn all_layers(&self) -> wire::Layers {
        wire::Layers {
            first: 0,
            end: self.spec.layers,
        }
    }

    /// Replaces a stage by the stages of `chain`.
    fn splice_stages(&mut self, stage_index: usize, chain: &Chain) {
        let old = &self.stages[stage_index];
        let from = old.usable_checkpoint().map_or(0, |c| c.position);
        let mut new_stages: Vec<StageState> = Vec::with_capacity(chain.stages().len());
        for (i, stage) in chain.stages().iter().enumerate() {
            let inputs = match i {
                0 => old.inputs.clone(),
                _ => Inputs::starting_at(from),
            };
            let mut state = StageState::new(stage.clone(), inputs);
            state.rebuild(old.slice_checkpoint(stage.layers));
            state.forwarded = match stage.layers.end == old.stage.layers.end {
                true => old.forwarded,
                false => from,
            };
            new_stages.push(state);
        }
        self.stages.splice(stage_index..=stage_index, new_stages);
    }

    pub(super) fn on_no_replacement(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let kind = match self.phase.clone() {
            Phase::Replacing {
                silent: Some(pending),
                ..
            } => {
                self.resend(now, pending, actions);
                return;
            }
            Phase::Replacing { silent: None, .. } => {
                self.continue_kept_run_or_fail(now, actions);
                return;
            }
            Phase::Waiting if self.contacted.is_empty() => ErrorKind::NoEndpoint,
            Phase::Waiting => ErrorKind::EndpointFailed,
            _ => return,
        };
        self.fail(kind, Some(FAILURE_RETRY_AFTER), actions);
    }

    /// Keeps the run whose silent stage is replaced. If a run is kept already, the silent stage is freed instead.
    fn keep_or_free(
        &mut self,
        pending: PendingCall,
        replaced: Option<usize>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(kept) = &self.kept_run {
            let stages = match replaced {
                Some(stage_index) => &self.stages[stage_index..=stage_index],
                None => &self.stages[..],
            };
            let others = stages.iter().map(|s| &s.stage.endpoint);
            let others = others.filter(|endpoint| !kept.includes(endpoint));
            actions.extend(others.map(|endpoint| self.free(endpoint, self.attempt)));
            return;
        }
        self.kept_run = Some(KeptRun {
            stages: self.stages.clone(),
            receipts: self.receipts.clone(),
            attempt: self.attempt,
            pending,
            whole_chain_replaced: replaced.is_none(),
        });
    }

    /// Frees the sessions that only the kept run uses, as the run that replaces it has answered or needs one of its endpoints.
    pub(super) fn free_kept_run(&mut self, actions: &mut Vec<Action>) {
        let Some(kept) = self.kept_run.take() else {
            return;
        };
        let continued = |s: &StageState| {
            let endpoint = &s.stage.endpoint;
            let mut current = self.stages.iter();
            !kept.whole_chain_replaced && current.any(|c| c.stage.endpoint == *endpoint)
        };
        let unused = kept.stages.iter().filter(|s| !continued(s));
        actions.extend(unused.map(|s| self.free(&s.stage.endpoint, kept.attempt)));
    }

    fn free_stages_except(&self, kept: &KeptRun, actions: &mut Vec<Action>) {
        let endpoints = self.stages.iter().map(|s| &s.stage.endpoint);
        let others = endpoints.filter(|endpoint| !kept.includes(endpoint));
        actions.extend(others.map(|endpoint| self.free(endpoint, self.attempt)));
    }

    /// Whether the silent stage of the kept run has answered after all.
    pub(super) fn is_answer_of_kept_run(
        &self,
        endpoint: &EndpointId,
        result: &wire::StepResult,
    ) -> bool {
        self.kept_run.as_ref().is_some_and(|kept| {
            let stage = &kept.stages[kept.pending.stage_index];
            matches!(result.outcome, wire::StepOutcome::Done { .. })
                && result.attempt == kept.attempt
                && result.start == stage.cache_end
                && stage.stage.endpoint == *endpoint
        })
    }

    /// Continues with the kept run, and returns its pending step.
    pub(super) fn restore_kept_run(&mut self, actions: &mut Vec<Action>) -> Option<PendingCall> {
        let kept = self.kept_run.take()?;
        self.free_stages_except(&kept, actions);
        self.stages = kept.stages;
        self.receipts = kept.receipts;
        self.attempt = kept.attempt;
        Some(kept.pending)
    }

    fn continue_kept_run_or_fail(&mut self, now: Duration, actions: &mut Vec<Action>) {
        match self.restore_kept_run(actions) {
            Some(pending) => self.resend(now, pending, actions),
            None => self.fail(
                ErrorKind::EndpointFailed,
                Some(FAILURE_RETRY_AFTER),
                actions,
            ),
        }
    }

    /// Requests checkpoints of all stages if they are due.
    pub(super) fn request_checkpoints(&self, actions: &mut Vec<Action>) {
        let every = self.cfg.export_every_tokens;
        if every == 0 || !(self.tokens.len() as u32).is_multiple_of(every) {
            return;
        }
        for state in &self.stages {
            actions.push(Action::Export {
                endpoint: state.stage.endpoint.clone(),
                position: state.cache_end,
            });
        }
    }

    pub(super) fn on_checkpoint(&mut self, endpoint: &EndpointId, checkpoint: wire::KvCheckpoint) {
        if checkpoint.request != self.spec.request || checkpoint.model != self.spec.model {
            return;
        }
        let mut stages = self.stages.iter_mut();
        let stage = stages.find(|s| s.stage.endpoint == *endpoint && !s.import_pending);
        if let Some(stage) = stage {
            stage.keep_checkpoint(checkpoint);
        }
    }

    pub(super) fn on_imported(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        attempt: u32,
        actions: &mut Vec<Action>,
    ) {
        if let Some(stage_index) = self.importing_stage(endpoint, attempt) {
            self.stages[stage_index].import_pending = false;
            self.send_to_stage(now, stage_index, actions);
        }
    }

    pub(super) fn on_import_failed(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        attempt: u32,
        actions: &mut Vec<Action>,
    ) {
        if let Some(stage_index) = self.importing_stage(endpoint, attempt) {
            self.continue_without_checkpoint(now, stage_index, actions);
        }
    }

    fn importing_stage(&self, endpoint: &EndpointId, attempt: u32) -> Option<usize> {
        let Phase::Importing(pending) = &self.phase else {
            return None;
        };
        let stage = &self.stages[pending.stage_index].stage;
        (attempt == self.attempt && stage.endpoint == *endpoint).then_some(pending.stage_index)
    }

    /// Continues without the checkpoint after its import failed or may have failed.
    ///
    /// The attempt number increases, so that an import that arrives late is refused as stale.
    pub(super) fn continue_without_checkpoint(
        &mut self,
        now: Duration,
        stage_index: usize,
        actions: &mut Vec<Action>,
    ) {
        let stage = &mut self.stages[stage_index];
        stage.rebuild(None);
        let failed = stage.stage.endpoint.clone();
        if !stage.has_all_inputs() {
            self.request_new_chain(failed, actions);
            return;
        }
        self.begin_attempt();
        self.send_to_stage(now, stage_index, actions);
    }

    /// Keeps the activations within their size limit: drops first those before a checkpoint, then
    /// those of the first stages.
    pub(super) fn limit_kept_activations(&mut self) {
        if self.kept_activation_bytes() <= self.cfg.max_kept_bytes {
            return;
        }
        for stage in self.stages.iter_mut().skip(1) {
            if let Some(position) = stage.usable_checkpoint().map(|c| c.position) {
                stage.inputs.drop_before(position.min(stage.cache_end));
            }
        }
        for stage_index in 1..self.stages.len() {
            if self.kept_activation_bytes() <= self.cfg.max_kept_bytes {
                return;
            }
            let stage = &mut self.stages[stage_index];
            stage.inputs.drop_before(stage.cache_end);
        }
    }

    /// The size of the kept activations, in bytes. Token ids are not counted.
    fn kept_activation_bytes(&self) -> u64 {
        let kept = self.stages.iter().skip(1).map(|s| s.inputs.values.len());
        kept.sum::<usize>() as u64 * self.cfg.activation_bytes
    }

    /// Ends the timing of the current token: its duration says nothing of the next ones.
    fn stop_timing(&mut self) {
        self.pass_started_at = None;
        self.tokens_since_recovery = 0;
    }

    fn has_replacement_left(&self) -> bool {
        self.replacements < self.cfg.max_replacements
    }

    /// Uses one replacement; returns false if none is left.
    fn spend_replacement(&mut self) -> bool {
        self.stop_timing();
        let left = self.has_replacement_left();
        self.replacements += u32::from(left);
        left
    }
}
