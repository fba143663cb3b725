//! What may happen.

use super::{
    Config, Mutation,
    state::{Endpoint, Kind, Message, STAGES, State},
};
use crate::specs::successors::Successors;

/// What may happen; the number is that of the stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The host sends the step whose turn it is.
    Send,
    /// A step arrives and runs.
    Run(Message),
    /// A result arrives.
    Result(Message),
    /// A dead stage is replaced; the new one is fed the kept activations.
    Replace(usize),
    /// A dead stage is replaced; the new one imports the checkpoint.
    ReplaceImport(usize),
    /// Fault: the host asks again for a step that is under way.
    SendAgain,
    /// Fault: a stage that lives is replaced.
    Suspect(usize),
    /// Fault: a stage that lives is replaced by one that imports the checkpoint.
    SuspectImport(usize),
    /// Fault: a stage dies.
    Die(usize),
    /// Fault: a message is lost.
    Lose(Message),
    /// Fault: a message comes twice.
    Double(Message),
    /// A stage's checkpoint is exported; may stay away, as a fault may.
    Export(usize),
}

type Steps<'a> = Successors<'a, Step, State>;

impl Config {
    pub(super) fn sends(&self, state: &State, next: &mut Steps<'_>) {
        if state.position == self.tokens || !state.has_room() {
            return;
        }
        let step = state.step();
        let send = |s: &mut State| {
            s.waiting = true;
            s.put(step);
        };
        let under_way = state.is_under_way(step);
        let alive = state.stages[state.at].current.alive;
        let asked = state.waiting && self.has(Mutation::AskOnce);
        if !state.waiting || !under_way && alive && !asked {
            next.add(Step::Send, send);
        } else if under_way {
            next.add_faults(
                |s| &mut s.left.repeats,
                |next| next.add(Step::SendAgain, send),
            );
        }
    }

    pub(super) fn messages(&self, state: &State, next: &mut Steps<'_>) {
        for (i, message) in state.messages.iter().enumerate() {
            let Some(message) = *message else { continue };
            match message.kind {
                Kind::Step(right) => next.add(Step::Run(message), |s| {
                    s.take(i);
                    self.run(s, message, right);
                }),
                Kind::Result(right) => next.add(Step::Result(message), |s| {
                    s.take(i);
                    self.result(s, message, right);
                }),
            }
            next.add_faults(
                |s| &mut s.left.losses,
                |next| {
                    next.add(Step::Lose(message), |s| s.take(i));
                    if state.has_room() {
                        next.add(Step::Double(message), |s| s.put(message));
                    }
                },
            );
        }
    }

    /// The endpoint runs a step, or answers from what it did.
    fn run(&self, state: &mut State, step: Message, right: bool) {
        let Some(endpoint) = state.stages[step.stage].endpoint(step.endpoint) else {
            return;
        };
        if endpoint.ran < step.to || self.has(Mutation::RunStepAgain) {
            // Run twice where they overlap, not at all where there is a gap.
            endpoint.right &= right && endpoint.ran == step.from;
            endpoint.ran = step.to.max(endpoint.ran);
        }
        let kind = Kind::Result(endpoint.right);
        state.put(Message { kind, ..step });
    }

    fn result(&self, state: &mut State, result: Message, right: bool) {
        let attempt = result.attempt == state.attempt || self.has(Mutation::IgnoreAttempt);
        let position = result.to == state.position + 1 || self.has(Mutation::IgnorePosition);
        let stage = result.stage == state.at || self.has(Mutation::IgnoreStage);
        if !(state.waiting && attempt && position && stage) {
            return;
        }
        // What is taken for another stage's or token's result is wrong.
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

    pub(super) fn stage(&self, state: &State, stage: usize, next: &mut Steps<'_>) {
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

    /// Another endpoint serves `stage` from now on, and has `imported` positions.
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
