//! Probes the stages of suspected chains.
//!
//! The first stage learns only after seconds which later stage it waits for, and a stream doesn't show whether a
//! stage has terminated or is busy or slow. Each stage itself answers a probe within a few ms. A stage that does
//! not answer two calls, and that no other host reaches either, is unresponsive: no requests are sent to it until it answers again or is delisted, and
//! runs on chains with it continue on other chains. A stage that reports a slowdown counts as slow.
//! [`dragonflyrill_fleet::probing`] decides when a chain is probed.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_clock::awake;
use dragonflyrill_fleet::{
    chains::{Chain, Stage},
    endpoints::Endpoint,
    probing::{Decision, ProbeSchedule, Suspicion},
};
use futures_util::future::{self, Either};
use rustc_hash::FxHashMap;
use tokio::sync::watch;

use crate::{
    gateway::{EnginePoll, Gateway},
    paths::PathState,
};

/// The timeout of a call. The answer needs no slot of the engine and the network takes 1 ms at most; the rest
/// allows for busy hosts. With this timeout, all hosts know within 0.1 s that a stage is unresponsive.
const CALL_TIMEOUT: Duration = Duration::from_millis(60);
/// The delay of the second call to a stage, on another connection: a packet lost on a link, or a stale connection,
/// must not make the stage count as unresponsive.
const SECOND_CALL_DELAY: Duration = Duration::from_millis(20);
/// The delay of the check whether the path to a stage is cut, which saves the check if the stage answers.
const PATH_CHECK_DELAY: Duration = Duration::from_millis(30);
/// The pause before an unresponsive or slow endpoint is polled for the first time. It doubles with each poll.
const MIN_RECOVERY_PAUSE: Duration = Duration::from_millis(400);
/// The maximum pause between these polls. Each host polls each such endpoint.
const MAX_RECOVERY_PAUSE: Duration = Duration::from_millis(1600);

/// The number of polls of an unresponsive endpoint of which one asks other hosts whether they reach it, on a host that
/// knows of no cut path. While a data centre is cut off, its hosts poll all engines of the others.
const POLLS_PER_PATH_CHECK: u32 = 4;

/// The state of the probes of this host.
pub struct Prober {
    schedule: RefCell<ProbeSchedule>,
    /// Probes in progress, by the key of the chain; the value becomes true when the probe ends.
    in_progress: RefCell<FxHashMap<u64, watch::Receiver<bool>>>,
    /// Incremented whenever a stage becomes unresponsive or an endpoint terminates.
    failures: watch::Sender<u64>,
}

impl Default for Prober {
    fn default() -> Self {
        Self {
            schedule: RefCell::default(),
            in_progress: RefCell::default(),
            failures: watch::Sender::new(0),
        }
    }
}

impl Prober {
    /// Records an event of a stream on a chain.
    pub(super) fn record_event(&self, chain: &Chain, now: Duration) {
        self.schedule.borrow_mut().record_event(chain, now);
    }

    /// Changes whenever a stage becomes unresponsive or an endpoint is known to have terminated.
    pub(super) fn endpoint_failures(&self) -> watch::Receiver<u64> {
        self.failures.subscribe()
    }

    /// Notifies the subscribers of [`Prober::endpoint_failures`] that an endpoint failed.
    pub(crate) fn notify_failure(&self) {
        self.failures.send_modify(|n| *n += 1);
    }
}

