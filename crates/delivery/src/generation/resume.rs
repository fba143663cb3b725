//! Moving a generation to another host.
//!
//! Between two tokens all stages hold the same positions, so the other host can continue with the
//! same chain and nothing is run again. If the token in flight takes too long, the generation moves
//! without its chain, and the other host runs the prompt and the released tokens again.

use std::time::Duration;

use super::{
    Action, Config, Generation, Phase, ResumeState, Spec,
    stage::{Inputs, StageState},
};

impl Generation {
    /// Makes a generation that continues one that was moved to this host. The next event has to be
    /// [`Event::Continue`](super::Event::Continue), or [`Event::Start`](super::Event::Start) with
    /// another chain.
    pub fn resume(now: Duration, resume: ResumeState, cfg: Config) -> Self {
        let spec = Spec {
            request: resume.request,
            model: resume.model,
            layers: resume.layers,
            prompt: resume.prompt,
            max_tokens: resume.max_tokens,
            priority: resume.priority,
            deadline: now.saturating_add(resume.left),
            prefix: resume.prefix,
        };
        let mut this = Self::with_config(spec, cfg);
        this.last_attempt = resume.attempt;
        this.begin_attempt();
        this.tokens = resume.released;
        this.contacted = resume.used;
        let cached_positions =
            (this.spec.prompt.len() + this.tokens.len()).saturating_sub(1) as u32;
        let stages = resume.stages.into_iter();
        this.stages = stages
            .map(|stage| StageState::new(stage, Inputs::starting_at(cached_positions)))
            .collect();
        this
    }

    /// Continues with the chain of the generation that was moved to this host.
    pub(super) fn continue_chain(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.phase != Phase::Waiting || self.stages.is_empty() {
            return;
        }
        self.stages[0].inputs = Inputs {
            from: 0,
            values: [&self.spec.prompt[..], &self.tokens].concat(),
        };
        self.start_pass(now, actions);
    }

    pub(super) fn on_handover(&mut self, now: Duration, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Waiting => self.finish_handover(now, true, actions),
            _ => self.handover_deadline = Some(now + self.cfg.handover_timeout),
        }
    }

    /// Ends the generation at this host. It moves with its chain if `between_tokens`.
    pub(super) fn finish_handover(
        &mut self,
        now: Duration,
        between_tokens: bool,
        actions: &mut Vec<Action>,
    ) {
        let stages = match between_tokens {
            true => self.stages.iter().map(|s| s.stage.clone()).collect(),
            false => Vec::new(),
        };
        if !between_tokens {
            self.free_all(actions);
        }
        let spec = &self.spec;
        let resume = ResumeState {
            request: spec.request.clone(),
            model: spec.model.clone(),
            layers: spec.layers,
            prompt: spec.prompt.clone(),
            max_tokens: spec.max_tokens,
            priority: spec.priority,
            left: spec.deadline.saturating_sub(now),
            prefix: spec.prefix.clone(),
            released: self.tokens.clone(),
            attempt: self.last_attempt,
            stages,
            used: self.contacted.clone(),
        };
        self.phase = Phase::Ended;
        actions.push(Action::Moved(resume));
    }
}
