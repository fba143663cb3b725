//! The requests to the table and their results.

/// The maximum number of conditions and operations in one transaction, counted together. The
/// store's interface sets this limit.
pub const MAX_TXN_ENTRIES: usize = 100;

/// The keys that a read or a removal applies to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyRange {
    /// The first key.
    pub start: String,
    /// The exclusive end; with `None` the range holds `start` alone.
    pub end: Option<String>,
}

impl KeyRange {
    /// The range of a single key.
    pub fn one(key: &str) -> Self {
        Self {
            start: key.to_owned(),
            end: None,
        }
    }

    /// All keys that start with `prefix`, whose last character must be ASCII below DEL (0x7F).
    pub fn prefix(prefix: &str) -> Self {
        let mut end = prefix.to_owned();
        if let Some(last) = end.pop() {
            end.push(char::from(last as u8 + 1));
        }
        Self::between(prefix, &end)
    }

    /// The keys from `start`, inclusive, to `end`, exclusive.
    pub fn between(start: &str, end: &str) -> Self {
        Self {
            start: start.to_owned(),
            end: Some(end.to_owned()),
        }
    }

    /// Whether `key` lies in the range.
    pub fn contains(&self, key: &str) -> bool {
        match &self.end {
            None => key == self.start,
            Some(end) => (self.start.as_str()..end.as_str()).contains(&key),
        }
    }
}

/// One stored key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The table revision that last changed the key. Each transaction has a revision of its own.
    pub mod_revision: u64,
}

/// The result of a range read, in key order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rows {
    /// The table's revision at the time of the read.
    pub table_revision: u64,
    /// The rows read.
    pub rows: Vec<Row>,
    /// Whether the range holds further keys beyond the read's limit.
    pub more: bool,
}

/// A precondition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Condition {
    /// The key does not exist.
    Absent(String),
    /// The key was last changed at this table revision.
    Unchanged {
        /// The key.
        key: String,
        /// The `mod_revision` with which the key was read.
        mod_revision: u64,
    },
}

impl Condition {
    /// The key that the condition checks.
    pub fn key(&self) -> &str {
        match self {
            Self::Absent(key) | Self::Unchanged { key, .. } => key,
        }
    }

    /// Whether the condition holds for a key that was last changed at revision `found`, or that
    /// does not exist if `found` is `None`.
    pub fn holds(&self, found: Option<u64>) -> bool {
        match self {
            Self::Absent(_) => found.is_none(),
            Self::Unchanged { mod_revision, .. } => found == Some(*mod_revision),
        }
    }
}

/// One operation of a transaction. At most one operation of a transaction may use the same key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Op {
    /// Writes a row.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
    },
    /// Removes a row.
    Remove(String),
}

impl Op {
    /// The key that the operation changes.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Remove(key) => key,
        }
    }
}

/// A transaction: applies all operations atomically if all conditions hold, and none otherwise.
///
/// It has at most [`MAX_TXN_ENTRIES`] conditions and operations together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Txn {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The operations.
    pub ops: Vec<Op>,
}

impl Txn {
    /// A transaction without conditions.
    pub fn unconditional(ops: Vec<Op>) -> Self {
        let conditions = Vec::new();
        Self { conditions, ops }
    }
}

/// One call to the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum TableCall {
    /// Reads rows one by one. The reads do not form a consistent snapshot.
    Read(Vec<String>),
    /// Runs a transaction.
    Write(Txn),
    /// Removes all rows of a range in batches, not atomically: a concurrent reader may see the
    /// range partly removed.
    RemoveAll(KeyRange),
}

/// The result of a call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct TxnOutcome {
    /// Whether the call was applied; false only for a transaction whose conditions did not hold.
    pub succeeded: bool,
    /// The table's revision after the call. Rows that the call wrote have it as `mod_revision`.
    pub table_revision: u64,
    /// The rows of a read, or those that the conditions of a failed transaction check, in the
    /// order of the call; `None` for a key that does not exist. Empty after a successful write.
    pub rows: Vec<Option<Row>>,
}

impl TxnOutcome {
    /// The result of a call that was applied at `table_revision`, without rows.
    pub fn done(table_revision: u64) -> Self {
        Self {
            succeeded: true,
            table_revision,
            rows: Vec::new(),
        }
    }
}
