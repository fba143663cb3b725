//! Setup of the export of spans, to a file or to a collector.

use std::{io, net::SocketAddr, path::Path};

use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::{
    Resource,
    trace::{BatchSpanProcessor, SdkTracerProvider, SpanExporter},
};
use tracing_subscriber::{filter::LevelFilter, layer::SubscriberExt, util::SubscriberInitExt};

use crate::{file::FileExporter, otlp};

/// The name of the instrumentation scope.
const SCOPE: &str = "dragonflyrill";

/// Keeps the export of spans running. Dropping it exports the remaining spans and ends the export.
#[must_use = "the export of spans ends when this is dropped"]
pub struct ExportGuard {
    provider: SdkTracerProvider,
}

impl Drop for ExportGuard {
    fn drop(&mut self) {
        if let Err(e) = self.provider.shutdown() {
            log::warn!("spans: Not all spans were exported: {e}.");
        }
    }
}

/// Disables all spans, so that they don't appear among the log lines either.
pub fn disable() {
    install_subscriber(tracing_subscriber::registry().with(LevelFilter::OFF));
}

/// Appends each span to the file at `path`, which is created if missing, as one JSON object per
/// line.
///
/// # Errors
/// The file can't be opened.
pub fn to_file(service: &str, path: &Path) -> io::Result<ExportGuard> {
    Ok(start_export(service, FileExporter::open(path)?))
}

/// Sends spans to the collector at `addr`, by OTLP over HTTP.
///
/// # Errors
/// The exporter can't be created.
pub fn to_collector(service: &str, addr: SocketAddr) -> io::Result<ExportGuard> {
    let exporter = otlp::exporter(addr).map_err(io::Error::other)?;
    Ok(start_export(service, exporter))
}

fn start_export(service: &str, exporter: impl SpanExporter + 'static) -> ExportGuard {
    let resource = Resource::builder()
        .with_service_name(service.to_owned())
        .build();
    let provider = SdkTracerProvider::builder()
        .with_span_processor(BatchSpanProcessor::builder(exporter).build())
        .with_resource(resource)
        .build();
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer(SCOPE));
    install_subscriber(
        tracing_subscriber::registry()
            .with(LevelFilter::INFO)
            .with(layer),
    );
    ExportGuard { provider }
}

fn install_subscriber(subscriber: impl SubscriberInitExt) {
    if let Err(e) = subscriber.try_init() {
        log::warn!("spans: The subscriber was not installed: {e}.");
    }
}
