//! Monitors a run of a stream while no events are received from it.

use std::rc::Rc;

use dragonflyrill_clock::awake::{self, Instant};
use dragonflyrill_fleet::{
    adaptive_timeout::{Doubt, RunTiming, Silence, Step},
    chains::Chain,
    probing::Suspicion,
};

use super::{probe, send::DispatchState};
use crate::gateway::Gateway;

/// A run that is monitored while it is silent.
pub(super) struct RunMonitor<'a> {
    pub(super) gateway: &'a Rc<Gateway>,
    pub(super) chain: Rc<Chain>,
    pub(super) dispatch: Rc<DispatchState>,
    timing: RunTiming,
    /// When it was dispatched, or its last events were received.
    silent_since: Instant,
    /// When its chain was last probed during this silence.
    probed_at: Option<Instant>,
    /// When the monitor last asked for a replacement during this silence.
    replacement_at: Option<Instant>,
}

/// What the silence of a run calls for.
#[derive(Debug, Clone, Copy)]
pub(super) enum Stall {
    /// Another run is to be started beside it, if possible.
    Doubtful(Doubt),
    /// The run has to end, for the given reason.
    Ended(&'static str),
}

impl<'a> RunMonitor<'a> {
    /// Monitors a run that is dispatched now.
    pub(super) fn new(
        gateway: &'a Rc<Gateway>,
        chain: Rc<Chain>,
        dispatch: Rc<DispatchState>,
        timing: RunTiming,
    ) -> Self {
        Self {
            gateway,
            chain,
            dispatch,
            timing,
            silent_since: Instant::now(),
            probed_at: None,
            replacement_at: None,
        }
    }

    /// Whether events have been received.
    pub(super) fn started(&self) -> bool {
        self.timing.started
    }

    /// Records that events were received: the silence is over. `may_retry` is the new value of
    /// [`RunTiming::may_retry`].
    pub(super) fn record_events(&mut self, may_retry: bool) {
        self.timing.started = true;
        self.timing.answer_begun = true;
        self.timing.may_retry = may_retry;
        self.silent_since = Instant::now();
        self.probed_at = None;
        self.replacement_at = None;
    }

    /// Waits until the silence of the run calls for something.
    pub(super) async fn until_stalled(&mut self) -> Stall {
        let mut failures = self.gateway.prober.endpoint_failures();
        loop {
            if self.has_superseded_stage() {
                // No more events follow: an answer is aborted rather than left waiting.
                return Stall::Ended("a part of its chain has ended");
            }
            match self.timing.next_step(self.silence()) {
                Step::Replace(doubt) => {
                    self.replacement_at = Some(Instant::now());
                    return Stall::Doubtful(doubt);
                }
                Step::GiveUp => return Stall::Ended("no answer in time"),
                Step::Probe => {
                    let suspicion = match self.timing.started {
                        true => Suspicion::Still,
                        false => Suspicion::Late,
                    };
                    probe::probe_suspected(self.gateway, &self.chain, suspicion);
                    self.check_path_if_others_are_cut();
                    self.probed_at = Some(Instant::now());
                }
                Step::Wait(wait) => {
                    tokio::select! {
                        () = awake::sleep(wait) => {}
                        // The sender lives as long as the gateway.
                        _ = failures.changed() => {}
                    }
                }
            }
        }
    }

    fn silence(&self) -> Silence {
        Silence {
            total: self.silent_since.elapsed(),
            since_probe: self.probed_at.map(|at| at.elapsed()),
            since_replacement: self.replacement_at.map(|at| at.elapsed()),
            suspect: self.has_unresponsive_stage() || self.has_lost_path(),
            terminated: self.has_terminated_stage(),
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

    /// Whether the connection of the run carries nothing, while its chain may be reached over another one.
    pub(super) fn has_lost_path(&self) -> bool {
        let first = self.chain.first_stage().addr;
        let via = self.dispatch.via.get();
        via.is_some_and(|via| self.gateway.paths.is_lost(first, via))
    }

    /// Waits until a stage is known to have terminated: no more events follow.
    pub(super) async fn until_terminated(&self) {
        let mut failures = self.gateway.prober.endpoint_failures();
        while !self.has_terminated_stage() {
            // The sender lives as long as the gateway.
            let _ = failures.changed().await;
        }
    }

    /// Whether another incarnation has replaced a stage.
    fn has_superseded_stage(&self) -> bool {
        let directory = self.gateway.directory.borrow();
        self.chain.stages.iter().any(|p| directory.has_ended(&p.id))
    }

    /// Whether a stage is known to have terminated. A draining one may have closed its port before its last answers
    /// are complete.
    fn has_terminated_stage(&self) -> bool {
        let checks = &self.gateway.termination_checks;
        let directory = self.gateway.directory.borrow();
        let port_is_closed = |id: &str| {
            directory.is_active(id) && directory.is_unresponsive(id) && checks.has_terminated(id)
        };
        let mut stages = self.chain.stages.iter();
        stages.any(|p| directory.has_ended(&p.id) || port_is_closed(&p.id))
    }

    fn has_unresponsive_stage(&self) -> bool {
        let directory = self.gateway.directory.borrow();
        self.chain
            .stages
            .iter()
            .any(|p| directory.is_unresponsive(&p.id))
    }
}
