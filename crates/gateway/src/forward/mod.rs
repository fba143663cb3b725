//! Forwards callers' requests to endpoints.
//!
//! [`Forwarder`] parses the headers of a request, finds its route and workspace, and forwards it through `call` or
//! `stream`. All refusals are defined in `refusal`.

mod admission;
mod attempts;
mod call;
mod chain_load;
mod events;
mod probe;
mod refusal;
mod replacement;
mod request_log;
mod run_monitor;
mod send;
mod stream;
mod termination;
mod workspace_work;

use std::{
    cell::{OnceCell, RefCell},
    io,
    rc::Rc,
    time::Duration,
};

use actix_http::{RequestHead, header};
use dragonflyrill_fleet::{
    budget::RetryReason,
    catalogue::{CallerLimits, Route, RouteKind, Service, Workspace},
    fingerprint::{Fingerprint, RequestIdentity},
    quarantine::RunSuspects,
};
use dragonflyrill_intake::memory::Source;
use http::StatusCode;
use rand::Rng;

use crate::{
    gateway::Gateway,
    http::{
        body::Body,
        callers::{self, Handler, OwnAnswer, Received, Responder, Screened},
        intake::Reason,
        request_head,
    },
    metrics::Outcome,
    ports::RequestMetadata,
};

use attempts::Attempts;
pub use events::{EventBatch, EventSplitter};
pub use probe::Prober;
pub(crate) use probe::poll_relisted;
use refusal::Refusal;
pub(crate) use refusal::no_endpoint_delay;
pub use request_log::RequestLogBudget;
use request_log::{Decision, RequestLog};
pub use termination::TerminationChecks;

/// The deadline of a request whose caller states none. The timeout of its route applies as well.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// How far the answer of a run has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunProgress {
    /// Nothing was received of it, or one batch of events: an endpoint that crashes as it begins to answer may have sent its
    /// first events.
    Beginning,
    /// More was received.
    BeyondBeginning,
}

/// A request whose route and workspace are known.
struct AdmittedRequest {
    head: RequestHead,
    body: Body,
    incoming: RequestMetadata,
    route: Rc<Route>,
    service: Rc<Service>,
    workspace: Option<Rc<str>>,
    priority: u8,
    received_at: Duration,
    /// When the answer must be complete: after the route's timeout or the caller's deadline, whichever is earlier.
    due: Duration,
    /// The decisions on the request.
    request_log: RequestLog,
    /// The request is sent although parts of its prompt are quarantined.
    probe: RefCell<Option<ProbeGuard>>,
    /// Computed on first use: when an endpoint answered, a dispatch failed, or any request is quarantined.
    fingerprint: OnceCell<Fingerprint>,
}

impl AdmittedRequest {
    /// The time left until the answer must be complete.
    fn time_left(&self, gateway: &Gateway) -> Duration {
        self.due.saturating_sub(gateway.now())
    }

    /// The maximum number of dispatches of the request.
    fn max_dispatches(&self) -> u32 {
        self.route.max_attempts.max(1)
    }

    /// Whether the request may be dispatched after these attempts. A quarantine is recorded in them as refusal.
    fn may_dispatch(&self, gateway: &Rc<Gateway>, attempts: &mut Attempts) -> bool {
        let sent = attempts.dispatches() > 0;
        if sent {
            self.end_probe();
        }
        if let Some(refusal) = self.quarantine_refusal(gateway)
            && (sent || !self.begin_probe(gateway))
        {
            attempts.record_not_sent(refusal);
            return false;
        }
        let may_run_again = self.route.kind.retryable() || !attempts.may_have_run();
        may_run_again && attempts.dispatches() < self.max_dispatches()
    }

    /// Whether another dispatch may be made beside `open` ones, even if all of them may have run.
    fn may_dispatch_beside(&self, attempts: &Attempts, open: u32) -> bool {
        self.route.kind.retryable() && attempts.dispatches() + open < self.max_dispatches()
    }

    /// Identifies the request across all attempts of its caller.
    fn fingerprint(&self) -> Fingerprint {
        let made = || {
            let path = self.head.uri.path_and_query();
            let mut pieces = self.body.pieces().map(|piece| &piece[..]);
            let identity = RequestIdentity {
                host: requested_host(&self.head),
                method: self.head.method.as_str(),
                path: path.map_or("", |p| p.as_str()),
                workspace: self.workspace.as_deref(),
                body: pieces.next().unwrap_or_default(),
            };
            Fingerprint::of_pieces(&identity, pieces)
        };
        *self.fingerprint.get_or_init(made)
    }

    /// The fingerprints of the prompt's shared parts, separated by commas, for the log.
    fn prompt_parts_text(&self) -> String {
        let parts = self.incoming.shared_prompt_parts.iter();
        let texts: Vec<String> = parts.map(ToString::to_string).collect();
        texts.join(",")
    }

