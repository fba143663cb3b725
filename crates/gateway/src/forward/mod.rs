//! Forwarding of callers' requests to endpoints.
//!
//! [`Forwarder`] reads what a request is, finds its route and whose it is, and hands it to
//! `call` or `stream`. What is refused there is said in one place, `refusal`.

mod call;
mod ended;
mod events;
mod on_chain;
mod probe;
mod refusal;
mod send;
mod stream;
mod trail;
mod tries;
mod watch;

use std::{cell::OnceCell, io, rc::Rc, time::Duration};

use actix_http::{RequestHead, header};
use bytes::Bytes;
use dragonflyrill_fleet::{
    catalogue::{CallerLimits, Route, RouteKind, Service, Workspace},
    fingerprint::{Fingerprint, RequestIdentity},
};
use http::StatusCode;
use rand::Rng;
use tokio::time::Instant;

use crate::{
    gateway::Gateway,
    http::callers::{Handler, Received, Responder},
    metrics::Outcome,
    ports::RequestMetadata,
};

pub use ended::Looks;
pub use events::{Events, Taken};
pub use probe::Prober;
pub(crate) use probe::prove;
use refusal::Refusal;
pub use trail::LineBudget;
use trail::{Step, Trail};
use tries::Tries;

/// How long a request waits for which neither its route nor its caller says it.
const USUAL_DEADLINE: Duration = Duration::from_secs(30);

/// A request whose route and workspace are known.
struct Admitted {
    head: RequestHead,
    body: Bytes,
    incoming: RequestMetadata,
    route: Rc<Route>,
    service: Rc<Service>,
    workspace: Option<Rc<str>>,
    priority: u8,
    at: Instant,
    /// When its final answer is due: the route's timeout, or the caller's deadline.
    due: Instant,
    /// What was decided for it.
    trail: Trail,
    /// Made when it is first needed: with its answer, or when a send has failed.
    fingerprint: OnceCell<Fingerprint>,
}

impl Admitted {
    /// How long the caller and the route still wait.
    fn left(&self) -> Duration {
        self.due.saturating_duration_since(Instant::now())
    }

    /// The most endpoints that it may be sent to.
    fn most_sends(&self) -> u32 {
        self.route.max_attempts.max(1)
    }

    /// Whether it may be sent once more after these tries, which note if it is held.
    fn may_send(&self, gateway: &Gateway, tries: &mut Tries) -> bool {
        if let Some(refusal) = self.held(gateway) {
            tries.not_sent(refusal);
            return false;
        }
        let may_run_again = self.route.kind.retryable() || !tries.may_have_run();
        may_run_again && tries.sent() < self.most_sends()
    }

    /// Whether another send may follow the next one, even if that may have run.
    fn may_go_on(&self, tries: &Tries) -> bool {
        self.route.kind.retryable() && tries.sent() + 1 < self.most_sends()
    }

    /// Names it, whichever attempt of it this is.
    fn fingerprint(&self) -> Fingerprint {
        let made = || {
            let path = self.head.uri.path_and_query();
            Fingerprint::of(&RequestIdentity {
                host: asked_host(&self.head),
                method: self.head.method.as_str(),
                path: path.map_or("", |p| p.as_str()),
                workspace: self.workspace.as_deref(),
                body: &self.body,
            })
        };
        *self.fingerprint.get_or_init(made)
    }

    /// Why it is not sent, if endpoints have ended under it, at whichever host.
    fn held(&self, gateway: &Gateway) -> Option<Refusal> {
        let left = gateway.request_held(|| self.fingerprint())?;
        Some(Refusal::EndsEndpoints(left))
    }

    /// Takes one repeat of it out of the budget; false if none is left.
    async fn take_repeat(&self, gateway: &Gateway) -> bool {
        let service = &self.service.name;
        gateway.until_recorded(service).await;
        let standing = gateway.repeats_standing(service);
        let allowed = gateway.take_repeat(service);
        self.trail.step(Step::Repeat {
            allowed,
            standing,
            divisor: gateway.bounds.divisor(gateway.now()),
        });
        allowed
    }

    fn kind_label(&self) -> &'static str {
        kind_label(self.route.kind)
    }
}

/// The host that a request names, without the port.
fn asked_host(head: &RequestHead) -> &str {
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

fn kind_label(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Stream { .. } => "stream",
    }
}

