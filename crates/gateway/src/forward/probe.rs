//! Asks the parts of a chain that is in doubt how they are.
//!
//! The first stage learns only after seconds which later one it waits for, and a stream can't tell a
//! part that is gone from one that is busy or slow. Each part answers for itself within a few ms. One
//! that does not answer twice is lost: it gets nothing more until it answers again or is delisted, and
//! runs on chains with it go on elsewhere. One that says it is slow counts as slow. When a chain is
//! probed is decided in [`dragonflyrill_fleet::probing`].

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    chains::{Chain, Stage},
    endpoints::Endpoint,
    probing::{Decision, ProbeSchedule, Suspicion},
};
use futures_util::future;
use rustc_hash::FxHashMap;
use tokio::{sync::watch, time};

use crate::{gateway::Gateway, ports::EngineReport};

/// How long a part may take to answer: its answer needs no slot, and the network a ms at most; the
/// rest is for hosts that are busy. With it a loss is known to all hosts within 0.1 s.
const ANSWER: Duration = Duration::from_millis(60);
/// When a part is asked a second time, by another connection: what a lossy link lost, or a stale
/// connection, must not count as its end.
const SECOND: Duration = Duration::from_millis(20);
/// How long after a part was lost it is asked whether it is back; twice as long each further time.
const BACK: Duration = Duration::from_millis(400);
/// The longest pause between such calls. Each host makes them for each part that is lost.
const LONGEST_BACK: Duration = Duration::from_millis(1600);

/// What is probed, and what was found.
pub struct Prober {
    schedule: RefCell<ProbeSchedule>,
    /// Probes that go on, by the chain's key; true when one has ended.
    going_on: RefCell<FxHashMap<u64, watch::Receiver<bool>>>,
    /// Grows with each part that is found to be lost, and each endpoint that has ended.
    lost: watch::Sender<u64>,
}

impl Default for Prober {
    fn default() -> Self {
        Self {
            schedule: RefCell::default(),
            going_on: RefCell::default(),
            lost: watch::Sender::new(0),
        }
    }
}

impl Prober {
    /// An event has come over a chain.
    pub(super) fn event(&self, chain: &Chain, now: Duration) {
        self.schedule.borrow_mut().record_event(chain, now);
    }

    /// Changes whenever a part is found to be lost, or an endpoint to have ended.
    pub(super) fn lost(&self) -> watch::Receiver<u64> {
        self.lost.subscribe()
    }

    /// An endpoint has ended.
    pub(crate) fn changed(&self) {
        self.lost.send_modify(|n| *n += 1);
    }
}

/// Has a chain in doubt probed where that may tell more; gives the probe that goes on.
pub(super) fn in_doubt(
    gateway: &Rc<Gateway>,
    chain: &Chain,
    doubt: Suspicion,
) -> Option<watch::Receiver<bool>> {
    let prober = &gateway.prober;
    let mut going_on = prober.going_on.borrow_mut();
    going_on.retain(|_, done| !*done.borrow());
    if let Some(done) = going_on.get(&chain.key) {
        return Some(done.clone());
    }
    let (now, hosts) = (gateway.now(), gateway.counted_hosts());
    let mut schedule = prober.schedule.borrow_mut();
    let Decision::Probe(ids) = schedule.decide(chain, doubt, now, hosts) else {
        return None;
    };
    log::info!(target: "forward", chain = chain.to_string(), doubt:? = doubt; "A chain is in doubt and is probed.");
    let (ended, done) = watch::channel(false);
    going_on.insert(chain.key, done.clone());
    let asked = chain.stages.iter().filter(|p| ids.contains(&p.id));
    let asked: Vec<Stage> = asked.cloned().collect();
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        future::join_all(asked.iter().map(|part| probe(&gateway, part))).await;
        ended.send_replace(true);
    });
    Some(done)
}

/// Has a chain over which a run broke off probed, and waits for the end of that.
pub(super) async fn after_break(gateway: &Rc<Gateway>, chain: &Chain) {
    if let Some(mut done) = in_doubt(gateway, chain, Suspicion::Still) {
        // A probe that was dropped tells nothing more.
        let _ = done.wait_for(|done| *done).await;
    }
}