    /// What may be the cause if an endpoint terminates during a run of the request.
    fn suspects(&self, progress: RunProgress) -> RunSuspects {
        let request = self.fingerprint();
        match progress {
            RunProgress::Beginning => RunSuspects {
                request,
                prompt_parts: self.incoming.shared_prompt_parts.clone(),
            },
            RunProgress::BeyondBeginning => RunSuspects::request_only(request),
        }
    }

    /// The refusal of a request that is quarantined, or a part of its prompt, because endpoints terminated while they ran
    /// it, on any host.
    fn quarantine_refusal(&self, gateway: &Gateway) -> Option<Refusal> {
        let parts = match self.is_probe() {
            true => &[],
            false => &self.incoming.shared_prompt_parts[..],
        };
        let remaining = gateway.quarantined_for(parts, || self.fingerprint())?;
        Some(Refusal::EndsEndpoints(remaining))
    }

    /// Makes the request a probe if one is due; returns whether it may be sent now.
    fn begin_probe(&self, gateway: &Rc<Gateway>) -> bool {
        let begins = gateway.begin_probe(&self.suspects(RunProgress::Beginning));
        if begins {
            *self.probe.borrow_mut() = Some(ProbeGuard(gateway.clone()));
        }
        // The request itself may be quarantined as well.
        begins && self.quarantine_refusal(gateway).is_none()
    }

    /// Whether the request is sent although parts of its prompt are quarantined.
    fn is_probe(&self) -> bool {
        self.probe.borrow().is_some()
    }

    /// Ends the probe, if the request is one: its result is known.
    fn end_probe(&self) {
        self.probe.take();
    }

    /// Acquires a retry from the budget of the service; false if none is left.
    async fn acquire_retry(&self, gateway: &Gateway, reason: RetryReason) -> bool {
        let service = &self.service.name;
        gateway.wait_for_retry_record(service, reason).await;
        let budget = gateway.retry_budget_state(service);
        let allowed = gateway.acquire_retry(service, reason);
        self.request_log.record(Decision::Retry {
            reason,
            allowed,
            budget,
            divisor: gateway.bounds.divisor(gateway.now()),
        });
        allowed
    }

    fn kind_label(&self) -> &'static str {
        kind_label(self.route.kind)
    }
}

