//! Exhaustive breadth-first search of a bounded specification; it finds a shortest counterexample.

use std::{
    fmt::{self, Debug},
    hash::{Hash, Hasher},
    time::{Duration, Instant},
};

use pathfinding::prelude;

/// A specification: a transition system and the properties that it must satisfy.
pub trait Spec {
    /// Everything that later steps depend on, and the history that the properties need.
    type State: Clone + Eq + Hash + Debug;
    /// The label of one transition. Its `Debug` form is one line of a counterexample.
    type Step: Debug;

    /// The initial state.
    fn initial(&self) -> Self::State;

    /// All steps enabled in `state`, each with the state that it leads to.
    fn successors(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// Whether a step is a fault. Faults are bounded in number and may never occur. Every other
    /// enabled step eventually occurs, unless another step disables it.
    fn is_fault(&self, step: &Self::Step) -> bool;

    /// The properties that must hold in every reachable state.
    fn invariants(&self) -> Vec<Property<Self>>;

    /// The properties that must hold in every reachable state where only faults are enabled.
    fn goals(&self) -> Vec<Property<Self>> {
        Vec::new()
    }

    /// The bounds that make the state space finite.
    fn bounds(&self) -> Vec<Bound>;
}

/// A named predicate over states.
pub struct Property<S: Spec + ?Sized> {
    /// A short statement of the property.
    pub name: &'static str,
    /// Whether the property holds in a state.
    pub holds: fn(&S, &S::State) -> bool,
}

impl<S: Spec + ?Sized> Property<S> {
    /// Creates the property `name`.
    pub fn new(name: &'static str, holds: fn(&S, &S::State) -> bool) -> Self {
        Self { name, holds }
    }
}

/// A bound of a specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// The bounded quantity.
    pub name: &'static str,
    /// The maximum; 0 or 1 for a switch that is off or on.
    pub value: u64,
}

impl Bound {
    /// Creates the bound of at most `value` of `name`.
    pub fn new(name: &'static str, value: impl Into<u64>) -> Self {
        let value = value.into();
        Self { name, value }
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.name, self.value)
    }
}

/// The size and duration of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counts {
    /// Distinct states whose properties were checked.
    pub states: usize,
    /// The length in steps of the shortest path to the most distant checked state.
    pub depth: usize,
    /// The duration of the search.
    pub took: Duration,
}

/// A shortest path from the initial state to a state that violates a property.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// The name of the violated property.
    pub property: &'static str,
    /// The `Debug` forms of the steps, in order.
    pub steps: Vec<String>,
    /// The `Debug` form of the last state.
    pub state: String,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "broken: {}", self.property)?;
        for (i, step) in self.steps.iter().enumerate() {
            writeln!(f, "  {:>2}. {step}", i + 1)?;
        }
        write!(f, "  state: {}", self.state)
    }
}

/// The verdict of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Every property holds in the whole bounded state space.
    Holds,
    /// A property is violated.
    Broken(Counterexample),
    /// The search stopped at its limit of states before it found a violation; the remaining states
    /// were not checked.
    StateLimitReached,
}

/// The result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The size and duration of the search.
    pub counts: Counts,
    /// Whether the properties hold.
    pub verdict: Verdict,
}

impl Outcome {
    /// The counterexample, if a property is violated.
    pub fn counterexample(&self) -> Option<&Counterexample> {
        match &self.verdict {
            Verdict::Broken(found) => Some(found),
            Verdict::Holds | Verdict::StateLimitReached => None,
        }
    }
}

/// The default limit of states after which a search stops: about 2 GB of the largest states of
/// the specifications in this crate.
pub const MAX_STATES: usize = 8_000_000;

/// Searches the whole state space of `spec`, up to [`MAX_STATES`] states.
pub fn check<S: Spec>(spec: &S) -> Outcome {
    check_with_limit(spec, MAX_STATES)
}

/// Searches `spec` and stops once `max_states` states have been checked.
pub fn check_with_limit<S: Spec>(spec: &S, max_states: usize) -> Outcome {
    let started = Instant::now();
    let mut search = Search::new(spec, max_states);
    let start = Node::reached(spec.initial(), 0);
    let path = prelude::bfs(
        &start,
        |node| search.expand(node),
        |node| !matches!(node.kind, NodeKind::Reached(_)),
    );
    let verdict = match path {
        None => Verdict::Holds,
        Some(path) => search.verdict(&path),
    };
    let counts = Counts {
        states: search.states,
        depth: search.depth,
        took: started.elapsed(),
    };
    Outcome { counts, verdict }
}

