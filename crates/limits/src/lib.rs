//! Owners' limits: what a host may admit, and how rights move between hosts.
//!
//! An owner's limit holds over the whole fleet at every instant. It is enforced by escrow: each
//! right is held by exactly one host and lent for a short term. A lost message, a paused host or a
//! network partition therefore wastes rights for a term and never duplicates them.
//!
//! - [`HostLimiter`] is the state machine on each host. The host passes it events with the current
//!   time and executes the [`Action`]s that it returns; it reads no clock and opens no socket.
//! - `session` is the right of a host to lend: its shards in the table's row and the promise of
//!   its guard not to remove it.
//! - `lender` is the lending side of one limit, `holder` the using side, `pool` the token bucket.
//! - [`fair`] is the queue for capacity that owners share.
//! - [`baseline`] has simpler designs to compare this one with.
//!
//! The entry point is [`HostLimiter::request_admission`].

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

/// Identifies an admission request until it is refused or settled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Identifies a call of the table until it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TxnId(pub u64);

/// Asks for one request to be admitted.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// The limit that the request counts against.
    pub key: LimitKey,
    /// The most tokens that the request will use, prompt and generated; 0 for a plain service.
    pub tokens: u32,
    /// The time at which the request is refused if it has not been admitted.
    pub admit_by: Duration,
}

/// Why an admission request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No limit is declared for the key.
    NoLimit,
    /// The request needs more tokens than the limit's burst, or the limit allows no request in
    /// flight: it would never be admitted.
    TooLarge,
    /// The limit is in use and will not have free capacity in time.
    OverLimit,
}

/// What the host has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Admit the request, and settle its ticket when it ends.
    Admit(Ticket),
    /// Refuse the request. Its ticket is no longer valid.
    Refuse {
        /// The admission request.
        ticket: Ticket,
        /// The reason.
        refusal: Refusal,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
    /// The right under which the request runs has expired: stop its work at every endpoint until
    /// [`Action::Resume`], or end and settle the request.
    Suspend(Ticket),
    /// The request may run again.
    Resume(Ticket),
    /// Send a message to a peer.
    Send {
        /// The peer. Another incarnation of the host must not receive the message.
        to: HostRef,
        /// The message.
        message: Message,
    },
    /// Call the table exactly once, and pass the answer to [`HostLimiter::handle_table_answer`].
    Table {
        /// Identifies the call.
        id: TxnId,
        /// The call.
        call: TableCall,
    },
}
