//! Export of spans to a file, as one JSON object per line.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

use opentelemetry_sdk::{
    Resource,
    error::{OTelSdkError, OTelSdkResult},
    trace::{SpanData, SpanExporter},
};
use serde::Serialize;

/// One span in the form in which it is written to the file. Times are in microseconds.
#[derive(Serialize)]
struct SpanRecord<'a> {
    trace: String,
    span: String,
    parent: String,
    service: &'a str,
    name: &'a str,
    start_us: u128,
    us: u128,
    attributes: serde_json::Map<String, serde_json::Value>,
}

/// An exporter that writes spans to a file.
#[derive(Debug)]
pub(crate) struct FileExporter {
    out: Mutex<BufWriter<File>>,
    service: String,
}

impl FileExporter {
    /// Opens the file at `path` for appending, and creates it if missing.
    pub(crate) fn open(path: &Path) -> io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self {
            out: Mutex::new(BufWriter::new(file)),
            service: String::new(),
        })
    }

    fn write(&self, batch: &[SpanData]) -> io::Result<()> {
        let mut out = self
            .out
            .lock()
            .map_err(|_| io::Error::other("a thread panicked while it wrote spans"))?;
        for span in batch {
            serde_json::to_writer(&mut *out, &self.record(span))?;
            out.write_all(b"\n")?;
        }
        out.flush()
    }

    fn record<'a>(&'a self, span: &'a SpanData) -> SpanRecord<'a> {
        let attributes = span
            .attributes
            .iter()
            .map(|kv| (kv.key.to_string(), kv.value.to_string().into()))
            .collect();
        let duration = span
            .end_time
            .duration_since(span.start_time)
            .unwrap_or_default();
        SpanRecord {
            trace: span.span_context.trace_id().to_string(),
            span: span.span_context.span_id().to_string(),
            parent: span.parent_span_id.to_string(),
            service: &self.service,
            name: &span.name,
            start_us: unix_micros(span.start_time),
            us: duration.as_micros(),
            attributes,
        }
    }
}

impl SpanExporter for FileExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.write(&batch)
            .map_err(|e| OTelSdkError::InternalFailure(e.to_string()))
    }

    fn set_resource(&mut self, resource: &Resource) {
        let name = resource.get(&"service.name".into());
        self.service = name.map(|v| v.to_string()).unwrap_or_default();
    }
}

fn unix_micros(at: SystemTime) -> u128 {
    at.duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros()
}
