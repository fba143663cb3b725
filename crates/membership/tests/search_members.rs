//! An exhaustive search of the membership protocol among 3 hosts up to a depth: in each round of
//! heartbeats, any host may be paused, cut off or restarted, or have its messages lost, and all
//! messages may be duplicated and reordered.

mod fleet;

use std::{
    cell::Cell,
    collections::BTreeSet,
    hash::{Hash, Hasher},
    time::Duration,
};

use dragonflyrill_membership::members::{Action, Config, Intervals, ListedPeer, Members};
use dragonflyrill_protocol::{
    HostRef,
    membership::{Message, State},
};
use fleet::{addr, data_centre, host, host_id, ms};
use pathfinding::prelude::bfs;

const HOSTS: usize = 3;
/// Longer than a heartbeat interval with its jitter.
const ROUND: Duration = Duration::from_millis(600);
/// Rounds after which all hosts must agree again. A dead host is sent a heartbeat every 8 heartbeat
/// rounds.
const HEALING_ROUNDS: usize = 14;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    /// A round without a new fault.
    Round,
    /// A host stops running. `Resume` resumes it, with the messages that were queued for it.
    Pause(usize),
    Resume(usize),
    /// A host neither sends nor receives messages.
    Cut(usize),
    Heal(usize),
    /// The host restarts with the next incarnation.
    Restart(usize),
    /// All messages of this host in this round are lost.
    Lose(usize),
    /// All messages of this round arrive twice, in reverse order.
    DuplicateReversed,
}

#[derive(Debug, Clone)]
struct Sent {
    to: usize,
    from: HostRef,
    message: Message,
}

#[derive(Debug, Clone)]
struct Node {
    members: Members,
    incarnation: u64,
    paused: bool,
    cut: bool,
    queued: Vec<Sent>,
    /// The incarnation of each host as last seen by this one.
    incarnations: [u64; HOSTS],
}

#[derive(Clone)]
struct World {
    now: Duration,
    nodes: Vec<Node>,
    data_centres: [usize; HOSTS],
    history: Vec<Step>,
    faults: u8,
    violation: Option<&'static str>,
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

fn members(n: usize, incarnation: u64, data_centres: &[usize; HOSTS]) -> Members {
    let mut members = Members::new(Config {
        me: host(n, incarnation),
        data_centre: data_centre(data_centres[n]),
        addr: addr(n),
        seed: n as u64,
        intervals: Intervals::default(),
    });
    let list: Vec<ListedPeer> = (0..HOSTS)
        .map(|n| ListedPeer {
            id: host_id(n),
            addr: addr(n),
            data_centre: data_centre(data_centres[n]),
            shutting_down: false,
        })
        .collect();
    members.update_list(ms(0), &list);
    members
}

impl World {
    fn new(data_centres: [usize; HOSTS], faults: u8) -> Self {
        let nodes = (0..HOSTS).map(|n| Node {
            members: members(n, 1, &data_centres),
            incarnation: 1,
            paused: false,
            cut: false,
            queued: Vec::new(),
            incarnations: [0; HOSTS],
        });
        let mut world = Self {
            now: ms(0),
            nodes: nodes.collect(),
            data_centres,
            history: Vec::new(),
            faults,
            violation: None,
            fingerprint: 0,
        };
        for _ in 0..4 {
            world.round(None, false);
        }
        assert!(
            world.first_disagreement().is_none(),
            "the hosts agree at the start"
        );
        world
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Round];
        for (n, node) in self.nodes.iter().enumerate() {
            if node.paused {
                steps.push(Step::Resume(n));
            }
            if node.cut {
                steps.push(Step::Heal(n));
            }
            if self.faults == 0 {
                continue;
            }
            if !node.paused {
                steps.extend([Step::Pause(n), Step::Lose(n)]);
            }
            if !node.cut {
                steps.push(Step::Cut(n));
            }
            steps.push(Step::Restart(n));
        }
        if self.faults > 0 {
            steps.push(Step::DuplicateReversed);
        }
        steps
    }

    fn after(&self, step: Step) -> Self {
        let mut world = self.clone();
        world.history.push(step);
        let fault = !matches!(step, Step::Round | Step::Resume(_) | Step::Heal(_));
        world.faults -= u8::from(fault);
        match step {
            Step::Pause(n) => world.nodes[n].paused = true,
            Step::Resume(n) => world.nodes[n].paused = false,
            Step::Cut(n) => world.nodes[n].cut = true,
            Step::Heal(n) => world.nodes[n].cut = false,
            Step::Restart(n) => {
                let node = &mut world.nodes[n];
                node.incarnation += 1;
                node.members = members(n, node.incarnation, &world.data_centres);
                node.paused = false;
                node.queued.clear();
                node.incarnations = [0; HOSTS];
            }
            Step::Round | Step::Lose(_) | Step::DuplicateReversed => {}
        }
        let lost = match step {
            Step::Lose(n) => Some(n),
            _ => None,
        };
        world.round(lost, matches!(step, Step::DuplicateReversed));
        let text = format!("{:?} {:?} {}", world.now, world.nodes, world.faults);
        world.fingerprint = xxhash_rust::xxh3::xxh3_128(text.as_bytes());
        world
    }

