//! Timeouts of steps, and the failure of generations that will miss their deadline.

use std::time::Duration;

use super::{Action, Generation};
use crate::error::ErrorKind;

/// The number of tokens that have to be timed since the last recovery before a running generation
/// fails early because of its token rate.
const MIN_TOKENS_FOR_ESTIMATE: u32 = 4;

impl Generation {
    /// When a step of `positions` positions that is sent at `now` times out.
    pub(super) fn step_timeout_at(&self, now: Duration, positions: u32) -> Duration {
        let expected = self.step_times.expected(positions);
        let wait = expected.saturating_mul(self.cfg.step_timeout_factor);
        now.saturating_add(wait.max(self.cfg.min_step_timeout))
            .min(self.spec.deadline)
    }

    pub(super) fn observe_token(&mut self, now: Duration) {
        let Some(started_at) = self.pass_started_at else {
            return;
        };
        if self.tokens.len() > 1 {
            self.step_times
                .observe_token(now.saturating_sub(started_at));
            self.tokens_since_recovery += 1;
        }
    }

    /// The expected time for `tokens` tokens; `None` if no token has been timed yet.
    pub(super) fn expected_time(&self, tokens: u32) -> Option<Duration> {
        let token = self.step_times.token?;
        Some(token.saturating_mul(tokens))
    }

    /// Whether the deadline has passed, or will be missed according to the observed token rate.
    pub(super) fn will_miss_deadline(&self, now: Duration) -> bool {
        let trusted =
            self.stages.is_empty() || self.tokens_since_recovery >= MIN_TOKENS_FOR_ESTIMATE;
        let missing = self.spec.max_tokens - self.tokens.len() as u32;
        let left = self.spec.deadline.saturating_sub(now);
        left.is_zero()
            || (trusted
                && self
                    .expected_time(missing)
                    .is_some_and(|needed| needed > left))
    }

    /// Fails the generation for its deadline. The caller should retry after the expected time of a
    /// complete answer.
    pub(super) fn fail_at_deadline(&mut self, actions: &mut Vec<Action>) {
        let kind = match self.contacted.is_empty() {
            true => ErrorKind::DeadlineTooShort,
            false => ErrorKind::DeadlineExceeded,
        };
        let full_answer_time = self.expected_time(self.spec.max_tokens);
        self.fail(kind, full_answer_time, actions);
    }
}
