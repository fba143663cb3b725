//! Checks the search on a specification whose state space is known: a search that misses states,
//! counts them twice or returns a longer path would give wrong verdicts on the protocol.

use dragonflyrill_model::checker::{self, Bound, Property, Spec, Verdict};

/// A counter that each step increments by one or two, up to `max`; faults decrement it by one.
struct Counter {
    max: u8,
    forbidden: u8,
    goal: u8,
    falls: u8,
    wraps: bool,
}

const HARMLESS: Counter = Counter {
    max: 10,
    forbidden: u8::MAX,
    goal: 10,
    falls: 0,
    wraps: false,
};

#[derive(Debug)]
enum Step {
    One,
    Two,
    Wrap,
    Fall,
}

impl Spec for Counter {
    /// The count, and the number of faults that may still occur.
    type State = (u8, u8);
    type Step = Step;

    fn initial(&self) -> (u8, u8) {
        (0, self.falls)
    }

    fn successors(&self, (count, falls): &(u8, u8)) -> Vec<(Step, (u8, u8))> {
        let mut next = Vec::new();
        if *count < self.max {
            next.push((Step::One, (count + 1, *falls)));
        }
        if count + 2 <= self.max {
            next.push((Step::Two, (count + 2, *falls)));
        }
        if *count == self.max && self.wraps {
            next.push((Step::Wrap, (0, *falls)));
        }
        if *falls > 0 && *count > 0 {
            next.push((Step::Fall, (count - 1, falls - 1)));
        }
        next
    }

    fn is_fault(&self, step: &Step) -> bool {
        matches!(step, Step::Fall)
    }

    fn invariants(&self) -> Vec<Property<Self>> {
        vec![Property::new(
            "the forbidden count is avoided",
            |cfg: &Self, s: &(u8, u8)| s.0 != cfg.forbidden,
        )]
    }

    fn goals(&self) -> Vec<Property<Self>> {
        vec![Property::new(
            "the count ends at the goal",
            |cfg: &Self, s: &(u8, u8)| s.0 == cfg.goal,
        )]
    }

    fn bounds(&self) -> Vec<Bound> {
        vec![Bound::new("count", self.max)]
    }
}

#[test]
fn a_search_counts_each_state_once_at_its_minimum_depth() {
    let outcome = checker::check(&HARMLESS);
    assert_eq!(outcome.verdict, Verdict::Holds);
    assert_eq!((outcome.counts.states, outcome.counts.depth), (11, 5));
}

#[test]
fn a_violated_invariant_has_a_shortest_counterexample() {
    let forbidden = 5;
    let spec = Counter {
        forbidden,
        ..HARMLESS
    };
    let outcome = checker::check(&spec);
    let found = outcome.counterexample().expect("5 can be reached");
    assert_eq!(found.property, "the forbidden count is avoided");
    assert_eq!(found.steps, ["One", "Two", "Two"]);
    assert_eq!(
        found.to_string(),
        "broken: the forbidden count is avoided\n   1. One\n   2. Two\n   3. Two\n  state: Some((5, 0))"
    );
}

#[test]
fn a_violation_in_the_initial_state_is_found() {
    let spec = Counter {
        forbidden: 0,
        ..HARMLESS
    };
    let outcome = checker::check(&spec);
    assert!(
        outcome
            .counterexample()
            .is_some_and(|found| found.steps.is_empty())
    );
}

#[test]
fn a_goal_is_checked_where_only_faults_are_enabled() {
    let spec = Counter {
        goal: 9,
        falls: 1,
        ..HARMLESS
    };
    let outcome = checker::check(&spec);
    let found = outcome
        .counterexample()
        .expect("every run without faults ends at 10");
    assert_eq!(found.property, "the count ends at the goal");
    assert_eq!(found.steps.len(), 5);
}

#[test]
fn a_search_that_reaches_its_state_limit_does_not_pass() {
    let outcome = checker::check_with_limit(&HARMLESS, 4);
    assert_eq!(outcome.verdict, Verdict::StateLimitReached);
    assert_eq!(outcome.counts.states, 4);
}

#[test]
fn a_run_that_revisits_a_state_is_detected() {
    assert!(checker::every_run_ends(&HARMLESS));
    let spec = Counter {
        wraps: true,
        ..HARMLESS
    };
    assert!(!checker::every_run_ends(&spec));
}

#[test]
fn a_bound_is_printed_with_its_value() {
    assert_eq!(Bound::new("losses", 2_u8).to_string(), "losses 2");
}
