//! The delayed load report of an engine.

use std::collections::VecDeque;

/// The load at one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Load {
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) sessions: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    at_ms: u64,
    load: Load,
}

/// The load over the last `lag_ms`, with at most one sample a millisecond.
#[derive(Debug)]
pub(super) struct LoadHistory {
    lag_ms: u64,
    /// The newest load that is at least `lag_ms` old.
    reported: Load,
    /// Newer samples, oldest first.
    samples: VecDeque<Sample>,
}

impl LoadHistory {
    pub(super) fn new(lag_ms: u64) -> Self {
        Self {
            lag_ms,
            reported: Load::default(),
            samples: VecDeque::new(),
        }
    }

    pub(super) fn record(&mut self, now_ms: u64, running: u32, waiting: u32, sessions: u32) {
        let load = Load {
            running,
            waiting,
            sessions,
        };
        match self.samples.back_mut() {
            Some(last) if last.at_ms == now_ms => last.load = load,
            _ => self.samples.push_back(Sample {
                at_ms: now_ms,
                load,
            }),
        }
        self.advance(now_ms);
    }

    /// The load at the time `now_ms - lag_ms`.
    pub(super) fn reported(&mut self, now_ms: u64) -> Load {
        self.advance(now_ms);
        self.reported
    }

    fn advance(&mut self, now_ms: u64) {
        let old = |sample: &mut Sample| sample.at_ms.saturating_add(self.lag_ms) <= now_ms;
        while let Some(sample) = self.samples.pop_front_if(old) {
            self.reported = sample.load;
        }
    }
}
