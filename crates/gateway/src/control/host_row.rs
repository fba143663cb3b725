//! Keeps this host's row in the store: that it is alive, its claim of a share of the bounds over all
//! hosts, what the process that starts next on it must count as taken, and the requests that this host
//! found no host should send any more.
//!
//! The row is written only at the version that this process knows, so that no late write of an
//! earlier process, or of its own, can take the place of a newer row.

use std::{rc::Rc, time::Duration};

use dragonflyrill_protocol::exchange::{FleetHost, HostRow};
use dragonflyrill_store::PlatformError;
use rand::Rng;
use tokio::time;

use super::{Backoff, StoreCall, held_requests, kept_limits};
use crate::{
    gateway::Gateway,
    ports::{HostRows, Row, RowWriteOutcome},
};

/// Before a host's name in its row's key.
const HOST_ROW: &str = "host/";
/// How often a host writes its row: so often that all hosts together write four rows a second, a
/// hundredth of what the store takes, within bounds for small and large fleets.
const BEAT_PER_HOST: Duration = Duration::from_millis(250);
const SHORTEST_BEAT: Duration = Duration::from_secs(8);
const LONGEST_BEAT: Duration = Duration::from_secs(30);
/// The part of a beat over which the hosts spread the writes that a host that joins waits for.
const JOIN_PART: f64 = 0.1;
/// The part of that which passes before the first of them: hosts that join together are counted by one
/// write.
const JOIN_PAUSE: f64 = 0.5;
/// The part of a beat after which a beat that failed is tried again.
const RETRY_PART: f64 = 0.25;
/// How long a call to the store may take.
pub(super) const CALL: Duration = Duration::from_millis(800);
/// How often it is looked whether anything is due.
const TICK: Duration = Duration::from_millis(100);
/// The least time between two writes: a surge of repeats writes a few times, not for each.
const PAUSE: Duration = Duration::from_millis(20);
/// How much of the store's time a host leaves to each other one before it writes for a surge. The rows
/// are of one part of a table, which takes 5 ms for each write, and the leader lease is in it: all
/// hosts together take half of it at the most.
const PAUSE_PER_HOST: Duration = Duration::from_millis(10);
/// The least time between two writes for limits that endpoints begin or end to name.
const LIMITS_PAUSE: Duration = Duration::from_secs(1);
/// Up to so many hosts write at once in a surge; more spread their writes.
const AT_ONCE: u32 = 16;

/// How often a host of a fleet of so many writes its row.
pub fn beat(hosts: usize) -> Duration {
    let together = BEAT_PER_HOST * hosts.try_into().unwrap_or(u32::MAX);
    together.clamp(SHORTEST_BEAT, LONGEST_BEAT)
}

/// All rows of the hosts' own.
pub struct AllRows {
    /// As they are.
    pub(super) rows: Vec<Row>,
    /// Those of hosts, each with its version.
    pub(super) hosts: Vec<(u64, HostRow)>,
}

/// Reads all rows and takes the claims among them; the first time, also what an earlier process of
/// this host has written in its own.
pub async fn read_all(gateway: &Gateway) -> Result<AllRows, PlatformError> {
    let sent_at = gateway.now();
    let read = gateway.platform.store.rows();
    let read = StoreCall::Rows.made(gateway, CALL, read).await?;
    let hosts = host_rows(&read);
    let me = &gateway.settings.host;
    let own = hosts.iter().find(|(_, row)| row.host.host == *me);
    let as_of = (read.version, read.clock);
    if gateway.bounds.row_version().is_none() {
        kept_limits::take(gateway, &hosts, read.clock);
    }
    gateway
        .bounds
        .merge_rows(&hosts, own, as_of, sent_at, gateway.now());
    held_requests::take(gateway, &hosts, read.clock);
    Ok(AllRows {
        rows: read.rows,
        hosts,
    })
}

