//! Conversion between spans and the W3C trace context, `traceparent`.

use opentelemetry::{
    Context,
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::TraceContextExt,
};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

/// The name of the header with the context.
pub const TRACEPARENT: &str = "traceparent";

/// A propagation carrier with one `traceparent` value.
#[derive(Default)]
struct Carrier(Option<String>);

impl Injector for Carrier {
    fn set(&mut self, key: &str, value: String) {
        if key == TRACEPARENT {
            self.0 = Some(value);
        }
    }
}

impl Extractor for Carrier {
    fn get(&self, key: &str) -> Option<&str> {
        match key {
            TRACEPARENT => self.0.as_deref(),
            _ => None,
        }
    }

    fn keys(&self) -> Vec<&str> {
        vec![TRACEPARENT]
    }
}

/// Makes `span` a child of the caller's span, which `traceparent` names. A malformed value is
/// ignored.
pub fn set_parent(span: &Span, traceparent: &str) {
    let carrier = Carrier(Some(traceparent.to_owned()));
    let cx = TraceContextPropagator::new().extract(&carrier);
    // Fails only if spans are disabled.
    let _ = span.set_parent(cx);
}

/// Returns the `traceparent` value with which the next hop's span becomes a child of `span`; `None`
/// if spans are disabled.
pub fn traceparent(span: &Span) -> Option<String> {
    if span.is_disabled() {
        return None;
    }
    let cx: Context = span.context();
    if !cx.span().span_context().is_valid() {
        return None;
    }
    let mut carrier = Carrier::default();
    TraceContextPropagator::new().inject_context(&cx, &mut carrier);
    carrier.0
}
