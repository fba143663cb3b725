//! What is known of a request after the sends that failed.

use super::{refusal::Refusal, send::Failed};

/// The sends of one request that brought no answer.
///
/// Once one of them may have run, nothing takes that back: no later refusal makes it "not run".
pub(super) struct Tries {
    refusal: Refusal,
    may_have_run: bool,
    sent: u32,
}

impl Tries {
    /// Nothing was sent yet; `refusal` is the answer if nothing ever is.
    pub(super) fn new(refusal: Refusal) -> Self {
        Self {
            refusal,
            may_have_run: false,
            sent: 0,
        }
    }

    /// How many sends have reached an endpoint.
    pub(super) fn sent(&self) -> u32 {
        self.sent
    }

    /// A send has brought an answer of the endpoint's own that is an error.
    pub(super) fn answered(&mut self) {
        self.sent += 1;
        self.may_have_run = true;
    }

    /// Nothing was sent for another reason.
    pub(super) fn not_sent(&mut self, refusal: Refusal) {
        if self.sent == 0 {
            self.refusal = refusal;
        }
    }

    /// A send has failed.
    pub(super) fn failed(&mut self, failed: Failed) {
        self.sent += u32::from(!matches!(failed, Failed::NotSent(_)));
        match failed {
            Failed::MayHaveRun(why) | Failed::BrokeOff(why) => {
                self.may_have_run = true;
                self.refusal = Refusal::MayHaveRun(why);
            }
            Failed::NotSent(why) | Failed::NotRun(why) if !self.may_have_run => {
                self.refusal = Refusal::NotRun(why);
            }
            Failed::NotSent(_) | Failed::NotRun(_) => {}
        }
    }

    /// Whether any send may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// The answer that is true of all sends.
    pub(super) fn refusal(&self) -> Refusal {
        self.refusal.clone()
    }
}
