//! Leases with fencing numbers, and the orders that a lease holder sends to engines.
//!
//! Hosts share no consensus and may pause at any moment, so a host may believe that it still leads
//! a group of endpoints after another host has taken over the lease. Two modules keep this
//! harmless:
//!
//! - [`lease`]: each lease is one row in the platform's table and is taken over by compare-and-set.
//!   At most one host passes [`lease::Leases::check`] at any instant, and each new holder has a
//!   higher fencing number.
//! - [`group`]: the layers that the engines of one model in one data centre are declared to hold,
//!   and the orders that reconcile the engines with the declaration. Each order carries the lease's
//!   fencing number. Orders are decided from the state read back from the engines, so that engines
//!   that ignore the fencing number also reach the declared state.
//!
//! Both are state machines without sockets, tasks or clocks. The caller passes in the time as a
//! monotonic duration since an arbitrary origin of this host; it must include suspended time.
//!
//! Entry points: [`lease::Leases`], then [`group::Group`].

pub mod group;
mod jitter;
pub mod lease;
