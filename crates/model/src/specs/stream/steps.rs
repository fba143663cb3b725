//! The steps of the stream specification.

use super::{
    Config, Mutation,
    state::{Endpoint, Message, MessageKind, STAGES, State},
};
use crate::specs::successors::Successors;

/// A step of the model; a number is the index of the stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The host sends the current step.
    Send,
    /// A step arrives at its endpoint and runs.
    Run(Message),
    /// A result arrives at the host.
    Result(Message),
    /// A failed stage is replaced; the new endpoint is fed the retained activations.
    Replace(usize),
    /// A failed stage is replaced; the new endpoint imports the checkpoint.
    ReplaceImport(usize),
    /// Fault: the host retries a step that is still in flight.
    SendAgain,
    /// Fault: a stage that is alive is suspected and replaced.
    Suspect(usize),
    /// Fault: a stage that is alive is suspected and replaced; the new endpoint imports the
    /// checkpoint.
    SuspectImport(usize),
    /// Fault: the endpoint of a stage dies.
    Die(usize),
    /// Fault: a message is lost.
    Lose(Message),
    /// Fault: a message is duplicated.
    Double(Message),
    /// A stage's checkpoint is exported. It counts as a fault because it may never occur.
    Export(usize),
}

type Steps<'a> = Successors<'a, Step, State>;

impl Config {
    pub(super) fn send_steps(&self, state: &State, next: &mut Steps<'_>) {
        if state.position == self.tokens || !state.has_free_slot() {
            return;
        }
        let step = state.current_step();
        let send = |s: &mut State| {
            s.waiting = true;
            s.insert_message(step);
        };
        let in_flight = state.is_in_flight(step);
        let alive = state.stages[state.at].current.alive;
        let already_sent = state.waiting && self.has(Mutation::AskOnce);
        if !state.waiting || !in_flight && alive && !already_sent {
            next.add(Step::Send, send);
        } else if in_flight {
            next.add_faults(
                |s| &mut s.left.repeats,
                |next| next.add(Step::SendAgain, send),
            );
        }
    }

    pub(super) fn message_steps(&self, state: &State, next: &mut Steps<'_>) {
        for (i, message) in state.messages.iter().enumerate() {
            let Some(message) = *message else { continue };
            match message.kind {
                MessageKind::Step(right) => next.add(Step::Run(message), |s| {
                    s.remove_message(i);
                    self.run_step(s, message, right);
                }),
                MessageKind::Result(right) => next.add(Step::Result(message), |s| {
                    s.remove_message(i);
                    self.accept_result(s, message, right);
                }),
            }
            next.add_faults(
                |s| &mut s.left.losses,
                |next| {
                    next.add(Step::Lose(message), |s| s.remove_message(i));
                    if state.has_free_slot() {
                        next.add(Step::Double(message), |s| s.insert_message(message));
                    }
                },
            );
        }
    }

    /// The endpoint runs a step; if it has already run the step, it only answers again.
    fn run_step(&self, state: &mut State, step: Message, right: bool) {
        let Some(endpoint) = state.stages[step.stage].endpoint(step.endpoint) else {
            return;
        };
        if endpoint.ran < step.to || self.has(Mutation::RunStepAgain) {
            // An overlap runs positions twice, a gap skips positions: both are wrong.
            endpoint.right &= right && endpoint.ran == step.from;
            endpoint.ran = step.to.max(endpoint.ran);
        }
        let kind = MessageKind::Result(endpoint.right);
        state.insert_message(Message { kind, ..step });
    }

    fn accept_result(&self, state: &mut State, result: Message, right: bool) {
        let attempt = result.attempt == state.attempt || self.has(Mutation::IgnoreAttempt);
        let position = result.to == state.position + 1 || self.has(Mutation::IgnorePosition);
        let stage = result.stage == state.at || self.has(Mutation::IgnoreStage);
        if !(state.waiting && attempt && position && stage) {
            return;
        }
        // A result that belongs to another stage or token counts as wrong.
        state.right &= right && result.to == state.position + 1 && result.stage == state.at;
        state.waiting = false;
        state.stages[state.at].fed = state.position + 1;
        state.at += 1;
        if state.at == STAGES {
            state.release(state.position);
            state.position += 1;
            state.at = 0;
        }
    }

    pub(super) fn stage_steps(&self, state: &State, stage: usize, next: &mut Steps<'_>) {
        let now = &state.stages[stage];
        let imports = now.checkpoint > 0;
        if state.position == self.tokens {
            return;
        }
        if !now.current.alive {
            next.add(Step::Replace(stage), |s| self.replace(s, stage, 0));
            if imports {
                let import = |s: &mut State| self.replace(s, stage, now.checkpoint);
                next.add(Step::ReplaceImport(stage), import);
            }
            return;
        }
        next.add_faults(
            |s| &mut s.left.deaths,
            |next| next.add(Step::Die(stage), |s| s.stages[stage].current.alive = false),
        );
        next.add_faults(
            |s| &mut s.left.suspicions,
            |next| {
                next.add(Step::Suspect(stage), |s| self.replace(s, stage, 0));
                if imports {
                    let import = |s: &mut State| self.replace(s, stage, now.checkpoint);
                    next.add(Step::SuspectImport(stage), import);
                }
            },
        );
        if now.fed > now.checkpoint {
            next.add_faults(
                |s| &mut s.left.exports,
                |next| {
                    next.add(Step::Export(stage), |s| {
                        s.stages[stage].checkpoint = now.fed
                    });
                },
            );
        }
    }

    /// Replaces the endpoint of `stage` by one that has imported `imported` positions.
    fn replace(&self, state: &mut State, stage: usize, imported: u8) {
        let old = state.stages[stage];
        let current = Endpoint::new(old.current.number + 1, imported);
        let unchecked = match imported {
            0 => self.has(Mutation::FeedNothing),
            _ => self.has(Mutation::TrustCheckpoint),
        };
        state.stages[stage].replaced = Some(old.current);
        state.stages[stage].current = current;
        state.stages[stage].fed = match unchecked {
            true => old.fed,
            false => imported,
        };
        state.attempt += 1;
        state.waiting = false;
        if self.has(Mutation::ReleaseAgain) {
            state.at = 0;
            state.position = 0;
        }
    }
}