/// The hosts' rows among all. One that can't be read is left out.
fn host_rows(read: &HostRows) -> Vec<(u64, HostRow)> {
    let rows = read.rows.iter().filter(|r| r.key.starts_with(HOST_ROW));
    let parsed = rows.filter_map(|row| match serde_json::from_str(&row.value) {
        Ok(found) => Some((row.version, found)),
        Err(e) => {
            log::warn!(target: "roster", row = &*row.key, why:% = e; "A row can't be used.");
            None
        }
    });
    parsed.collect()
}

struct Keeper {
    gateway: Rc<Gateway>,
    /// When the row is written next although nothing has changed; `None` until the rows were read.
    beat_at: Option<Duration>,
    /// When it is written for a host that waits to be counted.
    join_at: Option<Duration>,
    /// When it is written for repeats, if it is to allow more.
    record_at: Option<Duration>,
    /// This host has said that it is about to end.
    left: bool,
    /// By how many it last divided.
    divisor: Option<u32>,
    /// The store was away when it was last looked.
    away: bool,
    /// The endpoints whose limits the row keeps.
    limited: Vec<String>,
    /// Not before then is the row written for other limits.
    limits_at: Duration,
}

/// Keeps the row for as long as the process lives.
pub async fn keep(gateway: Rc<Gateway>) {
    let mut keeper = Keeper {
        gateway: gateway.clone(),
        beat_at: None,
        join_at: None,
        record_at: None,
        left: false,
        divisor: None,
        away: false,
        limited: Vec::new(),
        limits_at: Duration::ZERO,
    };
    let mut backoff = Backoff::default();
    loop {
        keeper.see_store();
        if keeper.due() {
            match keeper.write().await {
                Ok(()) => backoff.succeeded(&gateway),
                Err(e) => {
                    gateway.bounds.record_write_failure();
                    keeper.beat_at = Some(gateway.now() + keeper.beat().mul_f64(RETRY_PART));
                    log::warn!(target: "roster", why:% = e; "This host's row can't be written.");
                    backoff.failed(&gateway).await;
                }
            }
            let hosts = gateway.hosts.get();
            time::sleep(PAUSE.max(PAUSE_PER_HOST * hosts.saturating_sub(AT_ONCE))).await;
        } else {
            tokio::select! {
                () = time::sleep(TICK) => {}
                () = gateway.bounds.write_requested() => {}
            }
        }
        keeper.observe();
    }
}

impl Keeper {
    fn due(&mut self) -> bool {
        let (gateway, bounds) = (&self.gateway, &self.gateway.bounds);
        let now = gateway.now();
        if bounds.row_version().is_none() {
            return false;
        }
        if gateway.leaving() && !self.left {
            bounds.begin_shutdown();
            self.left = true;
            return true;
        }
        if self.away {
            return false;
        }
        let first_beat = self.first_beat();
        self.join_at = match (bounds.awaited(), self.join_at) {
            (false, _) => None,
            (true, Some(at)) => Some(at),
            (true, None) => Some(now + self.join_pause()),
        };
        let joins = self.join_at.is_some_and(|at| at <= now);
        self.record_at = match (bounds.record_due(now), self.record_at) {
            (false, _) => None,
            (true, Some(at)) => Some(at),
            (true, None) => Some(now + self.record_spread()),
        };
        let records = self.record_at.is_some_and(|at| at <= now);
        let beat_at = *self.beat_at.get_or_insert(now + first_beat);
        // Each moment counts in which the hosts may all end.
        let holds = gateway.quarantine.borrow().persist_due();
        let limits = self.limits_at <= now && self.limited_now() != self.limited;
        records || holds || (!self.left && (beat_at <= now || joins || limits))
    }

    /// The endpoints whose limits the row is to keep.
    fn limited_now(&self) -> Vec<String> {
        let kept = kept_limits::to_keep(&self.gateway, Duration::ZERO);
        kept.into_iter().map(|limit| limit.endpoint).collect()
    }

