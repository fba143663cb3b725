//! The state of the search: three hosts, the messages between them, and the store.

mod steps;

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{Hash, Hasher},
    time::Duration,
};

use dragonflyrill_catalogue::{Catalogue, Revision};
use dragonflyrill_membership::{
    members::Member,
    spread::{Action, Budget, Config, Spread, StoreRead},
};
use dragonflyrill_protocol::{HostRef, membership::State, spread::Message};

use crate::fleet::{
    addr, data_centre, host, ms,
    store::{Answer, Store},
};
pub(crate) use steps::Step;

pub(crate) const HOSTS: usize = 3;
/// Longer than any interval of the spread with its jitter.
const ROUND: Duration = Duration::from_millis(600);

/// The configuration of a search.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) data_centres: [usize; HOSTS],
    pub(crate) budget: Budget,
    pub(crate) full_rounds: bool,
}

/// How many more times each fault may occur.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Faults {
    pub(crate) commits: u8,
    pub(crate) losses: u8,
    pub(crate) duplicates: u8,
    pub(crate) cuts: u8,
    pub(crate) restarts: u8,
    pub(crate) roll_backs: u8,
    pub(crate) rounds: u8,
}

#[derive(Debug, Clone)]
struct Sent {
    to: usize,
    from: HostRef,
    message: Message,
}

#[derive(Debug, Clone)]
pub(crate) struct Node {
    spread: Spread,
    incarnation: u64,
    /// The newest revision in force in this incarnation.
    newest: Revision,
}

#[derive(Clone)]
pub(crate) struct World {
    now: Duration,
    pub(crate) nodes: Vec<Node>,
    net: Vec<Sent>,
    polls: Vec<(usize, u64, Answer)>,
    /// Messages and answers that are delayed until after a later round.
    delayed: Vec<Sent>,
    delayed_polls: Vec<(usize, u64, Answer)>,
    /// Whether steps are full rounds instead of single messages.
    full_rounds: bool,
    /// The data centre of each host.
    data_centres: [usize; HOSTS],
    store: Store,
    /// Every catalogue that was accepted.
    accepted: Vec<Catalogue>,
    cut: BTreeSet<usize>,
    platform_cut: BTreeSet<usize>,
    faults: Faults,
    budget: Budget,
    violation: Option<&'static str>,
    pub(crate) depth: u8,
    pub(crate) history: Vec<Step>,
    fingerprint: u128,
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}

fn spread(n: usize, incarnation: u64, data_centres: &[usize; HOSTS], budget: &Budget) -> Spread {
    let mut spread = Spread::new(Config {
        me: host(n, incarnation),
        data_centre: data_centre(data_centres[n]),
        seed: n as u64,
        budget: budget.clone(),
    });
    let members = (0..HOSTS).map(|n| Member {
        host: host(n, 1),
        addr: addr(n),
        data_centre: data_centre(data_centres[n]),
        state: State::Alive,
    });
    spread.update_view(ms(0), members);
    spread
}

impl World {
    pub(crate) fn new(scenario: &Scenario, faults: Faults) -> Self {
        let budget = scenario.budget.clone();
        let nodes = (0..HOSTS).map(|n| Node {
            spread: spread(n, 1, &scenario.data_centres, &budget),
            incarnation: 1,
            newest: Revision::default(),
        });
        let mut world = Self {
            now: ms(0),
            nodes: nodes.collect(),
            net: Vec::new(),
            polls: Vec::new(),
            delayed: Vec::new(),
            delayed_polls: Vec::new(),
            full_rounds: scenario.full_rounds,
            data_centres: scenario.data_centres,
            store: Store::default(),
            accepted: vec![Catalogue::default()],
            cut: BTreeSet::new(),
            platform_cut: BTreeSet::new(),
            faults,
            budget,
            violation: None,
            depth: 0,
            history: Vec::new(),
            fingerprint: 0,
        };
        // Two changes are in force everywhere at the start.
        world.perform(Step::Commit);
        world.perform(Step::Commit);
        world.settle(6);
        world.update_fingerprint();
        world
    }

    fn update_fingerprint(&mut self) {
        let net: BTreeSet<String> = self.net.iter().map(|s| format!("{s:?}")).collect();
        let text = format!(
            "{:?} {:?} {net:?} {:?} {:?} {:?} {:?} {:?} {:?} {:?}",
            self.now,
            self.nodes,
            self.polls,
            self.delayed,
            self.delayed_polls,
            self.store,
            self.cut,
            self.platform_cut,
            self.faults
        );
        self.fingerprint = xxhash_rust::xxh3::xxh3_128(text.as_bytes());
    }

    fn perform(&mut self, step: Step) {
        match step {
            Step::Commit => {
                let mut newest = self.store_catalogue();
                // The entries are replaced alternately, so that all later revisions have the same
                // number of entries.
                let parity = self.store.changes.len() % 2;
                self.store.commit_entry(["a", "b"][parity]);
                if let Some(change) = self.store.changes.last() {
                    newest.fold(change);
                }
                self.accepted.push(newest);
            }
            Step::RollBack => self.store.roll_back(1),
            Step::Cut(n) => drop(self.cut.insert(n)),
            Step::CutPlatform(n) => drop(self.platform_cut.insert(n)),
            Step::Restart(n) => {
                let node = &mut self.nodes[n];
                node.incarnation += 1;
                node.spread = spread(n, node.incarnation, &self.data_centres, &self.budget);
                node.newest = Revision::default();
                self.polls.retain(|p| p.0 != n);
                self.delayed_polls.retain(|p| p.0 != n);
            }
            Step::Deliver(i) => {
                let sent = self.net.remove(i);
                self.deliver(sent);
            }
            Step::Lose(i) => drop(self.net.remove(i)),
            Step::Duplicate(i) => {
                let sent = self.net[i].clone();
                self.deliver(sent);
            }
            Step::Answer(i) => {
                let (n, _, answer) = self.polls.remove(i);
                self.answer(n, answer);
            }
            Step::Round => self.round(),
            Step::FullRound(delivery) => self.run_full_round(delivery),
            Step::HealCut(n) => drop(self.cut.remove(&n)),
        }
    }

