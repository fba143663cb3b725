//! Counts the hosts that are alive, and acquires and renews the lease for placing layers. Starts the tasks that write
//! this host's row and that place layers.

use std::{rc::Rc, time::Duration};

use dragonflyrill_clock::awake;
use dragonflyrill_fleet::{
    leader_lease::{LeaderLease, LeaseRecord, NO_HOLDER, Step, WriteOutcome},
    timeline::Timeline,
};
use dragonflyrill_protocol::exchange::{FleetHost, HostRow, LeaseRow};
use dragonflyrill_store::PlatformError;
use futures_util::future;
use rustc_hash::FxHashMap;

use super::{
    Backoff, StoreCall,
    host_row::{self, AllRows, CALL_TIMEOUT, heartbeat_interval, own_host},
    placing,
    tenure::LeaseState,
};
use crate::{
    gateway::Gateway,
    ports::{Row, RowWriteOutcome},
};

/// The key of the row of the lease for placing layers.
const LEASE_ROW: &str = "placement";
/// How long the lease's row must remain unchanged before another host acquires the lease: two renewals may be lost, and
/// missing layers are placed within three seconds after the holder has ended.
const LEASE_TERM: Duration = Duration::from_millis(2400);
/// The interval at which hosts that don't hold the lease read the rows.
const LEASE_READ_INTERVAL: Duration = Duration::from_millis(1200);
/// The number of heartbeat intervals for which a host's row may remain unchanged before the host no longer counts as
/// alive: two writes may be lost.
const ALIVE_HEARTBEATS: f64 = 2.5;
/// How often the task checks whether a read or a write is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The same for a host that has just started and does not serve requests yet.
const DISCOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The maximum time since its start that a host waits for its row to be written before it reads the rows once more, to
/// discover the hosts that started with it: the store writes some 200 rows a second.
const MAX_DISCOVERY_WAIT: Duration = Duration::from_millis(1500);
/// The interval at which hosts that read the store for others read the rows.
const ROWS_READ_INTERVAL: Duration = Duration::from_millis(1200);

struct Roster {
    gateway: Rc<Gateway>,
    me: String,
    lease: LeaderLease,
    /// The rows of hosts, by name: the version, when this version was first read, and the host's description.
    hosts: FxHashMap<String, (u64, Duration, FleetHost)>,
    read_at: Option<Duration>,
    discovery: Discovery,
    lease_state: Rc<LeaseState>,
    /// The timeline of the store that the state of the lease belongs to.
    timeline: Option<Timeline>,
}

/// How far a host that has just started has discovered the other hosts. If all hosts start at once, their first reads of
/// the rows show no other host, and without a second read each host would read the catalogue and the list from the
/// store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Discovery {
    /// The host has not read the rows.
    NoRows,
    /// The host has read the rows, and they contain neither a host that it can poll nor its own row. Its row is written
    /// after those of most hosts that started with it, so that it reads the rows once more after that write.
    NoPeers,
    /// The host knows which host to poll, or that it is the first.
    Settled,
}

/// Runs the tasks that follow the rows and the lease, write this host's row and place layers, until the process exits.
pub async fn run(gateway: Rc<Gateway>, incarnation: u64) {
    gateway.peers.set_incarnation(incarnation);
    let lease_state = Rc::new(LeaseState::default());
    future::join3(
        host_row::run(gateway.clone()),
        placing::run(gateway.clone(), lease_state.clone()),
        follow(gateway, incarnation, lease_state),
    )
    .await;
}

async fn follow(gateway: Rc<Gateway>, incarnation: u64, lease_state: Rc<LeaseState>) {
    let me = format!("{} {incarnation}", gateway.settings.host);
    let mut roster = Roster {
        lease: LeaderLease::new(me.clone(), LEASE_TERM, LEASE_READ_INTERVAL),
        me,
        gateway: gateway.clone(),
        hosts: FxHashMap::default(),
        read_at: None,
        discovery: Discovery::NoRows,
        lease_state,
        timeline: None,
    };
    let mut backoff = Backoff::default();
    loop {
        match roster.round().await {
            Ok(()) => backoff.reset(&gateway),
            Err(e) => {
                // Without the rows this host knows no host that it could poll.
                roster.settle();
                log::warn!(target: "roster", why:% = e; "The hosts' rows can't be read or the lease can't be written.");
                backoff.pause(&gateway).await;
            }
        }
        let tick = match roster.discovery {
            Discovery::Settled => CHECK_INTERVAL,
            Discovery::NoRows | Discovery::NoPeers => DISCOVERY_CHECK_INTERVAL,
        };
        awake::sleep(tick).await;
    }
}

impl Roster {
    async fn round(&mut self) -> Result<(), PlatformError> {
        let now = self.gateway.now();
        self.check_timeline();
        self.merge_reported_lease(now);
        let held = self.lease.held(now);
        if self.gateway.is_shutting_down() {
            self.lease.shut_down();
        }
        self.publish_lease();
        match self.lease.step(now) {
            // The lease is not released while orders are pending: the next holder would consider an engine empty that
            // has started to load layers.
            Step::Release { .. } if self.lease_state.has_pending_orders() => {}
            Step::Release { expected } => self.write(NO_HOLDER, expected).await?,
            _ if self.rereads_rows(now) => self.read().await?,
            Step::Read | Step::Write { .. } if !self.may_call_store(now) => {}
            Step::Read => self.read().await?,
            Step::Write { expected } => {
                let me = self.me.clone();
                self.write(&me, expected).await?;
            }
            Step::Wait if self.rows_due(now) => self.read().await?,
            Step::Wait => {}
        }
        self.check_timeline();
        self.publish_lease();
        let now = self.gateway.now();
        if held != self.lease.held(now) {
            let holder = self.lease.holder().unwrap_or("-");
            log::info!(target: "roster", held = !held, holder = holder; "Lease of placing layers changed.");
        }
        Ok(())
    }

