//! A rough model of the engines of a chain.
//!
//! A chain has memory for a number of tokens, and its steps take longer the more requests it runs. A
//! prompt that does not fit waits for memory, and is refused if many wait. While the running requests
//! grow beyond the memory, the newest is preempted; it reads its prompt again once there is room.

use std::collections::VecDeque;

use dragonflyrill_fleet::chains::{self, Chain};

use crate::common::{STREAM, endpoint, engine};

/// Duration of a step of the model, in ms.
pub(crate) const STEP_MS: u64 = 10;
/// Number of data centres; chains and hosts are in each in turn.
pub(crate) const DATA_CENTRES: usize = 3;
/// Maximum fraction of its time that an engine spends on prompts.
const MAX_PREFILL_FRACTION: f64 = 0.6;
/// Number of requests that wait in an engine for memory before it refuses more. Requests then wait
/// for about the time that a first event may take, so that most are late, as is measured in surges of
/// real hosts without admission; with 8, engines would refuse instead and few would be late.
const MAX_WAITING: usize = 16;
/// Prompt tokens of each rank; the most urgent has the longest prompts.
const PROMPT_TOKENS: [f64; 3] = [900.0, 700.0, 570.0];
/// Lengths of answers, in tokens, of which hosts know the mean only.
pub(crate) const ANSWER_TOKENS: std::ops::Range<f64> = 20.0..388.0;

#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) rank: usize,
    pub(crate) host: usize,
    pub(crate) chain: usize,
    pub(crate) answer_tokens: f64,
    pub(crate) arrived_ms: u64,
    pub(crate) returning: bool,
}

impl Attempt {
    pub(crate) fn prompt_tokens(&self) -> f64 {
        PROMPT_TOKENS[self.rank]
    }

    /// Tokens by which hosts count it.
    pub(crate) fn expected_tokens(&self) -> f64 {
        self.prompt_tokens() + STREAM.answer_tokens
    }
}

/// A request at an engine.
#[derive(Debug)]
pub(crate) struct Run {
    attempt: Attempt,
    /// Tokens that the engine still has to read.
    unread: f64,
    generated: f64,
    last_event_ms: Option<u64>,
    late: bool,
}

impl Run {
    fn held_tokens(&self) -> f64 {
        self.attempt.prompt_tokens() + self.generated
    }

    /// Counts the time to an event against its target; returns whether it was the first event.
    fn record_progress(&mut self, now_ms: u64) -> bool {
        let (since, target_ms) = match self.last_event_ms {
            Some(at) => (at, STREAM.max_gap_ms),
            None => (self.attempt.arrived_ms, STREAM.first_event_target_ms),
        };
        self.late |= (now_ms - since) as f64 > target_ms;
        self.last_event_ms.replace(now_ms).is_none()
    }
}

/// What happened to a request at an engine.
pub(crate) enum Event {
    First(Attempt),
    End { attempt: Attempt, late: bool },
}

/// The engines of a chain.
pub(crate) struct ChainModel {
    token_ms: f64,
    token_ms_per_request: f64,
    read_ms_per_token: f64,
    /// Memory, in tokens.
    capacity: f64,
    /// Oldest first.
    pub(crate) running: Vec<Run>,
    /// Requests without memory; oldest first.
    pub(crate) waiting: VecDeque<Run>,
    pub(crate) preemptions: u32,
}

impl ChainModel {
    pub(crate) fn new(chain: &Chain) -> Self {
        let tokens = |s: &chains::Stage| s.capacity / f64::from(s.layers.count());
        Self {
            token_ms: chain.token_ms,
            token_ms_per_request: chain.stages.iter().map(|s| s.token_ms_per_request).sum(),
            read_ms_per_token: chain.bottleneck_prefill_ms,
            capacity: chain
                .stages
                .iter()
                .map(tokens)
                .fold(f64::INFINITY, f64::min),
            running: Vec::new(),
            waiting: VecDeque::new(),
            preemptions: 0,
        }
    }

