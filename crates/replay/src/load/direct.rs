//! Drives a chain of engines by their own protocol, without the system.

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

/// The only attempt of a request.
const ATTEMPT: u32 = 1;
/// The time that each step is given.
const DEADLINE: Duration = Duration::from_secs(30);

/// One engine and the layers it is to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stage {
    /// The engine.
    pub addr: SocketAddr,
    /// The layers.
    pub layers: Layers,
}

/// A chain of engines.
///
/// Invariant: the layers of its stages cover `0..layers` of the model, each once and in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chain(Vec<Stage>);

impl Chain {
    /// Checks that `stages` cover the `layers` of a model.
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

/// Generates the answer to `arrival`, which must be a generation.
pub async fn run_request(
    context: &CallerContext,
    chain: &Chain,
    index: usize,
    arrival: &Arrival,
    intended: Duration,
) -> Record {
    let mut received = ReceivedTokens::new(context.origin);
    let request = format!(
        "{}/{}-direct-{}",
        arrival.workspace, context.run_id, arrival.key
    );
    let driver = Driver {
        http: &context.http,
        chain,
        request: &request,
        model: arrival_model(arrival),
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
        Work::Call(_) => RequestOutcome::Lost("a call has no chain".to_owned()),
    };
    let ended = context.origin.elapsed();
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

fn arrival_model(arrival: &Arrival) -> &str {
    match &arrival.work {
        Work::Generation(generation) => generation.model.as_str(),
        Work::Call(_) => "",
    }
}

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
            let outputs = self.position(start, inputs).await?;
            let token = *outputs.last().context("a step without outputs")?;
            received.add_token(index, &reference::detokenize(token));
            start += count;
            inputs = vec![token];
        }
        Ok(())
    }

    /// Runs all stages over the positions from `start`.
    async fn position(&self, start: u32, mut values: Vec<u64>) -> anyhow::Result<Vec<u64>> {
        for stage in &self.chain.0 {
            values = self.step(stage, start, values).await?;
        }
        Ok(values)
    }

    async fn step(&self, stage: &Stage, start: u32, inputs: Vec<u64>) -> anyhow::Result<Vec<u64>> {
        let step = Step {
            request: self.request.to_owned(),
            attempt: ATTEMPT,
            model: self.model.to_owned(),
            layers: stage.layers,
            start,
            inputs,
            prefix: Vec::new(),
            priority: 0,
            deadline_ms: DEADLINE.as_millis() as u32,
        };
        let req = self
            .http
            .post(format!("http://{}/v1/steps", stage.addr))
            .timeout(DEADLINE);
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

    /// Frees the slots. An engine that does not hear of it frees them by itself.
    async fn cancel(&self) {
        let cancel = Cancel {
            request: self.request.to_owned(),
            attempt: ATTEMPT,
        };
        for stage in &self.chain.0 {
            let req = self.http.post(format!("http://{}/v1/cancel", stage.addr));
            if let Err(e) = req.send_json(&cancel).await {
                log::debug!("load: cancel at {}: {e}", stage.addr);
            }
        }
    }
}
