//! Exhaustive bounded search over the real lease of two hosts and one row: every order of calls,
//! late writes, lost answers, pauses and shutdowns, up to a horizon. The two hosts must never act
//! at the same time.
//!
//! Reads are answered at once to bound the state space: a late answer makes a host take the row for
//! more recent than it is, and its next write then finds another version.
//!
//! Time passes in ticks of a third of the term. A host may pause at any time, for any time.

use std::time::Duration;

use dragonflyrill_fleet::leader_lease::{LeaderLease, LeaseRecord, NO_HOLDER, Step, WriteOutcome};
use dragonflyrill_model::checker::{self, Bound, Property, Spec, Verdict};

/// One tick, a third of the term: a holder acts, and renews, up to the second tick.
const TICK: Duration = Duration::from_millis(800);
const TERM: Duration = Duration::from_millis(2400);
const READ_INTERVAL: Duration = Duration::from_millis(1200);
/// The number of ticks after which a caller no longer waits for an answer.
const CALL_TIMEOUT_TICKS: u32 = 1;

/// A faulty use of the lease, which the search has to detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// The term is counted from the answer of a write.
    CountsFromAnswer,
    /// A write with an unknown outcome counts as done.
    CountsUnknownAsDone,
    /// An unchanged row is taken over before its term.
    TakesOverEarly,
    /// The row is written whatever its version is.
    WritesUnconditionally,
    /// The lease is released in the row while the host still acts.
    ReleasesWhileActing,
}

struct Search {
    horizon: u32,
    late_writes: u8,
    shutdowns: u8,
    mutant: Mutant,
}

/// A pending write of a host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Call {
    sent: u32,
    step: Step,
    /// The outcome in the store, before its answer arrives.
    outcome: Option<WriteOutcome>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Host {
    lease: LeaderLease,
    incarnation: u8,
    shutting_down: bool,
    call: Option<Call>,
    /// A write that the host no longer waits for and the store has not executed yet.
    late: Option<(String, u64)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    tick: u32,
    row: Option<LeaseRecord>,
    hosts: [Host; 2],
    late_writes: u8,
    shutdowns: u8,
}

impl State {
    fn now(&self) -> Duration {
        TICK * self.tick
    }

    fn write(&mut self, holder: &str, expected: u64, unconditional: bool) -> WriteOutcome {
        let at = self.row.as_ref().map_or(0, |row| row.version);
        if at != expected && !unconditional {
            return WriteOutcome::Conflict(self.row.clone());
        }
        let version = at + 1;
        let holder = holder.to_owned();
        self.row = Some(LeaseRecord { holder, version });
        WriteOutcome::Done(version)
    }
}

/// An event, of the host with this index or of all hosts.
#[derive(Debug)]
#[expect(
    dead_code,
    reason = "the hosts' numbers are printed in counterexamples"
)]
enum Event {
    Tick,
    CallStarts(usize),
    StoreExecutes(usize),
    CallIsAnswered(usize),
    CallTimesOut(usize),
    LateWriteIsExecuted(usize),
    ShutsDown(usize),
    Restarts(usize),
}

fn name(host: usize, incarnation: u8) -> String {
    format!("host{host} {incarnation}")
}

fn started_host(host: usize, incarnation: u8) -> Host {
    Host {
        lease: LeaderLease::new(name(host, incarnation), TERM, READ_INTERVAL),
        incarnation,
        shutting_down: false,
        call: None,
        late: None,
    }
}

impl Search {
    fn due_step(&self, state: &State, i: usize) -> Step {
        let host = &state.hosts[i];
        if self.mutant == Mutant::ReleasesWhileActing && host.shutting_down {
            let row = state.row.as_ref();
            let own_row = row.filter(|row| row.holder == name(i, host.incarnation));
            return own_row.map_or(Step::Wait, |row| Step::Release {
                expected: row.version,
            });
        }
        let early = match self.mutant {
            Mutant::TakesOverEarly => TICK,
            _ => Duration::ZERO,
        };
        host.lease.step(state.now() + early)
    }

