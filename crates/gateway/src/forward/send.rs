//! One send of a request to an endpoint, up to the head of the answer.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{RequestHead, ResponseHead};
use dragonflyrill_fleet::layers::LayerRange;
use http::StatusCode;
use tokio::time;

use super::Admitted;
use crate::{
    gateway::Gateway,
    http::{
        connection::{self, Connection},
        request_head,
    },
    ports::{AnswerFacts, Outgoing},
};

/// How long a new connection to an endpoint may take. Endpoints are a fraction of a millisecond
/// away; one that needs longer does not answer.
const CONNECT: Duration = Duration::from_millis(300);

/// Why a send brought no answer that can be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Failed {
    /// Nothing has left for the endpoint.
    NotSent(String),
    /// The endpoint did not run it and will not.
    NotRun(String),
    /// It may have run, or may be running.
    MayHaveRun(String),
}

/// An endpoint and what goes to it.
pub(super) struct Target<'a> {
    pub(super) id: &'a Rc<str>,
    pub(super) addr: SocketAddr,
    pub(super) chain: &'a [(SocketAddr, LayerRange)],
    pub(super) after_event: Option<u64>,
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
    let head = outgoing_head(gateway, admitted, target);
    let sent = time::timeout(limit, connection.send(head, admitted.body.clone())).await;
    match sent {
        Ok(Ok(())) => {}
        Ok(Err((0, e))) => return Err(Failed::NotSent(format!("nothing was sent: {e}"))),
        Ok(Err((_, e))) => return Err(Failed::MayHaveRun(format!("sending failed: {e}"))),
        Err(_) => return Err(Failed::MayHaveRun("sending took too long".to_owned())),
    }
    let head = match time::timeout(limit, connection.head()).await {
        Ok(Ok(head)) => head,
        Ok(Err(e)) => return Err(Failed::MayHaveRun(e.to_string())),
        Err(_) => return Err(Failed::MayHaveRun("no answer in time".to_owned())),
    };
    let facts = gateway.platform.dialect.answer(&head);
    check(gateway, admitted, target, head, facts, connection)
}

async fn connect(
    gateway: &Gateway,
    target: &Target<'_>,
    limit: Duration,
) -> Result<Connection, Failed> {
    let opened = connection::open_within(target.addr, &gateway.codec, CONNECT.min(limit)).await;
    opened.map_err(|e| {
        let now = gateway.now();
        gateway.directory.borrow_mut().failed(target.id, now);
        Failed::NotSent(format!("connecting failed: {e}"))
    })
}

fn check(
    gateway: &Gateway,
    admitted: &Admitted,
    target: &Target<'_>,
    head: ResponseHead,
    facts: AnswerFacts,
    connection: Connection,
) -> Result<Begun, Failed> {
    if facts.not_run || (facts.misdirected && head.status == StatusCode::MISDIRECTED_REQUEST) {
        let at = facts.fault_at.unwrap_or(target.addr);
        note_refusal(gateway, at, head.status);
        return Err(Failed::NotRun(format!("{} by {at}", head.status.as_u16())));
    }
    if facts.attempt.is_some() && facts.attempt != admitted.incoming.attempt {
        return Err(Failed::MayHaveRun("the answer is another's".to_owned()));
    }
    if facts.encoded || !facts.sealed {
        let why = format!("{} is not the endpoint's answer", head.status.as_u16());
        return Err(Failed::MayHaveRun(why));
    }
    Ok(Begun { connection, head })
}

/// An endpoint that refuses for more than a full queue is left alone for a moment.
fn note_refusal(gateway: &Gateway, at: SocketAddr, status: StatusCode) {
    if status == StatusCode::TOO_MANY_REQUESTS {
        return;
    }
    let mut directory = gateway.directory.borrow_mut();
    let id = directory
        .iter()
        .find(|e| e.addr == at)
        .map(|e| e.id.clone());
    if let Some(id) = id {
        directory.failed(&id, gateway.now());
    }
}

fn outgoing_head(gateway: &Gateway, admitted: &Admitted, target: &Target<'_>) -> RequestHead {
    let out = Outgoing {
        deadline: admitted.left(),
        endpoint: target.id,
        workspace: admitted.workspace.as_deref(),
        priority: admitted.priority,
        chain: target.chain,
        after_event: target.after_event,
    };
    let mut headers = admitted.head.headers.clone();
    gateway.platform.dialect.mark(&mut headers, &out);
    let head = &admitted.head;
    request_head(head.method.clone(), head.uri.clone(), headers)
}
