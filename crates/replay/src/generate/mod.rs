//! Generation of synthetic traces.
//!
//! Arrivals are a Poisson process whose rate rises in periodic bursts. Workspaces, data centres and
//! kinds of work are chosen at random with fixed weights, and lengths follow a clamped log-normal
//! distribution. The same seed gives the same trace on all machines with the same floating-point
//! arithmetic.

pub mod deployment;

use rand::{Rng, SeedableRng, distr::weighted::WeightedIndex, prelude::Distribution};
use rand_pcg::Pcg64;
use serde::Serialize;
use serde_json::json;

use crate::trace::{checked::FORMAT_VERSION, raw};
use deployment::Deployment;

/// The maximum mean rate of a generated trace.
pub const MAX_ARRIVALS_PER_SECOND: f64 = 100_000.0;

/// The time from the start of one burst to the start of the next, in milliseconds.
const BURST_PERIOD_MS: f64 = 5000.0;
/// The length of a burst, in milliseconds.
const BURST_MS: f64 = 1000.0;
/// The ratio of the rate within a burst to the rate between bursts.
const BURST_RATE_FACTOR: f64 = 3.0;
/// The fraction of arrivals that are calls of a plain service.
const CALL_FRACTION: f64 = 0.1;
/// The fraction of calls that must run at most once.
const ONCE_CALL_FRACTION: f64 = 0.4;
/// The fraction of requests of the class `batch`.
const BATCH_FRACTION: f64 = 0.25;
/// The fraction of interactive requests that are streamed.
const STREAM_FRACTION: f64 = 0.8;
/// The fraction of requests sent as a chat completion.
const CHAT_FRACTION: f64 = 0.3;
/// The fraction of arrivals that the caller sends twice with the same key.
const DUPLICATE_FRACTION: f64 = 0.02;
/// The delay of a duplicate after the original, in milliseconds.
const DUPLICATE_DELAY_MS: u64 = 150;

/// A log-normal distribution of lengths in tokens, clamped to `min..=max`.
struct LengthDistribution {
    median: f64,
    sigma: f64,
    min: f64,
    max: f64,
}

const PROMPT_LENGTH: LengthDistribution = LengthDistribution {
    median: 96.0,
    sigma: 0.8,
    min: 8.0,
    max: 1024.0,
};
const ANSWER_LENGTH: LengthDistribution = LengthDistribution {
    median: 24.0,
    sigma: 0.6,
    min: 2.0,
    max: 128.0,
};

const INTERACTIVE_DEADLINE_MS: u32 = 15_000;
const BATCH_DEADLINE_MS: u32 = 30_000;
const CALL_DEADLINE_MS: u32 = 5_000;

/// The parameters of a generated trace.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// The deployment whose traffic is generated.
    pub deployment: &'static Deployment,
    /// The length of the trace in seconds.
    pub seconds: u32,
    /// The mean number of arrivals per second. Above 0 and at most [`MAX_ARRIVALS_PER_SECOND`].
    pub rate: f64,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// Generates the text of a trace, in JSON Lines. It has no faults, and its outcomes allow no
/// violation.
pub fn trace(plan: &Plan) -> serde_json::Result<String> {
    let Deployment {
        name,
        model,
        layers,
        ..
    } = plan.deployment;
    let header = raw::Header {
        trace: FORMAT_VERSION,
        deployment: (*name).to_owned(),
        model: (*model).to_owned(),
        layers: *layers,
        seed: Some(plan.seed),
    };
    let mut text = String::new();
    push_line(&mut text, &header)?;
    for line in Generator::new(plan).lines() {
        push_line(&mut text, &line)?;
    }
    for outcome in outcomes() {
        push_line(&mut text, &raw::Line::Outcome(outcome))?;
    }
    Ok(text)
}

fn push_line(text: &mut String, line: &impl Serialize) -> serde_json::Result<()> {
    text.push_str(&serde_json::to_string(line)?);
    text.push('\n');
    Ok(())
}

/// All checks except the one of recovery, each with a maximum of 0 violations.
fn outcomes() -> impl Iterator<Item = raw::Outcome> {
    let checks = [
        raw::Check::AnswersEqual,
        raw::Check::LayersOnce,
        raw::Check::NotRunTrue,
        raw::Check::AtMostOnce,
        raw::Check::Refused,
        raw::Check::Failed,
        raw::Check::Late,
    ];
    checks.into_iter().map(|check| raw::Outcome {
        check,
        max: Some(0),
        fault: None,
        max_ms: None,
        window_ms: None,
    })
}

struct Generator<'a> {
    plan: &'a Plan,
    rng: Pcg64,
    workspace_distribution: WeightedIndex<u32>,
    /// The number of arrivals generated so far.
    count: usize,
}

impl<'a> Generator<'a> {
    fn new(plan: &'a Plan) -> Self {
        let weights = plan.deployment.workspaces.iter().map(|w| w.weight);
        Self {
            plan,
            rng: Pcg64::seed_from_u64(plan.seed),
            workspace_distribution: WeightedIndex::new(weights)
                .expect("every workspace has a weight"),
            count: 0,
        }
    }

