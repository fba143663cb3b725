//! Monitors a run of a stream while no events are received from it.

use std::{cell::Cell, rc::Rc};

use dragonflyrill_fleet::{
    adaptive_timeout::{RunTiming, Step},
    chains::Chain,
    probing::Suspicion,
};
use tokio::time::{self, Instant};

use super::probe;
use crate::{gateway::Gateway, paths::Via};

/// A run that is monitored while it stalls.
pub(super) struct RunMonitor<'a> {
    pub(super) gateway: &'a Rc<Gateway>,
    pub(super) chain: &'a Chain,
    pub(super) timing: RunTiming,
    /// How the request reaches the first stage; `None` until a connection is open.
    pub(super) via: &'a Cell<Option<Via>>,
}

/// The reason for abandoning a run.
#[derive(Debug, Clone, Copy)]
pub(super) struct AbandonReason {
    /// A description for the log.
    pub(super) why: &'static str,
    /// Whether an endpoint of its chain has terminated, so that the run can yield no more events.
    pub(super) terminated: bool,
    /// Whether only the connection is lost: the chain may be used again.
    pub(super) lost_path: bool,
}

impl AbandonReason {
    fn not_terminated(why: &'static str) -> Self {
        Self {
            why,
            terminated: false,
            lost_path: false,
        }
    }
}

impl RunMonitor<'_> {
    /// Waits until the run is to be abandoned, and returns the reason. `since` is the time of the last event, or of
    /// the dispatch.
    pub(super) async fn until_abandoned(&self, since: Instant) -> AbandonReason {
        let mut failures = self.gateway.prober.endpoint_failures();
        let mut probed: Option<Instant> = None;
        loop {
            if self.has_terminated_stage() {
                return AbandonReason {
                    why: "a part of its chain has ended",
                    terminated: true,
                    lost_path: false,
                };
            }
            let silence = since.elapsed();
            match self
                .timing
                .next_step(silence, probed.map(|at| at.elapsed()))
            {
                Step::Abandon if self.timing.started => {
                    return AbandonReason::not_terminated("the run stalled");
                }
                Step::Abandon => return AbandonReason::not_terminated("no answer in time"),
                Step::Probe => {
                    let suspicion = match self.timing.started {
                        true => Suspicion::Still,
                        false => Suspicion::Late,
                    };
                    probe::probe_suspected(self.gateway, self.chain, suspicion);
                    self.check_path_if_others_are_cut();
                    probed = Some(Instant::now());
                }
                Step::Wait(wait) => {
                    tokio::select! {
                        () = time::sleep(wait) => {}
                        // The sender lives as long as the gateway.
                        _ = failures.changed() => {}
                    }
                }
            }
            if probed.is_some() && self.timing.may_abandon() && self.has_unresponsive_stage() {
                return AbandonReason::not_terminated("a stage of its chain is unresponsive");
            }
            if probed.is_some() && self.timing.may_abandon() && self.has_lost_path() {
                return AbandonReason {
                    why: "its connection carries nothing",
                    terminated: false,
                    lost_path: true,
                };
            }
        }
    }

    /// Checks the path to the first stage once this host knows that paths are cut: then the chains over them stall at the
    /// same time, and more of them than may be probed.
    fn check_path_if_others_are_cut(&self) {
        if self.gateway.paths.known().cut_count() == 0 {
            return;
        }
        let gateway = self.gateway.clone();
        let addr = self.chain.first_stage().addr;
        actix_rt::spawn(async move { gateway.check_path(addr).await });
    }

    fn has_lost_path(&self) -> bool {
        let first = self.chain.first_stage().addr;
        let via = self.via.get();
        via.is_some_and(|via| self.gateway.paths.is_lost(first, via))
    }

    fn has_terminated_stage(&self) -> bool {
        let directory = self.gateway.directory.borrow();
        self.chain.stages.iter().any(|p| directory.has_ended(&p.id))
    }

    fn has_unresponsive_stage(&self) -> bool {
        let directory = self.gateway.directory.borrow();
        self.chain
            .stages
            .iter()
            .any(|p| directory.is_unresponsive(&p.id))
    }
}
