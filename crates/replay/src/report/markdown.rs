//! The report as Markdown text.

use std::fmt::{self, Write};

use super::{Counts, Report, latency::Quantiles};
use crate::judge::{Finding, FindingState, Unit};

/// The maximum number of examples shown for each outcome.
const MAX_EXAMPLES: usize = 5;

/// Formats `report` as Markdown.
pub fn report(report: &Report) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write_report(&mut out, report);
    out
}

fn write_report(f: &mut String, report: &Report) -> fmt::Result {
    let Report {
        deployment, run_id, ..
    } = report;
    writeln!(f, "# Replay of {deployment}, run {run_id}\n")?;
    write_verdict(f, report)?;
    write_counts(f, report)?;
    write_latency(f, report)?;
    write_workspaces(f, report)?;
    write_faults(f, report)
}

fn write_verdict(f: &mut String, report: &Report) -> fmt::Result {
    let verdict = &report.verdict;
    for finding in &verdict.findings {
        writeln!(f, "- {}", finding_line(finding))?;
        for example in finding.examples.iter().take(MAX_EXAMPLES) {
            writeln!(f, "    - {example}")?;
        }
        let more = finding.examples.len().saturating_sub(MAX_EXAMPLES);
        if more > 0 {
            writeln!(f, "    - and {more} more")?;
        }
    }
    for reason in &verdict.invalid {
        writeln!(f, "- invalid: {reason}")?;
    }
    let verdict_text = if verdict.kept { "kept" } else { "broken" };
    writeln!(f, "\nVerdict: **{verdict_text}**\n")
}

/// Formats a finding as one line.
pub fn finding_line(finding: &Finding) -> String {
    let state = match finding.state {
        FindingState::Kept => "kept",
        FindingState::Broken => "BROKEN",
        FindingState::Unproved => "unproved",
    };
    let check = check_name(finding);
    let Finding { max, looked_at, .. } = finding;
    let found = finding.found.map(|n| n.to_string());
    match finding.unit {
        Unit::Violations => {
            let found = found.unwrap_or_default();
            format!("{state}: {check}: {found} of {looked_at}, at most {max}")
        }
        Unit::Milliseconds => {
            let found = found.map_or_else(|| "never".to_owned(), |ms| format!("{ms} ms"));
            format!("{state}: {check}: {found}, at most {max} ms")
        }
    }
}

/// The name of the check as it is written in a trace, with the id of the fault if there is one.
fn check_name(finding: &Finding) -> String {
    let name = serde_json::to_value(finding.check);
    let name = name.ok().and_then(|v| v.as_str().map(str::to_owned));
    let name = name.unwrap_or_default();
    match &finding.fault {
        Some(fault) => format!("{name} from {fault}"),
        None => name,
    }
}

fn write_counts(f: &mut String, report: &Report) -> fmt::Result {
    let Counts {
        sent,
        answered,
        not_run,
        failed,
        lost,
        retried,
        tokens,
    } = report.counts;
    writeln!(
        f,
        "{sent} requests sent: {answered} answered, {not_run} refused as not run, \
         {failed} failed, {lost} without a word; {retried} took more than one attempt. \
         {tokens} tokens."
    )?;
    for (code, n) in &report.codes {
        writeln!(f, "- {code}: {n}")?;
    }
    let rates = &report.rates;
    writeln!(
        f,
        "\n{:.1} s at speed {}: {:.1} requests/s, {:.0} tokens/s, at most {} in flight; \
         {} layer positions rebuilt.\n",
        rates.seconds,
        report.speed,
        rates.requests_per_second,
        rates.tokens_per_second,
        report.peak_in_flight,
        report.rebuilt_layer_positions,
    )
}

fn write_latency(f: &mut String, report: &Report) -> fmt::Result {
    writeln!(
        f,
        "| ms from the intended time | n | p50 | p90 | p99 | max |"
    )?;
    writeln!(f, "|---|---:|---:|---:|---:|---:|")?;
    let latency = &report.latency;
    let rows = [
        ("first token", latency.first_token),
        ("whole answer", latency.generation),
        ("plain call", latency.call),
        ("between tokens", latency.between_tokens),
    ];
    for (name, quantiles) in rows {
        let Quantiles {
            count,
            p50_ms,
            p90_ms,
            p99_ms,
            max_ms,
        } = quantiles;
        writeln!(
            f,
            "| {name} | {count} | {p50_ms:.1} | {p90_ms:.1} | {p99_ms:.1} | {max_ms:.1} |"
        )?;
    }
    writeln!(f)
}

fn write_workspaces(f: &mut String, report: &Report) -> fmt::Result {
    writeln!(
        f,
        "| workspace | sent | answered | not run | failed | lost | tokens |"
    )?;
    writeln!(f, "|---|---:|---:|---:|---:|---:|---:|")?;
    for (name, counts) in &report.workspaces {
        let Counts {
            sent,
            answered,
            not_run,
            failed,
            lost,
            tokens,
            ..
        } = counts;
        writeln!(
            f,
            "| {name} | {sent} | {answered} | {not_run} | {failed} | {lost} | {tokens} |"
        )?;
    }
    writeln!(f)
}

fn write_faults(f: &mut String, report: &Report) -> fmt::Result {
    for fault in &report.faults {
        let done = fault.error.as_deref().unwrap_or("done");
        writeln!(f, "- fault {} at {} ms: {done}", fault.id, fault.at_ms)?;
    }
    for gap in &report.ledger_gaps {
        writeln!(f, "- ledgers: {gap}")?;
    }
    Ok(())
}
