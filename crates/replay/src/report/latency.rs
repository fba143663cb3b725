//! Histograms of latencies.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::record::{Record, RequestOutcome};

/// The longest latency told apart, in microseconds: ten minutes.
const MAX_US: u64 = 600_000_000;
/// Three digits: values are kept to a thousandth.
const DIGITS: u8 = 3;

/// A histogram of durations in microseconds; longer ones count as the longest.
#[derive(Debug, Clone)]
pub struct Durations(Histogram<u64>);

impl Default for Durations {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_US, DIGITS);
        Self(histogram.expect("the constants are in the accepted range"))
    }
}

impl Durations {
    /// Adds one duration.
    pub fn add(&mut self, duration: Duration) {
        self.0.saturating_record(duration.as_micros() as u64);
    }

    /// The quantile `q` in milliseconds; 0 if empty.
    pub fn quantile_ms(&self, q: f64) -> f64 {
        self.0.value_at_quantile(q) as f64 / 1000.0
    }

    /// The customary quantiles.
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
    /// Values counted.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// Nine in ten are no longer.
    pub p90_ms: f64,
    /// 99 in a hundred are no longer.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

/// The latencies of answered requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Latencies {
    first_token: Durations,
    between_tokens: Durations,
    generation: Durations,
    call: Durations,
}

/// The latencies of answered requests, summed up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Latency {
    /// From the intended send time to the first streamed token.
    pub first_token: Quantiles,
    /// Between streamed tokens.
    pub between_tokens: Quantiles,
    /// From the intended send time to the end of a generation.
    pub generation: Quantiles,
    /// From the intended send time to the end of a plain call.
    pub call: Quantiles,
}

impl Latencies {
    pub(crate) fn add(&mut self, record: &Record, call: bool) {
        if !matches!(record.outcome, RequestOutcome::Answered(_)) {
            return;
        }
        let since = |at: Duration| at.saturating_sub(record.intended);
        let whole = match call {
            true => &mut self.call,
            false => &mut self.generation,
        };
        whole.add(since(record.ended));
        if let Some(first) = record.first_token {
            self.first_token.add(since(first));
        }
        for gap in &record.inter_token_gaps {
            self.between_tokens.add(*gap);
        }
    }

    pub(crate) fn summary(&self) -> Latency {
        Latency {
            first_token: self.first_token.summary(),
            between_tokens: self.between_tokens.summary(),
            generation: self.generation.summary(),
            call: self.call.summary(),
        }
    }
}
