//! Monitors a run of a stream while no events are received from it.

use std::{cell::Cell, rc::Rc};

use dragonflyrill_fleet::{
    adaptive_timeout::{Doubt, NextRun, RunTiming, Step},
    chains::Chain,
    probing::Suspicion,
};
use tokio::time::{self, Instant};

use super::{
    probe,
    request_log::{Decision, RequestLog},
};
use crate::{gateway::Gateway, paths::Via};

/// A run that is monitored while it stalls.
pub(super) struct RunMonitor<'a> {
    pub(super) gateway: &'a Rc<Gateway>,
    pub(super) chain: &'a Chain,
    pub(super) timing: RunTiming,
    /// How the request reaches the first stage; `None` until a connection is open.
    pub(super) via: &'a Cell<Option<Via>>,
    pub(super) request_log: &'a RequestLog,
}

/// The reason for abandoning a run.
#[derive(Debug, Clone, Copy)]
pub(super) struct AbandonReason {
    /// A description for the log.
    pub(super) why: &'static str,
    /// Whether only the connection is lost: the chain may be used again.
    pub(super) lost_path: bool,
    /// Whether the run may still answer, and was abandoned because another one is possible.
    pub(super) replaced: bool,
}

impl AbandonReason {
    fn new(why: &'static str) -> Self {
        Self {
            why,
            lost_path: false,
            replaced: false,
        }
    }

    fn doubt(why: &'static str, replaced: bool) -> Self {
        Self {
            replaced,
            ..Self::new(why)
        }
    }
}

impl RunMonitor<'_> {
    /// Waits until the run is to be abandoned, and returns the reason. `since` is the time of the last event, or of
    /// the dispatch; `next_run` evaluates the run that would follow.
    pub(super) async fn until_abandoned(
        &mut self,
        since: Instant,
        mut next_run: impl FnMut() -> NextRun,
    ) -> AbandonReason {
        let mut failures = self.gateway.prober.endpoint_failures();
        let mut probed: Option<Instant> = None;
        loop {
            if self.has_terminated_stage() {
                // No more events follow: an answer is aborted rather than left waiting.
                return AbandonReason::new("a part of its chain has ended");
            }
            let silence = since.elapsed();
            match self
                .timing
                .next_step(silence, probed.map(|at| at.elapsed()))
            {
                Step::Abandon => {
                    if self.abandons(Doubt::TimedOut, &mut next_run) {
                        let why = match self.timing.started {
                            true => "the run stalled",
                            false => "no answer in time",
                        };
                        // Otherwise its caller leaves.
                        return AbandonReason::doubt(why, self.timing.may_retry);
                    }
                    continue;
                }
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
            if probed.is_some()
                && self.timing.may_abandon()
                && self.has_unresponsive_stage()
                && self.abandons(Doubt::UnresponsiveStage, &mut next_run)
            {
                return AbandonReason::doubt("a stage of its chain is unresponsive", true);
            }
            if probed.is_some() && self.timing.may_abandon() && self.has_lost_path() {
                return AbandonReason {
                    why: "its connection carries nothing",
                    lost_path: true,
                    replaced: false,
                };
            }
        }
    }

    /// Whether the run is to be abandoned for a doubt about it. Records once if it is waited for instead.
    fn abandons(&mut self, doubt: Doubt, mut next_run: impl FnMut() -> NextRun) -> bool {
        let could_be_abandoned = self.timing.may_retry;
        let mut evaluated = None;
        let evaluate = || *evaluated.insert(next_run());
        let abandons = self.timing.abandons(doubt, evaluate);
        if let Some(next_run) = evaluated
            && could_be_abandoned
            && !abandons
        {
            self.request_log.record(Decision::Kept { doubt, next_run });
        }
        abandons
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
