//! Tells the other hosts that this one is alive, counts those that are, and keeps the duty of
//! placing layers.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::duty::{Duty, Seen, Step, Wrote};
use rustc_hash::FxHashMap;
use tokio::time;

use super::placing::Placing;
use crate::{
    gateway::Gateway,
    ports::{Row, StoreError, Written},
};

/// The row of the duty of placing layers.
const DUTY_ROW: &str = "placement";
/// Before a host's name in its row's key.
const HOST_ROW: &str = "host/";
/// How long the duty's row must stand still before another host takes over: two renewals may be
/// lost, and layers that are missing are placed within three seconds of a host's end.
const TERM: Duration = Duration::from_millis(2400);
/// How often the rows are read by hosts that don't hold the duty.
const LOOK: Duration = Duration::from_millis(1200);
/// How often a host writes its row.
const BEAT: Duration = Duration::from_secs(4);
/// How long a host's row may stand still before it no longer counts.
const ALIVE: Duration = Duration::from_secs(10);
/// How often it is looked whether anything is due.
const TICK: Duration = Duration::from_millis(100);
/// How long a call to the store may take.
const CALL: Duration = Duration::from_millis(800);
/// How often the holder of the duty reads the rows, to count the hosts.
const HOLDER_LOOK: Duration = Duration::from_secs(3);

struct Roster {
    gateway: Rc<Gateway>,
    me: String,
    duty: Duty,
    /// The rows of hosts: the version, and when it was first seen.
    hosts: FxHashMap<String, (u64, Duration)>,
    read_at: Option<Duration>,
    beat_at: Option<Duration>,
}

/// Keeps the roster and the duty for as long as the process lives.
pub async fn keep(gateway: Rc<Gateway>, incarnation: u64) {
    let me = format!("{} {incarnation}", gateway.settings.host);
    let mut roster = Roster {
        duty: Duty::new(me.clone(), TERM, LOOK),
        me,
        gateway: gateway.clone(),
        hosts: FxHashMap::default(),
        read_at: None,
        beat_at: None,
    };
    let mut placing = Placing::new(gateway.clone());
    loop {
        if let Err(e) = roster.round().await {
            log::warn!(target: "roster", why:% = e; "The hosts' rows can't be kept.");
            time::sleep(TICK * 3).await;
        }
        let now = gateway.now();
        match roster.duty.held(now) && !gateway.leaving() {
            true => placing.round().await,
            false => placing.pause(),
        }
        time::sleep(TICK).await;
    }
}

impl Roster {
    async fn round(&mut self) -> Result<(), StoreError> {
        let now = self.gateway.now();
        let step = match self.gateway.leaving() {
            true => Step::Wait,
            false => self.duty.step(now),
        };
        let held = self.duty.held(now);
        match step {
            Step::Read => self.read().await?,
            Step::Write { expected } => self.renew(expected).await?,
            Step::Wait if self.read_at.is_none_or(|at| at + HOLDER_LOOK <= now) => {
                self.read().await?;
            }
            Step::Wait => {}
        }
        let now = self.gateway.now();
        if held != self.duty.held(now) {
            let holder = self.duty.holder().unwrap_or("-");
            log::info!(target: "roster", held = !held, holder = holder; "Duty of placing layers changed.");
        }
        if !self.gateway.leaving() && self.beat_at.is_none_or(|at| at + BEAT <= now) {
            self.beat().await?;
        }
        Ok(())
    }

    async fn read(&mut self) -> Result<(), StoreError> {
        let rows = within(self.gateway.platform.store.rows()).await;
        count(&self.gateway, rows.is_ok());
        let rows = rows?;
        let now = self.gateway.now();
        self.read_at = Some(now);
        let duty = rows.iter().find(|r| r.key == DUTY_ROW);
        self.duty.read(now, duty.map(seen));
        self.count_hosts(now, &rows);
        Ok(())
    }

    fn count_hosts(&mut self, now: Duration, rows: &[Row]) {
        for row in rows {
            let Some(host) = row.key.strip_prefix(HOST_ROW) else {
                continue;
            };
            let known = self.hosts.get(host);
            if known.is_none_or(|(version, _)| *version != row.version) {
                self.hosts.insert(host.to_owned(), (row.version, now));
            }
        }
        self.hosts.retain(|_, (_, at)| *at + ALIVE > now);
        let me = u32::from(!self.hosts.contains_key(&self.gateway.settings.host));
        self.gateway.hosts.set(self.hosts.len() as u32 + me);
    }

    async fn renew(&mut self, expected: u64) -> Result<(), StoreError> {
        let sent_at = self.gateway.now();
        let store = &self.gateway.platform.store;
        let written = within(store.write(DUTY_ROW, &self.me, Some(expected))).await;
        count(&self.gateway, written.is_ok());
        let now = self.gateway.now();
        let (outcome, result) = match written {
            Ok(Written::Done(version)) => (Wrote::Done(version), Ok(())),
            Ok(Written::Conflict(row)) => (Wrote::Conflict(row.as_ref().map(seen)), Ok(())),
            Err(e) => (Wrote::Unknown, Err(e)),
        };
        self.duty.wrote(sent_at, now, outcome);
        result
    }

    async fn beat(&mut self) -> Result<(), StoreError> {
        self.beat_at = Some(self.gateway.now());
        let key = format!("{HOST_ROW}{}", self.gateway.settings.host);
        let written = within(self.gateway.platform.store.write(&key, &self.me, None)).await;
        count(&self.gateway, written.is_ok());
        written.map(|_| ())
    }
}

fn seen(row: &Row) -> Seen {
    Seen {
        holder: row.value.clone(),
        version: row.version,
    }
}

fn count(gateway: &Gateway, ok: bool) {
    let outcome = if ok { "ok" } else { "failed" };
    let calls = &gateway.metrics.store_calls;
    calls.with_label_values(&[outcome]).inc();
}

async fn within<T>(call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
    match time::timeout(CALL, call).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::Unknown("no answer in time".to_owned())),
    }
}