/// The host in the `Host` header of a request, without the port.
fn requested_host(head: &RequestHead) -> &str {
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

/// The id that the caller gave this attempt of the request; `-` if there is none.
fn request_id(incoming: &RequestMetadata) -> &str {
    let id = incoming.attempt.as_ref();
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// The refusal of a request that has no route yet.
struct Denial {
    incoming: RequestMetadata,
    refusal: Refusal,
}

impl Denial {
    fn new(incoming: RequestMetadata, refusal: Refusal) -> Box<Self> {
        Box::new(Self { incoming, refusal })
    }
}

/// What the headers of a request tell.
struct Identified {
    incoming: RequestMetadata,
    route: Rc<Route>,
    workspace: Option<Workspace>,
}

/// Answers callers' requests by forwarding them to endpoints.
pub struct Forwarder {
    gateway: Rc<Gateway>,
}

impl Forwarder {
    /// Creates a forwarder that uses the state of a host.
    pub fn new(gateway: Rc<Gateway>) -> Self {
        Self { gateway }
    }

    fn admit(
        &self,
        received: Received,
        received_at: Duration,
    ) -> Result<AdmittedRequest, Box<Denial>> {
        let Received { mut head, body } = received;
        let gateway = &self.gateway;
        let Identified {
            incoming,
            route,
            workspace,
        } = self.identify(&mut head)?;
        let service = route.pick_service(rand::rng().random()).clone();
        gateway.count_request(&service.name);
        let deadline = incoming.deadline.unwrap_or(DEFAULT_DEADLINE);
        let priority = workspace.as_ref().and_then(|w| w.priority);
        let due = received_at + route.timeout.min(deadline);
        let kind = kind_label(route.kind);
        let request_log =
            RequestLog::new(gateway, request_id(&incoming), kind, received_at, &route);
        request_log.record(Decision::Admitted {
            route: route.name.clone(),
            workspace: workspace.as_ref().map(|w| w.name.clone()),
            catalogue: gateway.catalogue_version(),
            proof_age: gateway.proof_age().unwrap_or_default(),
            time_left: due.saturating_sub(received_at),
        });
        Ok(AdmittedRequest {
            due,
            request_log,
            probe: RefCell::default(),
            fingerprint: OnceCell::new(),
            priority: priority.unwrap_or(route.priority).min(9),
            workspace: workspace.map(|w| w.name),
            head,
            body,
            incoming,
            route,
            service,
            received_at,
        })
    }

    /// Reads the headers of a request, and finds its route and workspace.
    fn identify(&self, head: &mut RequestHead) -> Result<Identified, Box<Denial>> {
        let gateway = &self.gateway;
        if !gateway.accepts_requests() {
            let incoming = gateway.platform.dialect.read_request(head);
            return Err(Denial::new(incoming.unwrap_or_default(), Refusal::Leaving));
        }
        let incoming = match gateway.platform.dialect.read_request(head) {
            Ok(incoming) => incoming,
            Err(fault) => {
                let refusal = Refusal::Malformed(fault.to_string());
                return Err(Denial::new(RequestMetadata::default(), refusal));
            }
        };
        match self.find_route(head, &incoming) {
            Ok((route, workspace)) => Ok(Identified {
                incoming,
                route,
                workspace,
            }),
            Err(refusal) => Err(Denial::new(incoming, refusal)),
        }
    }

    /// Answers a request that has no route.
    async fn deny(&self, denial: Denial, out: &mut Responder<'_>) -> io::Result<()> {
        let Denial { incoming, refusal } = denial;
        let gateway = &self.gateway;
        refusal::log_denial(gateway, request_id(&incoming), &refusal);
        refusal::send_answer(gateway, &incoming, "unrouted", &refusal, out).await
    }

    /// Finds the route of a request and the workspace of its caller.
    fn find_route(
        &self,
        head: &RequestHead,
        incoming: &RequestMetadata,
    ) -> Result<(Rc<Route>, Option<Workspace>), Refusal> {
        let gateway = &self.gateway;
        let catalogue = gateway.catalogue.borrow();
        // A catalogue that may be outdated must neither accept a key nor deny a route.
        let Some(catalogue) = catalogue.as_ref().filter(|_| gateway.is_catalogue_fresh()) else {
            return Err(Refusal::Stale);
        };
        let Some(route) = catalogue.route(requested_host(head), head.uri.path()) else {
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
        self.gateway.is_shutting_down()
    }

    async fn screen(&self, head: &RequestHead, out: &mut Responder<'_>) -> io::Result<Screened> {
        let gateway = &self.gateway;
        gateway.check_suspension();
        gateway.until_current().await;
        let mut head = request_head(head.method.clone(), head.uri.clone(), head.headers.clone());
        let denial = match self.identify(&mut head) {
            Ok(Identified { workspace, .. }) => {
                let source = workspace.map(|w| Source::Workspace(w.name));
                return Ok(Screened::Accepted(source));
            }
            Err(denial) => denial,
        };
        self.deny(*denial, out).await?;
        Ok(Screened::Answered)
    }

    fn refusal(&self, head: Option<&RequestHead>, reason: Reason) -> OwnAnswer {
        let mut answer = OwnAnswer::from(reason);
        self.gateway.metrics.answered("unread", answer.status);
        let dialect = &self.gateway.platform.dialect;
        let incoming = RequestMetadata {
            attempt: head.and_then(|head| dialect.attempt(&head.headers)),
            ..RequestMetadata::default()
        };
        let own = dialect.own_answer_headers(&incoming, callers::return_delay(reason));
        for (name, value) in own {
            answer.headers.insert(name, value);
        }
        answer
    }

    async fn handle(&self, received: Received, out: &mut Responder<'_>) -> io::Result<()> {
        let gateway = &self.gateway;
        let _open = OpenRequestGuard::new(gateway);
        let received_at = gateway.now();
        gateway.check_suspension();
        gateway.until_current().await;
        let admitted = match self.admit(received, received_at) {
            Ok(admitted) => admitted,
            Err(denial) => return self.deny(*denial, out).await,
        };
        let result = match admitted.route.kind {
            RouteKind::Stream { .. } => stream::forward(gateway, &admitted, out).await,
            _ => call::forward(gateway, &admitted, out).await,
        };
        match result {
            Ok(()) => Ok(()),
            Err(ForwardError::Io(e)) => {
                admitted.request_log.finish(Outcome::Broken);
                let why = &e;
                log::info!(target: "forward", id = admitted.request_log.id(), why:% = why; "Answer was not passed on.");
                Err(e)
            }
            Err(ForwardError::Refused(refusal)) => {
                refusal::log_refusal(&admitted, &refusal);
                let kind = admitted.kind_label();
                refusal::send_answer(gateway, &admitted.incoming, kind, &refusal, out).await
            }
        }
    }

    fn abandoned(&self) {
        self.gateway.metrics.abandoned.inc();
    }
}

/// Counts a request as open until it is dropped.
pub(crate) struct OpenRequestGuard<'a>(&'a Gateway);

impl<'a> OpenRequestGuard<'a> {
    pub(crate) fn new(gateway: &'a Gateway) -> Self {
        gateway.request_received.set(true);
        gateway.open_requests.set(gateway.open_requests.get() + 1);
        Self(gateway)
    }
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Ends the probe under way when it is dropped.
struct ProbeGuard(Rc<Gateway>);

impl Drop for ProbeGuard {
    fn drop(&mut self) {
        self.0.end_probe();
    }
}

/// The reason why the answer of an endpoint was not relayed completely.
enum ForwardError {
    /// The caller's connection failed, or an answer that had started was aborted.
    Io(io::Error),
    /// The gateway itself answers the request.
    Refused(Refusal),
}

impl From<io::Error> for ForwardError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

impl From<Refusal> for ForwardError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

fn is_success(status: StatusCode) -> bool {
    status.is_success()
}
