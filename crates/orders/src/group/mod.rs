//! Reconciles the layers held by the engines of one model in one data centre with the declaration.
//!
//! A [`Group`] compares the declared state ([`GroupSpec`]) with the states that the engines report,
//! and sends orders until both agree. These rules keep the layers served:
//!
//! - An engine's state counts only if it was read after every earlier order to the engine has taken
//!   effect or is lost: [`GroupConfig::max_flight_time`] after the order was sent. The same time
//!   must have passed since this host acquired the lease, because the previous holder may have sent
//!   an order at the end of its term. So no holder decides on a state that an order in flight will
//!   change, and an engine that ignores fencing numbers also reaches the declared state.
//! - An endpoint is removed from its layers only while enough others serve them. It first receives
//!   no new work for a while (drain), and the others are counted again before the order is sent.
//! - Loads of weights stay within the budget of the weight store.
//!
//! Entry point: [`Group`].

mod budget;
mod config;
mod decide;
mod machine;
mod member;
mod spec;
mod status;
mod steps;

pub use config::GroupConfig;
pub use machine::{Action, CallError, CallId, Group};
pub use spec::{
    GroupId, GroupSpec, LoadBudget, RangeSpec, RawGroup, RawRange, SpecError, SpecErrorKind,
};
pub use status::{ChangePhase, ChangeStatus, GroupStatus, RangeStatus};
