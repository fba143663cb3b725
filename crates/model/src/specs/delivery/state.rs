//! The state of the table, the hosts, the endpoint and the messages in flight.

use super::MAX_CALLS;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    Absent,
    Received,
    /// An insert is in flight.
    Inserting,
    /// The answer to the last insert is lost or late.
    InDoubt,
    Recorded,
    Dispatched,
    Ended,
    Crashed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Answer {
    Complete,
    NotRun,
    MayHaveRun,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Call {
    pub(super) phase: Phase,
    pub(super) tried: u8,
    /// Inserts in flight whose answer no host awaits.
    pub(super) late_inserts: u8,
    /// Dispatches in flight.
    pub(super) dispatches: u8,
    /// Executions of the call in the endpoint's ledger.
    pub(super) runs: u8,
    /// Whether a result to the host is in flight.
    pub(super) result: bool,
    /// Whether the host has a result that is not stored yet.
    pub(super) unstored: bool,
    pub(super) first_answer: Option<Answer>,
    pub(super) answers: u8,
    pub(super) hung_up: bool,
    /// Whether this is a repeated call: its caller made an earlier call that it does not know to be
    /// not run.
    pub(super) repeat: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Record {
    pub(super) writer: usize,
    pub(super) answered: bool,
}

/// A state of the delivery specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) record: Option<Record>,
    pub(super) calls: [Call; MAX_CALLS],
    pub(super) crashes: u8,
    pub(super) losses: u8,
    pub(super) impatience: u8,
}

impl Call {
    pub(super) const ABSENT: Self = Self {
        phase: Phase::Absent,
        tried: 0,
        late_inserts: 0,
        dispatches: 0,
        runs: 0,
        result: false,
        unstored: false,
        first_answer: None,
        answers: 0,
        hung_up: false,
        repeat: false,
    };

    pub(super) fn answer(&mut self, answer: Answer) {
        self.phase = Phase::Ended;
        self.first_answer = self.first_answer.or(Some(answer));
        self.answers += 1;
    }

    /// Whether the caller no longer waits for an answer.
    pub(super) fn is_finished(&self) -> bool {
        self.hung_up || matches!(self.phase, Phase::Ended | Phase::Crashed)
    }

    /// Whether the caller received the answer that this call was not run.
    pub(super) fn is_known_not_run(&self) -> bool {
        !self.hung_up && self.first_answer == Some(Answer::NotRun)
    }

    /// Whether the call ran, or a dispatch to the endpoint is in flight.
    pub(super) fn may_have_run(&self) -> bool {
        self.runs + self.dispatches > 0
    }

    pub(super) fn is_open(&self) -> bool {
        !matches!(self.phase, Phase::Absent | Phase::Ended | Phase::Crashed)
    }

    pub(super) fn send_insert(&mut self) {
        self.phase = Phase::Inserting;
        self.tried += 1;
    }

    pub(super) fn dispatch(&mut self) {
        self.phase = Phase::Dispatched;
        self.dispatches += 1;
    }

    pub(super) fn crash(&mut self) {
        self.late_inserts += u8::from(self.phase == Phase::Inserting);
        self.phase = Phase::Crashed;
        self.unstored = false;
    }
}
