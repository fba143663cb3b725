//! The state of the host, the stages and the messages in flight.

use std::fmt;

use super::Config;

/// The number of stages in the chain.
pub(super) const STAGES: usize = 2;

/// The maximum number of messages in flight.
pub(super) const MAX_MESSAGES: usize = 4;

/// A step to a stage, or its result.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Message {
    pub(super) kind: MessageKind,
    pub(super) stage: usize,
    /// The number of the endpoint among those that have served the stage.
    pub(super) endpoint: u8,
    pub(super) attempt: u8,
    /// The positions to run are `from..to`.
    pub(super) from: u8,
    pub(super) to: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum MessageKind {
    /// A step; whether its inputs are right.
    Step(bool),
    /// A result; whether its outputs are right.
    Result(bool),
}

/// An endpoint that serves or has served a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Endpoint {
    pub(super) number: u8,
    pub(super) alive: bool,
    /// The number of positions that it has run, including those of an imported checkpoint.
    pub(super) ran: u8,
    /// Whether it ran each position once, in order and on right inputs.
    pub(super) right: bool,
}

/// A stage as recorded by the host, with the state of its endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Stage {
    pub(super) current: Endpoint,
    /// The previous endpoint, which may still be running.
    pub(super) replaced: Option<Endpoint>,
    /// The number of positions for which the host has the current endpoint's results, or which that
    /// endpoint imported.
    pub(super) fed: u8,
    /// The number of positions in the exported checkpoint; 0 without one.
    pub(super) checkpoint: u8,
}

/// A state of the stream specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) attempt: u8,
    /// The stage that runs the current token.
    pub(super) at: usize,
    /// The index of the token that is being generated.
    pub(super) position: u8,
    /// Whether the host awaits the result of a step.
    pub(super) waiting: bool,
    /// Whether all results for the current token so far were right.
    pub(super) right: bool,
    pub(super) stages: [Stage; STAGES],
    /// The messages in flight, sorted so that states which differ only in their order are equal.
    pub(super) messages: [Option<Message>; MAX_MESSAGES],
    /// The number of tokens that the caller has received.
    pub(super) received: u8,
    pub(super) released_again: bool,
    pub(super) released_wrong: bool,
    pub(super) left: Left,
}

/// The remaining budget of each bounded step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Left {
    pub(super) deaths: u8,
    pub(super) suspicions: u8,
    pub(super) losses: u8,
    pub(super) repeats: u8,
    pub(super) exports: u8,
}

impl fmt::Debug for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "attempt {}, stage {} at endpoint {}, positions {}..{}",
            self.attempt, self.stage, self.endpoint, self.from, self.to
        )
    }
}

impl Endpoint {
    /// Creates an endpoint that has `ran` positions from a checkpoint.
    pub(super) fn new(number: u8, ran: u8) -> Self {
        Self {
            number,
            alive: true,
            ran,
            right: true,
        }
    }
}

impl Stage {
    /// The endpoint with this number, unless it is dead or no longer tracked.
    pub(super) fn endpoint(&mut self, number: u8) -> Option<&mut Endpoint> {
        let all = [Some(&mut self.current), self.replaced.as_mut()];
        let mut all = all.into_iter().flatten();
        all.find(|endpoint| endpoint.number == number && endpoint.alive)
    }
}

impl State {
    pub(super) fn new(cfg: &Config) -> Self {
        let stage = Stage {
            current: Endpoint::new(0, 0),
            replaced: None,
            fed: 0,
            checkpoint: 0,
        };
        Self {
            attempt: 0,
            at: 0,
            position: 0,
            waiting: false,
            right: true,
            stages: [stage; STAGES],
            messages: [None; MAX_MESSAGES],
            received: 0,
            released_again: false,
            released_wrong: false,
            left: Left {
                deaths: cfg.deaths,
                suspicions: cfg.suspicions,
                losses: cfg.losses,
                repeats: cfg.repeats,
                exports: cfg.exports,
            },
        }
    }

    /// The next step to run.
    pub(super) fn current_step(&self) -> Message {
        let stage = &self.stages[self.at];
        Message {
            kind: MessageKind::Step(self.right),
            stage: self.at,
            endpoint: stage.current.number,
            attempt: self.attempt,
            from: stage.fed,
            to: self.position + 1,
        }
    }

    /// Whether `step` or its result is in flight under the same attempt.
    pub(super) fn is_in_flight(&self, step: Message) -> bool {
        let mut messages = self.messages.iter().flatten();
        messages.any(|m| m.stage == step.stage && m.attempt == step.attempt && m.to == step.to)
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.messages.contains(&None)
    }

    pub(super) fn insert_message(&mut self, message: Message) {
        let free = self.messages.iter_mut().find(|place| place.is_none());
        if let Some(free) = free {
            *free = Some(message);
        }
        self.messages.sort_unstable();
    }

    pub(super) fn remove_message(&mut self, i: usize) {
        self.messages[i] = None;
        self.messages.sort_unstable();
    }

    /// Releases the token `index` to the caller.
    pub(super) fn release(&mut self, index: u8) {
        self.released_again |= index < self.received;
        self.released_wrong |= !self.right || index > self.received;
        self.received = self.received.max(index + 1);
    }
}
