//! Dispatches a request to an endpoint and reads the head of the answer.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{RequestHead, ResponseHead};
use dragonflyrill_clock::awake;
use dragonflyrill_fleet::{endpoints::Directory, layers::LayerRange};

use super::{AdmittedRequest, probe};
use crate::{
    gateway::Gateway,
    http::{
        connection::Connection,
        relayed::{RelayKind, RelayOrder, RelayResult},
        request_head,
    },
    paths::{OpenedPath, PathState, Via},
    ports::{AnswerMetadata, DispatchMetadata},
};

/// The maximum number of hosts that are asked in turn to relay one dispatch.
const MAX_RELAYS: usize = 3;

/// A refusal within this time was not caused by waiting for an unresponsive endpoint.
const IMMEDIATE_REFUSAL_TIME: Duration = Duration::from_millis(500);

/// The fraction of memory in use above which a refusal may be for lack of memory. Below it the endpoint refuses
/// for another reason: it is draining or releases its layers.
const MIN_FULL_MEMORY_FRACTION: f64 = 0.6;

/// The reason why nothing was sent to an endpoint whose stated limit leaves no permit.
const LIMIT_REACHED: &str = "an endpoint's limit is reached";

/// The reason why a dispatch yielded no usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum DispatchError {
    /// Nothing was sent to the endpoint.
    NotSent(String),
    /// The endpoint has not run the request and will not run it.
    NotRun(String),
    /// The request may have run, or may still be running.
    MayHaveRun(String),
    /// As [`Self::MayHaveRun`], and the connection failed before the end of the answer: the endpoint may have
    /// terminated.
    BrokeOff(String),
}

/// The endpoint that a request is dispatched to, and the data specific to this dispatch.
pub(super) struct Target<'a> {
    pub(super) id: &'a Rc<str>,
    /// The name of the endpoint, sent with the request; an endpoint with another name refuses it.
    pub(super) name: &'a str,
    pub(super) addr: SocketAddr,
    /// The stages of the chain, by address and layers; empty for a plain call.
    pub(super) chain: &'a [(SocketAddr, LayerRange)],
    /// The ids of all endpoints that run a stage of the request.
    pub(super) endpoint_ids: &'a [&'a Rc<str>],
    /// The id of the event after which the answer is to continue.
    pub(super) after_event: Option<u64>,
    /// How far the dispatch has got.
    pub(super) state: &'a DispatchState,
}

/// How far a dispatch has got.
#[derive(Debug, Default)]
pub(super) struct DispatchState {
    /// Becomes true before the first byte of the request is sent.
    pub(super) sending: Cell<bool>,
    /// How the request reaches the endpoint; `None` until a connection is open.
    pub(super) via: Cell<Option<Via>>,
}

impl DispatchState {
    /// The error of a dispatch that is cancelled: the request may have run from the first byte sent on.
    pub(super) fn cancelled(&self, why: &str) -> DispatchError {
        match self.sending.get() {
            true => DispatchError::MayHaveRun(why.to_owned()),
            false => DispatchError::NotSent(why.to_owned()),
        }
    }
}

impl Target<'_> {
    /// An endpoint that no longer accepts work, though it did when it was chosen.
    fn unavailable_endpoint(&self, directory: &Directory, now: Duration) -> Option<&Rc<str>> {
        let mut endpoint_ids = self.endpoint_ids.iter().copied();
        endpoint_ids.find(|id| !directory.accepts_work(id, now))
    }

    /// The later stage of the chain that listens at an address.
    fn later_stage(&self, addr: SocketAddr) -> Option<&Rc<str>> {
        let stages = self.chain.iter().zip(self.endpoint_ids).skip(1);
        let mut at = stages.filter(|((stage, _), _)| *stage == addr);
        at.next().map(|(_, id)| *id)
    }
}

/// An answer whose head was read and whose body was not.
pub(super) struct Answer {
    pub(super) connection: Connection,
    pub(super) head: ResponseHead,
}

/// Until when the steps of a dispatch may take.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deadlines {
    /// A connection must be open.
    pub(super) connection: awake::Instant,
    /// The head of the answer must have arrived, by the clock of the host.
    pub(super) answer: Duration,
}

/// Sends a request and reads the head of the answer.
///
/// # Errors
///
/// [`DispatchError::NotRun`] if the endpoint refuses the request and states that it was not run.
/// [`DispatchError::NotSent`] if nothing was sent, and one of the others if the request may have run.
pub(super) async fn send(
    gateway: &Rc<Gateway>,
    admitted: &AdmittedRequest,
    target: &Target<'_>,
    deadlines: Deadlines,
) -> Result<Answer, DispatchError> {
    gateway.metrics.sends.inc();
    let mut permitted = false;
    for _ in 0..MAX_RELAYS {
        let opened = open(gateway, target, deadlines.connection).await?;
        gateway.check_suspension();
        gateway.until_current().await;
        check_before_send(gateway, admitted, target)?;
        permitted = permitted || gateway.try_acquire_permits(target.endpoint_ids);
        if !permitted {
            return Err(DispatchError::NotSent(LIMIT_REACHED.to_owned()));
        }
        if let Some(answer) = exchange(gateway, admitted, target, opened, deadlines.answer).await? {
            return Ok(answer);
        }
        target.state.sending.set(false);
    }
    Err(DispatchError::NotSent("no host relays".to_owned()))
}