    fn round(&mut self, lost: Option<usize>, duplicate_reversed: bool) {
        self.now += ROUND;
        let mut net: Vec<Sent> = Vec::new();
        for n in 0..HOSTS {
            let node = &mut self.nodes[n];
            if node.paused {
                continue;
            }
            let mut actions = Vec::new();
            node.members.tick(self.now, &mut actions);
            self.execute(n, actions, &mut net);
        }
        // Queued messages are delivered last: messages of an earlier incarnation may arrive after
        // those of a later one.
        for node in self.nodes.iter_mut().filter(|n| !n.paused) {
            net.append(&mut node.queued);
        }
        if duplicate_reversed {
            let copy = net.clone();
            net.extend(copy);
            net.reverse();
        }
        // Answers to messages are delivered in the same round; the exchange must end.
        for _ in 0..20 {
            for sent in std::mem::take(&mut net) {
                let from = (0..HOSTS).find(|n| host_id(*n) == sent.from.id);
                let cut = self.nodes[sent.to].cut || from.is_some_and(|n| self.nodes[n].cut);
                if cut || (lost.is_some() && from == lost) {
                    continue;
                }
                if self.nodes[sent.to].paused {
                    self.nodes[sent.to].queued.push(sent);
                    continue;
                }
                self.deliver(sent, &mut net);
            }
            if net.is_empty() {
                return;
            }
        }
        self.violation = Some("messages circulate without end");
    }

    fn deliver(&mut self, sent: Sent, net: &mut Vec<Sent>) {
        let mut actions = Vec::new();
        let node = &mut self.nodes[sent.to];
        node.members
            .receive(self.now, &sent.from, sent.message, &mut actions);
        self.execute(sent.to, actions, net);
    }

    /// Reports a violation if this host replaced an incarnation of a host by an earlier one.
    fn check(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        for member in node.members.view() {
            let other = (0..HOSTS).find(|b| host_id(*b) == member.host.id);
            let Some(known) = other.map(|b| &mut node.incarnations[b]) else {
                continue;
            };
            if member.host.incarnation < *known {
                self.violation = Some("an earlier incarnation replaced a later one");
            }
            *known = member.host.incarnation;
        }
    }

    fn execute(&mut self, n: usize, actions: Vec<Action>, net: &mut Vec<Sent>) {
        self.check(n);
        let from = host(n, self.nodes[n].incarnation);
        for action in actions {
            if let Action::Send { addr, message, .. } = action {
                net.push(Sent {
                    to: usize::from(addr.port()) - 1000,
                    from: from.clone(),
                    message,
                });
            }
        }
    }

    /// The first pair of hosts of which the first does not see the current incarnation of the
    /// second as alive.
    fn first_disagreement(&self) -> Option<(usize, usize)> {
        for (a, node) in self.nodes.iter().enumerate() {
            let alive = node.members.view().filter(|m| m.state == State::Alive);
            let alive: BTreeSet<HostRef> = alive.map(|m| m.host).collect();
            let disagreement =
                (0..HOSTS).find(|b| !alive.contains(&host(*b, self.nodes[*b].incarnation)));
            if let Some(b) = disagreement {
                return Some((a, b));
            }
        }
        None
    }

    /// The violation in this state, or in the state after all faults have ended.
    fn violation(&self) -> Option<&'static str> {
        if self.violation.is_some() {
            return self.violation;
        }
        let mut healed = self.clone();
        for node in &mut healed.nodes {
            node.paused = false;
            node.cut = false;
        }
        for _ in 0..HEALING_ROUNDS {
            healed.round(None, false);
            if healed.first_disagreement().is_none() {
                // The agreement must last.
                healed.round(None, false);
                healed.round(None, false);
                break;
            }
        }
        if healed.violation.is_some() {
            return healed.violation;
        }
        let first_disagreement = healed.first_disagreement();
        first_disagreement
            .map(|_| "a reachable host is not seen as alive after all faults have ended")
    }
}

fn search(name: &str, data_centres: [usize; HOSTS], faults: u8, depth: usize) {
    let states = Cell::new(0_u64);
    let start = World::new(data_centres, faults);
    let found = bfs(
        &start,
        |world| {
            states.set(states.get() + 1);
            let steps = if world.history.len() < depth {
                world.steps()
            } else {
                Vec::new()
            };
            let next: Vec<World> = steps.into_iter().map(|s| world.after(s)).collect();
            next
        },
        |world| world.violation().is_some(),
    );
    println!(
        "{name}: {} states expanded, depth {depth}, {faults} faults",
        states.get()
    );
    if let Some(path) = found {
        let end = path.last().unwrap();
        panic!(
            "{name}: {} after {} steps: {:?}",
            end.violation().unwrap(),
            path.len() - 1,
            end.history
        );
    }
}

/// Unoptimized builds search with fewer faults and steps.
const OPTIMIZED: bool = !cfg!(debug_assertions);

#[test]
fn three_hosts_of_one_data_centre_agree_after_any_faults() {
    let (faults, depth) = if OPTIMIZED { (3, 9) } else { (2, 7) };
    search("one data centre", [0, 0, 0], faults, depth);
}

#[test]
fn three_data_centres_of_one_host_agree_after_any_faults() {
    let (faults, depth) = if OPTIMIZED { (3, 9) } else { (2, 7) };
    search("three data centres", [0, 1, 2], faults, depth);
}

#[test]
fn two_hosts_and_one_elsewhere_agree_after_any_faults() {
    let (faults, depth) = if OPTIMIZED { (3, 9) } else { (2, 7) };
    search("two data centres", [0, 0, 1], faults, depth);
}
