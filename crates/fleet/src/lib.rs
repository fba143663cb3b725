//! What an entry host decides when it forwards requests to endpoints that drive a chain themselves.
//!
//! Everything here is a plain function or a state machine without sockets, tasks or clocks:
//! callers pass the time in. The programs, the tests and the searches run the same code.
//!
//! Where to start:
//!
//! - [`catalogue`] holds routes, services, workspaces and their keys, as one immutable version.
//! - [`endpoints`] holds the endpoints that are known, and which of them may get new work;
//!   [`incarnations`] tells one start of an endpoint from another.
//! - [`placement`] decides which endpoint holds which layers; [`leader_lease`] decides which host may say
//!   so.
//! - [`chains`] finds chains of endpoints that cover all layers; [`choice`] picks one of them for a
//!   request; [`unseen`] says what other hosts send meanwhile.
//! - [`probing`] says when the parts of a chain are asked how they are.
//! - [`adaptive_timeout`] says for how long a run is waited for, and when its chain is probed.
//! - [`freshness`] says for how long a catalogue may be acted on without news from the store.
//! - [`outage`] says when entries that are missing may have lapsed while the store was away.
//! - [`store_access`] says which hosts of a data centre ask a store that does not answer.
//! - [`budget`] bounds how often a request is sent a second time; [`share`] says what part of such a
//!   bound a host may use.
//! - [`endpoint_limits`] divides what endpoints take from all hosts together, where they say so.
//! - [`fingerprint`] tells whether two requests are the same one, asked for again; [`quarantine`] holds
//!   back those under which endpoints end; [`delta_sync`] says what of it another host was not told yet.
//! - [`token_bucket`] bounds a rate, of log lines or of bytes.

pub mod adaptive_timeout;
pub mod budget;
pub mod catalogue;
pub mod chains;
pub mod choice;
pub mod delta_sync;
pub mod dispatch_rate;
pub mod endpoint_limits;
pub mod endpoints;
pub mod fingerprint;
pub mod freshness;
pub mod incarnations;
pub mod layers;
pub mod leader_lease;
pub mod outage;
pub mod placement;
pub mod probing;
pub mod quarantine;
pub mod share;
pub mod store_access;
pub mod token_bucket;
