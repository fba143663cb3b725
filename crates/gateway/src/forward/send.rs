//! One send of a request to an endpoint, up to the head of the answer.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{RequestHead, ResponseHead};
use dragonflyrill_fleet::{endpoints::Directory, layers::LayerRange};
use tokio::time;

use super::Admitted;
use crate::{
    gateway::Gateway,
    http::{
        connection::{self, Connection},
        request_head,
    },
    ports::{AnswerMetadata, DispatchMetadata},
};

/// How long a new connection to an endpoint may take. Endpoints are a fraction of a millisecond
/// away; one that needs longer does not answer.
const CONNECT: Duration = Duration::from_millis(300);

/// A refusal that comes within this time was not waited for anything that does not answer.
const AT_ONCE: Duration = Duration::from_millis(500);

/// An endpoint with less of its memory taken refuses for another reason: it is leaving, or gives
/// its layers up.
const MAY_BE_FULL: f64 = 0.6;

/// Why nothing was sent to an endpoint that takes no more requests now.
const LIMIT_REACHED: &str = "an endpoint's limit is reached";

/// Why a send brought no answer that can be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Failed {
    /// Nothing has left for the endpoint.
    NotSent(String),
    /// The endpoint did not run it and will not.
    NotRun(String),
    /// It may have run, or may be running.
    MayHaveRun(String),
    /// The same, and the connection ended in the midst: the endpoint may have ended.
    BrokeOff(String),
}

/// An endpoint and what goes to it.
pub(super) struct Target<'a> {
    pub(super) id: &'a Rc<str>,
    /// The name that it answers to.
    pub(super) name: &'a str,
    pub(super) addr: SocketAddr,
    pub(super) chain: &'a [(SocketAddr, LayerRange)],
    /// The ids of all endpoints that will run a part of it.
    pub(super) parts: &'a [&'a Rc<str>],
    pub(super) after_event: Option<u64>,
    /// Becomes true before the first byte of the request leaves.
    pub(super) leaves: Cell<bool>,
}

impl Target<'_> {
    /// An endpoint that has left since it was chosen.
    fn left(&self, directory: &Directory) -> Option<&Rc<str>> {
        let mut parts = self.parts.iter().copied();
        parts.find(|id| !directory.is_active(id))
    }

    /// What becomes of a send that is given up on the way: it may have run as soon as a byte has left.
    pub(super) fn given_up(&self, why: &str) -> Failed {
        match self.leaves.get() {
            true => Failed::MayHaveRun(why.to_owned()),
            false => Failed::NotSent(why.to_owned()),
        }
    }
}

/// An answer whose body is still to come.
pub(super) struct Begun {
    pub(super) connection: Connection,
    pub(super) head: ResponseHead,
}

/// Sends a request and reads the head of the answer.
///
/// A refusal of the endpoint that says that the request was not run comes back as such.
pub(super) async fn send(
    gateway: &Gateway,
    admitted: &Admitted,
    target: &Target<'_>,
    limit: Duration,
) -> Result<Begun, Failed> {
    gateway.metrics.sends.inc();
    let mut connection = match gateway.idle.take(target.addr) {
        Some(connection) => connection,
        None => connect(gateway, target, limit).await?,
    };
    // The last check before bytes leave: the key may have lapsed while the request waited.
    if !gateway.fresh() {
        return Err(Failed::NotSent("the catalogue may be outdated".to_owned()));
    }
    // The same for what other hosts have found out meanwhile.
    if admitted.held(gateway).is_some() {
        return Err(Failed::NotSent("endpoints have ended under it".to_owned()));
    }
    if let Some(id) = target.left(&gateway.directory.borrow()) {
        return Err(Failed::NotSent(format!("{id} has left")));
    }
    if !gateway.take_permits(target.parts) {
        return Err(Failed::NotSent(LIMIT_REACHED.to_owned()));
    }
    target.leaves.set(true);
    let sent_at = time::Instant::now();
    let head = outgoing_head(gateway, admitted, target);
    let sent = time::timeout(limit, connection.send(head, admitted.body.clone())).await;
    match sent {
        Ok(Ok(())) => {}
        Ok(Err((0, e))) => return Err(Failed::NotSent(format!("nothing was sent: {e}"))),
        Ok(Err((_, e))) => return Err(Failed::BrokeOff(format!("sending failed: {e}"))),
        Err(_) => return Err(Failed::MayHaveRun("sending took too long".to_owned())),
    }
    let head = match time::timeout(limit, connection.read_head()).await {
        Ok(Ok(head)) => head,
        Ok(Err(e)) => return Err(Failed::BrokeOff(e.to_string())),
        Err(_) => return Err(Failed::MayHaveRun("no answer in time".to_owned())),
    };
    let facts = gateway.platform.dialect.read_answer(&head);
    let answer = Begun { connection, head };
    check(gateway, admitted, target, answer, &facts, sent_at.elapsed())
}