    /// Discards the state of the lease if the store was restored.
    fn check_timeline(&mut self) {
        let timeline = self.gateway.timeline();
        if self.timeline.is_some() && self.timeline != timeline {
            self.lease.record_restoration();
        }
        self.timeline = timeline;
    }

    /// Publishes the state of the lease to the task that places layers.
    fn publish_lease(&self) {
        self.lease_state
            .set(self.lease.is_own(), self.lease.held_until());
    }

    /// Merges the row of the lease that the polled host reported, while this host does not read the store itself.
    fn merge_reported_lease(&mut self, now: Duration) {
        if self.gateway.reads_store() || self.read_at.is_none() {
            return;
        }
        if let Some(reported) = self.gateway.peers.lease() {
            self.lease.record_report(now, reported_record(&reported));
        }
    }

    /// Whether this host may read and write the row of the lease: on its first read, if it reads the store for others,
    /// or if it holds the lease. Without this limit all hosts would try at once to acquire a lease that is not renewed
    /// because the store is unavailable or its holder has ended.
    fn may_call_store(&self, now: Duration) -> bool {
        let first = self.read_at.is_none();
        first || self.gateway.reads_available_store() || self.lease.is_own() || self.lease.held(now)
    }

    /// Whether the rows are to be read although the lease does not require it: on the first read, and regularly by hosts
    /// that read the store for others.
    fn rows_due(&self, now: Duration) -> bool {
        let due = |at: Duration| at + ROWS_READ_INTERVAL <= now;
        self.read_at.is_none()
            || (self.gateway.reads_available_store() && self.read_at.is_some_and(due))
    }

    async fn read(&mut self) -> Result<(), PlatformError> {
        let gateway = self.gateway.clone();
        let AllRows { rows, hosts } = host_row::read_all(&gateway).await?;
        let now = gateway.now();
        self.read_at = Some(now);
        let lease = rows.iter().find(|r| r.key == LEASE_ROW);
        self.lease.record_read(now, lease.map(lease_record));
        gateway.peers.set_lease(lease.map(lease_row));
        self.count_hosts(now, hosts);
        self.update_discovery(now);
        Ok(())
    }

    /// Updates the state of the discovery after a read of the rows.
    fn update_discovery(&mut self, now: Duration) {
        let gateway = &self.gateway;
        let new = gateway.bounds.row_version() == Some(0);
        let one_before = gateway.peers.has_host_to_poll(&gateway.settings, now);
        match self.discovery {
            Discovery::NoRows if new && !one_before => self.discovery = Discovery::NoPeers,
            _ => self.settle(),
        }
    }

    /// Ends the discovery: the other hosts are known as far as possible.
    fn settle(&mut self) {
        self.discovery = Discovery::Settled;
        self.gateway.peers.set_fleet_known();
    }

    /// Whether a host that found no other host is to read the rows once more now.
    fn rereads_rows(&self, now: Duration) -> bool {
        let written = self
            .gateway
            .bounds
            .row_version()
            .is_some_and(|version| version > 0);
        self.discovery == Discovery::NoPeers && (written || now >= MAX_DISCOVERY_WAIT)
    }

    fn count_hosts(&mut self, now: Duration, rows: Vec<(u64, HostRow)>) {
        for (version, row) in rows {
            let known = self.hosts.get(&row.host.host);
            if known.is_none_or(|(known, _, _)| *known != version) {
                let name = row.host.host.clone();
                self.hosts.insert(name, (version, now, row.host));
            }
        }
        let me = own_host(&self.gateway);
        let max_age = heartbeat_interval(self.hosts.len() + 1).mul_f64(ALIVE_HEARTBEATS);
        self.hosts
            .retain(|host, (_, at, _)| *host != me.host && *at + max_age > now);
        let mut fleet: Vec<FleetHost> = self.hosts.values().map(|(_, _, h)| h.clone()).collect();
        fleet.push(me);
        self.gateway.set_fleet(fleet);
    }

    /// Writes the holder of the lease into its row, if the row has the version `expected`.
    async fn write(&mut self, holder: &str, expected: u64) -> Result<(), PlatformError> {
        let sent_at = self.gateway.now();
        let gateway = &self.gateway;
        let write = gateway
            .platform
            .store
            .write(LEASE_ROW, holder, Some(expected));
        let written = StoreCall::Lease.run(gateway, CALL_TIMEOUT, write).await;
        let now = self.gateway.now();
        let (outcome, result) = match written {
            Ok(RowWriteOutcome::Done(version)) => (WriteOutcome::Done(version), Ok(())),
            Ok(RowWriteOutcome::Conflict(row)) => (
                WriteOutcome::Conflict(row.as_ref().map(lease_record)),
                Ok(()),
            ),
            Err(e) => (WriteOutcome::Unknown, Err(e)),
        };
        self.lease.record_write(sent_at, now, outcome);
        result
    }
}

fn lease_record(row: &Row) -> LeaseRecord {
    LeaseRecord {
        holder: row.value.clone(),
        version: row.version,
    }
}

fn lease_row(row: &Row) -> LeaseRow {
    LeaseRow {
        holder: row.value.clone(),
        version: row.version,
    }
}

fn reported_record(row: &LeaseRow) -> LeaseRecord {
    LeaseRecord {
        holder: row.holder.clone(),
        version: row.version,
    }
}
