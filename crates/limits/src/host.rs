//! The limiter of one host: dispatches events to the session and the keys.

mod messages;
mod process;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dragonflyrill_catalogue::{
    DataCentre,
    entry::{LimitEntry, LimitKey},
};
use dragonflyrill_protocol::{
    HostRef,
    rights::{KeyId, SHARDS},
};
use dragonflyrill_store::{error::PlatformError, table::TxnOutcome};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3;

use crate::{
    Action, AdmissionRequest, Refusal, Ticket, TxnId,
    config::{Config, Declaration, Peer},
    key::{KeyMessage, KeyState},
    session::{Session, VersionedMap},
    split::Fraction,
    status::{KeyStatus, Status},
};

/// How many hosts of a data centre send their shard map to a new host.
const MAP_SENDERS: usize = 2;
/// The shortest retry delay that a refusal returns.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Until when the parts of a shard are not lent, because loans of an earlier holder may not have
/// expired.
#[derive(Debug, Clone, Copy, Default)]
struct LoanWait {
    main: Duration,
    floor: Duration,
}

/// The state machine that enforces all limits on one host.
#[derive(Debug, Clone)]
pub struct HostLimiter {
    cfg: Config,
    session: Session,
    /// The shard maps of the other data centres.
    other_maps: BTreeMap<DataCentre, VersionedMap>,
    peers: Vec<Peer>,
    keys: Vec<KeyState>,
    key_index: FxHashMap<LimitKey, usize>,
    id_index: FxHashMap<KeyId, usize>,
    tickets: FxHashMap<Ticket, usize>,
    timers: BTreeSet<(Duration, usize)>,
    /// For each shard, until when loans of earlier holders may be valid.
    loan_wait: Vec<LoanWait>,
    revision: u64,
    next_ticket: u64,
    rng: Pcg32,
    outgoing: Vec<KeyMessage>,
}

impl HostLimiter {
    /// A limiter that knows no limits and holds no rights yet.
    pub fn new(cfg: Config) -> Self {
        Self {
            session: Session::new(&cfg),
            other_maps: BTreeMap::new(),
            peers: Vec::new(),
            keys: Vec::new(),
            key_index: FxHashMap::default(),
            id_index: FxHashMap::default(),
            tickets: FxHashMap::default(),
            timers: BTreeSet::new(),
            loan_wait: vec![LoanWait::default(); SHARDS],
            revision: 0,
            next_ticket: 0,
            rng: Pcg32::seed_from_u64(cfg.seed),
            outgoing: Vec::new(),
            cfg,
        }
    }

    /// Applies the declared limits. Requests under a key that is no longer declared are refused.
    pub fn configure(&mut self, now: Duration, declared: &Declaration, actions: &mut Vec<Action>) {
        if declared.revision < self.revision {
            return;
        }
        self.revision = declared.revision;
        let mut gone: BTreeSet<usize> = (0..self.keys.len()).collect();
        for limit in declared.limits {
            if let Some(i) = self.declare(limit, declared.data_centres) {
                gone.remove(&i);
            }
        }
        for i in gone {
            self.keys[i].limit = None;
        }
        self.update_lenders();
        self.process_all_keys(now, actions);
    }

    /// Applies one declared limit and returns the index of its key; `None` if the hash of the key
    /// collides with that of another key.
    fn declare(&mut self, limit: &LimitEntry, all: &[DataCentre]) -> Option<usize> {
        let i = match self.key_index.get(&limit.key) {
            Some(i) => *i,
            None => self.add(&limit.key)?,
        };
        let key = &mut self.keys[i];
        let fraction = Fraction::of(limit, key.id, all, &self.cfg.data_centre);
        key.declare(limit, all, fraction);
        Some(i)
    }

    fn add(&mut self, key: &LimitKey) -> Option<usize> {
        let id = key_id(key);
        if self.id_index.contains_key(&id) {
            log::error!(
                "limits: the hash of {key:?} collides with that of another key; it has no limit"
            );
            return None;
        }
        let i = self.keys.len();
        self.keys.push(KeyState::new(id));
        self.key_index.insert(key.clone(), i);
        self.id_index.insert(id, i);
        Some(i)
    }

    /// Replaces the list of live hosts; it may leave out this host.
    pub fn set_peers(&mut self, now: Duration, peers: &[Peer], actions: &mut Vec<Action>) {
        let known: BTreeSet<&HostRef> = self.peers.iter().map(|p| &p.host).collect();
        let new = peers.iter().filter(|p| !known.contains(&p.host));
        let new: Vec<HostRef> = new.map(|p| p.host.clone()).collect();
        self.peers = peers.to_vec();
        self.peers.retain(|p| p.host != self.cfg.me);
        self.update_lenders();
        for host in new {
            if self.sends_map_to(&host) {
                self.send_map(&host, actions);
            }
        }
        self.process_session(now, actions);
        self.process_all_keys(now, actions);
    }

    /// Whether this host is one of those that send `host` the map of their data centre.
    fn sends_map_to(&self, host: &HostRef) -> bool {
        let rank = |h: &HostRef| xxh3::xxh3_64(format!("{}/{}", h.id, host.id).as_bytes());
        let mine = rank(&self.cfg.me);
        self.live_neighbours()
            .iter()
            .filter(|h| rank(h) < mine)
            .count()
            < MAP_SENDERS
    }

