//! A simulated group of engines, with two hosts that compete for its lease.

mod execute;
pub(crate) mod setup;
mod simulation;

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire::{EngineState, Order};
use dragonflyrill_orders::group::{CallError, CallId, Group, GroupSpec};

use super::engine::Engine;

pub(crate) const MODEL: &str = "m";
/// Steps without faults after which the engines must be in the declared state.
pub(crate) const MAX_CONVERGENCE_STEPS: u32 = 60;

#[derive(Debug, Clone, Copy)]
pub(crate) enum Event {
    /// Time advances by one unit, and the hosts that believe they hold the lease tick.
    Step,
    /// The engine receives the message and the answer arrives.
    Serve(usize),
    /// The engine receives the message and the answer is lost.
    LoseAnswer(usize),
    /// The message is lost.
    Drop(usize),
    /// The call fails with an unknown result while the message is still in flight.
    TimeOut(usize),
    /// The other host acquires the lease. The previous holder isn't informed.
    Takeover,
    /// The previous holder learns that it lost the lease.
    LeaseLost,
    /// Answers to reads of the endpoint's state are delayed from now on.
    DelayReads(usize),
    /// The first delayed answer arrives.
    DeliverAnswer,
    /// An endpoint crashes.
    Crash(usize),
    /// The declaration changes between two versions.
    Declare,
    /// All sessions on an endpoint end.
    EndSessions(usize),
}

#[derive(Debug, Clone)]
pub(crate) enum Message {
    Read,
    Order(Order),
}

#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) holder: usize,
    pub(crate) id: CallId,
    pub(crate) endpoint: usize,
    pub(crate) message: Message,
    pub(crate) sent_at: u64,
    /// The number of crashes before the call was sent.
    pub(crate) crashes_at_send: u32,
}

#[derive(Debug, Clone)]
pub(crate) struct GroupSimulation {
    pub(crate) time: u64,
    pub(crate) spec: GroupSpec,
    /// The next declaration.
    pub(crate) next_spec: GroupSpec,
    pub(crate) declarations_left: u32,
    pub(crate) groups: [Group; 2],
    pub(crate) engines: Vec<(EndpointId, Engine)>,
    pub(crate) calls: Vec<Call>,
    pub(crate) delayed_endpoint: Option<usize>,
    /// Answers to reads that are in flight.
    pub(crate) answers: Vec<(Call, Result<EngineState, CallError>)>,
    /// The holder and endpoint of each drain: routers send the endpoint no new work.
    pub(crate) drained: Vec<(usize, usize)>,
    pub(crate) holder: usize,
    pub(crate) fence: u64,
    /// Whether the previous holder still believes that it holds the lease.
    pub(crate) stale_holder: bool,
    pub(crate) faults_left: u32,
    pub(crate) takeovers_left: u32,
    pub(crate) crashes_left: u32,
    pub(crate) crashes: u32,
    /// Whether orders may arrive after the flight time. If so, only the final state is checked, not
    /// whether the ranges are served meanwhile.
    pub(crate) late_orders: bool,
    /// The longest time that an order is in flight unless `late_orders` is set.
    pub(crate) max_flight_time: u64,
}