/// Starts a probe of a suspected chain if the schedule allows one. Returns the probe in progress, if any, whose
/// value becomes true when it ends.
pub(super) fn probe_suspected(
    gateway: &Rc<Gateway>,
    chain: &Chain,
    suspicion: Suspicion,
) -> Option<watch::Receiver<bool>> {
    let prober = &gateway.prober;
    let mut in_progress = prober.in_progress.borrow_mut();
    in_progress.retain(|_, done| !*done.borrow());
    if let Some(done) = in_progress.get(&chain.key) {
        return Some(done.clone());
    }
    let (now, hosts) = (gateway.now(), gateway.counted_hosts());
    let mut schedule = prober.schedule.borrow_mut();
    let Decision::Probe(ids) = schedule.decide(chain, suspicion, now, hosts) else {
        return None;
    };
    log::info!(target: "forward", chain = chain.to_string(), doubt:? = suspicion; "A suspected chain is probed.");
    let (ended, done) = watch::channel(false);
    in_progress.insert(chain.key, done.clone());
    let probed = chain.stages.iter().filter(|p| ids.contains(&p.id));
    let probed: Vec<Stage> = probed.cloned().collect();
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        future::join_all(probed.iter().map(|stage| probe_stage(&gateway, stage))).await;
        ended.send_replace(true);
    });
    Some(done)
}

/// Probes a chain on which a run broke off, if the schedule allows a probe, and waits until the probe ends.
pub(super) async fn after_break(gateway: &Rc<Gateway>, chain: &Chain) {
    if let Some(mut done) = probe_suspected(gateway, chain, Suspicion::Still) {
        // A probe whose task was dropped yields no further results.
        let _ = done.wait_for(|done| *done).await;
    }
}

async fn probe_stage(gateway: &Rc<Gateway>, stage: &Stage) {
    let prober = &gateway.prober;
    if gateway.directory.borrow().is_unresponsive(&stage.id) {
        return;
    }
    let reply = call_by_any_way(gateway, stage).await;
    if let EnginePoll::Withheld = reply {
        return;
    }
    if let EnginePoll::Report(report) = reply {
        gateway.apply_engine_report(&stage.id, &report);
        let now = gateway.now();
        prober.schedule.borrow_mut().record_answer(&stage.id, now);
        let mut directory = gateway.directory.borrow_mut();
        if directory.record_slowdown(&stage.id, report.slowdown_factor, now) {
            log::info!(target: "fleet", endpoint = &*stage.id, pace = report.slowdown_factor; "Endpoint is slow.");
            actix_rt::spawn(poll_until_healthy(
                gateway.clone(),
                PolledEndpoint::of(stage),
                MIN_RECOVERY_PAUSE,
            ));
        }
        return;
    }
    record_unresponsive(gateway, &stage.id, stage.addr);
}

/// Records that an engine does not answer, and polls it until it does.
pub(super) fn record_unresponsive(gateway: &Rc<Gateway>, id: &Rc<str>, addr: SocketAddr) {
    let now = gateway.now();
    if !gateway.directory.borrow_mut().record_unresponsive(id, now) {
        return;
    }
    log::info!(target: "fleet", endpoint = &**id; "Endpoint does not answer and is avoided.");
    gateway.prober.notify_failure();
    let polled = PolledEndpoint {
        id: id.clone(),
        addr,
    };
    actix_rt::spawn(poll_until_healthy(
        gateway.clone(),
        polled,
        MIN_RECOVERY_PAUSE,
    ));
}

/// Polls an endpoint that was listed again and counts as unresponsive until it answers or is delisted.
pub(crate) fn poll_relisted(gateway: &Rc<Gateway>, endpoint: &Endpoint) {
    let polled = PolledEndpoint {
        id: endpoint.id.clone(),
        addr: endpoint.addr,
    };
    actix_rt::spawn(poll_until_healthy(gateway.clone(), polled, Duration::ZERO));
}

/// An endpoint that is polled.
struct PolledEndpoint {
    id: Rc<str>,
    addr: SocketAddr,
}

impl PolledEndpoint {
    fn of(stage: &Stage) -> Self {
        Self {
            id: stage.id.clone(),
            addr: stage.addr,
        }
    }
}

/// Calls an endpoint once.
async fn call(gateway: &Gateway, id: &Rc<str>, addr: SocketAddr) -> EnginePoll {
    gateway.poll_engine(id, addr, CALL_TIMEOUT).await
}

