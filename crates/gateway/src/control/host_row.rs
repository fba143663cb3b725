//! Writes this host's row in the store. The row shows that the host is alive, and contains its claim of a share of the
//! bounds over all hosts, the retries that the next process of this host must count as used, the requests that this host
//! has quarantined, and the limits that endpoints state.
//!
//! The row is written only on condition that it has the version that this process knows, so that no late write of an
//! earlier process, or of this one, can replace a newer row.

use std::{rc::Rc, time::Duration};

use dragonflyrill_clock::awake;
use dragonflyrill_fleet::{
    quarantine::PersistRevision,
    row_writes::{
        self, JoinWrite, ProofVersions, RefusedWrites, SpreadWrite, WRITE_PAUSE_PER_HOST,
    },
    timeline::Timeline,
};
use dragonflyrill_protocol::exchange::{FleetHost, HostRow, RowWriteResponse};
use dragonflyrill_store::PlatformError;
use rand::Rng;

use super::{Backoff, StoreCall, limit_rows, quarantine_rows};
use crate::{
    gateway::Gateway,
    peers::row_writes as peer_writes,
    ports::{HostRows, Row, RowWrite, RowWriteOutcome, RowsWriteOutcome},
};

/// The prefix of a host's name in the key of its row.
const HOST_ROW: &str = "host/";
/// The interval between a host's writes of its row, per host of the fleet: all hosts together write four rows a second,
/// a hundredth of what the store accepts. The interval is clamped for small and large fleets.
const HEARTBEAT_PER_HOST: Duration = Duration::from_millis(250);
const MIN_HEARTBEAT: Duration = Duration::from_secs(8);
const MAX_HEARTBEAT: Duration = Duration::from_secs(30);
/// The pause before a failed write is retried, as a fraction of the heartbeat interval.
const RETRY_FRACTION: f64 = 0.25;
/// The time limit of a call to the store.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How often the task checks whether a write is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The minimum pause between two writes: a burst of retries causes a few writes, not one for each retry.
const MIN_WRITE_PAUSE: Duration = Duration::from_millis(20);
/// The minimum time between two writes that are caused by endpoints that start or stop stating a limit.
const MIN_LIMITS_WRITE_PAUSE: Duration = Duration::from_secs(1);
/// The minimum time between two writes that are caused by terminations of endpoints.
const MIN_SUSPECTS_WRITE_PAUSE: Duration = Duration::from_secs(1);
/// The largest fleet whose hosts may all write at once in a burst; the hosts of larger fleets spread their writes.
const MAX_CONCURRENT_WRITERS: u32 = 16;

/// The interval at which a host writes its row in a fleet of `hosts` hosts.
pub fn heartbeat_interval(hosts: usize) -> Duration {
    let interval = HEARTBEAT_PER_HOST * hosts.try_into().unwrap_or(u32::MAX);
    interval.clamp(MIN_HEARTBEAT, MAX_HEARTBEAT)
}

/// All rows of the table that the hosts write.
pub struct AllRows {
    /// All rows, unparsed.
    pub(super) rows: Vec<Row>,
    /// The parsed rows of hosts, each with its version.
    pub(super) hosts: Vec<(u64, HostRow)>,
}

/// Reads all rows and merges the claims and the quarantined requests in them. The first read also inherits what an
/// earlier process of this host has written, and the limits of endpoints.
pub async fn read_all(gateway: &Gateway) -> Result<AllRows, PlatformError> {
    let sent_at = gateway.now();
    let read = gateway.platform.store.rows();
    let read = StoreCall::Rows.run(gateway, CALL_TIMEOUT, read).await?;
    if Some(read.revision.timeline) < gateway.timeline() {
        let why = "the rows are from before a restoration of the store".to_owned();
        return Err(PlatformError::Unavailable(why));
    }
    let hosts = parse_host_rows(&read);
    let own_name = &gateway.settings.host;
    let own = hosts.iter().find(|(_, row)| row.host.host == *own_name);
    let as_of = (read.revision.version, read.clock);
    if gateway.bounds.row_version().is_none() {
        limit_rows::merge(gateway, &hosts, read.clock);
    }
    gateway
        .bounds
        .merge_rows(&hosts, own, as_of, sent_at, gateway.now());
    quarantine_rows::merge(gateway, &hosts, read.clock);
    Ok(AllRows {
        rows: read.rows,
        hosts,
    })
}

