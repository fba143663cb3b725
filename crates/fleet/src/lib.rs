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
//! - [`placement`] decides which endpoint holds which layers; [`leader_lease`] decides which host may
//!   order it.
//! - [`chains`] finds chains of endpoints that cover all layers; [`choice`] picks one of them for a
//!   request; [`unseen`] says what other hosts send meanwhile.
//! - [`probing`] decides when the stages of a chain are probed.
//! - [`adaptive_timeout`] decides how long to wait for a run, and when its chain is probed.
//! - [`freshness`] says for how long a catalogue may be acted on without news from the store.
//! - [`outage`] says when entries that are missing may have lapsed while the store was away.
//! - [`store_access`] decides which hosts of a data centre call a store that does not answer.
//! - [`budget`] bounds how often requests are retried; [`share`] determines the part of such a bound
//!   that a host may use.
//! - [`endpoint_limits`] divides the limits that endpoints set for all hosts together.
//! - [`fingerprint`] determines whether one request is a retry of another; [`quarantine`] withholds
//!   requests during which endpoints terminate; [`delta_sync`] says what of it another host was not told yet.
//! - [`token_bucket`] bounds a rate, for example of log lines or of bytes.

pub mod adaptive_timeout;
pub mod budget;
pub mod catalogue;
pub mod chains;
pub mod choice;
pub mod delta_sync;
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
pub mod unseen;