/// The last checks before bytes are sent: what was true when the endpoint was chosen may have changed while a
/// connection was opened.
fn check_before_send(
    gateway: &Gateway,
    admitted: &AdmittedRequest,
    target: &Target<'_>,
) -> Result<(), DispatchError> {
    // The key may have been revoked.
    if !gateway.is_catalogue_fresh() {
        return Err(DispatchError::NotSent(
            "the catalogue may be outdated".to_owned(),
        ));
    }
    // This host may have been suspended.
    if admitted.time_left(gateway).is_zero() {
        return Err(DispatchError::NotSent("its time is over".to_owned()));
    }
    // Other hosts may have quarantined the request.
    if admitted.quarantine_refusal(gateway).is_some() {
        return Err(DispatchError::NotSent(
            "the request is quarantined".to_owned(),
        ));
    }
    let unavailable = target.unavailable_endpoint(&gateway.directory.borrow(), gateway.now());
    if let Some(id) = unavailable {
        return Err(DispatchError::NotSent(format!("{id} accepts no work")));
    }
    if admitted.is_probe() {
        gateway.quarantine.borrow_mut().note_probe_sent();
    }
    Ok(())
}

/// Sends a request over an open connection and reads the head of the answer; `None` if the host that was to relay it
/// states that it has sent nothing.
async fn exchange(
    gateway: &Gateway,
    admitted: &AdmittedRequest,
    target: &Target<'_>,
    opened: OpenedPath,
    until: Duration,
) -> Result<Option<Answer>, DispatchError> {
    let OpenedPath {
        mut connection,
        via,
    } = opened;
    target.state.via.set(Some(via));
    target.state.sending.set(true);
    let clock = gateway.clock();
    let sent_at = awake::Instant::now();
    let head = outgoing_head(gateway, admitted, target, via);
    let sent = clock
        .timeout_at(until, connection.send(head, admitted.body.clone()))
        .await;
    match sent {
        Ok(Ok(())) => {}
        Ok(Err((0, e))) => return Err(DispatchError::NotSent(format!("nothing was sent: {e}"))),
        Ok(Err((_, e))) => return Err(DispatchError::BrokeOff(format!("sending failed: {e}"))),
        Err(_) => {
            return Err(DispatchError::MayHaveRun(
                "sending took too long".to_owned(),
            ));
        }
    }
    let head = match clock.timeout_at(until, connection.read_head()).await {
        Ok(Ok(head)) => head,
        Ok(Err(e)) => return Err(DispatchError::BrokeOff(e.to_string())),
        Err(_) => return Err(DispatchError::MayHaveRun("no answer in time".to_owned())),
    };
    let facts = gateway.platform.dialect.read_answer(&head);
    if let Via::Relay(relay) = via {
        if let Some(result) = RelayResult::read(&head.headers) {
            gateway.record_relay_failure(target.addr, relay, result);
            if result == RelayResult::Unavailable {
                record_availability(gateway, target, &facts);
                let why = format!("{} accepts no work", target.id);
                return Err(DispatchError::NotSent(why));
            }
            return Ok(None);
        }
        gateway.metrics.relayed_sends.inc();
    }
    let answer = Answer { connection, head };
    check_answer(gateway, admitted, target, answer, &facts, sent_at.elapsed()).map(Some)
}

/// Opens a connection over which the endpoint is reached.
async fn open(
    gateway: &Rc<Gateway>,
    target: &Target<'_>,
    until: awake::Instant,
) -> Result<OpenedPath, DispatchError> {
    let failed = FailedConnect {
        id: target.id.clone(),
        addr: target.addr,
        is_engine: !target.chain.is_empty(),
    };
    match awake::timeout_at(until, gateway.open_path(target.addr)).await {
        Ok(Ok(opened)) => Ok(opened),
        Ok(Err(e)) => {
            failed.record(gateway, &e);
            Err(DispatchError::NotSent(format!("connecting failed: {e}")))
        }
        Err(_) => {
            actix_rt::spawn(failed.check_later(gateway.clone()));
            Err(DispatchError::NotSent("no connection in time".to_owned()))
        }
    }
}

/// An endpoint to which no connection was opened.
struct FailedConnect {
    id: Rc<str>,
    addr: SocketAddr,
    is_engine: bool,
}

