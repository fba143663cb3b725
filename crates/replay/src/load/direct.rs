//! Drives a chain of engines directly through their HTTP interface, without an entry host.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, bail, ensure};
use dragonflyrill_engines::wire::{Cancel, Layers, Step, StepOutcome, StepResult};
use dragonflyrill_standins::reference;

use crate::{
    client::{CallerContext, stream::ReceivedTokens},
    prompt,
    record::{Answer, Record, RequestOutcome},
    trace::{Arrival, Work, checked::Generation},
};

/// The attempt number of all steps. A request is attempted once.
const ATTEMPT: u32 = 1;
/// The deadline of each step.
const STEP_DEADLINE: Duration = Duration::from_secs(30);

/// One stage of a chain: an engine and the layers that it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stage {
    /// The address of the engine.
    pub addr: SocketAddr,
    /// The layers of the stage.
    pub layers: Layers,
}

/// A chain of engines.
///
/// Invariant: the layers of its stages cover `0..layers` of the model, each once and in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chain(Vec<Stage>);

impl Chain {
    /// Creates a chain. Fails if `stages` do not cover the layers `0..layers` in order.
    pub fn new(stages: Vec<Stage>, layers: u32) -> anyhow::Result<Self> {
        let mut next = 0;
        for stage in &stages {
            let found = stage.layers;
            ensure!(found.first == next, "--chain: {found} follows layer {next}");
            next = found.end;
        }
        ensure!(next == layers, "--chain: ends at layer {next} of {layers}");
        Ok(Self(stages))
    }
}

/// Runs the generation of `arrival` on `chain` and returns its record. The outcome is
/// [`RequestOutcome::Lost`] if `arrival` is a call.
pub async fn run_request(
    caller_context: &CallerContext,
    chain: &Chain,
    index: usize,
    arrival: &Arrival,
    intended: Duration,
) -> Record {
    let mut received = ReceivedTokens::new(caller_context.origin);
    let request = format!(
        "{}/{}-direct-{}",
        arrival.workspace, caller_context.run_id, arrival.key
    );
    let driver = Driver {
        http: &caller_context.http,
        chain,
        request: &request,
        model: model_of(arrival),
    };
    let outcome = match &arrival.work {
        Work::Generation(generation) => {
            let prompt = prompt::text(arrival, generation.prompt_tokens);
            let done = driver.generate(generation, &prompt, &mut received).await;
            match done {
                Ok(()) => RequestOutcome::Answered(Answer::Tokens(received.tokens().to_vec())),
                Err(e) => RequestOutcome::Lost(format!("{e:#}")),
            }
        }
        Work::Call(_) => RequestOutcome::Lost("a call cannot be run on a chain".to_owned()),
    };
    let ended = caller_context.origin.elapsed();
    driver.cancel().await;
    Record {
        arrival: index,
        intended,
        first_token: received.first_token_at(),
        streamed: received.tokens().to_vec(),
        inter_token_gaps: received.take_inter_token_gaps(),
        ended,
        attempts: 1,
        protocol_errors: received.take_protocol_errors(),
        outcome,
    }
}

/// The model of a generation; empty for a call.
fn model_of(arrival: &Arrival) -> &str {
    match &arrival.work {
        Work::Generation(generation) => generation.model.as_str(),
        Work::Call(_) => "",
    }
}

/// Drives the steps of one request.
struct Driver<'a> {
    http: &'a awc::Client,
    chain: &'a Chain,
    request: &'a str,
    model: &'a str,
}

impl Driver<'_> {
    async fn generate(
        &self,
        generation: &Generation,
        prompt: &str,
        received: &mut ReceivedTokens,
    ) -> anyhow::Result<()> {
        let mut inputs = reference::tokenize(prompt);
        let mut start = 0;
        for index in 0..generation.max_tokens as usize {
            let count = inputs.len() as u32;
            let outputs = self.run_chain(start, inputs).await?;
            let token = *outputs.last().context("the step returned no outputs")?;
            received.add_token(index, &reference::detokenize(token));
            start += count;
            inputs = vec![token];
        }
        Ok(())
    }

    /// Runs all stages on the positions from `start` and returns the outputs of the last stage.
    async fn run_chain(&self, start: u32, mut values: Vec<u64>) -> anyhow::Result<Vec<u64>> {
        for stage in &self.chain.0 {
            values = self.run_step(stage, start, values).await?;
        }
        Ok(values)
    }

    async fn run_step(
        &self,
        stage: &Stage,
        start: u32,
        inputs: Vec<u64>,
    ) -> anyhow::Result<Vec<u64>> {
        let step = Step {
            request: self.request.to_owned(),
            attempt: ATTEMPT,
            model: self.model.to_owned(),
            layers: stage.layers,
            start,
            inputs,
            prefix: Vec::new(),
            priority: 0,
            deadline_ms: STEP_DEADLINE.as_millis() as u32,
        };
        let req = self
            .http
            .post(format!("http://{}/v1/steps", stage.addr))
            .timeout(STEP_DEADLINE);
        let sent = req.send_body(serde_json::to_vec(&step)?).await;
        let mut res = sent.map_err(|e| anyhow::anyhow!("{e}"))?;
        ensure!(res.status().is_success(), "step: status {}", res.status());
        let body = res.body().await.map_err(|e| anyhow::anyhow!("{e}"))?;
        let result: StepResult = serde_json::from_slice(&body)?;
        match result.outcome {
            StepOutcome::Done { outputs, .. } => Ok(outputs),
            StepOutcome::Refused { reason, expected } => {
                bail!("step at {start} refused: {reason:?}, expected {expected}")
            }
        }
    }

    /// Releases the resources of the request on all engines. An engine that does not receive the
    /// cancellation releases them by itself.
    async fn cancel(&self) {
        let cancel = Cancel {
            request: self.request.to_owned(),
            attempt: ATTEMPT,
        };
        for stage in &self.chain.0 {
            let req = self.http.post(format!("http://{}/v1/cancel", stage.addr));
            if let Err(e) = req.send_json(&cancel).await {
                log::debug!("load: failed to cancel at {}: {e}", stage.addr);
            }
        }
    }
}