    fn held_tokens(&self) -> f64 {
        self.running.iter().map(Run::held_tokens).sum()
    }

    /// Takes a request; returns false if it is refused because too many wait already.
    pub(crate) fn submit(&mut self, attempt: Attempt) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        self.waiting.push_back(Run {
            attempt,
            unread: attempt.prompt_tokens(),
            generated: 0.0,
            last_event_ms: None,
            late: false,
        });
        self.start_waiting();
        true
    }

    fn preempt_newest(&mut self) {
        while self.held_tokens() > self.capacity {
            let Some(mut newest) = self.running.pop() else {
                return;
            };
            newest.unread = newest.held_tokens();
            self.waiting.push_front(newest);
            self.preemptions += 1;
        }
    }

    fn start_waiting(&mut self) {
        while let Some(next) = self.waiting.front() {
            if self.held_tokens() + next.held_tokens() > self.capacity {
                return;
            }
            self.running.extend(self.waiting.pop_front());
        }
    }

    /// Runs until `now_ms`, one step later.
    pub(crate) fn step(&mut self, now_ms: u64, events: &mut Vec<Event>) {
        self.start_waiting();
        let mut left_ms = STEP_MS as f64 * MAX_PREFILL_FRACTION;
        for run in &mut self.running {
            let read = run.unread.min(left_ms / self.read_ms_per_token);
            run.unread -= read;
            left_ms -= read * self.read_ms_per_token;
        }
        let decoding_ms = STEP_MS as f64 * (1.0 - MAX_PREFILL_FRACTION) + left_ms;
        let token_ms = self.token_ms + self.token_ms_per_request * self.running.len() as f64;
        for run in self.running.iter_mut().filter(|run| run.unread <= 0.0) {
            run.generated += decoding_ms / token_ms;
            if run.generated >= STREAM.tokens_per_event && run.record_progress(now_ms) {
                events.push(Event::First(run.attempt));
            }
        }
        let ended = |run: &mut Run| run.generated >= run.attempt.answer_tokens;
        events.extend(self.running.extract_if(.., ended).map(|run| Event::End {
            attempt: run.attempt,
            late: run.late,
        }));
        self.preempt_newest();
    }
}

/// Chains of separate endpoints, in turn fast and slow, in turn in each data centre.
pub(crate) fn separate_chains(count: usize) -> Vec<Chain> {
    let fast = [("a100", 0, 32), ("a100", 32, 64), ("l40s", 64, 80)];
    let slow = [
        ("l40s", 0, 20),
        ("l40s", 20, 40),
        ("l40s", 40, 60),
        ("l40s", 60, 80),
    ];
    let chain = |n: usize| {
        let stages = if n.is_multiple_of(2) {
            &fast[..]
        } else {
            &slow[..]
        };
        let data_centre = format!("z{}", n % DATA_CENTRES);
        let new = |(i, (kind, first, end)): (usize, &(&str, u32, u32))| {
            endpoint(&format!("{n}-{i}"), &data_centre, kind, *first, *end)
        };
        let endpoints: Vec<_> = stages.iter().enumerate().map(new).collect();
        chains::find(&engine(), endpoints.iter().map(|e| (e, 1.0))).swap_remove(0)
    };
    (0..count).map(chain).collect()
}

/// Typical requests per second at which the planned memory of a chain is full.
pub(crate) fn saturation_per_s(chain: &Chain) -> f64 {
    const PLANNED_MEMORY_FRACTION: f64 = 0.9;
    let model = ChainModel::new(chain);
    let tokens = STREAM.prompt_tokens + STREAM.answer_tokens;
    let requests = PLANNED_MEMORY_FRACTION * model.capacity / tokens;
    let token_ms = model.token_ms + model.token_ms_per_request * requests;
    let alone_ms = STREAM.answer_tokens * token_ms + STREAM.prompt_tokens * model.read_ms_per_token;
    // Each request is delayed by the prompts that are read meanwhile.
    let ms = alone_ms + requests * STREAM.prompt_tokens * model.read_ms_per_token;
    requests / ms * 1000.0
}
