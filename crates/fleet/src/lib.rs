//! Decision logic of an entry host that forwards requests to endpoints, which run chains themselves.
//!
//! Everything here is a pure function or a state machine without sockets, tasks or clocks; callers
//! pass in the time. The programs, the tests and the state-space searches run the same code.
//!
//! Overview of the modules:
//!
//! - [`catalogue`] holds routes, services, workspaces and their keys, as one immutable version.
//! - [`endpoints`] holds the known endpoints and determines which of them may get new work;
//!   [`incarnations`] distinguishes the incarnations of an endpoint, and [`stated_availability`] holds what
//!   endpoints state in their answers about new work.
//! - [`paths`] holds which endpoints this host can't reach itself, and which hosts relay to them.
//! - [`placement`] decides which endpoint holds which layers; [`leader_lease`] decides which host may
//!   order it.
//! - [`layers`] has ranges of the layers of a model; [`chains`] finds chains of endpoints that cover all
//!   layers; [`choice`] selects one of them for a request; [`dispatch_rate`] estimates what other hosts
//!   have sent since their last report.
//! - [`admission`] decides which new streams are admitted while engines are short of memory; [`rank_demand`]
//!   measures which part of the demand is more urgent than a stream, [`arrivals`] how many streams come to all hosts.
//! - [`reported_loads`] sums the loads that other hosts have reported.
//! - [`reported_loads`] sums the loads that other hosts have reported; [`fair_share`] computes from them how far a
//!   workspace is above its fair share.
//! - [`probing`] decides when the stages of a chain are probed.
//! - [`adaptive_timeout`] decides how long to wait for a run, and when its chain is probed.
//! - [`freshness`] limits how long a catalogue may be used without a freshness proof from the store.
//! - [`outage`] determines when missing entries may have lapsed because the store was unavailable.
//! - [`store_access`] decides which hosts of a data centre call a store that does not answer.
//! - [`budget`] bounds how often requests are retried; [`share`] determines the part of such a bound
//!   that a host may use, and [`row_writes`] when a host writes its row for others.
//! - [`endpoint_limits`] divides the limits that endpoints set for all hosts together.
//! - [`fingerprint`] determines whether one request is a retry of another; [`quarantine`] withholds
//!   requests during which endpoints terminate; [`delta_sync`] tracks which changes of it another
//!   host has not received yet.
//! - [`return_slots`] determines when a caller refused under overload is to return, and which requests are such returns.
//! - [`write_batch`] joins the writes of several hosts' rows in one call to the store.
//! - [`token_bucket`] bounds a rate, for example of log lines or of bytes.

#![deny(clippy::disallowed_methods)]

pub mod adaptive_timeout;
pub mod admission;
pub mod arrivals;
pub mod budget;
pub mod catalogue;
pub mod chains;
pub mod choice;
pub mod delta_sync;
pub mod dispatch_rate;
pub mod endpoint_limits;
pub mod endpoints;
pub mod fair_share;
pub mod fingerprint;
pub mod freshness;
pub mod incarnations;
pub mod layers;
pub mod leader_lease;
pub mod outage;
pub mod paths;
pub mod placement;
pub mod probing;
pub mod quarantine;
pub mod rank_demand;
pub mod reported_loads;
pub mod return_slots;
pub mod row_writes;
pub mod share;
pub mod stated_availability;
pub mod store_access;
pub mod timeline;
pub mod token_bucket;
pub mod write_batch;