async fn connect(
    gateway: &Gateway,
    target: &Target<'_>,
    limit: Duration,
) -> Result<Connection, Failed> {
    let opened = connection::open_within(target.addr, &gateway.codec, CONNECT.min(limit)).await;
    opened.map_err(|e| {
        let now = gateway.now();
        gateway
            .directory
            .borrow_mut()
            .record_failure(target.id, now);
        Failed::NotSent(format!("connecting failed: {e}"))
    })
}

fn check(
    gateway: &Gateway,
    admitted: &Admitted,
    target: &Target<'_>,
    answer: Begun,
    facts: &AnswerMetadata,
    after: Duration,
) -> Result<Begun, Failed> {
    let head = &answer.head;
    // Before anything else: what belongs to another request says nothing of this one.
    if facts.attempt.is_some() && facts.attempt != admitted.incoming.attempt {
        return Err(Failed::MayHaveRun("the answer is another's".to_owned()));
    }
    gateway.note_limit(target.id, facts);
    if facts.not_run || facts.misdirected {
        let at = facts.failed_endpoint.unwrap_or(target.addr);
        note_refusal(gateway, at, facts.misdirected, after);
        return Err(Failed::NotRun(format!("{} by {at}", head.status.as_u16())));
    }
    if facts.encoded || !facts.sealed {
        let why = format!("{} is not the endpoint's answer", head.status.as_u16());
        return Err(Failed::MayHaveRun(why));
    }
    Ok(answer)
}

/// An endpoint that refuses is left alone for a moment: longer if it is not what it was taken for
/// or does not answer, briefly if it is only full.
fn note_refusal(gateway: &Gateway, at: SocketAddr, misdirected: bool, after: Duration) {
    let mut directory = gateway.directory.borrow_mut();
    let found = directory.iter().find(|e| e.addr == at);
    let Some(id) = found.map(|e| e.id.clone()) else {
        return;
    };
    let now = gateway.now();
    let at_once = !misdirected && after < AT_ONCE;
    let full = at_once && fill(gateway, &directory, &id, now) > MAY_BE_FULL;
    match full {
        true => gateway.loads.borrow_mut().record_refusal(&id, now),
        false => directory.record_failure(&id, now),
    }
}

/// The part of an endpoint's memory that is taken, as far as is known; none for a plain service.
fn fill(gateway: &Gateway, directory: &Directory, id: &str, now: Duration) -> f64 {
    let catalogue = gateway.catalogue.borrow();
    let capacity = || {
        let endpoint = directory.get(id)?;
        let service = catalogue.as_ref()?.service(&endpoint.service)?;
        service.engine.as_ref()?.capacity(endpoint)
    };
    let taken = gateway.loads.borrow().load_at(id, now).token_layers;
    capacity().map_or(0.0, |capacity| taken / capacity.max(1.0))
}

fn outgoing_head(gateway: &Gateway, admitted: &Admitted, target: &Target<'_>) -> RequestHead {
    let out = DispatchMetadata {
        deadline: admitted.left(),
        endpoint: target.name,
        workspace: admitted.workspace.as_deref(),
        priority: admitted.priority,
        chain: target.chain,
        after_event: target.after_event,
    };
    let mut headers = admitted.head.headers.clone();
    gateway.platform.dialect.write_request(&mut headers, &out);
    let head = &admitted.head;
    request_head(head.method.clone(), head.uri.clone(), headers)
}
