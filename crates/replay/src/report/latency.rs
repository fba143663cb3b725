//! Histograms of latencies.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::record::{Record, RequestOutcome};

/// The maximum duration of a histogram, in microseconds (ten minutes).
const MAX_US: u64 = 600_000_000;
/// The number of significant decimal digits of a recorded value.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of durations in microseconds. Durations above `MAX_US` are recorded as `MAX_US`.
#[derive(Debug, Clone)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the constants are in the accepted range"))
    }
}

impl DurationHistogram {
    /// Adds one duration.
    pub fn add(&mut self, duration: Duration) {
        self.0.saturating_record(duration.as_micros() as u64);
    }

    /// The quantile `q` (from 0 to 1) in milliseconds; 0 if the histogram is empty.
    pub fn quantile_ms(&self, q: f64) -> f64 {
        self.0.value_at_quantile(q) as f64 / 1000.0
    }

    /// The quantiles that a report contains.
    pub fn summary(&self) -> Quantiles {
        Quantiles {
            count: self.0.len(),
            p50_ms: self.quantile_ms(0.5),
            p90_ms: self.quantile_ms(0.9),
            p99_ms: self.quantile_ms(0.99),
            max_ms: self.0.max() as f64 / 1000.0,
        }
    }
}

/// Quantiles of one kind of latency, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// The number of values.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 90th percentile.
    pub p90_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    pub max_ms: f64,
}

/// Histograms of the latencies of answered requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct LatencyHistograms {
    first_token: DurationHistogram,
    between_tokens: DurationHistogram,
    generation: DurationHistogram,
    call: DurationHistogram,
}

/// The quantiles of the latencies of answered requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// From the intended send time to the first streamed token.
    pub first_token: Quantiles,
    /// Between consecutive streamed tokens.
    pub between_tokens: Quantiles,
    /// From the intended send time to the end of a generation.
    pub generation: Quantiles,
    /// From the intended send time to the end of a call of a plain service.
    pub call: Quantiles,
}

impl LatencyHistograms {
    /// Adds the latencies of an answered request; does nothing for other outcomes. `call` states
    /// whether it is a call of a plain service.
    pub(crate) fn add(&mut self, record: &Record, call: bool) {
        if !matches!(record.outcome, RequestOutcome::Answered(_)) {
            return;
        }
        let since = |at: Duration| at.saturating_sub(record.intended);
        let request = match call {
            true => &mut self.call,
            false => &mut self.generation,
        };
        request.add(since(record.ended));
        if let Some(first) = record.first_token {
            self.first_token.add(since(first));
        }
        for gap in &record.inter_token_gaps {
            self.between_tokens.add(*gap);
        }
    }

    pub(crate) fn summary(&self) -> LatencySummary {
        LatencySummary {
            first_token: self.first_token.summary(),
            between_tokens: self.between_tokens.summary(),
            generation: self.generation.summary(),
            call: self.call.summary(),
        }
    }
}
