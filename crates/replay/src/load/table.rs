//! The results of a load measurement, and their table.

use std::{
    fmt::{self, Write},
    time::Duration,
};

use crate::{
    record::{Answer, Record, RequestOutcome},
    report::latency::DurationHistogram,
};

/// The results of the requests on one path: through the entry host or directly along the chain.
#[derive(Debug, Clone, Default)]
pub struct PathStats {
    /// The number of requests that ended.
    pub ended: u64,
    /// The number of complete and correct answers.
    pub correct: u64,
    /// The number of tokens of the correct answers.
    pub tokens: u64,
    /// The first `MAX_ERRORS` errors.
    pub errors: Vec<String>,
    first_token: DurationHistogram,
    between_tokens: DurationHistogram,
    total: DurationHistogram,
}

/// The results of a load measurement.
#[derive(Debug, Clone, Default)]
pub struct LoadMeasurement {
    /// The requests through the entry host.
    pub entry: PathStats,
    /// The requests sent directly along the chain.
    pub direct: PathStats,
    /// The number of requests that ended, on both paths.
    pub ended: usize,
    /// The number of requests not sent because the limit of requests in flight was reached.
    pub not_sent: usize,
    /// The time from the start of the measurement to the end of its last request.
    pub elapsed: Duration,
    /// The processor time that the entry hosts used, if it was measured.
    pub cpu: Option<Duration>,
}

/// The maximum number of errors kept for the report.
const MAX_ERRORS: usize = 5;

impl PathStats {
    /// Adds one request. Its latencies are added only if `is_measured` and its answer is correct,
    /// that is, if `error` is `None`.
    pub(super) fn add(&mut self, record: &Record, error: Option<String>, is_measured: bool) {
        self.ended += 1;
        if let Some(error) = error {
            if self.errors.len() < MAX_ERRORS {
                self.errors.push(error);
            }
            return;
        }
        self.correct += 1;
        if let RequestOutcome::Answered(Answer::Tokens(tokens)) = &record.outcome {
            self.tokens += tokens.len() as u64;
        }
        if !is_measured {
            return;
        }
        self.total.add(record.ended.saturating_sub(record.intended));
        if let Some(first) = record.first_token {
            self.first_token.add(first.saturating_sub(record.intended));
        }
        for gap in &record.inter_token_gaps {
            self.between_tokens.add(*gap);
        }
    }
}

impl LoadMeasurement {
    /// Whether every request was sent and answered correctly.
    pub fn is_all_correct(&self) -> bool {
        let correct = |path: &PathStats| path.correct == path.ended;
        self.not_sent == 0 && correct(&self.entry) && correct(&self.direct)
    }

    /// Formats the results as a Markdown table.
    pub fn table(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, f: &mut String) -> fmt::Result {
        writeln!(
            f,
            "| ms | entry p50 | entry p99 | direct p50 | direct p99 | added p50 | added p99 |"
        )?;
        writeln!(f, "|---|---:|---:|---:|---:|---:|---:|")?;
        let Self { entry, direct, .. } = self;
        write_row(f, "first token", &entry.first_token, &direct.first_token)?;
        write_row(
            f,
            "per streamed token",
            &entry.between_tokens,
            &direct.between_tokens,
        )?;
        write_row(f, "whole request", &entry.total, &direct.total)?;
        writeln!(f)?;
        self.write_path(f, "entry", entry)?;
        self.write_path(f, "direct", direct)?;
        if self.not_sent > 0 {
            writeln!(
                f,
                "{} requests not sent: the bound in flight was reached",
                self.not_sent
            )?;
        }
        self.write_cpu(f)
    }

    fn write_path(&self, f: &mut String, name: &str, path: &PathStats) -> fmt::Result {
        let seconds = self.elapsed.as_secs_f64();
        writeln!(
            f,
            "{name}: {} of {} answers right, {:.1} requests/s, {:.0} tokens/s",
            path.correct,
            path.ended,
            path.correct as f64 / seconds,
            path.tokens as f64 / seconds,
        )?;
        for error in &path.errors {
            writeln!(f, "    {error}")?;
        }
        Ok(())
    }

    fn write_cpu(&self, f: &mut String) -> fmt::Result {
        let Some(cpu) = self.cpu.filter(|cpu| !cpu.is_zero()) else {
            return Ok(());
        };
        let seconds = cpu.as_secs_f64();
        writeln!(
            f,
            "entry hosts used {seconds:.2} s of processor time: {:.0} requests/s and {:.0} tokens/s \
             per core",
            self.entry.correct as f64 / seconds,
            self.entry.tokens as f64 / seconds,
        )
    }
}

fn write_row(
    f: &mut String,
    name: &str,
    entry: &DurationHistogram,
    direct: &DurationHistogram,
) -> fmt::Result {
    let (e50, e99) = (entry.quantile_ms(0.5), entry.quantile_ms(0.99));
    let (d50, d99) = (direct.quantile_ms(0.5), direct.quantile_ms(0.99));
    let (a50, a99) = (e50 - d50, e99 - d99);
    writeln!(
        f,
        "| {name} | {e50:.3} | {e99:.3} | {d50:.3} | {d99:.3} | {a50:.3} | {a99:.3} |"
    )
}
