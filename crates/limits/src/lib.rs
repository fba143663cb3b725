//! Owners' limits: what a host may admit, and how rights move between hosts.
//!
//! An owner's limit holds over the whole fleet at every instant. It is kept by escrow: rights are
//! held by exactly one host and lent for a short term, so that a lost message, a paused host or a
//! cut wastes rights for a term and never doubles them.
//!
//! - [`HostLimiter`] is the state machine on each host. The host hands it events with the time
//!   and carries out the [`Action`]s that come back; it reads no clock and opens no socket.
//! - `session` is the right of a host to lend: its shards in the table's row, its guard's promise.
//! - `lender` is the lending side of one limit, `holder` the using side, `pool` the token bucket.
//! - [`fair`] is the queue for capacity that owners share.
//! - [`baseline`] has the simpler designs that this one is measured against.
//!
//! Start with [`HostLimiter::ask`].

pub mod baseline;
pub mod fair;

mod config;
mod holder;
mod host;
mod key;
mod lender;
mod plan;
mod pool;
mod session;
mod split;
mod status;

pub use config::{Config, Declaration, Peer, Terms};
pub use host::HostLimiter;
pub use status::{KeyStatus, Status};

use std::time::Duration;

use dragonflyrill_catalogue::entry::LimitKey;
use dragonflyrill_protocol::{HostRef, rights::Message};
use dragonflyrill_store::table::TableCall;

/// Names one ask until it is settled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Names one transaction until it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TxnId(pub u64);

/// A request that wants to be admitted.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// Whose limit it falls under.
    pub key: LimitKey,
    /// Tokens it will use at most, prompt and generated; 0 for a plain service.
    pub tokens: u32,
    /// When it must have been admitted at the latest.
    pub admit_by: Duration,
}

/// Why an ask was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No limit is declared for its key.
    NoLimit,
    /// It is larger than the limit's burst, and would never be admitted.
    TooLarge,
    /// The owner's limit is in use and won't be free in time.
    OverLimit,
}

/// What the host is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Admit the request; settle its ticket when it ends.
    Admit(Ticket),
    /// Refuse the request; its ticket is settled.
    Refuse {
        /// The ask.
        ticket: Ticket,
        /// Why.
        refusal: Refusal,
        /// When to come back.
        retry_after: Duration,
    },
    /// The right under which the request runs has lapsed: have nothing of it run at an endpoint
    /// until [`Action::Resume`], or end and settle it.
    Suspend(Ticket),
    /// The request runs under a right again.
    Resume(Ticket),
    /// Send a message to a peer.
    Send {
        /// The peer. Another life of the host has no use for the message.
        to: HostRef,
        /// The message.
        message: Message,
    },
    /// Call the table, once, and hand the answer to [`HostLimiter::table`].
    Table {
        /// Names the call.
        id: TxnId,
        /// The call.
        call: TableCall,
    },
}