/// The id of a request, as its caller gave it.
fn id(incoming: &RequestMetadata) -> &str {
    let id = incoming.attempt.as_ref();
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// A request that was refused before it had a route.
struct Denied {
    incoming: RequestMetadata,
    refusal: Refusal,
}

impl Denied {
    fn new(incoming: RequestMetadata, refusal: Refusal) -> Box<Self> {
        Box::new(Self { incoming, refusal })
    }
}

/// Answers callers' requests by forwarding them.
pub struct Forwarder {
    gateway: Rc<Gateway>,
}

impl Forwarder {
    /// A forwarder for a host.
    pub fn new(gateway: Rc<Gateway>) -> Self {
        Self { gateway }
    }

    fn admit(&self, received: Received) -> Result<Admitted, Box<Denied>> {
        let Received { mut head, body, at } = received;
        let gateway = &self.gateway;
        if !gateway.takes_requests() {
            let incoming = gateway.platform.dialect.read_request(&mut head);
            return Err(Denied::new(incoming.unwrap_or_default(), Refusal::Leaving));
        }
        let incoming = match gateway.platform.dialect.read_request(&mut head) {
            Ok(incoming) => incoming,
            Err(fault) => {
                let refusal = Refusal::Malformed(fault.to_string());
                return Err(Denied::new(RequestMetadata::default(), refusal));
            }
        };
        match self.find(&head, &incoming) {
            Ok((route, workspace)) => {
                let service = route.pick_service(rand::rng().random()).clone();
                gateway.count_request(&service.name);
                let deadline = incoming.deadline.unwrap_or(USUAL_DEADLINE);
                let priority = workspace.as_ref().and_then(|w| w.priority);
                let due = at + route.timeout.min(deadline);
                let kind = kind_label(route.kind);
                let trail = Trail::new(gateway, id(&incoming), kind, at, &route);
                trail.step(Step::Admitted {
                    route: route.name.clone(),
                    workspace: workspace.as_ref().map(|w| w.name.clone()),
                    catalogue: gateway.catalogue_version(),
                    proof_age: gateway.proof_age().unwrap_or_default(),
                    left: due.saturating_duration_since(at),
                });
                Ok(Admitted {
                    due,
                    trail,
                    fingerprint: OnceCell::new(),
                    priority: priority.unwrap_or(route.priority).min(9),
                    workspace: workspace.map(|w| w.name),
                    head,
                    body,
                    incoming,
                    route,
                    service,
                    at,
                })
            }
            Err(refusal) => Err(Denied::new(incoming, refusal)),
        }
    }

    /// The route of a request and whose it is.
    fn find(
        &self,
        head: &RequestHead,
        incoming: &RequestMetadata,
    ) -> Result<(Rc<Route>, Option<Workspace>), Refusal> {
        let gateway = &self.gateway;
        let catalogue = gateway.catalogue.borrow();
        // A catalogue that may be outdated must neither honour a key nor deny a route.
        let Some(catalogue) = catalogue.as_ref().filter(|_| gateway.fresh()) else {
            return Err(Refusal::Stale);
        };
        let Some(route) = catalogue.route(asked_host(head), head.uri.path()) else {
            return Err(Refusal::NoRoute);
        };
        let workspace = incoming
            .key
            .as_deref()
            .and_then(|k| catalogue.workspace_by_key(k));
        if workspace.is_none() && catalogue.needs_keys && !route.anonymous {
            return Err(Refusal::NoWorkspace);
        }
        Ok((route.clone(), workspace.cloned()))
    }
}

impl Handler for Forwarder {
    fn limits(&self) -> CallerLimits {
        let catalogue = self.gateway.catalogue.borrow();
        catalogue
            .as_ref()
            .map_or_else(CallerLimits::default, |c| c.caller_limits)
    }

    fn shutting_down(&self) -> bool {
        self.gateway.leaving()
    }

    async fn handle(&self, received: Received, out: &mut Responder<'_>) -> io::Result<()> {
        let gateway = &self.gateway;
        let _open = OpenRequest::new(gateway);
        let admitted = match self.admit(received) {
            Ok(admitted) => admitted,
            Err(denied) => {
                let Denied { incoming, refusal } = *denied;
                refusal::log_denied(gateway, id(&incoming), &refusal);
                return refusal::answer(gateway, &incoming, "unrouted", &refusal, out).await;
            }
        };
        let result = match admitted.route.kind {
            RouteKind::Stream { .. } => stream::forward(gateway, &admitted, out).await,
            _ => call::forward(gateway, &admitted, out).await,
        };
        match result {
            Ok(()) => Ok(()),
            Err(Ended::Io(e)) => {
                admitted.trail.ended(Outcome::Broken);
                let why = &e;
                log::info!(target: "forward", id = admitted.trail.id(), why:% = why; "Answer was not passed on.");
                Err(e)
            }
            Err(Ended::Refused(refusal)) => {
                refusal::log(&admitted, &refusal);
                let kind = admitted.kind_label();
                refusal::answer(gateway, &admitted.incoming, kind, &refusal, out).await
            }
        }
    }

    fn abandoned(&self) {
        self.gateway.metrics.abandoned.inc();
    }
}

/// Counts a request while it is being answered.
struct OpenRequest<'a>(&'a Gateway);

impl<'a> OpenRequest<'a> {
    fn new(gateway: &'a Gateway) -> Self {
        gateway.asked.set(true);
        gateway.open.set(gateway.open.get() + 1);
        Self(gateway)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Why a request was not answered by an endpoint.
enum Ended {
    /// The caller's connection failed, or the answer broke off.
    Io(io::Error),
    /// The gateway gives an answer of its own.
    Refused(Refusal),
}

impl From<io::Error> for Ended {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

impl From<Refusal> for Ended {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Whether the status is a success.
fn success(status: StatusCode) -> bool {
    status.is_success()
}