    fn lines(mut self) -> Vec<raw::Line> {
        let end = f64::from(self.plan.seconds) * 1000.0;
        let mut lines = Vec::new();
        let mut at = self.next_interval_ms(0.0);
        while at < end {
            self.arrival(at as u64, &mut lines);
            at += self.next_interval_ms(at);
        }
        lines.sort_by_key(at_ms);
        lines
    }

    /// The random time from `at` to the next arrival, both in milliseconds.
    fn next_interval_ms(&mut self, at: f64) -> f64 {
        let burst = BURST_MS / BURST_PERIOD_MS;
        let base_rate = self.plan.rate / (1.0 + burst * (BURST_RATE_FACTOR - 1.0));
        // The burst is in the middle of its period.
        let phase = at % BURST_PERIOD_MS - (BURST_PERIOD_MS - BURST_MS) / 2.0;
        let rate = match (0.0..BURST_MS).contains(&phase) {
            true => base_rate * BURST_RATE_FACTOR,
            false => base_rate,
        };
        -(1.0 - self.rng.random::<f64>()).ln() / rate * 1000.0
    }

    fn arrival(&mut self, at_ms: u64, lines: &mut Vec<raw::Line>) {
        self.count += 1;
        let line = match self.rng.random_bool(CALL_FRACTION) {
            true => self.call(at_ms),
            false => self.request(at_ms),
        };
        if self.rng.random_bool(DUPLICATE_FRACTION) {
            lines.push(duplicate(&line));
        }
        lines.push(line);
    }

    fn request(&mut self, at_ms: u64) -> raw::Line {
        let batch = self.rng.random_bool(BATCH_FRACTION);
        let class = if batch { "batch" } else { "interactive" };
        let deadline_ms = match batch {
            true => BATCH_DEADLINE_MS,
            false => INTERACTIVE_DEADLINE_MS,
        };
        raw::Line::Request(raw::Request {
            at_ms,
            id: format!("r{}", self.count),
            workspace: self.workspace(),
            class: class.to_owned(),
            model: None,
            prompt_tokens: self.length(&PROMPT_LENGTH),
            max_tokens: self.length(&ANSWER_LENGTH),
            deadline_ms: Some(deadline_ms),
            stream: !batch && self.rng.random_bool(STREAM_FRACTION),
            chat: self.rng.random_bool(CHAT_FRACTION),
            repeatable: Some(true),
            data_centre: self.data_centre(),
            key: None,
        })
    }

    fn call(&mut self, at_ms: u64) -> raw::Line {
        let once = self.rng.random_bool(ONCE_CALL_FRACTION);
        let lot = self.rng.random_range(1..1000);
        let Deployment {
            service,
            once_path,
            read_path,
            ..
        } = self.plan.deployment;
        let (method, path, body) = match once {
            true => ("POST", (*once_path).to_owned(), Some(json!({ "lot": lot }))),
            false => ("GET", format!("{read_path}/{lot}"), None),
        };
        raw::Line::Call(raw::Call {
            at_ms,
            id: format!("c{}", self.count),
            workspace: self.workspace(),
            class: "interactive".to_owned(),
            service: (*service).to_owned(),
            method: method.to_owned(),
            path,
            body,
            deadline_ms: Some(CALL_DEADLINE_MS),
            repeatable: Some(!once),
            data_centre: self.data_centre(),
            key: None,
        })
    }

    fn workspace(&mut self) -> String {
        let index = self.workspace_distribution.sample(&mut self.rng);
        self.plan.deployment.workspaces[index].name.to_owned()
    }

    fn data_centre(&mut self) -> String {
        let all = &self.plan.deployment.data_centres;
        all[self.rng.random_range(0..all.len())].to_owned()
    }

    fn length(&mut self, length: &LengthDistribution) -> u32 {
        let value = length.median * (length.sigma * self.normal()).exp();
        value.clamp(length.min, length.max).round() as u32
    }

    /// A random value of the standard normal distribution, by the Box-Muller transform.
    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.rng.random::<f64>();
        radius * angle.cos()
    }
}

fn at_ms(line: &raw::Line) -> u64 {
    match line {
        raw::Line::Request(raw) => raw.at_ms,
        raw::Line::Call(raw) => raw.at_ms,
        raw::Line::Fault(raw) => raw.at_ms,
        raw::Line::Outcome(_) => u64::MAX,
    }
}

/// The same work with the same key, sent [`DUPLICATE_DELAY_MS`] later.
fn duplicate(line: &raw::Line) -> raw::Line {
    let mut line = line.clone();
    let (at_ms, id, key) = match &mut line {
        raw::Line::Request(raw) => (&mut raw.at_ms, &mut raw.id, &mut raw.key),
        raw::Line::Call(raw) => (&mut raw.at_ms, &mut raw.id, &mut raw.key),
        raw::Line::Fault(_) | raw::Line::Outcome(_) => return line,
    };
    *at_ms += DUPLICATE_DELAY_MS;
    *key = Some(id.clone());
    id.push_str("-again");
    line
}