/// Calls a stage twice, and twice again through another host if only the path to the stage is cut.
async fn call_by_any_way(gateway: &Rc<Gateway>, stage: &Stage) -> EnginePoll {
    let calls = std::pin::pin!(call_twice(gateway, stage));
    let path = std::pin::pin!(async {
        awake::sleep(PATH_CHECK_DELAY).await;
        gateway.check_path(stage.addr).await
    });
    let (reply, path) = match future::select(calls, path).await {
        Either::Left((EnginePoll::Silent, path)) => (EnginePoll::Silent, path.await),
        Either::Left((reply, _)) => return reply,
        Either::Right((path, calls)) => (calls.await, path),
    };
    match (reply, path) {
        (EnginePoll::Silent, PathState::Cut) => call_twice(gateway, stage).await,
        (reply, _) => reply,
    }
}

/// Calls a stage twice, the second time after a delay. The result is silent only if neither call is answered.
async fn call_twice(gateway: &Gateway, stage: &Stage) -> EnginePoll {
    let first = std::pin::pin!(call(gateway, &stage.id, stage.addr));
    let second = std::pin::pin!(async {
        awake::sleep(SECOND_CALL_DELAY).await;
        call(gateway, &stage.id, stage.addr).await
    });
    let (answered, other) = future::select(first, second).await.factor_first();
    if let EnginePoll::Report(report) = answered {
        return EnginePoll::Report(report);
    }
    match (answered, other.await) {
        (_, EnginePoll::Report(report)) => EnginePoll::Report(report),
        (EnginePoll::Silent, EnginePoll::Silent) => EnginePoll::Silent,
        _ => EnginePoll::Withheld,
    }
}

/// Polls an endpoint that is unresponsive or slow until it is healthy or no longer active; the first time after
/// the pause `first`.
async fn poll_until_healthy(gateway: Rc<Gateway>, endpoint: PolledEndpoint, first: Duration) {
    let mut pause = first;
    for poll in 0u32.. {
        gateway.clock().sleep(pause).await;
        if !gateway.directory.borrow().is_active(&endpoint.id) {
            return;
        }
        let has_cut_paths = gateway.paths.known().cut_count() > 0;
        let by_any_way = has_cut_paths || poll % POLLS_PER_PATH_CHECK == 0;
        let (id, addr) = (&endpoint.id, endpoint.addr);
        let reply = match by_any_way {
            true => gateway.poll_engine_by_any_way(id, addr, CALL_TIMEOUT).await,
            false => call(&gateway, id, addr).await,
        };
        let report = match reply {
            EnginePoll::Report(report) => Some(report),
            EnginePoll::Silent | EnginePoll::Withheld => None,
        };
        if let Some(report) = &report {
            gateway.apply_engine_report(&endpoint.id, report);
        }
        pause = MAX_RECOVERY_PAUSE.min(pause * 2).max(MIN_RECOVERY_PAUSE);
        let now = gateway.now();
        let mut directory = gateway.directory.borrow_mut();
        let unresponsive = directory.is_unresponsive(&endpoint.id);
        let listed = directory.get(&endpoint.id).and_then(|e| e.layers);
        match report {
            // The endpoint has restarted while it was partitioned, and its entry in the list is older.
            Some(report) if unresponsive && report.layers != listed => {
                directory.record_unresponsive(&endpoint.id, now);
                pause = MIN_RECOVERY_PAUSE;
            }
            Some(report) => {
                directory.record_slowdown(&endpoint.id, report.slowdown_factor, now);
                if unresponsive {
                    log::info!(target: "fleet", endpoint = &*endpoint.id; "Endpoint answers again.");
                    directory.record_success(&endpoint.id);
                    gateway.termination_checks.forget(&endpoint.id);
                }
                if directory.slowdown_factor(&endpoint.id, now) <= 1.0 {
                    return;
                }
            }
            None if unresponsive => {
                directory.record_unresponsive(&endpoint.id, now);
            }
            None => {}
        }
    }
}
