//! What an entry host does besides answering requests: follows the catalogue and the endpoints,
//! tells that it is alive, and, on one host at a time, places layers.

pub mod catalogue;
pub mod endpoints;
mod held_requests;
pub mod host_row;
mod kept_limits;
mod placing;
pub mod roster;
mod tenure;

use std::time::Duration;

use dragonflyrill_store::PlatformError;
use rand::Rng;
use tokio::time;

use crate::gateway::Gateway;

/// The first pause after the store could not be reached.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between tries of the hosts that read for others: a store that is back is
/// noticed within it.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// The longest pause of the others, who read for themselves only while nobody has news.
const LONGEST_PAUSE_OF_OTHERS: Duration = Duration::from_millis(1800);

/// Pauses between tries at a store that is away: longer each time, and spread.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The store has answered. After trouble the other hosts may have it back as well.
    fn succeeded(&mut self, gateway: &Gateway) {
        if self.failures > 0 {
            gateway.peers.forgive();
        }
        self.failures = 0;
    }

    async fn failed(&mut self, gateway: &Gateway) {
        let longest = match gateway.peers.reads_for_others(&gateway.settings) {
            true => LONGEST_PAUSE,
            false => LONGEST_PAUSE_OF_OTHERS,
        };
        let pause = FIRST_PAUSE * 2u32.pow(self.failures.min(5));
        self.failures += 1;
        let spread = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(pause.min(longest).mul_f64(spread)).await;
    }
}

/// How long a read of all there is may take: as long as any read at first, and twice as long each time that
/// it failed, as a long list takes longer on a narrow link: with the same limit each time, a read that
/// does not fit into it would be begun again for ever.
#[derive(Debug, Default)]
struct WholeRead {
    failures: u32,
}

impl WholeRead {
    /// How often the limit is doubled at most: 1.4 s become 11 s.
    const MOST_DOUBLED: u32 = 3;

    /// The limit of a read, whole or not, that usually takes less than `usual`.
    fn limit(&self, whole: bool, usual: Duration) -> Duration {
        match whole {
            true => usual * 2u32.pow(self.failures.min(Self::MOST_DOUBLED)),
            false => usual,
        }
    }

    fn ended<T>(&mut self, result: &Result<T, PlatformError>) {
        self.failures = match result {
            Ok(_) => 0,
            Err(_) => self.failures + 1,
        };
    }
}

/// What a call to the store is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreCall {
    /// Reads the catalogue, and waits for news.
    Catalogue,
    /// Reads the list of endpoints, and waits for news.
    List,
    /// Reads the hosts' own rows.
    Rows,
    /// Writes this host's own row.
    Write,
    /// Writes the row of the lease of placing layers.
    Lease,
}

impl StoreCall {
    fn label(self) -> &'static str {
        match self {
            Self::Catalogue => "catalogue",
            Self::List => "list",
            Self::Rows => "rows",
            Self::Write => "write",
            Self::Lease => "lease",
        }
    }

    /// Makes the call, which ends within `limit`, and counts and times it.
    async fn made<T>(
        self,
        gateway: &Gateway,
        limit: Duration,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let began = time::Instant::now();
        let sent_at = gateway.now();
        let result = match time::timeout(limit, call).await {
            Ok(result) => result,
            Err(_) => {
                let why = "no answer in time".to_owned();
                Err(match self {
                    Self::Write | Self::Lease => PlatformError::Unknown(why),
                    Self::Catalogue | Self::List | Self::Rows => PlatformError::Unavailable(why),
                })
            }
        };
        let metrics = &gateway.metrics;
        let outcome = Outcome::of(&result);
        let labels = [self.label(), outcome.label()];
        metrics.store_calls.with_label_values(&labels).inc();
        let seconds = metrics.store_seconds.with_label_values(&[self.label()]);
        seconds.observe(began.elapsed().as_secs_f64());
        self.note_access(gateway, outcome, sent_at);
        result
    }

    /// Notes what the end of a call says of the store. A write says nothing: one that is refused for
    /// its rate may have met too many others of the same part of a table.
    fn note_access(self, gateway: &Gateway, outcome: Outcome, sent_at: Duration) {
        let now = gateway.now();
        match (self, outcome) {
            (Self::Write | Self::Lease, _) => {}
            (_, Outcome::Answered | Outcome::Unusable) => {
                gateway.note_access(|access| access.answered(sent_at));
            }
            (_, Outcome::Refused | Outcome::Failed) => {
                gateway.note_access(|access| access.failed(now));
            }
        }
    }
}

/// How a call to the store ended, as an operator tells ends apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// With an answer.
    Answered,
    /// With an answer that can't be used.
    Unusable,
    /// Refused for its rate, or turned away: nothing was done.
    Refused,
    /// Without an answer.
    Failed,
}

impl Outcome {
    fn of<T>(result: &Result<T, PlatformError>) -> Self {
        match result {
            Ok(_) | Err(PlatformError::HistoryTrimmed) => Self::Answered,
            Err(PlatformError::Malformed(_) | PlatformError::Rejected { .. }) => Self::Unusable,
            Err(PlatformError::RateLimited { .. }) => Self::Refused,
            Err(
                PlatformError::NotSent(_)
                | PlatformError::Unavailable(_)
                | PlatformError::Unknown(_),
            ) => Self::Failed,
        }
    }

    fn label(self) -> &'static str {
        match self {
            Self::Answered => "ok",
            Self::Unusable => "unusable",
            Self::Refused => "refused",
            Self::Failed => "failed",
        }
    }
}
