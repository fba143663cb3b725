//! Synthetic traces.
//!
//! Arrivals are a Poisson process whose rate goes up in regular bursts; owners, data centres and
//! kinds of work are drawn by weight; lengths are log-normal within bounds. A seed gives the same
//! trace on every machine of one floating-point arithmetic.

pub mod deployment;

use rand::{Rng, SeedableRng, distr::weighted::WeightedIndex, prelude::Distribution};
use rand_pcg::Pcg64;
use serde::Serialize;
use serde_json::json;

use crate::trace::{checked::FORMAT_VERSION, raw};
use deployment::Deployment;

/// The highest rate that is generated, in arrivals a second.
pub const MAX_RATE: f64 = 100_000.0;

/// The time from one burst to the next, in milliseconds.
const BURST_EVERY_MS: f64 = 5000.0;
/// The length of a burst, in milliseconds.
const BURST_MS: f64 = 1000.0;
/// How much higher the rate is in a burst than between bursts.
const BURST_FACTOR: f64 = 3.0;
/// The part of plain calls among arrivals.
const CALLS: f64 = 0.1;
/// The part of calls that must run at most once.
const CALLS_ONCE: f64 = 0.4;
/// The part of requests of the class `batch`.
const BATCH: f64 = 0.25;
/// The part of interactive requests that are streamed.
const STREAMED: f64 = 0.8;
/// The part of requests sent as a chat.
const CHATS: f64 = 0.3;
/// The part of arrivals that the caller sends twice under one key.
const DUPLICATES: f64 = 0.02;
/// How much later the duplicate is sent, in milliseconds.
const DUPLICATE_AFTER_MS: u64 = 150;

/// A log-normal length in tokens.
struct Length {
    median: f64,
    sigma: f64,
    min: f64,
    max: f64,
}

const PROMPT: Length = Length {
    median: 96.0,
    sigma: 0.8,
    min: 8.0,
    max: 1024.0,
};
const ANSWER: Length = Length {
    median: 24.0,
    sigma: 0.6,
    min: 2.0,
    max: 128.0,
};

const INTERACTIVE_DEADLINE_MS: u32 = 15_000;
const BATCH_DEADLINE_MS: u32 = 30_000;
const CALL_DEADLINE_MS: u32 = 5_000;

/// What trace is made.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// For whom.
    pub deployment: &'static Deployment,
    /// Its length in seconds.
    pub seconds: u32,
    /// Mean arrivals a second, above 0 and at most [`MAX_RATE`].
    pub rate: f64,
    /// The seed.
    pub seed: u64,
}

/// The text of the trace, with the outcomes of a run without faults.
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

/// Every check but recovery, none of which may find anything.
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
    owners: WeightedIndex<u32>,
    /// Arrivals so far.
    count: usize,
}

impl<'a> Generator<'a> {
    fn new(plan: &'a Plan) -> Self {
        let weights = plan.deployment.workspaces.iter().map(|w| w.weight);
        Self {
            plan,
            rng: Pcg64::seed_from_u64(plan.seed),
            owners: WeightedIndex::new(weights).expect("every workspace has a weight"),
            count: 0,
        }
    }

    fn lines(mut self) -> Vec<raw::Line> {
        let end = f64::from(self.plan.seconds) * 1000.0;
        let mut lines = Vec::new();
        let mut at = self.gap_ms(0.0);
        while at < end {
            self.arrival(at as u64, &mut lines);
            at += self.gap_ms(at);
        }
        lines.sort_by_key(at_ms);
        lines
    }

    /// The time to the next arrival after `at`, in milliseconds.
    fn gap_ms(&mut self, at: f64) -> f64 {
        let burst = BURST_MS / BURST_EVERY_MS;
        let calm = self.plan.rate / (1.0 + burst * (BURST_FACTOR - 1.0));
        // The burst is in the middle of its period.
        let phase = at % BURST_EVERY_MS - (BURST_EVERY_MS - BURST_MS) / 2.0;
        let rate = match (0.0..BURST_MS).contains(&phase) {
            true => calm * BURST_FACTOR,
            false => calm,
        };
        -(1.0 - self.rng.random::<f64>()).ln() / rate * 1000.0
    }

    fn arrival(&mut self, at_ms: u64, lines: &mut Vec<raw::Line>) {
        self.count += 1;
        let line = match self.rng.random_bool(CALLS) {
            true => self.call(at_ms),
            false => self.request(at_ms),
        };
        if self.rng.random_bool(DUPLICATES) {
            lines.push(duplicate(&line));
        }
        lines.push(line);
    }

    fn request(&mut self, at_ms: u64) -> raw::Line {
        let batch = self.rng.random_bool(BATCH);
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
            prompt_tokens: self.length(&PROMPT),
            max_tokens: self.length(&ANSWER),
            deadline_ms: Some(deadline_ms),
            stream: !batch && self.rng.random_bool(STREAMED),
            chat: self.rng.random_bool(CHATS),
            repeatable: Some(true),
            data_centre: self.data_centre(),
            key: None,
        })
    }

    fn call(&mut self, at_ms: u64) -> raw::Line {
        let once = self.rng.random_bool(CALLS_ONCE);
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
        let index = self.owners.sample(&mut self.rng);
        self.plan.deployment.workspaces[index].name.to_owned()
    }

    fn data_centre(&mut self) -> String {
        let all = &self.plan.deployment.data_centres;
        all[self.rng.random_range(0..all.len())].to_owned()
    }

    fn length(&mut self, length: &Length) -> u32 {
        let value = length.median * (length.sigma * self.normal()).exp();
        value.clamp(length.min, length.max).round() as u32
    }

    /// A standard normal value, by the method of Box and Muller.
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

/// The same work under the same key, sent a little later.
fn duplicate(line: &raw::Line) -> raw::Line {
    let mut line = line.clone();
    let (at_ms, id, key) = match &mut line {
        raw::Line::Request(raw) => (&mut raw.at_ms, &mut raw.id, &mut raw.key),
        raw::Line::Call(raw) => (&mut raw.at_ms, &mut raw.id, &mut raw.key),
        raw::Line::Fault(_) | raw::Line::Outcome(_) => return line,
    };
    *at_ms += DUPLICATE_AFTER_MS;
    *key = Some(id.clone());
    id.push_str("-again");
    line
}