    /// Looks whether the store is away: nothing is written then, and nothing waits for it. What has
    /// become due meanwhile is spread when it is back, as it is due on all hosts.
    fn see_store(&mut self) {
        let gateway = &self.gateway;
        let away = gateway.store_away();
        match (self.away, away) {
            (false, true) => gateway.bounds.record_write_failure(),
            (true, false) => {
                gateway.bounds.clear_write_failure();
                let spread = gateway.now() + self.join_pause();
                self.beat_at = self.beat_at.map(|at| at.max(spread));
            }
            _ => {}
        }
        self.away = away;
    }

    fn record_spread(&self) -> Duration {
        let others = self.gateway.hosts.get().saturating_sub(AT_ONCE);
        (PAUSE_PER_HOST * others).mul_f64(rand::rng().random())
    }

    fn join_pause(&self) -> Duration {
        let longest = self.beat().mul_f64(JOIN_PART);
        longest.mul_f64(rand::rng().random_range(JOIN_PAUSE..1.0))
    }

    /// When the row is written for the first time: what a process of this host wrote before stands until
    /// it would have written it again, so that hosts that were all killed do not all write at once.
    fn first_beat(&self) -> Duration {
        let found = self.gateway.bounds.inherited_row_age();
        found.map_or(Duration::ZERO, |age| self.beat().saturating_sub(age))
    }

    /// How often this host writes its row.
    fn beat(&self) -> Duration {
        beat(self.gateway.hosts.get() as usize)
    }

    async fn write(&mut self) -> Result<(), PlatformError> {
        let gateway = &self.gateway;
        let bounds = &gateway.bounds;
        self.beat_at = Some(gateway.now() + self.beat());
        let catalogue = gateway.catalogue.borrow().clone();
        let services = catalogue.iter().flat_map(|c| c.services());
        let names = services.map(|s| s.name.clone());
        let now = gateway.now();
        let (Some(expected), Some(draft), Some(clock)) = (
            bounds.row_version(),
            bounds.draft(names, now),
            bounds.store_clock(now),
        ) else {
            return Ok(());
        };
        let (mark, holds) = gateway.holds_to_keep();
        let row = HostRow {
            host: myself(gateway),
            claim: Some(draft.claim()),
            repeats: draft.retries(),
            held_requests: held_requests::spelled(&holds, clock),
            endpoint_limits: kept_limits::to_keep(gateway, clock),
        };
        self.limited = row
            .endpoint_limits
            .iter()
            .map(|l| l.endpoint.clone())
            .collect();
        self.limits_at = now + LIMITS_PAUSE;
        let row = serde_json::to_string(&row);
        let row = row.map_err(|e| PlatformError::Malformed(e.to_string()))?;
        let key = format!("{HOST_ROW}{}", gateway.settings.host);
        let write = gateway.platform.store.write(&key, &row, Some(expected));
        match StoreCall::Write.made(gateway, CALL, write).await? {
            RowWriteOutcome::Done(version) => {
                bounds.confirm_write(&draft, version, gateway.now());
                gateway.quarantine.borrow_mut().mark_persisted(mark);
            }
            RowWriteOutcome::Conflict(row) => {
                bounds.set_row_version(row.map_or(0, |r| r.version));
                self.beat_at = Some(Duration::ZERO);
            }
        }
        self.join_at = None;
        self.record_at = None;
        Ok(())
    }

    /// Writes a line when this host's share has changed.
    fn observe(&mut self) {
        let gateway = &self.gateway;
        let divisor = gateway.bounds.divisor(gateway.now());
        if self.divisor == divisor {
            return;
        }
        self.divisor = divisor;
        log::info!(
            target: "roster",
            divisor = divisor.unwrap_or(0),
            hosts = gateway.bounds.hosts().unwrap_or(0);
            "Share of the bounds over all hosts changed."
        );
    }
}

/// This host as others are told of it.
pub(crate) fn myself(gateway: &Gateway) -> FleetHost {
    let settings = &gateway.settings;
    FleetHost {
        host: settings.host.clone(),
        incarnation: gateway.peers.incarnation(),
        addr: settings.peers_announced,
        data_centre: settings.data_centre.to_string(),
    }
}