async fn probe(gateway: &Rc<Gateway>, part: &Stage) {
    let prober = &gateway.prober;
    if gateway.directory.borrow().is_unresponsive(&part.id) {
        return;
    }
    let reply = answer(gateway, part).await;
    if let Reply::Withheld = reply {
        return;
    }
    if let Reply::Report(report) = reply {
        gateway.reported(&part.id, &report);
        let now = gateway.now();
        prober.schedule.borrow_mut().record_answer(&part.id, now);
        let mut directory = gateway.directory.borrow_mut();
        if directory.record_slowdown(&part.id, report.slowdown_factor, now) {
            log::info!(target: "fleet", endpoint = &*part.id, pace = report.slowdown_factor; "Endpoint is slow.");
            actix_rt::spawn(ask_until_well(gateway.clone(), Asked::of(part), BACK));
        }
        return;
    }
    let now = gateway.now();
    if gateway
        .directory
        .borrow_mut()
        .record_unresponsive(&part.id, now)
    {
        log::info!(target: "fleet", endpoint = &*part.id; "Endpoint does not answer and is avoided.");
        gateway.prober.changed();
        actix_rt::spawn(ask_until_well(gateway.clone(), Asked::of(part), BACK));
    }
}

/// Asks an endpoint that counts as lost since it was listed again until it answers or is delisted.
pub(crate) fn prove(gateway: &Rc<Gateway>, endpoint: &Endpoint) {
    let asked = Asked {
        id: endpoint.id.clone(),
        addr: endpoint.addr,
    };
    actix_rt::spawn(ask_until_well(gateway.clone(), asked, Duration::ZERO));
}

/// An endpoint that is asked.
struct Asked {
    id: Rc<str>,
    addr: SocketAddr,
}

impl Asked {
    fn of(part: &Stage) -> Self {
        Self {
            id: part.id.clone(),
            addr: part.addr,
        }
    }
}

/// What became of a call to an endpoint.
enum Reply {
    /// It said how it is.
    Report(EngineReport),
    /// It did not answer.
    Silent,
    /// The call was not made, as the limit that the endpoint names left no permit: nothing is known.
    Withheld,
}

/// What an endpoint answers to one call.
async fn ask(gateway: &Gateway, id: &Rc<str>, addr: SocketAddr) -> Reply {
    if !gateway.take_permits(&[id]) {
        return Reply::Withheld;
    }
    let report = gateway.platform.engines.report(addr);
    match time::timeout(ANSWER, report).await {
        Ok(Ok(report)) => Reply::Report(report),
        Ok(Err(_)) | Err(_) => Reply::Silent,
    }
}

/// What a part answers to one of two calls; it is silent only if it answers neither.
async fn answer(gateway: &Gateway, part: &Stage) -> Reply {
    let first = std::pin::pin!(ask(gateway, &part.id, part.addr));
    let second = std::pin::pin!(async {
        time::sleep(SECOND).await;
        ask(gateway, &part.id, part.addr).await
    });
    let (answered, other) = future::select(first, second).await.factor_first();
    if let Reply::Report(report) = answered {
        return Reply::Report(report);
    }
    match (answered, other.await) {
        (_, Reply::Report(report)) => Reply::Report(report),
        (Reply::Silent, Reply::Silent) => Reply::Silent,
        _ => Reply::Withheld,
    }
}

/// Asks an endpoint that is lost or slow until it is well or no longer listed, for the first time
/// after a pause.
async fn ask_until_well(gateway: Rc<Gateway>, part: Asked, first: Duration) {
    let mut pause = first;
    loop {
        time::sleep(pause).await;
        if !gateway.directory.borrow().is_active(&part.id) {
            return;
        }
        let report = match ask(&gateway, &part.id, part.addr).await {
            Reply::Report(report) => Some(report),
            Reply::Silent | Reply::Withheld => None,
        };
        if let Some(report) = &report {
            gateway.reported(&part.id, report);
        }
        pause = LONGEST_BACK.min(pause * 2).max(BACK);
        let now = gateway.now();
        let mut directory = gateway.directory.borrow_mut();
        let lost = directory.is_unresponsive(&part.id);
        let listed = directory.get(&part.id).and_then(|e| e.layers);
        match report {
            // It has started again behind a cut, and its entry is that of before.
            Some(report) if lost && report.layers != listed => {
                directory.record_unresponsive(&part.id, now);
                pause = BACK;
            }
            Some(report) => {
                directory.record_slowdown(&part.id, report.slowdown_factor, now);
                if lost {
                    log::info!(target: "fleet", endpoint = &*part.id; "Endpoint answers again.");
                    directory.record_success(&part.id);
                }
                if directory.slowdown_factor(&part.id, now) <= 1.0 {
                    return;
                }
            }
            None if lost => {
                directory.record_unresponsive(&part.id, now);
            }
            None => {}
        }
    }
}
