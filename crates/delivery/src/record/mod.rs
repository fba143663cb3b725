//! At-most-once execution of calls that are not repeatable, by records in the platform's table.
//!
//! Before the first byte of such a call is sent to an endpoint, one conditional insert writes a
//! [`Record`] under the caller's key. Only the insert that created the record yields a [`Permit`],
//! which is valid only for its term. So only the writer of the record ever dispatches the call, and
//! a writer that was paused for longer than the term does not dispatch it either.
//!
//! # Group commit
//! Inserts that arrive within a short interval share one transaction. A transaction is atomic, so
//! one key that exists already makes the inserts of all other keys fail too. The reads of the
//! failed transaction then show which keys exist, and the inserts of the others are sent at once in
//! the next transaction. Updates that record the end of a call are added to these transactions;
//! after a failed transaction they are queued again.
//!
//! # Lost answers
//! An insert whose answer was lost is sent again: either it takes effect now, or the reads of its
//! failure branch show the row with the insert's own write id. If it is not answered again, the
//! call is refused as not run. That is true because the recorder has dropped the ticket and no
//! other host may dispatch the call. In the background the recorder marks the key
//! [`RecordState::Abandoned`], so that a lost insert can't take effect late and a retry by the
//! caller may run the call.
//!
//! # Buckets
//! Keys start with the number of a time bucket, so that old records are deleted with one range
//! delete. An insert requires that the key is absent from the previous bucket, its own and the
//! next, so hosts whose clocks differ by less than a bucket agree. A key is kept for at least the
//! length of one bucket, which has to be longer than a term and than the longest time after which a
//! lost insert can still take effect.

mod abandoned;
mod batch;
mod recorder;
mod results;
mod row;

use std::time::Duration;

use dragonflyrill_protocol::{HostRef, found::CallAnswer};
use dragonflyrill_store::table::{MAX_TXN_ENTRIES, TableCall};

pub use recorder::Recorder;
pub use row::{Record, RecordState};

use crate::error::NotRunKind;

/// The settings of a [`Recorder`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// This host, with its incarnation.
    pub host: HostRef,
    /// The wall-clock time since the Unix epoch at which `now` is zero.
    pub unix_origin: Duration,
    /// The prefix of all keys.
    pub prefix: String,
    /// The length of a time bucket. It has to be much longer than a term, than the time after which
    /// a lost insert can still take effect, and than the difference between the hosts' clocks.
    pub bucket_length: Duration,
    /// How long after [`Recorder::begin`] a call may be dispatched.
    pub term: Duration,
    /// How long an insert waits for others to share its transaction.
    pub batch_interval: Duration,
    /// How long a transaction may take, and how long an insert may wait to be sent.
    pub answer_timeout: Duration,
    /// The maximum sum of the conditions and operations of one transaction.
    pub max_txn_entries: usize,
    /// The maximum number of transactions with inserts in flight.
    pub max_in_flight: usize,
    /// The maximum number of queued inserts; further calls are refused.
    pub max_waiting: usize,
    /// The maximum number of times that an insert is sent. At least 1.
    pub max_insert_sends: u32,
    /// The maximum number of attempts to mark a key as abandoned.
    pub max_mark_attempts: u32,
    /// How long calls are refused without contacting the table after the table has failed.
    pub unavailable_backoff: Duration,
    /// The maximum size of the body of an answer that is kept in a record, in bytes.
    pub max_answer_bytes: usize,
}

impl Config {
    /// The default settings.
    pub fn new(host: HostRef, unix_origin: Duration) -> Self {
        Self {
            host,
            unix_origin,
            prefix: "record/".to_owned(),
            bucket_length: Duration::from_secs(24 * 3600),
            term: Duration::from_secs(2),
            batch_interval: Duration::from_millis(10),
            answer_timeout: Duration::from_millis(500),
            max_txn_entries: MAX_TXN_ENTRIES,
            max_in_flight: 2,
            max_waiting: 1024,
            max_insert_sends: 3,
            max_mark_attempts: 12,
            unavailable_backoff: Duration::from_millis(500),
            max_answer_bytes: 4096,
        }
    }
}

/// Identifies one call to [`Recorder::begin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordTicket(pub(crate) u64);

/// Identifies one call to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TxnId(pub(crate) u64);

/// The right to dispatch a recorded call once, until its term ends. A permit can't be copied.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    ticket: RecordTicket,
    until: Duration,
}

impl Permit {
    /// Consumes the permit. Call this directly before the first byte is sent.
    ///
    /// # Errors
    /// [`ExpiredPermit`] after the term: nothing may be sent.
    pub fn consume(self, now: Duration) -> Result<(), ExpiredPermit> {
        match now < self.until {
            true => Ok(()),
            false => Err(ExpiredPermit {
                ticket: self.ticket,
            }),
        }
    }

    /// The ticket of the call that the permit is for.
    pub fn ticket(&self) -> RecordTicket {
        self.ticket
    }
}

/// Proof that a permit was consumed without a dispatch.
#[derive(Debug, PartialEq, Eq)]
pub struct ExpiredPermit {
    ticket: RecordTicket,
}

/// How a dispatched call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered.
    Answered(CallAnswer),
    /// The endpoint failed and may have run the call.
    Failed,
}

/// What the host has to do.
#[derive(Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the table, and pass the result to [`Recorder::on_table_result`].
    CallTable {
        /// The id of the call to the table.
        id: TxnId,
        /// The call to the table.
        call: TableCall,
    },
    /// The call is recorded for this host and may be dispatched.
    Recorded {
        /// The ticket of the call.
        ticket: RecordTicket,
        /// The right to dispatch it.
        permit: Permit,
    },
    /// The call was not run, and this recorder will never permit it to run.
    Refused {
        /// The ticket of the call.
        ticket: RecordTicket,
        /// The reason.
        kind: NotRunKind,
        /// When to retry, if a retry may succeed.
        retry_after: Option<Duration>,
    },
    /// The call was started earlier under the same key.
    AlreadyRecorded {
        /// The ticket of the call.
        ticket: RecordTicket,
        /// The existing record.
        record: Record,
    },
}