    /// The other live hosts of this data centre.
    fn live_neighbours(&self) -> Vec<HostRef> {
        let peers = self.peers.iter();
        let near = peers.filter(|p| p.data_centre == self.cfg.data_centre);
        near.map(|p| p.host.clone()).collect()
    }

    /// Requests admission. The answer is an action of this call or of a later one.
    pub fn request_admission(
        &mut self,
        now: Duration,
        request: &AdmissionRequest,
        actions: &mut Vec<Action>,
    ) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let limited = self.key_index.get(&request.key).copied();
        let Some(i) = limited.filter(|i| self.keys[*i].limit.is_some()) else {
            actions.push(refuse(ticket, Refusal::NoLimit));
            return ticket;
        };
        let full = self.keys[i].full_share();
        if f64::from(request.tokens) > full.token_burst || full.in_flight == 0 {
            actions.push(refuse(ticket, Refusal::TooLarge));
            return ticket;
        }
        let key = &mut self.keys[i];
        let (ahead, tokens_ahead) = key.holder.backlog();
        let least = Duration::try_from_secs_f64(tokens_ahead as f64 / full.tokens);
        let wait = key.holder.expected_wait(now).max(least.unwrap_or_default());
        if ahead >= self.cfg.max_queued_per_key || (ahead > 0 && now + wait > request.admit_by) {
            let retry_after = self.add_jitter(wait);
            actions.push(Action::Refuse {
                ticket,
                refusal: Refusal::OverLimit,
                retry_after,
            });
            return ticket;
        }
        key.holder
            .push(now, ticket, request.tokens, request.admit_by);
        self.tickets.insert(ticket, i);
        self.process_key(now, i, actions);
        self.flush_messages(actions);
        ticket
    }

    /// Cancels an admission request that waits. A request that is admitted is settled instead.
    pub fn withdraw(&mut self, now: Duration, ticket: Ticket, actions: &mut Vec<Action>) {
        if let Some(i) = self.tickets.get(&ticket).copied() {
            self.keys[i].holder.withdraw(ticket);
            self.process_key(now, i, actions);
            self.flush_messages(actions);
        }
    }

    /// Records the end of an admitted request that used `used` tokens.
    pub fn settle(&mut self, now: Duration, ticket: Ticket, used: u32, actions: &mut Vec<Action>) {
        if let Some(i) = self.tickets.remove(&ticket) {
            self.keys[i].holder.withdraw(ticket);
            self.keys[i].holder.settle(ticket, used);
            self.process_key(now, i, actions);
            self.flush_messages(actions);
        }
    }

    /// Applies the answer to [`Action::Table`].
    pub fn handle_table_answer(
        &mut self,
        now: Duration,
        id: TxnId,
        result: Result<TxnOutcome, PlatformError>,
        actions: &mut Vec<Action>,
    ) {
        let old = self.session.known_map().cloned();
        let wrote = self.session.handle_answer(now, id, result);
        if self.session.known_map() != old.as_ref() {
            self.handle_map_change(now, old, wrote, actions);
        }
        self.process_session(now, actions);
        self.process_all_keys(now, actions);
    }

    /// Does all work that is due at `now`.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.process_session(now, actions);
        while let Some((at, i)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.process_key(now, i, actions);
        }
        self.flush_messages(actions);
    }

    /// When [`Self::tick`] has to be called next.
    pub fn next_tick(&self, now: Duration) -> Duration {
        let session = self.session.next_due(now);
        let key = self.timers.first().map_or(session, |(at, _)| *at);
        session.min(key)
    }

    /// Hands all rights to lend over to other hosts. Admitted requests continue on borrowed rights.
    pub fn hand_over(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.session.hand_over();
        self.process_session(now, actions);
        self.process_all_keys(now, actions);
    }

    /// Whether all rights to lend have been handed over.
    pub fn is_handed_over(&self) -> bool {
        self.session.is_handed_over()
    }

    /// The state shown to operators.
    pub fn status(&self, now: Duration) -> Status {
        let declared = self.key_index.iter();
        let mut keys: Vec<KeyStatus> = declared
            .map(|(name, i)| KeyStatus::of(now, name, &self.keys[*i]))
            .collect();
        keys.sort_by(|a, b| a.key.cmp(&b.key));
        Status {
            revision: self.revision,
            map_revision: self.map_revision(),
            may_lend: self.session.lend_until(now) > now,
            keys,
        }
    }
}

/// The hash that identifies a key in messages; the same on every host.
fn key_id(key: &LimitKey) -> KeyId {
    let text = format!("{}/{}/{}", key.workspace, key.target, key.class);
    KeyId(xxh3::xxh3_64(text.as_bytes()))
}

fn refuse(ticket: Ticket, refusal: Refusal) -> Action {
    Action::Refuse {
        ticket,
        refusal,
        retry_after: Duration::ZERO,
    }
}

/// Multiplies `wait` by a random factor from 1 to 1.5, so that callers that are refused together
/// do not retry together.
fn add_jitter(rng: &mut Pcg32, wait: Duration) -> Duration {
    let wait = wait.max(MIN_RETRY_AFTER);
    wait.mul_f64(rng.random_range(1.0..1.5))
}
