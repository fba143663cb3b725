//! Passes on to endpoints what other hosts send, and the answers back.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{RequestHead, ResponseHead, header};
use bytes::Bytes;
use dragonflyrill_fleet::{catalogue::CallerLimits, endpoints::Endpoint, paths::CutKind};
use http::{HeaderValue, Method, StatusCode};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task};

use super::{
    check::{self, DirectCheck},
    open,
};
use crate::{
    forward::OpenRequestGuard,
    gateway::Gateway,
    http::{
        callers::{self, Handler, OwnAnswer, Received, Responder},
        connection::Connection,
        hop_by_hop,
        intake::{ConnectionGuard, Reason},
        relayed::{self, RelayKind, RelayOrder, RelayResult},
        request_head,
    },
    ports::AnswerMetadata,
};

/// The maximum size of a request head. The sending host has checked it against the limits of the catalogue and added
/// some headers.
const MAX_HEAD_BYTES: usize = 256 * 1024;
/// How long a silent host may go without acknowledging anything before its connection fails, which ends its runs.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// The silence after which such a connection is probed, and the interval of the probes.
const KEEP_ALIVE_TIME: Duration = Duration::from_secs(2);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Serves a connection of another host that has requests passed on, until it ends.
pub(crate) async fn serve(io: TcpStream, gateway: Rc<Gateway>, connection: ConnectionGuard) {
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_TIME)
        .with_interval(KEEP_ALIVE_INTERVAL);
    let socket = SockRef::from(&io);
    let set_up = socket
        .set_tcp_keepalive(&keep_alive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(e) = set_up {
        log::warn!(target: "paths", why:% = e; "A connection of another host can't be set up.");
        return;
    }
    let (codec, closing) = (gateway.codec.clone(), gateway.closing());
    let relay = Rc::new(Relay { gateway });
    callers::serve_counted(io, relay, codec, closing, connection).await;
}

/// Passes requests on.
struct Relay {
    gateway: Rc<Gateway>,
}

/// What this host itself answers. Nothing was sent to the endpoint.
struct RelayAnswer {
    result: RelayResult,
    /// How long the endpoint accepts nothing from this host.
    backoff: Option<Duration>,
}

impl From<RelayResult> for RelayAnswer {
    fn from(result: RelayResult) -> Self {
        Self {
            result,
            backoff: None,
        }
    }
}

impl RelayAnswer {
    async fn send(self, out: &mut Responder<'_>) -> io::Result<()> {
        let mut headers = header::HeaderMap::with_capacity(2);
        self.result.write(&mut headers);
        // The other host reads it like that of the endpoint.
        if let Some(backoff) = self.backoff {
            let seconds = HeaderValue::from_str(&format!("{:.3}", backoff.as_secs_f64()));
            headers.insert(header::RETRY_AFTER, seconds.expect("a number"));
        }
        let status = StatusCode::SERVICE_UNAVAILABLE;
        out.send_complete(status, headers, Bytes::new()).await
    }
}

impl Handler for Relay {
    fn limits(&self) -> CallerLimits {
        CallerLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: usize::MAX,
            ..CallerLimits::default()
        }
    }

    fn shutting_down(&self) -> bool {
        self.gateway.is_shutting_down()
    }

    fn refusal(&self, _: Option<&RequestHead>, reason: Reason) -> OwnAnswer {
        let mut answer = OwnAnswer::from(reason);
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            RelayResult::Full.write(&mut answer.headers);
        }
        answer
    }

    async fn handle(&self, mut req: Received, out: &mut Responder<'_>) -> io::Result<()> {
        let _open = OpenRequestGuard::new(&self.gateway);
        // The sending host may have closed its connection while this one was not running: what it has given up must not
        // reach the endpoint.
        task::yield_now().await;
        let Some(order) = RelayOrder::take(&mut req.head.headers) else {
            let status = StatusCode::BAD_REQUEST;
            return out
                .send_complete(status, Default::default(), Bytes::new())
                .await;
        };
        let own = match order.kind {
            RelayKind::Check => Some(self.check(order.to).await),
            RelayKind::Request | RelayKind::Control => self.relay(order, req, out).await?,
        };
        match own {
            Some(own) => own.send(out).await,
            None => Ok(()),
        }
    }

    fn abandoned(&self) {}
}

impl Relay {
    /// The endpoint that listens at an address. No other address is connected to.
    fn endpoint(&self, addr: SocketAddr) -> Result<Rc<Endpoint>, RelayAnswer> {
        if !self.gateway.accepts_requests() {
            return Err(RelayResult::Stopping.into());
        }
        let directory = self.gateway.directory.borrow();
        let listed = directory.at(addr).cloned();
        listed.ok_or_else(|| RelayResult::Unlisted.into())
    }

