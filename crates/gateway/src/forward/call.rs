//! Plain calls: a request, and an answer that is read whole before it is passed on.
//!
//! Reading it whole first lets a call that may be repeated be sent again when the answer breaks
//! off, and keeps an answer that breaks off from looking complete.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use dragonflyrill_fleet::endpoints::Endpoint;
use tokio::time;

use super::{
    Admitted, Ended, ended,
    refusal::Refusal,
    send::{self, Begun, Failed, Target},
    success,
    tries::Tries,
};
use crate::{gateway::Gateway, http::callers::Responder};

/// The largest answer of a plain call.
const MOST_ANSWER: usize = 8 * 1024 * 1024;
/// Tries beyond those that a route allows, for endpoints to which nothing could be sent.
pub(super) const MORE_TRIES: u32 = 3;
/// The part of the time left that a send may take while another one could follow.
const FIRST_PART: f64 = 0.5;

struct Whole {
    begun: Begun,
    body: Bytes,
}

/// Forwards a call and passes its answer on.
pub(super) async fn forward(
    gateway: &Gateway,
    admitted: &Admitted,
    out: &mut Responder<'_>,
) -> Result<(), Ended> {
    let whole = answer(gateway, admitted).await?;
    let Begun {
        mut connection,
        mut head,
    } = whole.begun;
    if connection.reusable() {
        let addr = connection.peer_addr();
        gateway.keep(addr, connection, &admitted.service);
    }
    gateway.platform.dialect.strip_answer(&mut head.headers);
    let metrics = &gateway.metrics;
    metrics.answered(admitted.kind_label(), head.status);
    let headers = std::mem::take(&mut head.headers);
    out.send_complete(head.status, headers, whole.body).await?;
    admitted.trail.answered(head.status);
    Ok(())
}

async fn answer(gateway: &Gateway, admitted: &Admitted) -> Result<Whole, Refusal> {
    let mut tried: Vec<Rc<str>> = Vec::new();
    let mut tries = Tries::new(Refusal::NoEndpoint("no endpoint of the service is known"));
    let mut failure: Option<Whole> = None;
    for _ in 0..admitted.most_sends() + MORE_TRIES {
        if admitted.left().is_zero() || !admitted.may_send(gateway, &mut tries) {
            break;
        }
        let Some(endpoint) = pick(gateway, admitted, &tried, &mut tries) else {
            break;
        };
        if tries.sent() > 0 && !admitted.take_repeat(gateway).await {
            break;
        }
        tried.push(endpoint.id.clone());
        let to = endpoint.id.to_string();
        admitted.trail.sent(to, Duration::ZERO, 0.0, None);
        let more = admitted.may_go_on(&tries);
        let left = admitted.left();
        let limit = if more { left.mul_f64(FIRST_PART) } else { left };
        match attempt_at(gateway, admitted, &endpoint, limit).await {
            Ok(whole) if success(whole.begun.head.status) || !may_improve(&whole, more) => {
                return Ok(whole);
            }
            Ok(whole) => {
                failure = Some(whole);
                tries.answered();
            }
            Err(failed) => {
                admitted.trail.show();
                log::info!(
                    target: "forward",
                    id = admitted.trail.id(),
                    request:% = admitted.fingerprint(),
                    endpoint = &*endpoint.id,
                    why:? = failed;
                    "A call failed."
                );
                let ran = ended::Ran {
                    id: &endpoint.id,
                    addr: endpoint.addr,
                };
                ended::note(gateway, admitted, &[ran], &failed).await;
                tries.failed(failed);
            }
        }
    }
    if let Some(whole) = failure {
        return Ok(whole);
    }
    match tries.may_have_run() && admitted.left().is_zero() {
        true => Err(Refusal::OutOfTime),
        false => Err(tries.refusal()),
    }
}

/// Whether another endpoint may do better than this failure.
fn may_improve(whole: &Whole, more: bool) -> bool {
    more && whole.begun.head.status.is_server_error()
}

/// The endpoint of the next send; the tries note if limits leave none.
fn pick(
    gateway: &Gateway,
    admitted: &Admitted,
    tried: &[Rc<str>],
    tries: &mut Tries,
) -> Option<Rc<Endpoint>> {
    let service = &admitted.service.name;
    let without_permit = gateway.without_permit(service);
    let passed_over = [tried, &without_permit].concat();
    let near = &gateway.settings.data_centre;
    let directory = gateway.directory.borrow();
    let picked = directory.pick(service, near, &passed_over, gateway.now());
    if picked.is_none() && !without_permit.is_empty() {
        tries.not_sent(Refusal::AtLimit);
    }
    picked
}

async fn attempt_at(
    gateway: &Gateway,
    admitted: &Admitted,
    endpoint: &Endpoint,
    limit: Duration,
) -> Result<Whole, Failed> {
    let _at = AtEndpoint::new(gateway, &endpoint.id);
    let target = Target {
        id: &endpoint.id,
        name: &endpoint.name,
        addr: endpoint.addr,
        chain: &[],
        parts: &[&endpoint.id],
        after_event: None,
        leaves: Cell::new(false),
    };
    let until = time::Instant::now() + limit;
    let asked = async {
        let mut begun = send::send(gateway, admitted, &target, limit).await?;
        let body = time::timeout_at(until, begun.connection.read_body(MOST_ANSWER)).await;
        match body {
            Ok(Ok(body)) => Ok(Whole { begun, body }),
            Ok(Err(e)) => Err(Failed::BrokeOff(e.to_string())),
            Err(_) => Err(Failed::MayHaveRun("the answer took too long".to_owned())),
        }
    };
    let result = tokio::select! {
        biased;
        result = asked => result,
        () = until_over(gateway, &endpoint.id) => Err(target.given_up("the endpoint has ended")),
    };
    if result.is_ok() {
        gateway.survived(admitted.fingerprint());
    }
    let mut directory = gateway.directory.borrow_mut();
    match &result {
        Ok(whole) if whole.begun.head.status.is_server_error() => {
            directory.record_error(&endpoint.id, gateway.now());
        }
        Ok(_) => directory.record_success(&endpoint.id),
        Err(Failed::MayHaveRun(_) | Failed::BrokeOff(_)) => {
            directory.record_failure(&endpoint.id, gateway.now())
        }
        _ => {}
    }
    result
}

/// Ends when the endpoint is known to have ended: what it was asked is lost.
async fn until_over(gateway: &Gateway, id: &str) {
    let mut changed = gateway.prober.lost();
    while !gateway.directory.borrow().has_ended(id) {
        // The sender lives as long as the gateway does.
        let _ = changed.changed().await;
    }
}

/// Counts a request at an endpoint while it is there.
struct AtEndpoint<'a> {
    gateway: &'a Gateway,
    id: &'a str,
}

impl<'a> AtEndpoint<'a> {
    fn new(gateway: &'a Gateway, id: &'a str) -> Self {
        gateway.directory.borrow_mut().begin_request(id);
        Self { gateway, id }
    }
}

impl Drop for AtEndpoint<'_> {
    fn drop(&mut self) {
        self.gateway.directory.borrow_mut().end_request(self.id);
    }
}
