//! Creation of keys with at-most-once effect, however often the write is retried.
//!
//! A value is stored together with the id of its write. When a response is lost, a conditional
//! retry returns the stored value, and its write id shows whether this write or another took
//! effect. Keys created this way must not be deleted while one of their writes is retried.

use std::collections::HashSet;

use super::{Condition, MAX_TXN_ENTRIES, Op, Row, TableApi, Txn, TxnOutcome, retry::Retry};
use crate::error::PlatformError;

/// The maximum number of writes in one transaction. Each needs a condition and an operation.
pub const MAX_WRITES_PER_TXN: usize = MAX_TXN_ENTRIES / 2;

/// Terminates the write id in a stored value.
const SEPARATOR: u8 = b'\n';

/// A value with the id of the write that created it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// The id of the write, without line breaks.
    pub write_id: String,
    /// The value.
    pub value: Vec<u8>,
}

impl StoredValue {
    /// Reads a value written by [`create_once`] or [`create_all`].
    ///
    /// # Errors
    /// [`PlatformError::Malformed`] when the bytes are not in that format.
    pub fn decode(raw: &[u8]) -> Result<Self, PlatformError> {
        let malformed = |why| PlatformError::Malformed(format!("stored value: {why}"));
        let end = raw.iter().position(|b| *b == SEPARATOR);
        let end = end.ok_or_else(|| malformed("it has no write id"))?;
        let write_id = std::str::from_utf8(&raw[..end]);
        Ok(Self {
            write_id: write_id.map_err(|_| malformed("bad write id"))?.to_owned(),
            value: raw[end + 1..].to_vec(),
        })
    }

    /// The bytes to store.
    pub fn encode(&self) -> Vec<u8> {
        let mut raw = self.write_id.as_bytes().to_vec();
        raw.push(SEPARATOR);
        raw.extend_from_slice(&self.value);
        raw
    }
}

/// A write that must take effect at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedWrite {
    /// The key.
    pub key: String,
    /// The value with the id of the write. The id is unique to the write; the same id with the
    /// same key and value is a retry of that write.
    pub stored: StoredValue,
}

/// The outcome of a [`KeyedWrite`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CreateOutcome {
    /// The key holds the value of this write.
    Created,
    /// The key holds the value of another write; this one never takes effect.
    Exists(StoredValue),
    /// No attempt is left and the outcome is unknown: the write may have taken effect, or may
    /// still do so.
    Unknown(PlatformError),
    /// No attempt took effect, and none will.
    NotApplied(PlatformError),
}

/// Creates `key` with `value` unless it exists, as the write `write_id`.
pub async fn create_once(
    table: &impl TableApi,
    key: &str,
    value: &[u8],
    write_id: &str,
    retry: &Retry,
) -> CreateOutcome {
    let write = KeyedWrite {
        key: key.to_owned(),
        stored: StoredValue {
            write_id: write_id.to_owned(),
            value: value.to_vec(),
        },
    };
    let created = create_all(table, &[write], retry).await.pop();
    created.unwrap_or_else(|| CreateOutcome::NotApplied(concurrent_change()))
}

/// Performs many writes with few transactions. Returns one outcome for each write, in the order of
/// `writes`.
///
/// A key that already exists does not block the other writes: the next transaction writes them.
pub async fn create_all(
    table: &impl TableApi,
    writes: &[KeyedWrite],
    retry: &Retry,
) -> Vec<CreateOutcome> {
    let mut outcomes = Vec::with_capacity(writes.len());
    for chunk in writes.chunks(MAX_WRITES_PER_TXN) {
        let chunk = Chunk::new(chunk).run(table, retry).await;
        outcomes.extend(chunk);
    }
    outcomes
}

/// Writes that fit into one transaction.
struct Chunk<'a> {
    writes: &'a [KeyedWrite],
    /// The outcome of each write, in the order of `writes`; `None` until it is known.
    outcomes: Vec<Option<CreateOutcome>>,
    /// For each write, whether an attempt without a response may still take effect.
    in_doubt: Vec<bool>,
}

impl<'a> Chunk<'a> {
    fn new(writes: &'a [KeyedWrite]) -> Self {
        Self {
            writes,
            outcomes: vec![None; writes.len()],
            in_doubt: vec![false; writes.len()],
        }
    }

    async fn run(mut self, table: &impl TableApi, retry: &Retry) -> Vec<CreateOutcome> {
        let mut failed_attempts = 0;
        loop {
            let batch = self.unresolved_batch();
            if batch.is_empty() {
                break;
            }
            let cause = match table.txn(&self.txn(&batch)).await {
                Ok(outcome) if self.record_response(&batch, &outcome) => continue,
                Ok(_) => concurrent_change(),
                Err(cause) => cause,
            };
            if cause.is_unknown() {
                batch.iter().for_each(|i| self.in_doubt[*i] = true);
            }
            failed_attempts += 1;
            if let Err(cause) = retry.wait_before_retry(failed_attempts, cause).await {
                self.fail_unresolved(&cause);
            }
        }
        self.outcomes.into_iter().flatten().collect()
    }

    /// The indexes of the writes without an outcome. Includes only the first write to each key, as
    /// a transaction cannot write a key twice.
    fn unresolved_batch(&self) -> Vec<usize> {
        let mut keys = HashSet::new();
        let open = (0..self.writes.len()).filter(|i| self.outcomes[*i].is_none());
        open.filter(|i| keys.insert(self.writes[*i].key.as_str()))
            .collect()
    }

    fn txn(&self, batch: &[usize]) -> Txn {
        let writes = || batch.iter().map(|i| &self.writes[*i]);
        Txn {
            conditions: writes().map(|w| Condition::Absent(w.key.clone())).collect(),
            ops: writes()
                .map(|w| Op::Put {
                    key: w.key.clone(),
                    value: w.stored.encode(),
                })
                .collect(),
        }
    }

    /// Records the outcomes that follow from a response. Returns false when there are none.
    fn record_response(&mut self, batch: &[usize], outcome: &TxnOutcome) -> bool {
        if outcome.succeeded {
            for i in batch {
                self.outcomes[*i] = Some(CreateOutcome::Created);
            }
            return true;
        }
        let mut resolved = false;
        for (i, found) in batch.iter().zip(&outcome.rows) {
            if let Some(row) = found {
                self.outcomes[*i] = Some(outcome_for_existing(row, &self.writes[*i]));
                resolved = true;
            }
        }
        if resolved {
            // An earlier attempt whose response was lost has the same conditions. It can no longer
            // take effect, since one of its keys exists now.
            batch.iter().for_each(|i| self.in_doubt[*i] = false);
        }
        resolved
    }

    fn fail_unresolved(&mut self, cause: &PlatformError) {
        for (outcome, in_doubt) in self.outcomes.iter_mut().zip(&self.in_doubt) {
            outcome.get_or_insert_with(|| match in_doubt {
                true => CreateOutcome::Unknown(cause.clone()),
                false => CreateOutcome::NotApplied(cause.clone()),
            });
        }
    }
}

/// The outcome of `write` when its key already holds `row`.
fn outcome_for_existing(row: &Row, write: &KeyedWrite) -> CreateOutcome {
    match StoredValue::decode(&row.value) {
        Ok(found) if found.write_id == write.stored.write_id => CreateOutcome::Created,
        Ok(found) => CreateOutcome::Exists(found),
        Err(e) => CreateOutcome::NotApplied(e),
    }
}

/// The error of a transaction that failed its conditions although none of its keys exists.
fn concurrent_change() -> PlatformError {
    PlatformError::Unavailable("the keys changed during the transaction".to_owned())
}