impl FailedConnect {
    /// Records that neither this host nor any that it asked reaches the endpoint.
    fn record(&self, gateway: &Rc<Gateway>, error: &io::Error) {
        let now = gateway.now();
        gateway.directory.borrow_mut().record_failure(&self.id, now);
        // Several attempts and hosts are as good as a probe. Plain endpoints can't be polled.
        if error.kind() == io::ErrorKind::TimedOut && self.is_engine {
            probe::record_unresponsive(gateway, &self.id, self.addr);
        }
    }

    /// Records the failure if the path to the endpoint is not just cut. Its request had too little time left to find
    /// out.
    async fn check_later(self, gateway: Rc<Gateway>) {
        if gateway.check_path(self.addr).await == PathState::Unreachable {
            self.record(&gateway, &io::ErrorKind::TimedOut.into());
        }
    }
}

fn check_answer(
    gateway: &Gateway,
    admitted: &AdmittedRequest,
    target: &Target<'_>,
    answer: Answer,
    facts: &AnswerMetadata,
    elapsed: Duration,
) -> Result<Answer, DispatchError> {
    let head = &answer.head;
    record_availability(gateway, target, facts);
    // The answer to another request says nothing more about this one.
    if facts.attempt.is_some() && facts.attempt != admitted.incoming.attempt {
        return Err(DispatchError::MayHaveRun(
            "the answer belongs to another request".to_owned(),
        ));
    }
    if !facts.misdirected {
        gateway.record_stated_limit(target.id, facts);
    }
    if facts.not_run || facts.misdirected {
        let at = facts.failed_endpoint.unwrap_or(target.addr);
        record_refusal_by(gateway, at, facts.misdirected, elapsed);
        return Err(DispatchError::NotRun(format!(
            "{} by {at}",
            head.status.as_u16()
        )));
    }
    if facts.encoded || !facts.sealed {
        let why = format!("{} is not the endpoint's answer", head.status.as_u16());
        return Err(DispatchError::MayHaveRun(why));
    }
    Ok(answer)
}

/// Records what an answer states about new work, for the endpoint that gave it and the later stage that made it refuse.
fn record_availability(gateway: &Gateway, target: &Target<'_>, facts: &AnswerMetadata) {
    // Another incarnation that listens at the address refuses the requests of the expected one.
    if facts.misdirected {
        return;
    }
    gateway.record_availability(target.id, facts.availability);
    if let Some(id) = facts.failed_endpoint.and_then(|at| target.later_stage(at)) {
        gateway.record_backoff(id, facts.availability.backoff);
    }
}

/// Records a refusal, so that the endpoint gets no requests for a while: for longer if it is not the expected
/// incarnation or does not respond, and briefly if only its memory is full.
fn record_refusal_by(gateway: &Gateway, at: SocketAddr, misdirected: bool, elapsed: Duration) {
    let mut directory = gateway.directory.borrow_mut();
    let found = directory.iter().find(|e| e.addr == at);
    let Some(id) = found.map(|e| e.id.clone()) else {
        return;
    };
    let now = gateway.now();
    let immediate = !misdirected && elapsed < IMMEDIATE_REFUSAL_TIME;
    let full = immediate && memory_fill(gateway, &directory, &id, now) > MIN_FULL_MEMORY_FRACTION;
    match full {
        true => gateway.loads.borrow_mut().record_refusal(&id, now),
        false => directory.record_failure(&id, now),
    }
}

/// The fraction of an endpoint's memory that is in use, as far as known; 0 for a plain service.
fn memory_fill(gateway: &Gateway, directory: &Directory, id: &str, now: Duration) -> f64 {
    let catalogue = gateway.catalogue.borrow();
    let capacity = || {
        let endpoint = directory.get(id)?;
        let service = catalogue.as_ref()?.service(&endpoint.service)?;
        service.engine.as_ref()?.capacity(endpoint)
    };
    let used = gateway.loads.borrow().load_at(id, now).token_layers;
    capacity().map_or(0.0, |capacity| used / capacity.max(1.0))
}

fn outgoing_head(
    gateway: &Gateway,
    admitted: &AdmittedRequest,
    target: &Target<'_>,
    via: Via,
) -> RequestHead {
    let out = DispatchMetadata {
        deadline: admitted.time_left(gateway),
        endpoint: target.name,
        workspace: admitted.workspace.as_deref(),
        priority: admitted.priority,
        chain: target.chain,
        after_event: target.after_event,
    };
    let mut headers = admitted.head.headers.clone();
    gateway.platform.dialect.write_request(&mut headers, &out);
    if let Via::Relay(_) = via {
        let order = RelayOrder {
            to: target.addr,
            kind: RelayKind::Request,
        };
        order.write(&mut headers);
    }
    let head = &admitted.head;
    request_head(head.method.clone(), head.uri.clone(), headers)
}
