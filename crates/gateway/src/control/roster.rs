//! Counts the hosts that are alive, tells the others that this one is, and keeps the lease of placing
//! layers.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::leader_lease::{LeaderLease, LeaseRecord, NO_HOLDER, Step, WriteOutcome};
use dragonflyrill_protocol::exchange::{FleetHost, HostRow, LeaseRow};
use dragonflyrill_store::PlatformError;
use futures_util::future;
use rustc_hash::FxHashMap;
use tokio::time;

use super::{
    Backoff, StoreCall,
    host_row::{self, AllRows, CALL, beat, myself},
    placing,
    tenure::Tenures,
};
use crate::{
    gateway::Gateway,
    ports::{Row, RowWriteOutcome},
};

/// The row of the lease of placing layers.
const LEASE_ROW: &str = "placement";
/// How long the lease's row must stand still before another host takes over: two renewals may be
/// lost, and layers that are missing are placed within three seconds of a host's end.
const TERM: Duration = Duration::from_millis(2400);
/// How often the rows are read by hosts that don't hold the lease.
const LOOK: Duration = Duration::from_millis(1200);
/// For how many beats a host's row may stand still before it no longer counts: two may be lost.
const ALIVE_BEATS: f64 = 2.5;
/// How often it is looked whether anything is due.
const TICK: Duration = Duration::from_millis(100);
/// The same for a host that has just started, which serves nobody yet.
const NEWCOMER_TICK: Duration = Duration::from_millis(5);
/// For how long a host that has just started waits at most until its row is written, to see those that
/// started with it: the store writes some 200 rows a second.
const NEWCOMER_WAIT: Duration = Duration::from_millis(1500);
/// How often the hosts that read the store for others read the rows.
const ROWS_LOOK: Duration = Duration::from_millis(1200);

struct Roster {
    gateway: Rc<Gateway>,
    me: String,
    lease: LeaderLease,
    /// The rows of hosts: the version, when it was first seen, and what it says.
    hosts: FxHashMap<String, (u64, Duration, FleetHost)>,
    read_at: Option<Duration>,
    newcomer: Newcomer,
    tenures: Rc<Tenures>,
}

/// How far a host that has just started knows the others. When all start at once, the first read shows
/// none of them, and each would read catalogue and list by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Newcomer {
    /// It has read no rows yet.
    Blind,
    /// It has read rows without one to ask, and its own was not among them. The row that it writes comes
    /// after those of most that started with it, so that it reads the rows once more then.
    Alone,
    /// It knows whom to ask, or that it is the first.
    Settled,
}

/// Keeps the roster, this host's row and the lease for as long as the process lives.
pub async fn keep(gateway: Rc<Gateway>, incarnation: u64) {
    gateway.peers.set_incarnation(incarnation);
    let tenures = Rc::new(Tenures::default());
    future::join3(
        host_row::keep(gateway.clone()),
        placing::keep(gateway.clone(), tenures.clone()),
        watch(gateway, incarnation, tenures),
    )
    .await;
}

async fn watch(gateway: Rc<Gateway>, incarnation: u64, tenures: Rc<Tenures>) {
    let me = format!("{} {incarnation}", gateway.settings.host);
    let mut roster = Roster {
        lease: LeaderLease::new(me.clone(), TERM, LOOK),
        me,
        gateway: gateway.clone(),
        hosts: FxHashMap::default(),
        read_at: None,
        newcomer: Newcomer::Blind,
        tenures,
    };
    let mut backoff = Backoff::default();
    loop {
        match roster.round().await {
            Ok(()) => backoff.succeeded(&gateway),
            Err(e) => {
                // Without the rows nobody can be asked.
                roster.settle();
                log::warn!(target: "roster", why:% = e; "The hosts' rows can't be kept.");
                backoff.failed(&gateway).await;
            }
        }
        let tick = match roster.newcomer {
            Newcomer::Settled => TICK,
            Newcomer::Blind | Newcomer::Alone => NEWCOMER_TICK,
        };
        time::sleep(tick).await;
    }
}

impl Roster {
    async fn round(&mut self) -> Result<(), PlatformError> {
        let now = self.gateway.now();
        self.hear(now);
        let held = self.lease.held(now);
        if self.gateway.leaving() {
            self.lease.shut_down();
        }
        self.show_lease();
        match self.lease.step(now) {
            // The next holder takes an engine for empty that has begun to load.
            Step::Release { .. } if self.tenures.ordering() => {}
            Step::Release { expected } => self.write(NO_HOLDER, expected).await?,
            _ if self.looks_once_more(now) => self.read().await?,
            Step::Read | Step::Write { .. } if !self.may_ask(now) => {}
            Step::Read => self.read().await?,
            Step::Write { expected } => {
                let me = self.me.clone();
                self.write(&me, expected).await?;
            }
            Step::Wait if self.rows_due(now) => self.read().await?,
            Step::Wait => {}
        }
        self.show_lease();
        let now = self.gateway.now();
        if held != self.lease.held(now) {
            let holder = self.lease.holder().unwrap_or("-");
            log::info!(target: "roster", held = !held, holder = holder; "Lease of placing layers changed.");
        }
        Ok(())
    }