    /// Whether this host reaches an endpoint.
    async fn check(&self, addr: SocketAddr) -> RelayAnswer {
        if let Err(own) = self.endpoint(addr) {
            return own;
        }
        match self.gateway.check_direct(addr).await {
            DirectCheck::Reached => RelayResult::Reached.into(),
            DirectCheck::Failed(kind) => not_reached(kind).into(),
        }
    }

    /// Passes a request on; `None` if the endpoint's answer was passed back. The error is that of an exchange in which
    /// bytes may have been sent: the connection of the other host ends, so that its answer is incomplete.
    async fn relay(
        &self,
        order: RelayOrder,
        req: Received,
        out: &mut Responder<'_>,
    ) -> io::Result<Option<RelayAnswer>> {
        let gateway = &self.gateway;
        let (endpoint, mut connection) = match self.open(order).await {
            Ok(opened) => opened,
            Err(own) => return Ok(Some(own)),
        };
        gateway.metrics.relayed_requests.inc();
        let Received { mut head, body, .. } = req;
        let attempt = gateway.platform.dialect.attempt(&head.headers);
        hop_by_hop::remove(&mut head.headers);
        let method = head.method.clone();
        let head = request_head(head.method, head.uri, head.headers);
        match connection.send(head, body).await {
            Ok(()) => {}
            Err((0, _)) => return Ok(Some(RelayResult::Unreachable.into())),
            Err((_, e)) => return Err(e),
        }
        let mut answer = connection.read_head().await.map_err(io::Error::other)?;
        let facts = gateway.platform.dialect.read_answer(&answer);
        let is_answer = facts.attempt.is_none() || facts.attempt == attempt;
        if is_answer {
            self.record_availability(&endpoint, &facts);
        }
        pass_answer(&mut connection, &mut answer, &method, out).await?;
        if is_answer && connection.reusable() {
            gateway.keep_connection(order.to, connection);
        }
        Ok(None)
    }

    /// Takes an idle connection to an endpoint that accepts what is passed on, or opens one.
    async fn open(&self, order: RelayOrder) -> Result<(Rc<Endpoint>, Connection), RelayAnswer> {
        let gateway = &self.gateway;
        let endpoint = self.endpoint(order.to)?;
        let connection = match gateway.idle.take(order.to) {
            Some(connection) => connection,
            None => {
                let opened = open::open_direct(gateway, order.to).await;
                opened.map_err(|e| not_reached(check::cut_kind(&e)))?
            }
        };
        // The last check before bytes are sent.
        self.check_accepts(&endpoint, order.kind)?;
        Ok((endpoint, connection))
    }

    /// Refuses what an endpoint has stated to this host that it does not accept. Polls reach draining engines.
    fn check_accepts(&self, endpoint: &Endpoint, kind: RelayKind) -> Result<(), RelayAnswer> {
        let directory = self.gateway.directory.borrow();
        let (id, now) = (&endpoint.id, self.gateway.now());
        let backoff = directory.remaining_backoff(id, now);
        let accepts = match kind {
            RelayKind::Request => directory.accepts_work(id, now),
            RelayKind::Control | RelayKind::Check => backoff.is_zero(),
        };
        match accepts {
            true => Ok(()),
            false => Err(RelayAnswer {
                result: RelayResult::Unavailable,
                backoff: Some(backoff).filter(|b| !b.is_zero()),
            }),
        }
    }

    /// Records what an answer states about new work: the endpoint has stated it to this host.
    fn record_availability(&self, endpoint: &Endpoint, facts: &AnswerMetadata) {
        if facts.misdirected {
            return;
        }
        let gateway = &self.gateway;
        gateway.record_availability(&endpoint.id, facts.availability);
        let Some(at) = facts.failed_endpoint else {
            return;
        };
        let later = gateway.directory.borrow().at(at).map(|e| e.id.clone());
        if let Some(id) = later {
            gateway.record_backoff(&id, facts.availability.backoff);
        }
    }
}

fn not_reached(kind: CutKind) -> RelayResult {
    match kind {
        CutKind::Silent => RelayResult::Unreachable,
        CutKind::Refusing => RelayResult::Refused,
    }
}

/// Passes an answer back as it arrives.
async fn pass_answer(
    connection: &mut Connection,
    answer: &mut ResponseHead,
    method: &Method,
    out: &mut Responder<'_>,
) -> io::Result<()> {
    let status = answer.status;
    let mut headers = std::mem::take(&mut answer.headers);
    hop_by_hop::remove(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    relayed::remove_result(&mut headers);
    if *method == Method::HEAD || !connection.has_body() {
        return out.send_complete(status, headers, Bytes::new()).await;
    }
    out.start_stream(status, headers)?;
    while let Some(chunk) = connection.read_chunk().await.map_err(io::Error::other)? {
        out.send_chunk(chunk).await?;
    }
    out.finish().await
}
