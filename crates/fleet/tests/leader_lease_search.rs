//! Exhaustive bounded search over the real lease of two hosts and one row: every order of calls, late
//! writes, lost answers, pauses and ends, up to a horizon. Never do both hosts act.
//!
//! Reads are answered at once, or the space is too large: an answer that comes late makes a host take
//! the row for younger than it is, and its next write finds another version.
//!
//! Time passes in ticks of a third of the term. A host may pause at any time, for any time.

use std::time::Duration;

use dragonflyrill_fleet::leader_lease::{LeaderLease, LeaseRecord, NO_HOLDER, Step, WriteOutcome};
use dragonflyrill_model::checker::{self, Bound, Property, Spec, Verdict};

/// One tick, a third of the term: a holder acts, and renews, up to the second.
const TICK: Duration = Duration::from_millis(800);
const TERM: Duration = Duration::from_millis(2400);
const LOOK: Duration = Duration::from_millis(1200);
/// After how many ticks a caller no longer waits for an answer.
const GIVES_UP: u32 = 1;

/// A wrong way of using the lease, which the search has to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// The term is counted from the answer of a write.
    CountsFromAnswer,
    /// A write whose outcome is unknown is taken for done.
    TakesUnknownForDone,
    /// A row that stands still is taken over before its term.
    TakesOverEarly,
    /// The row is written whatever its version is.
    WritesBlindly,
    /// The lease is given up in the row while the host still acts.
    ReleasesWhileActing,
}

struct Search {
    horizon: u32,
    late_writes: u8,
    ends: u8,
    mutant: Mutant,
}

/// A write of a host under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Call {
    sent: u32,
    step: Step,
    /// What the store has done, before its answer arrives.
    outcome: Option<WriteOutcome>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Host {
    lease: LeaderLease,
    incarnation: u8,
    leaving: bool,
    call: Option<Call>,
    /// A write that the host no longer waits for and the store has not done yet.
    late: Option<(String, u64)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    tick: u32,
    row: Option<LeaseRecord>,
    hosts: [Host; 2],
    late_writes: u8,
    ends: u8,
}

impl State {
    fn now(&self) -> Duration {
        TICK * self.tick
    }

    fn write(&mut self, holder: &str, expected: u64, blindly: bool) -> WriteOutcome {
        let at = self.row.as_ref().map_or(0, |row| row.version);
        if at != expected && !blindly {
            return WriteOutcome::Conflict(self.row.clone());
        }
        let version = at + 1;
        let holder = holder.to_owned();
        self.row = Some(LeaseRecord { holder, version });
        WriteOutcome::Done(version)
    }
}

/// What happens: to a host by its number, or to all.
#[derive(Debug)]
#[expect(
    dead_code,
    reason = "the hosts' numbers are printed in counterexamples"
)]
enum Event {
    Tick,
    Begins(usize),
    StoreDoes(usize),
    IsAnswered(usize),
    GivesUp(usize),
    LateWriteIsDone(usize),
    IsToEnd(usize),
    StartsAgain(usize),
}

fn name(host: usize, incarnation: u8) -> String {
    format!("host{host} {incarnation}")
}

fn fresh(host: usize, incarnation: u8) -> Host {
    Host {
        lease: LeaderLease::new(name(host, incarnation), TERM, LOOK),
        incarnation,
        leaving: false,
        call: None,
        late: None,
    }
}

impl Search {
    fn due(&self, state: &State, i: usize) -> Step {
        let host = &state.hosts[i];
        if self.mutant == Mutant::ReleasesWhileActing && host.leaving {
            let row = state.row.as_ref();
            let mine = row.filter(|row| row.holder == name(i, host.incarnation));
            return mine.map_or(Step::Wait, |row| Step::Release {
                expected: row.version,
            });
        }
        let early = match self.mutant {
            Mutant::TakesOverEarly => TICK,
            _ => Duration::ZERO,
        };
        host.lease.step(state.now() + early)
    }

    /// What a step writes, and on which version.
    fn written(state: &State, i: usize, step: &Step) -> Option<(String, u64)> {
        match step {
            Step::Write { expected } => Some((name(i, state.hosts[i].incarnation), *expected)),
            Step::Release { expected } => Some((NO_HOLDER.to_owned(), *expected)),
            Step::Read | Step::Wait => None,
        }
    }

