//! Exhaustive breadth-first search, which finds a shortest counterexample.

use std::{
    cell::Cell,
    fmt::Debug,
    hash::{Hash, Hasher},
    rc::Rc,
};

use pathfinding::prelude::bfs;
use xxhash_rust::xxh3;

/// A system whose possible next steps can be enumerated.
pub(crate) trait System: Clone + Debug {
    /// Each possible next step: its name and the state after it.
    fn next_steps(&self) -> Vec<(String, Self)>;
    /// A description of the violated invariant, if there is one.
    fn violation(&self) -> Option<String>;
}

/// The result of a search.
#[derive(Debug)]
pub(crate) struct Report {
    /// The number of distinct states.
    pub(crate) states: usize,
    /// The length of the longest of the shortest paths to a state.
    pub(crate) depth: usize,
    /// The number of states without a next step.
    pub(crate) end_states: usize,
    /// The steps of a shortest path to a violated invariant, and the description of the violation.
    pub(crate) counterexample: Option<(Vec<String>, String)>,
}

/// A visited state. States are equal if the 128-bit digests of their `Debug` texts are equal.
struct Node<S> {
    digest: u128,
    depth: usize,
    step_name: String,
    system: Rc<S>,
}

impl<S: System> Node<S> {
    fn new(system: S, step_name: String, depth: usize) -> Self {
        Self {
            digest: xxh3::xxh3_128(format!("{system:?}").as_bytes()),
            depth,
            step_name,
            system: Rc::new(system),
        }
    }
}

impl<S> Clone for Node<S> {
    fn clone(&self) -> Self {
        Self {
            digest: self.digest,
            depth: self.depth,
            step_name: self.step_name.clone(),
            system: self.system.clone(),
        }
    }
}

impl<S> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl<S> Eq for Node<S> {}

impl<S> Hash for Node<S> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

/// Searches all states that are reachable from `start`.
pub(crate) fn explore<S: System>(start: S) -> Report {
    let (states, depth, end_states) = (Cell::new(0), Cell::new(0), Cell::new(0));
    let successors = |node: &Node<S>| {
        states.set(states.get() + 1);
        depth.set(depth.get().max(node.depth));
        let next = node.system.next_steps();
        end_states.set(end_states.get() + usize::from(next.is_empty()));
        let next = next.into_iter();
        let next: Vec<_> = next
            .map(|(step_name, system)| Node::new(system, step_name, node.depth + 1))
            .collect();
        next
    };
    let first = Node::new(start, "start".to_owned(), 0);
    let found = bfs(&first, successors, |node| node.system.violation().is_some());
    let counterexample = found.map(|path| {
        let violation = path.last().and_then(|node| node.system.violation());
        let steps = path
            .into_iter()
            .skip(1)
            .map(|node| node.step_name)
            .collect();
        (steps, violation.unwrap_or_default())
    });
    Report {
        states: states.get(),
        depth: depth.get(),
        end_states: end_states.get(),
        counterexample,
    }
}