    fn store_catalogue(&self) -> Catalogue {
        let mut catalogue = Catalogue::default();
        for change in &self.store.changes {
            catalogue.fold(change);
        }
        catalogue
    }

    fn round(&mut self) {
        self.now += ROUND;
        for n in 0..HOSTS {
            let mut actions = Vec::new();
            self.nodes[n].spread.tick(self.now, &mut actions);
            self.execute(n, actions);
        }
    }

    fn deliver(&mut self, sent: Sent) {
        let mut actions = Vec::new();
        let spread = &mut self.nodes[sent.to].spread;
        spread.receive(self.now, &sent.from, sent.message, &mut actions);
        self.execute(sent.to, actions);
    }

    fn answer(&mut self, n: usize, answer: Answer) {
        let (now, mut actions) = (self.now, Vec::new());
        let cut = self.platform_cut.contains(&n);
        let spread = &mut self.nodes[n].spread;
        match answer {
            _ if cut => spread.receive_store_failure(now),
            Answer::Unavailable => spread.receive_store_failure(now),
            Answer::Head(head) => spread.receive_store_head(now, &head, &mut actions),
            Answer::Changes(c) => {
                spread.receive_store_read(now, StoreRead::Changes(c), &mut actions)
            }
        }
        self.execute(n, actions);
    }

    fn execute(&mut self, n: usize, actions: Vec<Action>) {
        let incarnation = self.nodes[n].incarnation;
        for action in actions {
            match action {
                Action::Send { addr, message, .. } => {
                    let to = usize::from(addr.port()) - 1000;
                    // A data centre that is cut off exchanges no messages with others.
                    if !self.cut.contains(&to) && !self.cut.contains(&n) {
                        let from = host(n, incarnation);
                        self.net.push(Sent { to, from, message });
                    }
                }
                Action::Poll { after } => {
                    let answer = self.store.read(after);
                    self.polls.push((n, incarnation, answer));
                }
                Action::InForce(_) | Action::Alarm(_) => {}
            }
        }
        self.check(n);
    }

    fn check(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        let catalogue = node.spread.catalogue();
        let revision = catalogue.revision();
        if revision < node.newest {
            self.violation = Some("the revision decreased");
        }
        if !self.accepted.contains(catalogue) {
            self.violation = Some("a catalogue is in force that the store never accepted");
        }
        node.newest = revision;
    }

    /// Delivers all messages for some rounds while the platform is unavailable.
    fn settle_without_platform(&mut self, rounds: usize) {
        self.cut.clear();
        self.polls.clear();
        let store = std::mem::replace(
            &mut self.store,
            Store {
                unavailable: true,
                ..Store::default()
            },
        );
        for _ in 0..rounds {
            self.round();
            self.deliver_all();
        }
        self.store = store;
    }

    /// Delivers all messages and answers for some rounds without faults.
    fn settle(&mut self, rounds: usize) {
        self.cut.clear();
        self.platform_cut.clear();
        for _ in 0..rounds {
            self.round();
            self.deliver_all();
        }
    }

    /// Delivers all pending messages and answers, in order.
    fn deliver_all(&mut self) {
        for _ in 0..400 {
            if !self.net.is_empty() {
                let sent = self.net.remove(0);
                self.deliver(sent);
            } else if !self.polls.is_empty() {
                let (n, _, answer) = self.polls.remove(0);
                self.answer(n, answer);
            } else {
                return;
            }
        }
        self.violation = Some("messages circulate without end");
    }

    /// The violation in this state, or in the state after all faults have ended.
    pub(crate) fn violation(&self) -> Option<&'static str> {
        if self.violation.is_some() {
            return self.violation;
        }
        // Two branches of the order of changes cannot be reconciled without an operator.
        let mut by_revision: BTreeMap<Revision, &Catalogue> = BTreeMap::new();
        for catalogue in &self.accepted {
            let other = by_revision.insert(catalogue.revision(), catalogue);
            if other.is_some_and(|o| o != catalogue) {
                return None;
            }
        }
        let mut healed = self.clone();
        let newest = self.nodes.iter().map(|n| n.newest).max()?;
        healed.settle_without_platform(6);
        if healed.nodes.iter().any(|n| n.newest < newest) {
            return Some("hosts don't agree on the newest revision without the platform");
        }
        let newest = newest.max(self.store.head().revision);
        healed.settle(6);
        if healed.violation.is_some() {
            return healed.violation;
        }
        // A pending answer may bring a revision that the store has lost since.
        let reached = healed.nodes[0].newest;
        let agreed = reached >= newest && healed.nodes.iter().all(|n| n.newest == reached);
        (!agreed).then_some("hosts don't agree on the newest revision after all faults have ended")
    }
}