    fn begins(&self, state: &State, i: usize) -> Option<State> {
        let step = self.due(state, i);
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

    fn store_does(&self, state: &State, i: usize) -> Option<State> {
        let call = state.hosts[i].call.as_ref()?;
        if call.outcome.is_some() {
            return None;
        }
        let mut next = state.clone();
        let blindly = self.mutant == Mutant::WritesBlindly;
        let (holder, expected) = Self::written(state, i, &call.step)?;
        let outcome = next.write(&holder, expected, blindly);
        next.hosts[i].call.as_mut()?.outcome = Some(outcome);
        Some(next)
    }

    fn is_answered(&self, state: &State, i: usize) -> Option<State> {
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

    /// The host no longer waits; what the store has not done yet it may still do.
    fn gives_up(&self, state: &State, i: usize) -> Option<State> {
        let mut next = state.clone();
        let host = &mut next.hosts[i];
        let call = host.call.take()?;
        if state.tick < call.sent + GIVES_UP {
            return None;
        }
        let write = Self::written(state, i, &call.step)?;
        let unknown = match (self.mutant, write.1) {
            (Mutant::TakesUnknownForDone, expected) => WriteOutcome::Done(expected + 1),
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

    fn late_write_is_done(&self, state: &State, i: usize) -> Option<State> {
        let mut next = state.clone();
        let (holder, expected) = next.hosts[i].late.take()?;
        next.write(&holder, expected, self.mutant == Mutant::WritesBlindly);
        Some(next)
    }

    fn is_to_end(&self, state: &State, i: usize) -> Option<State> {
        let mut next = state.clone();
        let host = &mut next.hosts[i];
        if host.leaving {
            return None;
        }
        host.leaving = true;
        if self.mutant != Mutant::ReleasesWhileActing {
            host.lease.shut_down();
        }
        next.ends = state.ends.checked_sub(1)?;
        Some(next)
    }

    fn starts_again(&self, state: &State, i: usize) -> Option<State> {
        let host = &state.hosts[i];
        let ended = host.leaving && host.call.is_none() && self.due(state, i) == Step::Wait;
        if !ended || self.mutant == Mutant::ReleasesWhileActing {
            return None;
        }
        let mut next = state.clone();
        let late = next.hosts[i].late.take();
        next.hosts[i] = fresh(i, host.incarnation + 1);
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
            hosts: [fresh(0, 1), fresh(1, 1)],
            late_writes: self.late_writes,
            ends: self.ends,
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
                (Event::Begins(i), self.begins(state, i)),
                (Event::StoreDoes(i), self.store_does(state, i)),
                (Event::IsAnswered(i), self.is_answered(state, i)),
                (Event::GivesUp(i), self.gives_up(state, i)),
                (Event::LateWriteIsDone(i), self.late_write_is_done(state, i)),
                (Event::IsToEnd(i), self.is_to_end(state, i)),
                (Event::StartsAgain(i), self.starts_again(state, i)),
            ];
            let possible = events.into_iter().filter_map(|(e, next)| Some((e, next?)));
            all.extend(possible);
        }
        all
    }

    fn is_fault(&self, step: &Event) -> bool {
        matches!(step, Event::GivesUp(_) | Event::IsToEnd(_))
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
            Bound::new("ends", self.ends),
        ]
    }
}

/// One write is late, nobody ends.
const LATE_WRITES: Search = Search {
    horizon: 5,
    late_writes: 1,
    ends: 0,
    mutant: Mutant::None,
};

/// One host ends and starts again, no write is late.
const ENDS: Search = Search {
    horizon: 4,
    late_writes: 0,
    ends: 1,
    mutant: Mutant::None,
};

fn holds(search: &Search) {
    let outcome = checker::check(search);
    println!("{:?}", outcome.counts);
    assert_eq!(outcome.verdict, Verdict::Holds);
}

#[test]
fn no_order_of_late_writes_lets_two_hosts_act() {
    holds(&LATE_WRITES);
}

#[test]
fn no_order_of_ends_lets_two_hosts_act() {
    holds(&ENDS);
}

fn is_found(mutant: Mutant) {
    let outcome = checker::check(&Search {
        late_writes: 1,
        mutant,
        ..ENDS
    });
    let found = outcome.counterexample();
    let found = found.unwrap_or_else(|| panic!("{mutant:?} is not found: {:?}", outcome.counts));
    println!("{mutant:?}: {} states\n{found}", outcome.counts.states);
}

#[test]
fn a_term_that_is_counted_from_the_answer_is_found() {
    is_found(Mutant::CountsFromAnswer);
}

#[test]
fn an_unknown_outcome_taken_for_done_is_found() {
    is_found(Mutant::TakesUnknownForDone);
}

#[test]
fn a_takeover_before_the_term_is_found() {
    is_found(Mutant::TakesOverEarly);
}

#[test]
fn writes_without_condition_are_found() {
    is_found(Mutant::WritesBlindly);
}

#[test]
fn a_release_by_a_host_that_still_acts_is_found() {
    is_found(Mutant::ReleasesWhileActing);
}
