//! The background tasks of an entry host: they follow the catalogue and the list of endpoints, maintain this host's
//! row in the store, which shows that the host is alive, and, on one host at a time, place layers on engines.

pub mod catalogue;
pub mod endpoints;
pub mod host_row;
mod limit_rows;
mod placing;
mod quarantine_rows;
pub mod roster;
mod tenure;

use std::time::Duration;

use dragonflyrill_clock::awake;
use dragonflyrill_store::PlatformError;
use rand::Rng;

use crate::{gateway::Gateway, ports::StoreRevision};

/// The pause after the first failed call to the store.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The maximum pause between attempts of a host that reads the store for others: it notices within this time that the
/// store is available again.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);
/// The maximum pause of other hosts, which read the store themselves only while no host that they can poll has current
/// data.
const MAX_RETRY_PAUSE_OF_OTHERS: Duration = Duration::from_millis(1800);

/// Exponential backoff, with jitter, between calls to an unavailable store.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Resets the pause after the store has answered. If calls have failed before, hosts that this host has stopped
    /// polling may be polled again, as the store may be available to them too.
    fn reset(&mut self, gateway: &Gateway) {
        if self.failures > 0 {
            gateway.peers.clear_skipped();
        }
        self.failures = 0;
    }

    async fn pause(&mut self, gateway: &Gateway) {
        let max = match gateway.peers.is_polled_host(&gateway.settings) {
            true => MAX_RETRY_PAUSE,
            false => MAX_RETRY_PAUSE_OF_OTHERS,
        };
        let pause = MIN_RETRY_PAUSE * 2u32.pow(self.failures.min(5));
        self.failures += 1;
        let jitter = rand::rng().random_range(0.5..1.0);
        gateway.clock().sleep(pause.min(max).mul_f64(jitter)).await;
    }
}

/// The time limit of reads of the complete list. It starts at the limit of any other read and is doubled after each
/// failure, as a long list takes longer on a narrow link: with a constant limit, a read that takes longer than the limit
/// would be retried for ever.
#[derive(Debug, Default)]
struct ReadLimit {
    failures: u32,
}

impl ReadLimit {
    /// The maximum number of times that the limit is doubled: 1.4 s become 11 s.
    const MAX_DOUBLINGS: u32 = 3;

    /// The time limit of the next read; `base` is the limit of a read that is not of the complete list.
    fn limit(&self, complete: bool, base: Duration) -> Duration {
        match complete {
            true => base * 2u32.pow(self.failures.min(Self::MAX_DOUBLINGS)),
            false => base,
        }
    }

    fn record<T>(&mut self, result: &Result<T, PlatformError>) {
        self.failures = match result {
            Ok(_) => 0,
            Err(_) => self.failures + 1,
        };
    }
}

/// Whether the answer to a read of the changes after `after`, or to a read in full if that is `None`, can be applied. If
/// the store was restored from a copy, the answer may lack changes or may be outdated, and the next read is one in full.
fn continues(gateway: &Gateway, after: Option<StoreRevision>, answer: StoreRevision) -> bool {
    let latest = gateway.timeline().unwrap_or_default();
    answer.timeline >= latest && after.is_none_or(|after| after.is_continued_by(answer))
}

/// The purpose of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreCall {
    /// Reads the catalogue, and may wait for a change.
    Catalogue,
    /// Reads the list of endpoints, and may wait for changes.
    List,
    /// Reads the rows that the hosts write.
    Rows,
    /// Writes this host's row.
    Write,
    /// Writes the row of the lease for placing layers.
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

    fn is_write(self) -> bool {
        match self {
            Self::Write | Self::Lease => true,
            Self::Catalogue | Self::List | Self::Rows => false,
        }
    }

    /// Runs the call with the time limit `limit`, and records its outcome and duration. A write that exceeds the limit
    /// fails with [`PlatformError::Unknown`], a read with [`PlatformError::Unavailable`].
    async fn run<T>(
        self,
        gateway: &Gateway,
        limit: Duration,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let started_at = awake::Instant::now();
        let sent_at = gateway.now();
        let timeline = gateway.timeline();
        let result = match awake::timeout(limit, call).await {
            Ok(result) => result,
            Err(_) => {
                let why = "no answer in time".to_owned();
                Err(match self.is_write() {
                    true => PlatformError::Unknown(why),
                    false => PlatformError::Unavailable(why),
                })
            }
        };
        if let Some(stated) = gateway.platform.store.timeline() {
            gateway.observe_timeline(stated, "store");
        }
        let restored = timeline.is_some() && timeline != gateway.timeline();
        let result = match result {
            // The condition of the write, or what it has written, belongs to the timeline before.
            Ok(_) if restored && self.is_write() => {
                let why = "the store was restored during the write".to_owned();
                Err(PlatformError::Unknown(why))
            }
            result => result,
        };
        let metrics = &gateway.metrics;
        let outcome = StoreCallOutcome::of(&result);
        let labels = [self.label(), outcome.label()];
        metrics.store_calls.with_label_values(&labels).inc();
        let seconds = metrics.store_seconds.with_label_values(&[self.label()]);
        seconds.observe(started_at.elapsed().as_secs_f64());
        self.note_access(gateway, outcome, sent_at);
        result
    }

    /// Records what the outcome of a call implies for the availability of the store. Writes are ignored: a write may be
    /// refused for its rate because of too many other writes to the same part of a table.
    fn note_access(self, gateway: &Gateway, outcome: StoreCallOutcome, sent_at: Duration) {
        let now = gateway.now();
        match (self, outcome) {
            (Self::Write | Self::Lease, _) => {}
            (_, StoreCallOutcome::Answered | StoreCallOutcome::Unusable) => {
                gateway.record_store_access(|access| access.answered(sent_at));
            }
            (_, StoreCallOutcome::Refused | StoreCallOutcome::Failed) => {
                gateway.record_store_access(|access| access.failed(now));
            }
        }
    }
}

/// The outcome of a call to the store, as metrics distinguish it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreCallOutcome {
    /// The store answered.
    Answered,
    /// The store answered, but the answer can't be used.
    Unusable,
    /// The store refused the call, for its rate or otherwise, and did nothing.
    Refused,
    /// There was no answer.
    Failed,
}

impl StoreCallOutcome {
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
