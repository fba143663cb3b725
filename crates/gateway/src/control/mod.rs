//! What an entry host does besides answering requests: follows the catalogue and the endpoints,
//! tells that it is alive, and, on one host at a time, places layers.

pub mod catalogue;
pub mod endpoints;
mod placing;
pub mod roster;

use std::time::Duration;

use rand::Rng;

/// The first pause after the store could not be reached.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between tries: a store that is back is noticed within it.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Pauses between tries at a store that is away: longer each time, and spread.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    fn succeeded(&mut self) {
        self.failures = 0;
    }

    async fn failed(&mut self) {
        let pause = FIRST_PAUSE * 2u32.pow(self.failures.min(4));
        self.failures += 1;
        let spread = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(pause.min(LONGEST_PAUSE).mul_f64(spread)).await;
    }
}
