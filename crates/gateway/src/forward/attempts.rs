//! What is known about a request after failed dispatches.

use std::time::Duration;

use dragonflyrill_fleet::budget::RetryReason;

use super::{refusal::Refusal, send::DispatchError};

/// What a further dispatch of a request lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lack {
    /// Time: its deadline or the timeout of its route was reached.
    Time,
    /// A dispatch that its route allows.
    Dispatch,
    /// An endpoint or a chain that accepts it.
    Endpoint,
    /// A retry of the budget.
    Retry,
}

impl Lack {
    /// The name in the log and in metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Time => "time",
            Self::Dispatch => "dispatch",
            Self::Endpoint => "endpoint",
            Self::Retry => "retry",
        }
    }
}

/// The failed attempts to dispatch one request.
///
/// Once one of them may have run, the request counts as possibly run for good: no later refusal makes it "not run".
pub(super) struct Attempts {
    refusal: Refusal,
    may_have_run: bool,
    dispatches: u32,
}

impl Attempts {
    /// No attempt yet; `refusal` is the answer if the request is never sent.
    pub(super) fn new(refusal: Refusal) -> Self {
        Self {
            refusal,
            may_have_run: false,
            dispatches: 0,
        }
    }

    /// The number of dispatches of which at least one byte was sent or may have been.
    pub(super) fn dispatches(&self) -> u32 {
        self.dispatches
    }

    /// Records a dispatch that the endpoint itself answered with an error.
    pub(super) fn record_error_answer(&mut self) {
        self.dispatches += 1;
        self.may_have_run = true;
    }

    /// Records why there was no attempt. The reason is used only if no dispatch was made before.
    pub(super) fn record_not_sent(&mut self, refusal: Refusal) {
        if self.dispatches == 0 {
            self.refusal = refusal;
        }
    }

    /// Records that no attempt can be made until a backoff ends. This replaces the refusals of endpoints: the caller is
    /// to return when one accepts work again.
    pub(super) fn record_backoff(&mut self, remaining: Duration) {
        if !self.may_have_run {
            self.refusal = Refusal::Backoff(remaining);
        }
    }

    /// Records that the request was rejected, or refused by engines, for lack of memory. This replaces the refusals of
    /// endpoints: the caller is to return after `delay`.
    pub(super) fn record_overload(&mut self, delay: Duration) {
        if !self.may_have_run {
            self.refusal = Refusal::Overloaded(delay);
        }
    }

    /// Records a failed attempt.
    pub(super) fn record_failed_attempt(&mut self, error: DispatchError) {
        self.dispatches += u32::from(!matches!(error, DispatchError::NotSent(_)));
        match error {
            DispatchError::MayHaveRun(why) | DispatchError::BrokeOff(why) => {
                self.may_have_run = true;
                self.refusal = Refusal::MayHaveRun(why);
            }
            DispatchError::NotSent(why) | DispatchError::NotRun(why) if !self.may_have_run => {
                self.refusal = Refusal::NotRun(why);
            }
            DispatchError::NotSent(_) | DispatchError::NotRun(_) => {}
        }
    }

    /// Whether any dispatch may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// The reason of a retry that follows. A request that was refused after a loss is still lost to its caller.
    pub(super) fn retry_reason(&self) -> RetryReason {
        match self.may_have_run {
            true => RetryReason::Loss,
            false => RetryReason::Refusal,
        }
    }

    /// The answer once the time of the request is over. `sent` states whether a dispatch is under way of which
    /// anything was sent.
    pub(super) fn refusal_out_of_time(&self, sent: bool) -> Refusal {
        match self.may_have_run || sent {
            true => Refusal::OutOfTime,
            false => Refusal::NotRun("its time was over before anything of it ran".to_owned()),
        }
    }

    /// The answer that holds for all dispatches.
    pub(super) fn refusal(&self) -> Refusal {
        self.refusal.clone()
    }
}