/// Whether every run of `spec` terminates, that is, no run visits a state twice.
///
/// If so, a goal that holds in every state where only faults are enabled is reached by every run
/// in which faults cease. The traversal is recursive, so it suits small bounds only.
pub fn every_run_ends<S: Spec>(spec: &S) -> bool {
    let next_states = |state: &S::State| {
        let next = spec.successors(state).into_iter();
        next.map(|(_, state)| state).collect::<Vec<_>>()
    };
    prelude::topological_sort(&[spec.initial()], next_states).is_ok()
}

/// A node of the search graph. Equality and hash ignore the depth, so that a state is visited once.
#[derive(Clone)]
struct Node<T> {
    kind: NodeKind<T>,
    depth: usize,
}

#[derive(Clone, PartialEq, Eq, Hash)]
enum NodeKind<T> {
    Reached(T),
    /// The only successor of a state that violates the property of this name.
    Broken(&'static str),
    /// The only successor of a state that the limit of states leaves unchecked.
    StateLimitReached,
}

impl<T> Node<T> {
    fn reached(state: T, depth: usize) -> Self {
        let kind = NodeKind::Reached(state);
        Self { kind, depth }
    }
}

impl<T: PartialEq> PartialEq for Node<T> {
    fn eq(&self, other: &Self) -> bool {
        self.kind == other.kind
    }
}

impl<T: Eq> Eq for Node<T> {}

impl<T: Hash> Hash for Node<T> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.kind.hash(hasher);
    }
}

struct Search<'a, S: Spec> {
    spec: &'a S,
    invariants: Vec<Property<S>>,
    goals: Vec<Property<S>>,
    max_states: usize,
    states: usize,
    depth: usize,
}

impl<'a, S: Spec> Search<'a, S> {
    fn new(spec: &'a S, max_states: usize) -> Self {
        Self {
            spec,
            invariants: spec.invariants(),
            goals: spec.goals(),
            max_states,
            states: 0,
            depth: 0,
        }
    }

    /// Checks the properties in a state and returns its successors. The breadth-first search calls
    /// this once for each state, in order of depth.
    fn expand(&mut self, node: &Node<S::State>) -> Vec<Node<S::State>> {
        let NodeKind::Reached(state) = &node.kind else {
            return Vec::new();
        };
        let depth = node.depth + 1;
        let terminal = |kind| vec![Node { kind, depth }];
        if self.states == self.max_states {
            return terminal(NodeKind::StateLimitReached);
        }
        self.states += 1;
        self.depth = self.depth.max(node.depth);
        if let Some(name) = self.first_broken(&self.invariants, state) {
            return terminal(NodeKind::Broken(name));
        }
        let next = self.spec.successors(state);
        if next.iter().all(|(step, _)| self.spec.is_fault(step))
            && let Some(name) = self.first_broken(&self.goals, state)
        {
            return terminal(NodeKind::Broken(name));
        }
        let next = next.into_iter();
        next.map(|(_, state)| Node::reached(state, depth)).collect()
    }

    fn first_broken(&self, properties: &[Property<S>], state: &S::State) -> Option<&'static str> {
        let mut broken = properties.iter().filter(|p| !(p.holds)(self.spec, state));
        broken.next().map(|p| p.name)
    }

    fn verdict(&self, path: &[Node<S::State>]) -> Verdict {
        let states: Vec<&S::State> = path.iter().filter_map(Node::state).collect();
        match path.last().map(|node| &node.kind) {
            Some(NodeKind::Broken(property)) => Verdict::Broken(Counterexample {
                property,
                steps: self.step_labels(&states),
                state: format!("{:?}", states.last()),
            }),
            _ => Verdict::StateLimitReached,
        }
    }

    /// The `Debug` forms of the steps between consecutive states of a path.
    fn step_labels(&self, states: &[&S::State]) -> Vec<String> {
        let label = |pair: &[&S::State]| {
            let mut next = self.spec.successors(pair[0]).into_iter();
            let step = next.find(|(_, state)| state == pair[1]);
            step.map_or_else(String::new, |(step, _)| format!("{step:?}"))
        };
        states.windows(2).map(label).collect()
    }
}

impl<T> Node<T> {
    fn state(&self) -> Option<&T> {
        match &self.kind {
            NodeKind::Reached(state) => Some(state),
            NodeKind::Broken(_) | NodeKind::StateLimitReached => None,
        }
    }
}
