//! The steps of operators: proposing a change, determining its outcome and verifying it later.

use super::{
    Config, Mutation,
    steps::{Operator, Outcome, Place, State, Step, Steps, Version},
};

impl Config {
    pub(super) fn operator_steps(&self, state: &State, o: usize, next: &mut Steps<'_>) {
        let operator = &state.operators[o];
        if let Some(base) = operator.late {
            next.add(Step::CommitLate(o), |s| {
                s.operators[o].late = None;
                self.commit(s, o, base);
            });
        }
        match operator.outcome {
            None => self.open_proposal_steps(state, o, next),
            Some(Outcome::Accepted(revision)) if !operator.looked_again => {
                self.recheck_steps(state, o, revision, next);
            }
            Some(_) => {}
        }
    }

    fn open_proposal_steps(&self, state: &State, o: usize, next: &mut Steps<'_>) {
        let operator = &state.operators[o];
        let Some(base) = operator.base else {
            next.add(Step::ReadHead(o), |s| s.operators[o].base = Some(s.head()));
            return;
        };
        match operator.place {
            Place::AtOperator => next.add(Step::Propose(o), |s| s.operators[o].send_proposal()),
            Place::ToStore => {
                next.add(Step::Commit(o), |s| {
                    s.operators[o].place = match self.commit(s, o, base) {
                        Some(revision) => Place::Done(revision),
                        None => Place::NotDone,
                    };
                });
                if operator.late.is_none() {
                    next.add_faults(
                        |s| &mut s.losses,
                        |next| {
                            next.add(Step::SlowCommit(o), |s| {
                                s.operators[o].late = Some(base);
                                self.mark_in_doubt(&mut s.operators[o]);
                            });
                        },
                    );
                }
            }
            Place::Done(_) | Place::NotDone => {
                next.add(Step::Answer(o), |s| answer(s, o));
                next.add_faults(
                    |s| &mut s.losses,
                    |next| {
                        next.add(Step::LoseAnswer(o), |s| {
                            self.mark_in_doubt(&mut s.operators[o])
                        })
                    },
                );
            }
            Place::InDoubt => self.in_doubt_steps(state, o, base, next),
        }
    }

    /// The store commits the change of operator `o` if its head is `base`. Returns the revision of
    /// the change, or `None` if the store refuses it.
    fn commit(&self, state: &mut State, o: usize, base: Version) -> Option<u8> {
        let head = state.head();
        if state.is_full() || head != base && !self.has(Mutation::CommitUnconditionally) {
            return None;
        }
        let change = Version {
            revision: base.revision + 1,
            author: o as u8 + 1,
            content: 0,
        };
        state.push(head.fold(change));
        Some(change.revision)
    }

    fn mark_in_doubt(&self, operator: &mut Operator) {
        operator.place = Place::InDoubt;
        operator.outcome = match self.mutation {
            Some(Mutation::AssumeConflict) => Some(Outcome::Conflict),
            Some(Mutation::AssumeAccepted) => Some(Outcome::Accepted(0)),
            _ => None,
        };
    }

    fn in_doubt_steps(&self, state: &State, o: usize, base: Version, next: &mut Steps<'_>) {
        let again = state.operators[o].tried < self.attempts;
        if state.head() == base {
            // The proposal has not taken effect so far: the operator may retry the same proposal,
            // or leave its outcome undecided.
            if again {
                next.add(Step::Propose(o), |s| s.operators[o].send_proposal());
            }
            return;
        }
        if again && self.has(Mutation::RebaseInDoubt) {
            next.add(Step::Propose(o), |s| {
                s.operators[o].base = Some(s.head());
                s.operators[o].send_proposal();
            });
        }
        next.add(Step::Settle(o), |s| s.resolve_outcome(o));
    }

    fn recheck_steps(&self, state: &State, o: usize, revision: u8, next: &mut Steps<'_>) {
        if self.has(Mutation::NoSecondLook) {
            return;
        }
        let own = |change: Version| usize::from(change.author) == o + 1;
        let is_in_order = state.change_at(revision).is_some_and(own);
        let hosts = &state.hosts[..self.hosts];
        let everywhere = hosts.iter().all(|host| host.held.revision >= revision);
        if everywhere || !is_in_order {
            next.add(Step::LookAgain(o), |s| {
                s.operators[o].looked_again = true;
                if !is_in_order {
                    s.raise_alarm();
                }
            });
        }
    }
}

fn answer(state: &mut State, o: usize) {
    match state.operators[o].place {
        Place::Done(revision) => state.operators[o].outcome = Some(Outcome::Accepted(revision)),
        _ => state.resolve_outcome(o),
    }
}

impl Operator {
    fn send_proposal(&mut self) {
        self.place = Place::ToStore;
        self.tried += 1;
    }
}

impl State {
    /// Sets the outcome of operator `o` by searching for its change in the store.
    fn resolve_outcome(&mut self, o: usize) {
        let changes = (0..=self.head().revision).filter_map(|revision| self.change_at(revision));
        let mut own = changes.filter(|c| usize::from(c.author) == o + 1);
        let outcome = match own.next() {
            Some(change) => Outcome::Accepted(change.revision),
            None => Outcome::Conflict,
        };
        self.operators[o].outcome = Some(outcome);
    }
}
