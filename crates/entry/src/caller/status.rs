//! The state of the host, for operators and the load balancer.

use actix_http::{Response, StatusCode, body::BoxBody, header::CONTENT_TYPE};
use serde::Serialize;

use crate::host::Host;

#[derive(Serialize)]
struct StatusBody<'a> {
    host: &'a str,
    data_centre: &'a str,
    revision: u64,
    since_ms: u64,
    incarnation: u64,
    ready: bool,
    draining: bool,
    running: usize,
    endpoints: usize,
    peers: usize,
}

/// `GET /healthz`: the process runs.
pub fn alive() -> Response<BoxBody> {
    Response::build(StatusCode::OK)
        .body("ok\n")
        .map_into_boxed_body()
}

/// `GET /readyz`: whether the load balancer should send requests to this host.
pub fn ready(host: &Host) -> Response<BoxBody> {
    let (status, text) = match host.ready() {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    };
    Response::build(status).body(text).map_into_boxed_body()
}

/// `GET /status`: the host's state, for `dragonflyrillctl status`.
pub fn status(host: &Host) -> Response<BoxBody> {
    let body = StatusBody {
        host: host.settings.host.as_str(),
        data_centre: host.settings.data_centre.as_str(),
        revision: host.catalogue().revision().0,
        since_ms: host.in_force_for().as_millis() as u64,
        incarnation: host.me.incarnation,
        ready: host.ready(),
        draining: host.draining.get(),
        running: host.requests.borrow().running(),
        endpoints: host.router.borrow().table().len(),
        peers: host.peers().len(),
    };
    let json = serde_json::to_string(&body).expect("plain data");
    let mut rsp = Response::build(StatusCode::OK);
    rsp.insert_header((CONTENT_TYPE, "application/json"));
    rsp.body(json).map_into_boxed_body()
}

/// `GET /metrics`: metrics in the text format of Prometheus.
pub fn metrics(host: &Host) -> Response<BoxBody> {
    let mut rsp = Response::build(StatusCode::OK);
    rsp.insert_header((CONTENT_TYPE, "text/plain; version=0.0.4"));
    rsp.body(host.metrics.render()).map_into_boxed_body()
}
