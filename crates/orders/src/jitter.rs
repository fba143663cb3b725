//! Seeded jitter of delays.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Multiplies delays by pseudorandom factors around 1; the sequence depends only on the seed.
///
/// Stores only the seed and the number of draws, so that a state that contains it can be compared
/// and hashed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Jitter {
    seed: u64,
    draw_count: u64,
    /// The largest change of a delay in either direction, in percent of the delay; 0 to 100.
    max_percent: u32,
}

impl Jitter {
    pub(crate) fn new(seed: u64, max_percent: u32) -> Self {
        Self {
            seed,
            draw_count: 0,
            max_percent: max_percent.min(100),
        }
    }

    /// Returns `mean` changed by a pseudorandom amount of at most `max_percent` percent.
    pub(crate) fn apply(&mut self, mean: Duration) -> Duration {
        if self.max_percent == 0 {
            return mean;
        }
        self.draw_count += 1;
        let mut rng = Pcg32::seed_from_u64(self.seed ^ self.draw_count.rotate_left(32));
        let percent = rng.random_range(100 - self.max_percent..=100 + self.max_percent);
        mean * percent / 100
    }
}
