//! An exhaustive search of all event sequences up to a depth. It is breadth first, so that the
//! first counterexample found is a shortest one.

use std::{collections::HashSet, fmt::Debug};

/// A state of a simulated system, with the events that can happen next.
pub(crate) trait Simulation: Clone {
    /// An event that can happen.
    type Event: Clone + Debug;

    /// Returns all events that can happen next.
    fn events(&self) -> Vec<Self::Event>;

    /// Applies an event. The error names the invariant that the event violated.
    fn apply(&mut self, event: &Self::Event) -> Result<(), String>;

    /// Returns a hash that is equal for states with equal behaviour.
    fn key(&self) -> u64;

    /// Checks a state at the greatest depth of the search.
    fn check_leaf(&self) -> Result<(), String> {
        Ok(())
    }
}

/// The result of a search.
pub(crate) struct Report<E> {
    /// The number of distinct states.
    pub(crate) states: usize,
    /// The depth reached, in events.
    pub(crate) depth: usize,
    /// The number of states at the greatest depth.
    pub(crate) leaves: usize,
    /// The events up to the first violated invariant, and its description.
    pub(crate) violation: Option<(Vec<E>, String)>,
}

/// Searches all event sequences of up to `depth` events from `start`.
pub(crate) fn explore<W: Simulation>(start: W, depth: usize) -> Report<W::Event> {
    let mut seen = HashSet::from([start.key()]);
    // The index of the previous step and the event; the root has no event.
    let mut steps: Vec<(usize, Option<W::Event>)> = vec![(0, None)];
    let mut level = vec![(0, start)];
    let mut reached = 0;
    while reached < depth && !level.is_empty() {
        let mut next = Vec::new();
        for (index, simulation) in &level {
            for event in simulation.events() {
                let mut after = simulation.clone();
                let result = after.apply(&event);
                if result.is_ok() && !seen.insert(after.key()) {
                    continue;
                }
                steps.push((*index, Some(event)));
                let index = steps.len() - 1;
                if let Err(message) = result {
                    return report(&seen, reached + 1, 0, Some((path(&steps, index), message)));
                }
                next.push((index, after));
            }
        }
        level = next;
        reached += 1;
    }
    for (index, simulation) in &level {
        if let Err(message) = simulation.check_leaf() {
            return report(
                &seen,
                reached,
                level.len(),
                Some((path(&steps, *index), message)),
            );
        }
    }
    report(&seen, reached, level.len(), None)
}

/// Searches, prints the counts, and panics if an invariant is violated. The environment variable
/// `ORDERS_SEARCH_DEPTH` overrides `depth`.
pub(crate) fn assert_invariants<W: Simulation>(name: &str, start: W, depth: usize) {
    let depth = std::env::var("ORDERS_SEARCH_DEPTH").map_or(depth, |d| d.parse().unwrap());
    let report = explore(start, depth);
    println!(
        "{name}: {} states, depth {}, {} leaves",
        report.states, report.depth, report.leaves
    );
    if let Some((events, message)) = report.violation {
        let lines: Vec<_> = events.iter().map(|e| format!("  {e:?}")).collect();
        let events = lines.join("\n");
        panic!("{name}: {message}, after {} events:\n{events}", lines.len());
    }
}

fn report<E>(
    seen: &HashSet<u64>,
    depth: usize,
    leaves: usize,
    violation: Option<(Vec<E>, String)>,
) -> Report<E> {
    Report {
        states: seen.len(),
        depth,
        leaves,
        violation,
    }
}

fn path<E: Clone>(steps: &[(usize, Option<E>)], mut index: usize) -> Vec<E> {
    let mut events = Vec::new();
    while let (previous, Some(event)) = &steps[index] {
        events.push(event.clone());
        index = *previous;
    }
    events.reverse();
    events
}

/// Runs one schedule: each number selects one of the events that can happen next. The error lists
/// the events.
pub(crate) fn run_schedule<W: Simulation>(
    mut simulation: W,
    choices: &[u16],
) -> Result<(), String> {
    let mut done = Vec::new();
    for choice in choices {
        let events = simulation.events();
        let event = events[usize::from(*choice) % events.len()].clone();
        done.push(event.clone());
        simulation
            .apply(&event)
            .map_err(|message| format!("{message}, after {done:?}"))?;
    }
    let result = simulation.check_leaf();
    result.map_err(|message| format!("{message}, after {done:?}"))
}
