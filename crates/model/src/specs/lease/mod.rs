//! Orders to an endpoint, fenced by numbers drawn from the table.
//!
//! The table's row holds the newest fencing number, the host that drew it and the order issued
//! under it. A host draws the next number by a write that is conditional on the previous number.
//! The model ignores whether a lease has expired: any host may draw at any time, and a host whose
//! number was superseded may still send its order after a delay. Safety depends on the fencing
//! numbers alone.
//!
//! Not modelled: lease terms, which only prevent unnecessary draws; several endpoints; the time
//! that an endpoint needs to apply an order.

mod scenarios;
mod steps;

use self::steps::{MAX_DECLARATIONS, MAX_ORDERS};
pub use self::steps::{Order, State, Step};
use super::successors::Successors;
use crate::checker::{Bound, Property, Spec};

/// A mutation of the protocol: each removes one rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// An endpoint configured to check fencing numbers does not check them.
    NoCheck,
    /// A host issues a different order under the number that it already holds.
    SameNumber,
    /// The table does not check that the previous number is still the newest.
    DrawUnconditionally,
    /// A host treats a draw with a lost answer as successful.
    AssumeDrawn,
    /// A host does not verify that the endpoint has the ordered value.
    NoReadBack,
    /// A host does not draw a new number when the declared value changes.
    NoNewDraw,
    /// No host draws a number while the holder's order is lost.
    NoSuccessor,
}

/// The bounds of the specification and its optional mutation.
#[derive(Debug, Clone)]
pub struct Config {
    /// Whether the endpoint refuses orders with an older number.
    pub checks: bool,
    /// Declarations by operators; at most 2.
    pub declarations: u8,
    /// Unnecessary draws while another host holds the lease.
    pub overtakes: u8,
    /// Orders sent or resent by a host whose number was superseded.
    pub stale_orders: u8,
    /// Lost or duplicated orders, and lost answers from the table.
    pub losses: u8,
    /// Host crashes; a crashed host may restart.
    pub crashes: u8,
    /// Restarts of the endpoint, each of which erases its state.
    pub endpoint_restarts: u8,
    /// The mutation, if any.
    pub mutation: Option<Mutation>,
}

impl Config {
    fn has(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }
}

impl Spec for Config {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State::new(self)
    }

    fn successors(&self, state: &State) -> Vec<(Step, State)> {
        let mut next = Successors::of(state);
        self.environment_steps(state, &mut next);
        self.order_steps(state, &mut next);
        for h in 0..state.hosts.len() {
            self.host_steps(state, h, &mut next);
        }
        next.into_steps()
    }

    fn is_fault(&self, step: &Step) -> bool {
        use Step::{
            Crash, DoubleOrder, LoseAnswer, LoseOrder, Overtake, RestartEndpoint, SendStale,
        };
        matches!(
            step,
            Overtake(_)
                | SendStale(_)
                | LoseAnswer(_)
                | Crash(_)
                | LoseOrder(_)
                | DoubleOrder(_)
                | RestartEndpoint
        )
    }

    fn invariants(&self) -> Vec<Property<Self>> {
        vec![Property::new(
            "at an endpoint that checks, no older order takes effect after a newer",
            never_older,
        )]
    }

    fn goals(&self) -> Vec<Property<Self>> {
        vec![Property::new("the endpoint ends as declared", as_declared)]
    }

    fn bounds(&self) -> Vec<Bound> {
        vec![
            Bound::new("endpoint checks", self.checks),
            Bound::new("hosts", State::HOSTS as u64),
            Bound::new("declarations", self.declarations.min(MAX_DECLARATIONS)),
            Bound::new("orders under way", MAX_ORDERS as u64),
            Bound::new("overtakes", self.overtakes),
            Bound::new("stale orders", self.stale_orders),
            Bound::new("losses", self.losses),
            Bound::new("crashes", self.crashes),
            Bound::new("endpoint restarts", self.endpoint_restarts),
        ]
    }
}

fn never_older(cfg: &Config, state: &State) -> bool {
    !cfg.checks || !state.endpoint.went_back
}

fn as_declared(_: &Config, state: &State) -> bool {
    state.endpoint.value == state.declared
}