    /// The holder that a step writes, and the version that the row must have.
    fn written(state: &State, i: usize, step: &Step) -> Option<(String, u64)> {
        match step {
            Step::Write { expected } => Some((name(i, state.hosts[i].incarnation), *expected)),
            Step::Release { expected } => Some((NO_HOLDER.to_owned(), *expected)),
            Step::Read | Step::Wait => None,
        }
    }

    fn call_starts(&self, state: &State, i: usize) -> Option<State> {
        let step = self.due_step(state, i);
        if state.hosts[i].call.is_some() || step == Step::Wait {
            return None;
        }
        let mut next = state.clone();
        if step == Step::Read {
            next.hosts[i]
                .lease
                .record_read(state.now(), state.row.clone());
            return Some(next);
        }
        next.hosts[i].call = Some(Call {
            sent: state.tick,
            step,
            outcome: None,
        });
        Some(next)
    }

    fn store_executes(&self, state: &State, i: usize) -> Option<State> {
        let call = state.hosts[i].call.as_ref()?;
        if call.outcome.is_some() {
            return None;
        }
        let mut next = state.clone();
        let unconditional = self.mutant == Mutant::WritesUnconditionally;
        let (holder, expected) = Self::written(state, i, &call.step)?;
        let outcome = next.write(&holder, expected, unconditional);
        next.hosts[i].call.as_mut()?.outcome = Some(outcome);
        Some(next)
    }

    fn call_is_answered(&self, state: &State, i: usize) -> Option<State> {
        let mut next = state.clone();
        let host = &mut next.hosts[i];
        let Call { sent, outcome, .. } = host.call.take()?;
        let sent_at = match self.mutant {
            Mutant::CountsFromAnswer => state.now(),
            _ => TICK * sent,
        };
        host.lease.record_write(sent_at, state.now(), outcome?);
        Some(next)
    }

    /// The host no longer waits; the store may still execute the call.
    fn call_times_out(&self, state: &State, i: usize) -> Option<State> {
        let mut next = state.clone();
        let host = &mut next.hosts[i];
        let call = host.call.take()?;
        if state.tick < call.sent + CALL_TIMEOUT_TICKS {
            return None;
        }
        let write = Self::written(state, i, &call.step)?;
        let unknown = match (self.mutant, write.1) {
            (Mutant::CountsUnknownAsDone, expected) => WriteOutcome::Done(expected + 1),
            _ => WriteOutcome::Unknown,
        };
        host.lease
            .record_write(TICK * call.sent, state.now(), unknown);
        if call.outcome.is_none() {
            if host.late.is_some() {
                return None;
            }
            next.late_writes = state.late_writes.checked_sub(1)?;
            host.late = Some(write);
        }
        Some(next)
    }

    fn late_write_is_executed(&self, state: &State, i: usize) -> Option<State> {
        let mut next = state.clone();
        let (holder, expected) = next.hosts[i].late.take()?;
        next.write(
            &holder,
            expected,
            self.mutant == Mutant::WritesUnconditionally,
        );
        Some(next)
    }

    fn shuts_down(&self, state: &State, i: usize) -> Option<State> {
        let mut next = state.clone();
        let host = &mut next.hosts[i];
        if host.shutting_down {
            return None;
        }
        host.shutting_down = true;
        if self.mutant != Mutant::ReleasesWhileActing {
            host.lease.shut_down();
        }
        next.shutdowns = state.shutdowns.checked_sub(1)?;
        Some(next)
    }

    fn restarts(&self, state: &State, i: usize) -> Option<State> {
        let host = &state.hosts[i];
        let terminated =
            host.shutting_down && host.call.is_none() && self.due_step(state, i) == Step::Wait;
        if !terminated || self.mutant == Mutant::ReleasesWhileActing {
            return None;
        }
        let mut next = state.clone();
        let late = next.hosts[i].late.take();
        next.hosts[i] = started_host(i, host.incarnation + 1);
        next.hosts[i].late = late;
        Some(next)
    }
}

