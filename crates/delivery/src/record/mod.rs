//! Calls that are not repeatable run at most once, by a record in the platform's table.
//!
//! Before the first byte of such a call leaves for an endpoint, one conditional insert puts a
//! [`Record`] under the caller's key. Only the write that created a record gives a [`Permit`], and
//! only while its term lasts, so nobody but the writer ever dispatches, and a writer that was paused
//! for long does not either.
//!
//! # Group commit
//! Inserts that come within a short interval share one transaction. A transaction does all or
//! nothing, so one key that exists fails the others too: then its reads say which keys these are,
//! and the others go at once into the next transaction. Ends of calls travel in both branches of
//! those transactions and cost no further ones.
//!
//! # Lost answers
//! An insert whose answer was lost is sent again: it then takes effect, or the reads of its failure
//! branch show the row with the write's own id. If that is not answered either, the call is refused
//! as not run, which is true because the recorder has forgotten the ticket and nobody else may
//! dispatch. The recorder goes on in the background to mark the key [`RecordState::Abandoned`], so
//! that a lost insert can't take effect late and a retry of the caller may run the call.
//!
//! # Buckets
//! Keys start with a time bucket, so that old records go with one range delete. An insert demands
//! that the key is absent from the bucket before, its own and the next, so hosts whose clocks differ
//! by less than a bucket agree. A key is remembered for at least one bucket, which has to be longer
//! than a term and than any lost write takes to take effect.

mod abandoned;
mod batch;
mod recorder;
mod results;
mod row;

use std::time::Duration;

use dragonflyrill_protocol::{HostRef, found::CallAnswer};
use dragonflyrill_store::table::{MAX_ENTRIES, TableCall};

pub use recorder::Recorder;
pub use row::{Record, RecordState};

use crate::error::NotRunKind;

/// The settings of a [`Recorder`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// This life of this host.
    pub host: HostRef,
    /// The wall clock's time since the Unix epoch at the origin of `now`.
    pub unix_origin: Duration,
    /// What all keys start with.
    pub prefix: String,
    /// The length of a bucket; much longer than a term, a lost write and the clocks' difference.
    pub bucket_length: Duration,
    /// How long after its begin a call may be dispatched.
    pub term: Duration,
    /// How long an insert waits for others.
    pub batch_interval: Duration,
    /// How long a transaction may take, and an insert wait to be sent.
    pub answer_timeout: Duration,
    /// The most conditions and operations of one transaction together.
    pub max_txn_entries: usize,
    /// The most transactions of inserts under way.
    pub max_in_flight: usize,
    /// The most inserts that wait; further ones are refused.
    pub max_waiting: usize,
    /// How often an insert is sent. At least 1.
    pub max_insert_sends: u32,
    /// How often marking a key as abandoned is tried.
    pub max_mark_attempts: u32,
    /// After a failure of the table, calls are refused without asking it for so long.
    pub unavailable_backoff: Duration,
    /// The largest answer kept in a record, in bytes.
    pub max_answer_bytes: usize,
}

impl Config {
    /// The customary settings.
    pub fn new(host: HostRef, unix_origin: Duration) -> Self {
        Self {
            host,
            unix_origin,
            prefix: "record/".to_owned(),
            bucket_length: Duration::from_secs(24 * 3600),
            term: Duration::from_secs(2),
            batch_interval: Duration::from_millis(10),
            answer_timeout: Duration::from_millis(500),
            max_txn_entries: MAX_ENTRIES,
            max_in_flight: 2,
            max_waiting: 1024,
            max_insert_sends: 3,
            max_mark_attempts: 12,
            unavailable_backoff: Duration::from_millis(500),
            max_answer_bytes: 4096,
        }
    }
}

/// Names one call to [`Recorder::begin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordTicket(pub(crate) u64);

/// Names one call to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TxnId(pub(crate) u64);

/// The right to dispatch a recorded call once, until its term ends. It can't be copied.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    ticket: RecordTicket,
    until: Duration,
}

impl Permit {
    /// Uses the permit up. Call it right before the first byte leaves.
    ///
    /// # Errors
    /// [`Expired`] after the term: nothing may be sent.
    pub fn consume(self, now: Duration) -> Result<(), ExpiredPermit> {
        match now < self.until {
            true => Ok(()),
            false => Err(ExpiredPermit {
                ticket: self.ticket,
            }),
        }
    }

    /// The call it is for.
    pub fn ticket(&self) -> RecordTicket {
        self.ticket
    }
}

/// Proof that a permit was used up without a dispatch.
#[derive(Debug, PartialEq, Eq)]
pub struct ExpiredPermit {
    ticket: RecordTicket,
}

/// How a dispatched call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered.
    Answered(CallAnswer),
    /// The endpoint failed, and may have run the call.
    Failed,
}

/// What the host is to do.
#[derive(Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the table, and answer by [`Recorder::table`].
    CallTable {
        /// The call's name.
        id: TxnId,
        /// The call.
        call: TableCall,
    },
    /// The call is recorded as ours: it may be dispatched.
    Recorded {
        /// The call.
        ticket: RecordTicket,
        /// The right to dispatch it.
        permit: Permit,
    },
    /// The call was not run, and this recorder will never let it run.
    Refused {
        /// The call.
        ticket: RecordTicket,
        /// Why.
        kind: NotRunKind,
        /// When to come back, if that may help.
        retry_after: Option<Duration>,
    },
    /// The call was begun before.
    AlreadyRecorded {
        /// The call.
        ticket: RecordTicket,
        /// How it stands.
        record: Record,
    },
}
