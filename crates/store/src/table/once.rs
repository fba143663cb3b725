//! Writing keys at most once, however often the write is tried.
//!
//! A value is stored together with the id of its write. When an answer is lost, reading the key
//! back under that id tells whether this very write took effect. Keys written so are not deleted
//! while one of their writes is tried.

use std::collections::HashSet;

use super::{Condition, MAX_ENTRIES, Op, Row, TableApi, Txn, TxnOutcome, retry::Retry};
use crate::error::PlatformError;

/// The most writes in one transaction; each has a condition and an operation.
pub const MAX_BATCH: usize = MAX_ENTRIES / 2;

/// Ends the write id in a stored value.
const SEPARATOR: u8 = b'\n';

/// A value with the id of the write that created it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// The id of the write. Contains no line break.
    pub write_id: String,
    /// The value.
    pub value: Vec<u8>,
}

impl Stored {
    /// Reads a value written by [`create_once`] or [`create_all`].
    ///
    /// # Errors
    /// [`PlatformError::Malformed`] when the bytes were not written so.
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

    /// The bytes that are stored.
    pub fn encode(&self) -> Vec<u8> {
        let mut raw = self.write_id.as_bytes().to_vec();
        raw.push(SEPARATOR);
        raw.extend_from_slice(&self.value);
        raw
    }
}

/// A write that is to take effect at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// What is stored under it: the value with the write's own id. The id is unique to the
    /// write; using it again for the same key and value is a retry of the same write.
    pub stored: Stored,
}

/// What became of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Created {
    /// The key holds the value of this write.
    Created,
    /// The key holds the value of another write; this one never takes effect.
    Exists(Stored),
    /// All tries are spent and no answer tells: the write may have taken effect, or may still.
    Unknown(PlatformError),
    /// No try took effect, and none will.
    NotDone(PlatformError),
}

/// Creates `key` with `value` unless it exists, as the write `write_id`.
pub async fn create_once(
    table: &impl TableApi,
    key: &str,
    value: &[u8],
    write_id: &str,
    retry: &Retry,
) -> Created {
    let write = Write {
        key: key.to_owned(),
        stored: Stored {
            write_id: write_id.to_owned(),
            value: value.to_vec(),
        },
    };
    let created = create_all(table, &[write], retry).await.pop();
    created.unwrap_or_else(|| Created::NotDone(changed_meanwhile()))
}

/// Does many writes with few transactions; each has its own outcome, in the order of `writes`.
///
/// One key that exists does not hold up the others: they are written by the next transaction.
pub async fn create_all(table: &impl TableApi, writes: &[Write], retry: &Retry) -> Vec<Created> {
    let mut outcomes = Vec::with_capacity(writes.len());
    for chunk in writes.chunks(MAX_BATCH) {
        let chunk = Chunk::new(chunk).run(table, retry).await;
        outcomes.extend(chunk);
    }
    outcomes
}

/// Writes that fit into one transaction.
struct Chunk<'a> {
    writes: &'a [Write],
    /// Those settled; in the order of `writes`.
    outcomes: Vec<Option<Created>>,
    /// Whether a try without an answer may still take effect.
    in_doubt: Vec<bool>,
}

impl<'a> Chunk<'a> {
    fn new(writes: &'a [Write]) -> Self {
        Self {
            writes,
            outcomes: vec![None; writes.len()],
            in_doubt: vec![false; writes.len()],
        }
    }

    async fn run(mut self, table: &impl TableApi, retry: &Retry) -> Vec<Created> {
        let mut tried = 0;
        loop {
            let batch = self.batch();
            if batch.is_empty() {
                break;
            }
            let cause = match table.txn(&self.txn(&batch)).await {
                Ok(outcome) if self.settle(&batch, &outcome) => continue,
                Ok(_) => changed_meanwhile(),
                Err(cause) => cause,
            };
            if cause.is_unknown() {
                batch.iter().for_each(|i| self.in_doubt[*i] = true);
            }
            tried += 1;
            if let Err(cause) = retry.pause(tried, cause).await {
                self.give_up(&cause);
            }
        }
        self.outcomes.into_iter().flatten().collect()
    }

    /// The writes not settled yet. Of those with the same key only the first: a transaction can't
    /// write a key twice.
    fn batch(&self) -> Vec<usize> {
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

    /// Takes in an answer; false when it settles nothing.
    fn settle(&mut self, batch: &[usize], outcome: &TxnOutcome) -> bool {
        if outcome.succeeded {
            for i in batch {
                self.outcomes[*i] = Some(Created::Created);
            }
            return true;
        }
        let mut settled = false;
        for (i, found) in batch.iter().zip(&outcome.rows) {
            if let Some(row) = found {
                self.outcomes[*i] = Some(whose(row, &self.writes[*i]));
                settled = true;
            }
        }
        if settled {
            // An earlier transaction was conditional on the keys that exist now, too.
            batch.iter().for_each(|i| self.in_doubt[*i] = false);
        }
        settled
    }

    fn give_up(&mut self, cause: &PlatformError) {
        for (outcome, in_doubt) in self.outcomes.iter_mut().zip(&self.in_doubt) {
            outcome.get_or_insert_with(|| match in_doubt {
                true => Created::Unknown(cause.clone()),
                false => Created::NotDone(cause.clone()),
            });
        }
    }
}

/// Whose value `row` holds.
fn whose(row: &Row, write: &Write) -> Created {
    match Stored::decode(&row.value) {
        Ok(found) if found.write_id == write.stored.write_id => Created::Created,
        Ok(found) => Created::Exists(found),
        Err(e) => Created::NotDone(e),
    }
}

/// A condition failed, but no key that would make it fail was there.
fn changed_meanwhile() -> PlatformError {
    PlatformError::Unavailable("the keys changed meanwhile".to_owned())
}
