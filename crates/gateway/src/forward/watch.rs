//! Watches a run of a stream while nothing comes from it.

use std::rc::Rc;

use dragonflyrill_fleet::{
    adaptive_timeout::{RunTiming, Step},
    chains::Chain,
    probing::Suspicion,
};
use tokio::time::{self, Instant};

use super::probe;
use crate::gateway::Gateway;

/// A run that stands still.
pub(super) struct Watch<'a> {
    pub(super) gateway: &'a Rc<Gateway>,
    pub(super) chain: &'a Chain,
    pub(super) run: RunTiming,
}

/// Why a run is given up.
#[derive(Debug, Clone, Copy)]
pub(super) struct GivenUp {
    /// In words.
    pub(super) why: &'static str,
    /// Nothing can come of it any more: what ran it has ended.
    pub(super) over: bool,
}

impl GivenUp {
    fn silent(why: &'static str) -> Self {
        Self { why, over: false }
    }
}

impl Watch<'_> {
    /// Ends when a run of which nothing has come since then is to be given up, and says why.
    pub(super) async fn until_given_up(&self, since: Instant) -> GivenUp {
        let mut lost = self.gateway.prober.endpoint_failures();
        let mut probed: Option<Instant> = None;
        loop {
            if self.over_part() {
                return GivenUp {
                    why: "a part of its chain has ended",
                    over: true,
                };
            }
            let silent = since.elapsed();
            match self.run.next_step(silent, probed.map(|at| at.elapsed())) {
                Step::Abandon if self.run.started => return GivenUp::silent("it stalled"),
                Step::Abandon => return GivenUp::silent("no answer in time"),
                Step::Probe => {
                    let doubt = match self.run.started {
                        true => Suspicion::Still,
                        false => Suspicion::Late,
                    };
                    probe::probe_suspected(self.gateway, self.chain, doubt);
                    probed = Some(Instant::now());
                }
                Step::Wait(wait) => {
                    tokio::select! {
                        () = time::sleep(wait) => {}
                        // The sender lives as long as the gateway does.
                        _ = lost.changed() => {}
                    }
                }
            }
            if probed.is_some() && self.run.may_abandon() && self.lost_part() {
                return GivenUp::silent("a part of its chain is lost");
            }
        }
    }

    fn over_part(&self) -> bool {
        let directory = self.gateway.directory.borrow();
        self.chain.stages.iter().any(|p| directory.has_ended(&p.id))
    }

    fn lost_part(&self) -> bool {
        let directory = self.gateway.directory.borrow();
        self.chain
            .stages
            .iter()
            .any(|p| directory.is_unresponsive(&p.id))
    }
}
