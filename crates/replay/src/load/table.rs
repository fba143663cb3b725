//! The figures of a load and their table.

use std::{
    fmt::{self, Write},
    time::Duration,
};

use crate::{
    record::{Answer, Record, RequestOutcome},
    report::latency::Durations,
};

/// What one kind of requests gave.
#[derive(Debug, Clone, Default)]
pub struct Side {
    /// Requests ended.
    pub ended: u64,
    /// Whole right answers.
    pub right: u64,
    /// Tokens of those.
    pub tokens: u64,
    /// The first few faults.
    pub faults: Vec<String>,
    first_token: Durations,
    between_tokens: Durations,
    whole: Durations,
}

/// What a load gave.
#[derive(Debug, Clone, Default)]
pub struct Measured {
    /// By the entry host.
    pub entry: Side,
    /// Directly along the chain.
    pub direct: Side,
    /// Requests ended, of both kinds.
    pub ended: usize,
    /// Requests not sent because of the bound in flight.
    pub not_sent: usize,
    /// From the start to the last end.
    pub elapsed: Duration,
    /// Processor time that the entry hosts used, if asked for.
    pub cpu: Option<Duration>,
}

/// Faults kept to show.
const MAX_FAULTS: usize = 5;

impl Side {
    /// Adds one request; its times only if `counted` and its answer is right.
    pub(super) fn add(&mut self, record: &Record, fault: Option<String>, counted: bool) {
        self.ended += 1;
        if let Some(fault) = fault {
            if self.faults.len() < MAX_FAULTS {
                self.faults.push(fault);
            }
            return;
        }
        self.right += 1;
        if let RequestOutcome::Answered(Answer::Tokens(tokens)) = &record.outcome {
            self.tokens += tokens.len() as u64;
        }
        if !counted {
            return;
        }
        self.whole.add(record.ended.saturating_sub(record.intended));
        if let Some(first) = record.first_token {
            self.first_token.add(first.saturating_sub(record.intended));
        }
        for gap in &record.inter_token_gaps {
            self.between_tokens.add(*gap);
        }
    }
}

impl Measured {
    /// Whether every request was sent and answered right.
    pub fn is_whole(&self) -> bool {
        let right = |side: &Side| side.right == side.ended;
        self.not_sent == 0 && right(&self.entry) && right(&self.direct)
    }

    /// The figures as a Markdown table.
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
        write_row(f, "whole request", &entry.whole, &direct.whole)?;
        writeln!(f)?;
        self.write_side(f, "entry", entry)?;
        self.write_side(f, "direct", direct)?;
        if self.not_sent > 0 {
            writeln!(
                f,
                "{} requests not sent: the bound in flight was reached",
                self.not_sent
            )?;
        }
        self.write_cpu(f)
    }

    fn write_side(&self, f: &mut String, name: &str, side: &Side) -> fmt::Result {
        let seconds = self.elapsed.as_secs_f64();
        writeln!(
            f,
            "{name}: {} of {} answers right, {:.1} requests/s, {:.0} tokens/s",
            side.right,
            side.ended,
            side.right as f64 / seconds,
            side.tokens as f64 / seconds,
        )?;
        for fault in &side.faults {
            writeln!(f, "    {fault}")?;
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
            self.entry.right as f64 / seconds,
            self.entry.tokens as f64 / seconds,
        )
    }
}

fn write_row(f: &mut String, name: &str, entry: &Durations, direct: &Durations) -> fmt::Result {
    let (e50, e99) = (entry.quantile_ms(0.5), entry.quantile_ms(0.99));
    let (d50, d99) = (direct.quantile_ms(0.5), direct.quantile_ms(0.99));
    let (a50, a99) = (e50 - d50, e99 - d99);
    writeln!(
        f,
        "| {name} | {e50:.3} | {e99:.3} | {d50:.3} | {d99:.3} | {a50:.3} | {a99:.3} |"
    )
}