/// The key of a host's row.
pub(crate) fn row_key(host: &str) -> String {
    format!("{HOST_ROW}{host}")
}

/// Writes the rows of several hosts with one call.
pub(crate) async fn write_rows(
    gateway: &Gateway,
    rows: Vec<RowWrite>,
) -> Result<RowsWriteOutcome, PlatformError> {
    let write = gateway.platform.store.write_rows(rows);
    StoreCall::Write.run(gateway, CALL_TIMEOUT, write).await
}

/// How soon a row must be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Urgency {
    /// A request waits for it, or the fleet would lose what it contains if all hosts ended now.
    AtOnce,
    /// It renews the claim or counts joining hosts, which may wait for some seconds.
    Routine,
}

/// Parses the rows of hosts. A row that can't be parsed is logged and skipped.
fn parse_host_rows(read: &HostRows) -> Vec<(u64, HostRow)> {
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

struct RowWriter {
    gateway: Rc<Gateway>,
    /// The time of the next regular write; `None` until the rows were read.
    heartbeat_at: Option<Duration>,
    /// The write for hosts that wait to be counted.
    join: JoinWrite,
    /// Refusals of writes in a row.
    refused: RefusedWrites,
    /// The polled host could not write this host's row the last time, so that this host writes it itself.
    writes_alone: bool,
    /// Nothing is written before this time, as the store has refused a write for its rate.
    refused_until: Duration,
    /// The next write that permits more retries.
    record: SpreadWrite,
    /// The shutdown of this host has been noticed, and the write for it has been triggered.
    shutdown_recorded: bool,
    /// The last logged number of hosts by which the bounds are divided.
    divisor: Option<u32>,
    /// Whether the store was unavailable at the last check.
    store_unavailable: bool,
    /// The timeline of the store at the last check.
    timeline: Option<Timeline>,
    /// The endpoints whose limits the row contains.
    limited_endpoints: Vec<String>,
    /// The earliest time of the next write that is caused by changed limits.
    limits_at: Duration,
    /// The revision of the suspected requests that the row contains.
    suspects_revision: PersistRevision,
    /// The earliest time of the next write that is caused by terminations of endpoints.
    suspects_at: Duration,
    /// The version of the quarantine up to which the row contains the terminations that this host has proved.
    stored_own_version: u64,
    /// The next write that is caused by such terminations.
    own_terminations: SpreadWrite,
}

/// Writes the row whenever that is due, until the process exits.
pub async fn run(gateway: Rc<Gateway>) {
    let mut writer = RowWriter {
        gateway: gateway.clone(),
        heartbeat_at: None,
        join: JoinWrite::default(),
        refused: RefusedWrites::default(),
        writes_alone: false,
        refused_until: Duration::ZERO,
        record: SpreadWrite::default(),
        shutdown_recorded: false,
        divisor: None,
        store_unavailable: false,
        timeline: None,
        limited_endpoints: Vec::new(),
        limits_at: Duration::ZERO,
        suspects_revision: PersistRevision::default(),
        suspects_at: Duration::ZERO,
        stored_own_version: 0,
        own_terminations: SpreadWrite::default(),
    };
    let mut backoff = Backoff::default();
    loop {
        writer.check_store();
        if let Some(urgency) = writer.due() {
            match writer.write(urgency).await {
                Ok(WriteResult::Superseded | WriteResult::Deferred) => continue,
                Ok(WriteResult::Answered) => {
                    writer.refused.reset();
                    backoff.reset(&gateway);
                }
                Err(e) => {
                    gateway.bounds.record_write_failure();
                    log::warn!(target: "roster", why:% = e; "This host's row can't be written.");
                    writer.defer_retry(&e);
                    backoff.pause(&gateway).await;
                }
            }
            awake::sleep(writer.write_pause(urgency)).await;
        } else {
            tokio::select! {
                () = awake::sleep(CHECK_INTERVAL) => {}
                () = gateway.bounds.write_requested() => {}
            }
        }
        writer.observe();
    }
}

impl RowWriter {
    /// The pause after a write. Only writes that many hosts may make in a burst are paused for longer.
    fn write_pause(&self, urgency: Urgency) -> Duration {
        match urgency {
            Urgency::AtOnce => MIN_WRITE_PAUSE.max(self.burst_spread()),
            Urgency::Routine => MIN_WRITE_PAUSE,
        }
    }

    /// Whether the row is to be written now, and how soon.
    fn due(&mut self) -> Option<Urgency> {
        let (gateway, bounds) = (&self.gateway, &self.gateway.bounds);
        let now = gateway.now();
        let row_version = bounds.row_version()?;
        if gateway.is_shutting_down() && !self.shutdown_recorded {
            bounds.begin_shutdown();
            self.shutdown_recorded = true;
            return Some(Urgency::AtOnce);
        }
        if self.store_unavailable || now < self.refused_until {
            return None;
        }
        let initial_delay = self.initial_delay();
        let spread = self.join_spread();
        let join = self
            .join
            .is_due(bounds.awaited(), spread, now, || rand::rng().random());
        let burst_spread = self.burst_spread();
        let delay = || burst_spread.mul_f64(rand::rng().random());
        let record = self.record.is_due(bounds.record_due(now), now, delay);
        let proofs = self.proof_versions();
        let own_terminations = self.own_terminations.is_due(proofs.owed(), now, delay);
        let own_terminations = own_terminations || proofs.is_urgent();
        let heartbeat_at = *self.heartbeat_at.get_or_insert(now + initial_delay);
        let routine = !self.shutdown_recorded && (heartbeat_at <= now || join);
        // Hosts that start find each other by their first rows.
        let first = routine && row_version == 0;
        if record || own_terminations || self.persistence_due(now) || first {
            return Some(Urgency::AtOnce);
        }
        routine.then_some(Urgency::Routine)
    }

    /// Whether the row lacks what the next processes need. It is written without delay, as all hosts may end at any
    /// moment.
    fn persistence_due(&self, now: Duration) -> bool {
        let gateway = &self.gateway;
        let limits = !self.shutdown_recorded
            && self.limits_at <= now
            && self.current_limited_endpoints() != self.limited_endpoints;
        gateway.quarantine.borrow().persist_due() || self.suspects_due(now) || limits
    }

    /// Waits until a routine write is not to be waited for any longer.
    async fn superseded(&self) {
        let gateway = &self.gateway;
        loop {
            tokio::select! {
                () = gateway.bounds.write_requested() => {}
                () = awake::sleep(CHECK_INTERVAL) => {}
            }
            let now = gateway.now();
            let record = gateway.bounds.record_due(now) && self.record.may_be_due(now);
            let proofs = self.proof_versions();
            let own_terminations =
                proofs.is_urgent() || (proofs.owed() && self.own_terminations.may_be_due(now));
            let urgent = record || own_terminations || self.persistence_due(now);
            if gateway.is_shutting_down() || urgent {
                return;
            }
        }
    }

    /// Whether the suspected requests have changed and this host is to store them. The first change is written without
    /// delay, as all hosts may end at any moment.
    fn suspects_due(&self, now: Duration) -> bool {
        let revision = self.gateway.quarantine.borrow().suspects_revision();
        revision > self.suspects_revision
            && self.suspects_at <= now
            && quarantine_rows::stores_suspects(&self.gateway)
    }

    /// How far the terminations that this host has proved are stored. In a fleet that spreads its writes, the host that
    /// stores the terminations of all also writes those that were reported to it.
    fn proof_versions(&self) -> ProofVersions {
        let gateway = &self.gateway;
        let stored_by_other =
            !self.burst_spread().is_zero() && !quarantine_rows::stores_suspects(gateway);
        ProofVersions {
            proved: gateway.quarantine.borrow().own_termination_version(),
            urgent: gateway.urgent_proof.get(),
            stored: self.stored_own_version,
            reported: stored_by_other.then(|| gateway.peers.reported_suspects_version()),
        }
    }

    /// The endpoints whose limits the row is to contain.
    fn current_limited_endpoints(&self) -> Vec<String> {
        let limits = limit_rows::to_rows(&self.gateway, Duration::ZERO);
        limits.into_iter().map(|limit| limit.endpoint).collect()
    }

    /// Checks whether the store is unavailable. While it is, nothing is written and no request waits for a write. Writes
    /// that have become due meanwhile are spread once the store is available, as they are due on all hosts.
    fn check_store(&mut self) {
        let gateway = &self.gateway;
        let store_unavailable = gateway.store_unavailable();
        match (self.store_unavailable, store_unavailable) {
            (false, true) => gateway.bounds.record_write_failure(),
            (true, false) => {
                gateway.bounds.clear_write_failure();
                let earliest = gateway.now() + self.join_spread().mul_f64(rand::rng().random());
                self.heartbeat_at = self.heartbeat_at.map(|at| at.max(earliest));
            }
            _ => {}
        }
        self.store_unavailable = store_unavailable;
        let timeline = self.gateway.timeline();
        if self.timeline.is_some() && self.timeline != timeline {
            self.rewrite_soon();
        }
        self.timeline = timeline;
    }

    /// Has the row written again, as a restored store may lack its last content. Routine writes of all hosts of a data
    /// centre take one call.
    fn rewrite_soon(&mut self) {
        let now = self.gateway.now();
        let spread = self.join_spread().mul_f64(rand::rng().random());
        self.heartbeat_at = Some(self.heartbeat_at.map_or(now, |at| at.min(now + spread)));
    }

    /// The time over which all hosts spread writes that each of them may owe in a burst.
    fn burst_spread(&self) -> Duration {
        let hosts = self.gateway.hosts.get();
        WRITE_PAUSE_PER_HOST * hosts.saturating_sub(MAX_CONCURRENT_WRITERS)
    }

    /// The time over which all hosts spread writes that they owe at the same moment.
    fn join_spread(&self) -> Duration {
        let hosts = self.gateway.counted_hosts().unwrap_or(1);
        row_writes::join_spread(hosts, self.heartbeat_interval())
    }

    /// Defers the next write after a failed one.
    fn defer_retry(&mut self, error: &PlatformError) {
        let now = self.gateway.now();
        let pause = self.heartbeat_interval().mul_f64(RETRY_FRACTION);
        self.heartbeat_at = Some(now + pause);
        if matches!(error, PlatformError::RateLimited { .. }) {
            let pause = self.refused.record_refusal(rand::rng().random());
            self.refused_until = now + pause;
            self.heartbeat_at = Some(self.refused_until);
        }
    }

    /// The delay of the first write. The row of an earlier process of this host remains valid until that process would
    /// have written it again, so that hosts that were all killed at once do not all write at once.
    fn initial_delay(&self) -> Duration {
        let age = self.gateway.bounds.inherited_row_age();
        age.map_or(Duration::ZERO, |age| {
            self.heartbeat_interval().saturating_sub(age)
        })
    }

    /// The interval at which this host writes its row.
    fn heartbeat_interval(&self) -> Duration {
        heartbeat_interval(self.gateway.hosts.get() as usize)
    }

    async fn write(&mut self, urgency: Urgency) -> Result<WriteResult, PlatformError> {
        let gateway = &self.gateway;
        let bounds = &gateway.bounds;
        self.heartbeat_at = Some(gateway.now() + self.heartbeat_interval());
        let catalogue = gateway.catalogue.borrow().clone();
        let services = catalogue.iter().flat_map(|c| c.services());
        let names = services.map(|s| s.name.clone());
        let now = gateway.now();
        let (Some(expected), Some(draft), Some(clock)) = (
            bounds.row_version(),
            bounds.draft(names, now),
            bounds.store_clock(now),
        ) else {
            // The rows were not read yet, or not since the store was restored.
            self.heartbeat_at = Some(now + CHECK_INTERVAL);
            return Ok(WriteResult::Answered);
        };
        let (revision, records) = gateway.quarantines_to_persist();
        let row = HostRow {
            host: own_host(gateway),
            claim: Some(draft.claim()),
            retries: draft.retries(),
            quarantined_requests: quarantine_rows::to_rows(&records, clock),
            suspected_requests: quarantine_rows::suspects_to_rows(gateway, clock),
            endpoint_limits: limit_rows::to_rows(gateway, clock),
        };
        let suspects_revision = match quarantine_rows::stores_suspects(gateway) {
            true => gateway.quarantine.borrow().suspects_revision(),
            false => self.suspects_revision,
        };
        let own_version = gateway.quarantine.borrow().own_termination_version();
        self.suspects_at = now + MIN_SUSPECTS_WRITE_PAUSE;
        let limits = row.endpoint_limits.iter();
        let limited_endpoints: Vec<String> = limits.map(|l| l.endpoint.clone()).collect();
        self.limits_at = now + MIN_LIMITS_WRITE_PAUSE;
        let row = serde_json::to_string(&row);
        let row = row.map_err(|e| PlatformError::Malformed(e.to_string()))?;
        match self.write_row(&row, expected, urgency).await? {
            WrittenRow::Done(version) => {
                bounds.confirm_write(&draft, version, gateway.now());
                gateway.quarantine.borrow_mut().mark_persisted(revision);
                self.suspects_revision = suspects_revision;
                self.stored_own_version = own_version;
                self.limited_endpoints = limited_endpoints;
            }
            WrittenRow::Conflict(version) => {
                bounds.set_row_version(version);
                self.heartbeat_at = Some(Duration::ZERO);
            }
            WrittenRow::Superseded => {
                self.heartbeat_at = Some(now);
                return Ok(WriteResult::Superseded);
            }
            WrittenRow::Refused => {
                let pause = self.heartbeat_interval().mul_f64(RETRY_FRACTION);
                self.heartbeat_at = Some(gateway.now() + pause.mul_f64(rand::rng().random()));
                self.join.record_write();
                self.writes_alone = true;
                return Ok(WriteResult::Deferred);
            }
        }
        self.writes_alone = false;
        self.join.record_write();
        self.record.record_write();
        self.own_terminations.record_write();
        Ok(WriteResult::Answered)
    }

    /// Writes this host's row if it has the version `expected`. A routine write is made by the polled host together with
    /// those of other hosts; this host no longer waits for it once another write is requested.
    async fn write_row(
        &self,
        row: &str,
        expected: u64,
        urgency: Urgency,
    ) -> Result<WrittenRow, PlatformError> {
        let gateway = &self.gateway;
        if urgency == Urgency::Routine && !self.writes_alone {
            let written = tokio::select! {
                written = peer_writes::write_by_polled_host(gateway, row, expected) => written,
                () = self.superseded() => return Ok(WrittenRow::Superseded),
            };
            match written {
                Some(RowWriteResponse::Done(version)) => return Ok(WrittenRow::Done(version)),
                Some(RowWriteResponse::Conflict(version)) => {
                    return Ok(WrittenRow::Conflict(version));
                }
                Some(RowWriteResponse::NotWritten) => return Ok(WrittenRow::Refused),
                Some(RowWriteResponse::Unknown) | None => {}
            }
        }
        let key = row_key(&gateway.settings.host);
        let write = gateway.platform.store.write(&key, row, Some(expected));
        let outcome = StoreCall::Write.run(gateway, CALL_TIMEOUT, write).await?;
        Ok(match outcome {
            RowWriteOutcome::Done(version) => WrittenRow::Done(version),
            RowWriteOutcome::Conflict(row) => WrittenRow::Conflict(row.map_or(0, |r| r.version)),
        })
    }

    /// Logs a change of this host's share.
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

/// The outcome of a write of this host's row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WrittenRow {
    /// The row has this version now.
    Done(u64),
    /// Nothing was written: the row has this version, 0 if it does not exist.
    Conflict(u64),
    /// The row may be written later by the polled host. A newer content is to be written at once.
    Superseded,
    /// The polled host has not written the row. If the store has refused its call, it would refuse those of all
    /// hosts whose rows were in it as well.
    Refused,
}

/// Whether a write of the row was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteResult {
    Answered,
    /// The row is due again at once, with another content.
    Superseded,
    /// The row is due again after a while.
    Deferred,
}

/// The description of this host that other hosts receive.
pub(crate) fn own_host(gateway: &Gateway) -> FleetHost {
    let settings = &gateway.settings;
    FleetHost {
        host: settings.host.clone(),
        incarnation: gateway.peers.incarnation(),
        addr: settings.peers_announced,
        data_centre: settings.data_centre.to_string(),
    }
}