    /// Shows the task that places layers whether it may.
    fn show_lease(&self) {
        self.tenures
            .set(self.lease.is_own(), self.lease.held_until());
    }

    /// Takes the row of the lease as another host told it, while that reads it for this one.
    fn hear(&mut self, now: Duration) {
        if self.gateway.reads_store() || self.read_at.is_none() {
            return;
        }
        let told = self.gateway.peers.lease();
        if told.is_some() && !self.lease.held(now) {
            self.lease.record_read(now, told.as_ref().map(told_row));
        }
    }

    /// Whether this host may ask the store for the lease. Else all hosts would take a lease over at once
    /// that stands still because the store is away, or because its holder is gone: those that read the
    /// store for others do, and who holds the lease.
    fn may_ask(&self, now: Duration) -> bool {
        let first = self.read_at.is_none();
        first || self.gateway.asks_store() || self.lease.is_own() || self.lease.held(now)
    }

    /// Whether the rows are to be read although the lease does not ask for it: by the hosts that
    /// read for others.
    fn rows_due(&self, now: Duration) -> bool {
        let due = |at: Duration| at + ROWS_LOOK <= now;
        self.read_at.is_none() || (self.gateway.asks_store() && self.read_at.is_some_and(due))
    }

    async fn read(&mut self) -> Result<(), PlatformError> {
        let gateway = self.gateway.clone();
        let AllRows { rows, hosts } = host_row::read_all(&gateway).await?;
        let now = gateway.now();
        self.read_at = Some(now);
        let lease = rows.iter().find(|r| r.key == LEASE_ROW);
        self.lease.record_read(now, lease.map(seen));
        gateway.peers.set_lease(lease.map(lease_row));
        self.count_hosts(now, hosts);
        self.note_others(now);
        Ok(())
    }

    /// Notes after a read of the rows whether the others are known.
    fn note_others(&mut self, now: Duration) {
        let gateway = &self.gateway;
        let new = gateway.bounds.row_version() == Some(0);
        let one_before = gateway.peers.one_before(&gateway.settings, now);
        match self.newcomer {
            Newcomer::Blind if new && !one_before => self.newcomer = Newcomer::Alone,
            _ => self.settle(),
        }
    }

    /// The others are known, as far as they can be.
    fn settle(&mut self) {
        self.newcomer = Newcomer::Settled;
        self.gateway.peers.set_known();
    }

    /// Whether a host that was alone reads the rows once more.
    fn looks_once_more(&self, now: Duration) -> bool {
        let written = self
            .gateway
            .bounds
            .row_version()
            .is_some_and(|version| version > 0);
        self.newcomer == Newcomer::Alone && (written || now >= NEWCOMER_WAIT)
    }

    fn count_hosts(&mut self, now: Duration, rows: Vec<(u64, HostRow)>) {
        for (version, row) in rows {
            let known = self.hosts.get(&row.host.host);
            if known.is_none_or(|(known, _, _)| *known != version) {
                let name = row.host.host.clone();
                self.hosts.insert(name, (version, now, row.host));
            }
        }
        let me = myself(&self.gateway);
        let counts = beat(self.hosts.len() + 1).mul_f64(ALIVE_BEATS);
        self.hosts
            .retain(|host, (_, at, _)| *host != me.host && *at + counts > now);
        let mut fleet: Vec<FleetHost> = self.hosts.values().map(|(_, _, h)| h.clone()).collect();
        fleet.push(me);
        self.gateway.set_fleet(fleet);
    }

    /// Writes who holds the lease.
    async fn write(&mut self, holder: &str, expected: u64) -> Result<(), PlatformError> {
        let sent_at = self.gateway.now();
        let gateway = &self.gateway;
        let write = gateway
            .platform
            .store
            .write(LEASE_ROW, holder, Some(expected));
        let written = StoreCall::Lease.made(gateway, CALL, write).await;
        let now = self.gateway.now();
        let (outcome, result) = match written {
            Ok(RowWriteOutcome::Done(version)) => (WriteOutcome::Done(version), Ok(())),
            Ok(RowWriteOutcome::Conflict(row)) => {
                (WriteOutcome::Conflict(row.as_ref().map(seen)), Ok(()))
            }
            Err(e) => (WriteOutcome::Unknown, Err(e)),
        };
        self.lease.record_write(sent_at, now, outcome);
        result
    }
}

fn seen(row: &Row) -> LeaseRecord {
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

fn told_row(row: &LeaseRow) -> LeaseRecord {
    LeaseRecord {
        holder: row.holder.clone(),
        version: row.version,
    }
}
