//! Export of spans by OTLP over HTTP.
//!
//! The exporter runs on its own thread, but the HTTP client can be used on one arbiter only, so
//! requests are passed to that arbiter over a channel.

use std::{fmt, net::SocketAddr, time::Duration};

use opentelemetry_http::{Bytes, HttpClient, HttpError, Request, Response};
use opentelemetry_otlp::{
    ExporterBuildError, Protocol, SpanExporter, WithExportConfig, WithHttpConfig,
};
use tokio::sync::{mpsc, oneshot};

/// The timeout of a request to a collector.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Creates an exporter to the collector at `addr`.
pub(crate) fn exporter(addr: SocketAddr) -> Result<SpanExporter, ExporterBuildError> {
    SpanExporter::builder()
        .with_http()
        .with_http_client(ArbiterClient::start())
        .with_protocol(Protocol::HttpJson)
        .with_endpoint(format!("http://{addr}/v1/traces"))
        .build()
}

/// A request, and the channel for its response.
struct PendingRequest {
    req: Request<Bytes>,
    tx: oneshot::Sender<Result<Response<Bytes>, HttpError>>,
}

/// An HTTP client that runs on its own arbiter.
struct ArbiterClient {
    tx: mpsc::UnboundedSender<PendingRequest>,
}

impl ArbiterClient {
    fn start() -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        actix_rt::Arbiter::new().spawn_fn(move || {
            actix_rt::spawn(handle_requests(rx));
        });
        Self { tx }
    }
}

impl fmt::Debug for ArbiterClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ArbiterClient")
    }
}

#[async_trait::async_trait]
impl HttpClient for ArbiterClient {
    async fn send_bytes(&self, req: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let (tx, rx) = oneshot::channel();
        self.tx
            .send(PendingRequest { req, tx })
            .map_err(|_| "the arbiter has stopped")?;
        rx.await?
    }
}

async fn handle_requests(mut rx: mpsc::UnboundedReceiver<PendingRequest>) {
    let http = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
    while let Some(pending) = rx.recv().await {
        let result = send(&http, pending.req).await;
        // The receiver is dropped if the exporter has stopped waiting.
        let _ = pending.tx.send(result);
    }
}

async fn send(http: &awc::Client, req: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
    let (parts, body) = req.into_parts();
    let mut out = http.post(parts.uri.to_string());
    for (name, value) in &parts.headers {
        out = out.insert_header((name.as_str(), value.as_bytes()));
    }
    let mut rsp = out.send_body(body).await.map_err(|e| e.to_string())?;
    let status = rsp.status().as_u16();
    let body = rsp.body().await.map_err(|e| e.to_string())?;
    Ok(Response::builder().status(status).body(body)?)
}
