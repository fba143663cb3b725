//! Orders to an endpoint under a fencing number from the table.
//!
//! The table's row has the newest number, the host that drew it and the order it stands for. A
//! host draws a number by a write on condition of the one before. Whether its lease has lapsed
//! does not matter here: any host may draw at any time, and one that was overtaken may still send
//! its order, once it wakes. Safety rests on the numbers alone.
//!
//! Left out: the terms of leases, which only keep hosts from drawing needlessly; several
//! endpoints; the time that an endpoint takes to follow an order.

mod scenarios;
mod steps;

use self::steps::{MAX_ORDERS, VALUES};
pub use self::steps::{Order, State, Step};
use super::successors::Successors;
use crate::checker::{Bound, Property, Spec};

/// A rule left out of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The endpoint that is said to check numbers does not.
    NoCheck,
    /// A host gives another order under the number it has.
    SameNumber,
    /// The table does not check that the number before is still the newest.
    DrawUnconditionally,
    /// A host whose draw was not answered takes it for done.
    AssumeDrawn,
    /// A host does not look again whether the endpoint is as ordered.
    NoReadBack,
    /// A host does not look again whether what is declared has changed.
    NoNewDraw,
    /// Nobody draws a number while the holder is gone.
    NoSuccessor,
}

/// The bounds, and the mutation if there is one.
#[derive(Debug, Clone)]
pub struct Config {
    /// Whether the endpoint refuses old numbers.
    pub checks: bool,
    /// Declarations; at most 2.
    pub declarations: u8,
    /// Needless draws while another host has the lease.
    pub overtakes: u8,
    /// Orders that are sent, or sent again, by a host that was overtaken.
    pub stale_orders: u8,
    /// Orders that are lost, or come twice, and answers of the table that are lost.
    pub losses: u8,
    /// Hosts that crash; each may restart.
    pub crashes: u8,
    /// Restarts of the endpoint, which forgets all.
    pub endpoint_restarts: u8,
    /// The rule left out.
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
        self.world(state, &mut next);
        self.orders(state, &mut next);
        for h in 0..state.hosts.len() {
            self.host(state, h, &mut next);
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
            Bound::new("declarations", self.declarations.min(VALUES)),
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
