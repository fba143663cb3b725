//! The answers that the gateway gives itself, and the status of each.

use std::{io, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use rand::Rng;

use super::Admitted;
use crate::{gateway::Gateway, http::callers::Responder, metrics::Outcome, ports::RequestMetadata};

/// When a refused caller may come back, at least, and the spread, so that callers don't return
/// together. An engine that refused has room again in a few hundred ms.
const COME_BACK: Duration = Duration::from_millis(150);
const COME_BACK_SPREAD: Duration = Duration::from_millis(350);
/// When a caller may come back that no endpoint can take, at least, and the spread: loads of layers
/// and answers take seconds. Callers with less time come back after a third of it.
const LATER: Duration = Duration::from_millis(900);
const LATER_SPREAD: Duration = Duration::from_millis(1600);
/// When a caller may come back to another host, at most.
const ELSEWHERE: Duration = Duration::from_millis(50);

/// Why the gateway answers itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Refusal {
    /// A header can't be used.
    Malformed(String),
    /// This host is about to end.
    Leaving,
    /// No catalogue is known that may be acted on.
    Stale,
    /// No route has the host and a prefix of the path.
    NoRoute,
    /// The key is no workspace's.
    NoWorkspace,
    /// No endpoint can take it; it was not run.
    NoEndpoint(&'static str),
    /// The endpoints that could take it name limits, of which nothing is left now; it was not run.
    AtLimit,
    /// Endpoints have ended under it, and it is not sent for so long; this attempt was not run.
    EndsEndpoints(Duration),
    /// All endpoints that were asked refused it; it was not run.
    NotRun(String),
    /// It was sent and may have run; nothing usable came back.
    MayHaveRun(String),
    /// Time is up; it was sent and may have run.
    OutOfTime,
}

impl Refusal {
    /// The status. Those of refusals that promise that nothing was run are given only by cases that
    /// know it.
    fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::Leaving
            | Self::Stale
            | Self::NoEndpoint(_)
            | Self::AtLimit
            | Self::EndsEndpoints(_)
            | Self::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoWorkspace => StatusCode::UNAUTHORIZED,
            Self::MayHaveRun(_) => StatusCode::BAD_GATEWAY,
            Self::OutOfTime => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the caller may come back.
    fn retry_after(&self) -> Option<Duration> {
        let draw: f64 = rand::rng().random();
        match self {
            // Another host takes it at once.
            Self::Leaving => Some(ELSEWHERE.mul_f64(draw)),
            Self::EndsEndpoints(left) => Some(*left),
            // Layers have to be loaded first, or requests to end.
            Self::NoEndpoint(_) => Some(LATER + LATER_SPREAD.mul_f64(draw)),
            _ if self.status() == StatusCode::SERVICE_UNAVAILABLE => {
                Some(COME_BACK + COME_BACK_SPREAD.mul_f64(draw))
            }
            _ => None,
        }
    }
}

/// Gives the answer.
pub(super) async fn answer(
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

/// Writes a line on a request that got no route.
pub(super) fn log_denied(gateway: &Gateway, id: &str, refusal: &Refusal) {
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

/// Ends the trail of a request that was routed and not served.
pub(super) fn log(admitted: &Admitted, refusal: &Refusal) {
    admitted.trail.ended(match refusal.status() {
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Refused,
        _ => Outcome::Failed,
    });
    log::info!(
        target: "forward",
        id = admitted.trail.id(),
        route = &*admitted.route.name,
        after_ms = admitted.at.elapsed().as_millis() as u64,
        why:? = refusal;
        "Request is not served."
    );
}