impl Spec for Search {
    type State = State;
    type Step = Event;

    fn initial(&self) -> State {
        State {
            tick: 0,
            row: None,
            hosts: [started_host(0, 1), started_host(1, 1)],
            late_writes: self.late_writes,
            shutdowns: self.shutdowns,
        }
    }

    fn successors(&self, state: &State) -> Vec<(Event, State)> {
        let mut all = Vec::new();
        if state.tick < self.horizon {
            let tick = state.tick + 1;
            let next = State {
                tick,
                ..state.clone()
            };
            all.push((Event::Tick, next));
        }
        for i in 0..state.hosts.len() {
            let events = [
                (Event::CallStarts(i), self.call_starts(state, i)),
                (Event::StoreExecutes(i), self.store_executes(state, i)),
                (Event::CallIsAnswered(i), self.call_is_answered(state, i)),
                (Event::CallTimesOut(i), self.call_times_out(state, i)),
                (
                    Event::LateWriteIsExecuted(i),
                    self.late_write_is_executed(state, i),
                ),
                (Event::ShutsDown(i), self.shuts_down(state, i)),
                (Event::Restarts(i), self.restarts(state, i)),
            ];
            let possible = events.into_iter().filter_map(|(e, next)| Some((e, next?)));
            all.extend(possible);
        }
        all
    }

    fn is_fault(&self, step: &Event) -> bool {
        matches!(step, Event::CallTimesOut(_) | Event::ShutsDown(_))
    }

    fn invariants(&self) -> Vec<Property<Self>> {
        vec![Property::new(
            "at most one host acts",
            |_, state: &State| {
                let acting = |host: &&Host| host.lease.held(state.now());
                state.hosts.iter().filter(acting).count() <= 1
            },
        )]
    }

    fn bounds(&self) -> Vec<Bound> {
        vec![
            Bound::new("hosts", 2_u64),
            Bound::new("ticks", self.horizon),
            Bound::new("late writes", self.late_writes),
            Bound::new("ends", self.shutdowns),
        ]
    }
}

/// One write is late, no host shuts down.
const LATE_WRITES: Search = Search {
    horizon: 5,
    late_writes: 1,
    shutdowns: 0,
    mutant: Mutant::None,
};

/// One host shuts down and restarts, no write is late.
const SHUTDOWNS: Search = Search {
    horizon: 4,
    late_writes: 0,
    shutdowns: 1,
    mutant: Mutant::None,
};

fn assert_holds(search: &Search) {
    let outcome = checker::check(search);
    println!("{:?}", outcome.counts);
    assert_eq!(outcome.verdict, Verdict::Holds);
}

#[test]
fn no_order_of_late_writes_lets_two_hosts_act() {
    assert_holds(&LATE_WRITES);
}

#[test]
fn no_order_of_shutdowns_lets_two_hosts_act() {
    assert_holds(&SHUTDOWNS);
}

fn assert_detected(mutant: Mutant) {
    let outcome = checker::check(&Search {
        late_writes: 1,
        mutant,
        ..SHUTDOWNS
    });
    let found = outcome.counterexample();
    let found = found.unwrap_or_else(|| panic!("{mutant:?} is not detected: {:?}", outcome.counts));
    println!("{mutant:?}: {} states\n{found}", outcome.counts.states);
}

#[test]
fn a_term_that_is_counted_from_the_answer_is_detected() {
    assert_detected(Mutant::CountsFromAnswer);
}

#[test]
fn an_unknown_outcome_that_counts_as_done_is_detected() {
    assert_detected(Mutant::CountsUnknownAsDone);
}

#[test]
fn a_takeover_before_the_term_is_detected() {
    assert_detected(Mutant::TakesOverEarly);
}

#[test]
fn unconditional_writes_are_detected() {
    assert_detected(Mutant::WritesUnconditionally);
}

#[test]
fn a_release_by_a_host_that_still_acts_is_detected() {
    assert_detected(Mutant::ReleasesWhileActing);
}
