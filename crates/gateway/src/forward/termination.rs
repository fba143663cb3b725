//! Detects endpoints that terminate while they run a request.
//!
//! A connection that ends before the end of an answer may have been reset by the network, or the endpoint may
//! have dropped this request only. If the process has terminated, its port is closed, and a new connection to it is
//! refused at once, also to other hosts. A missing response proves nothing, since a partition looks the same. Nor does an accepted
//! connection prove that the same process is running: its next incarnation may already listen there. An engine reports
//! when it started, so that it is polled; of a plain service this becomes known when the incarnation is listed.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_fleet::endpoints::Endpoint;
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, Shared},
};
use rustc_hash::FxHashMap;

use super::{AdmittedRequest, RunProgress, send::DispatchError};
use crate::{
    gateway::{EnginePoll, Gateway, Involvement},
    http::connection,
};

/// How long to wait for a connection to be refused, and for an engine's report. The network takes 1 ms at most, and the
/// request waits meanwhile.
const CHECK_TIMEOUT: Duration = Duration::from_millis(60);

/// A check of an endpoint: true if its incarnation has terminated.
type TerminationCheck = Shared<LocalBoxFuture<'static, bool>>;

/// Checks of endpoints that may have terminated. All requests that run at an endpoint fail together when it
/// terminates, so they share one check.
#[derive(Default)]
pub struct TerminationChecks(RefCell<FxHashMap<Rc<str>, TerminationCheck>>);

impl TerminationChecks {
    /// Whether a check has shown that an endpoint has terminated.
    pub(super) fn has_terminated(&self, id: &str) -> bool {
        let checks = self.0.borrow();
        checks
            .get(id)
            .is_some_and(|check| check.peek() == Some(&true))
    }

    /// Forgets what a check has shown of an endpoint that has answered since: all paths to it may have refused connections.
    pub(crate) fn forget(&self, id: &str) {
        self.0.borrow_mut().remove(id);
    }

    fn check(&self, gateway: &Rc<Gateway>, id: &Rc<str>, addr: SocketAddr) -> TerminationCheck {
        let mut checks = self.0.borrow_mut();
        // A negative result may change, so it is not kept. A termination is final.
        let directory = gateway.directory.borrow();
        checks.retain(|id, check| check.peek() != Some(&false) && directory.get(id).is_some());
        let new = || {
            has_terminated(gateway.clone(), id.clone(), addr)
                .boxed_local()
                .shared()
        };
        checks.entry(id.clone()).or_insert_with(new).clone()
    }
}

async fn has_terminated(gateway: Rc<Gateway>, id: Rc<str>, addr: SocketAddr) -> bool {
    is_port_closed(&gateway, addr).await || is_replaced(&gateway, &id, addr).await
}

async fn is_port_closed(gateway: &Rc<Gateway>, addr: SocketAddr) -> bool {
    let network = &*gateway.platform.network;
    let opened = connection::open_within(network, addr, &gateway.codec, CHECK_TIMEOUT).await;
    let refused = opened.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused);
    // A cut path refuses connections too.
    refused && !gateway.is_reached_by_others(addr).await
}

/// Whether a later incarnation of an engine reports at its address.
async fn is_replaced(gateway: &Rc<Gateway>, id: &Rc<str>, addr: SocketAddr) -> bool {
    let reports_start = |e: &Rc<Endpoint>| e.accelerator.is_some() && e.started_at.is_some();
    if !gateway
        .directory
        .borrow()
        .get(id)
        .is_some_and(reports_start)
    {
        return false;
    }
    if let EnginePoll::Report(report) = gateway.poll_engine(id, addr, CHECK_TIMEOUT).await {
        gateway.apply_engine_report(id, &report);
    }
    gateway.directory.borrow().has_ended(id)
}

/// An endpoint that ran a request, or a stage of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunEndpoint<'a> {
    pub(super) id: &'a Rc<str>,
    pub(super) addr: SocketAddr,
}

/// A run that failed.
#[derive(Debug, Clone, Copy)]
pub(super) struct FailedRun<'a> {
    /// The endpoints that ran the request, or a stage of it. It was sent to the first of them.
    pub(super) endpoints: &'a [RunEndpoint<'a>],
    /// Why it failed.
    pub(super) error: &'a DispatchError,
    /// How far its answer had got.
    pub(super) progress: RunProgress,
    /// Whether to wait for the checks of a run that broke off, as the request may be dispatched again next.
    pub(super) waits_for_checks: bool,
}

impl FailedRun<'_> {
    /// What a termination during the run implies for the request. Most runs that break off with an endpoint have
    /// got beyond the beginning of their answer; one that crashes whatever runs it seldom has.
    fn involvement(&self) -> Involvement {
        match self.progress {
            RunProgress::Beginning => Involvement::PossibleCause,
            RunProgress::BeyondBeginning => Involvement::Bystander,
        }
    }
}

/// Records whether one of the endpoints of a failed run has terminated.
///
/// Where an endpoint may have terminated, the broken run is recorded, so that it counts once the termination is
/// known.
pub(super) async fn record_terminations(
    gateway: &Rc<Gateway>,
    admitted: &AdmittedRequest,
    run: FailedRun<'_>,
) {
    let endpoints = run.endpoints;
    let suspects = || admitted.suspects(run.progress);
    let broke_off = match run.error {
        DispatchError::NotSent(_) | DispatchError::NotRun(_) => return,
        DispatchError::MayHaveRun(_) => false,
        DispatchError::BrokeOff(_) => true,
    };
    if let Some(terminated) = endpoints
        .iter()
        .find(|e| gateway.directory.borrow().has_ended(e.id))
    {
        return gateway.record_termination(&suspects(), terminated.id, run.involvement());
    }
    for (index, endpoint) in endpoints.iter().enumerate() {
        // If a later stage has terminated, the first one breaks off after a while. By then the later one is
        // known to be unresponsive.
        let unresponsive = gateway.directory.borrow().is_unresponsive(endpoint.id);
        let suspected = unresponsive || (broke_off && index == 0);
        if !suspected {
            continue;
        }
        let check = gateway
            .termination_checks
            .check(gateway, endpoint.id, endpoint.addr);
        if broke_off && run.waits_for_checks {
            if check.await {
                return gateway.record_termination(&suspects(), endpoint.id, run.involvement());
            }
            gateway.record_broken_run(suspects(), endpoint.id);
        } else {
            // An abandoned run must not wait for an address that may not respond either.
            gateway.record_broken_run(suspects(), endpoint.id);
            confirm_once_checked(gateway, endpoint.id, check);
        }
    }
}

/// Counts the broken runs at an endpoint once a check has shown that it has terminated.
fn confirm_once_checked(gateway: &Rc<Gateway>, id: &Rc<str>, check: TerminationCheck) {
    let (gateway, id) = (gateway.clone(), id.clone());
    actix_rt::spawn(async move {
        if check.await {
            gateway.confirm_termination(&id);
            gateway.prober.notify_failure();
        }
    });
}
