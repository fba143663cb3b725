//! Answers that the gateway itself gives to requests, and the status of each.

use std::{io, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use rand::Rng;

use super::AdmittedRequest;
use crate::{gateway::Gateway, http::callers::Responder, metrics::Outcome, ports::RequestMetadata};

/// The minimum retry delay of a refused caller, and the range of a random addition that keeps callers from
/// retrying at the same moment. An engine that refused has free capacity again within a few hundred ms.
const RETRY_DELAY: Duration = Duration::from_millis(150);
const RETRY_DELAY_SPREAD: Duration = Duration::from_millis(350);
/// The minimum retry delay and its random addition for a caller whose request no endpoint can run: loading layers
/// and finishing other requests take seconds. Callers with less time left retry after a third of it.
const NO_ENDPOINT_DELAY: Duration = Duration::from_millis(900);
const NO_ENDPOINT_DELAY_SPREAD: Duration = Duration::from_millis(1600);
/// The maximum retry delay of a caller that is to retry at another host.
const MAX_OTHER_HOST_DELAY: Duration = Duration::from_millis(50);

/// The reason why the gateway itself answers a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Refusal {
    /// A header is invalid.
    Malformed(String),
    /// This host is shutting down.
    Leaving,
    /// No catalogue is known, or the known one may be outdated.
    Stale,
    /// No route matches the host and a prefix of the path.
    NoRoute,
    /// The key does not belong to a workspace, or is missing.
    NoWorkspace,
    /// No endpoint can run the request; it was not run.
    NoEndpoint(&'static str),
    /// The endpoints that could run the request state limits that are used up; it was not run.
    AtLimit,
    /// The endpoints that could run the request accept no work, the first of them again after this time; it was not
    /// run.
    Backoff(Duration),
    /// The endpoints that could run the request have no capacity left for it; it was not run, and the caller is to return
    /// after this time.
    Overloaded(Duration),
    /// The request is quarantined for this long, because endpoints terminated while they ran it; this attempt
    /// was not run.
    EndsEndpoints(Duration),
    /// Every endpoint refused the request, or nothing was sent to it; the request was not run.
    NotRun(String),
    /// The request was sent and may have run, but there is no usable answer.
    MayHaveRun(String),
    /// The request was sent and may have run, but its time is over.
    OutOfTime,
}

impl Refusal {
    /// The status of the answer. Only refusals that guarantee that the request was not run have a status that
    /// promises this.
    fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::Leaving
            | Self::Stale
            | Self::NoEndpoint(_)
            | Self::AtLimit
            | Self::Backoff(_)
            | Self::Overloaded(_)
            | Self::EndsEndpoints(_)
            | Self::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoWorkspace => StatusCode::UNAUTHORIZED,
            Self::MayHaveRun(_) => StatusCode::BAD_GATEWAY,
            Self::OutOfTime => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The delay after which the caller may retry; `None` if a retry is of no use or not safe.
    fn retry_after(&self) -> Option<Duration> {
        let draw: f64 = rand::rng().random();
        match self {
            // Another host accepts the request at once.
            Self::Leaving => Some(MAX_OTHER_HOST_DELAY.mul_f64(draw)),
            Self::EndsEndpoints(remaining) => Some(*remaining),
            // Spread over a period already; a random addition would lead out of the request's slot.
            Self::Overloaded(delay) => Some(*delay),
            Self::Backoff(remaining) => Some(*remaining + RETRY_DELAY_SPREAD.mul_f64(draw)),
            Self::NoEndpoint(_) => Some(no_endpoint_delay(draw)),
            _ if self.status() == StatusCode::SERVICE_UNAVAILABLE => {
                Some(RETRY_DELAY + RETRY_DELAY_SPREAD.mul_f64(draw))
            }
            _ => None,
        }
    }
}

/// The delay after which the caller of a request that no endpoint can run is to retry: layers must be loaded first, or
/// other requests must end. `draw` is in `0.0..1.0`.
pub(crate) fn no_endpoint_delay(draw: f64) -> Duration {
    NO_ENDPOINT_DELAY + NO_ENDPOINT_DELAY_SPREAD.mul_f64(draw)
}

/// Sends the answer of a refusal to the caller.
pub(super) async fn send_answer(
    gateway: &Gateway,
    incoming: &RequestMetadata,
    kind: &str,
    refusal: &Refusal,
    out: &mut Responder<'_>,
) -> io::Result<()> {
    let status = refusal.status();
    gateway.metrics.answered(kind, status);
    let dialect = &gateway.platform.dialect;
    let headers = dialect.own_answer_headers(incoming, refusal.retry_after());
    out.send_complete(status, headers, Bytes::new()).await
}

/// Logs a request that was refused before it was routed.
pub(super) fn log_denial(gateway: &Gateway, id: &str, refusal: &Refusal) {
    let proof_age = gateway.proof_age().unwrap_or_default();
    log::info!(
        target: "forward",
        id = id,
        why:? = refusal,
        catalogue = gateway.catalogue_version(),
        proof_age_ms = proof_age.as_millis() as u64;
        "Request is denied."
    );
}

/// Ends the log of a request that was routed and then refused.
pub(super) fn log_refusal(admitted: &AdmittedRequest, refusal: &Refusal) {
    admitted.request_log.finish(match refusal.status() {
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Refused,
        _ => Outcome::Failed,
    });
    log::info!(
        target: "forward",
        id = admitted.request_log.id(),
        route = &*admitted.route.name,
        after_ms = admitted.request_log.age().as_millis() as u64,
        why:? = refusal;
        "Request is not served."
    );
}
