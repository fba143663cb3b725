//! Calls to the table and their answers.

/// The most conditions and operations of one transaction together, by the store's interface.
pub const MAX_ENTRIES: usize = 100;

/// Which keys a read or a removal is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyRange {
    /// The first key.
    pub start: String,
    /// The key after the last one; `None` is `start` alone.
    pub end: Option<String>,
}

impl KeyRange {
    /// One key.
    pub fn one(key: &str) -> Self {
        Self {
            start: key.to_owned(),
            end: None,
        }
    }

    /// All keys that start with `prefix`, which ends in an ASCII character below DEL.
    pub fn prefix(prefix: &str) -> Self {
        let mut end = prefix.to_owned();
        if let Some(last) = end.pop() {
            end.push(char::from(last as u8 + 1));
        }
        Self::between(prefix, &end)
    }

    /// The keys from `start` up to and without `end`.
    pub fn between(start: &str, end: &str) -> Self {
        Self {
            start: start.to_owned(),
            end: Some(end.to_owned()),
        }
    }

    /// Whether `key` is one of them.
    pub fn contains(&self, key: &str) -> bool {
        match &self.end {
            None => key == self.start,
            Some(end) => (self.start.as_str()..end.as_str()).contains(&key),
        }
    }
}

/// One key as stored.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The table's revision that last changed the key. Unique to a transaction.
    pub mod_revision: u64,
}

/// The keys read, in key order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rows {
    /// The table's revision at the time of reading.
    pub table_revision: u64,
    /// The keys.
    pub rows: Vec<Row>,
    /// Whether the read's limit left keys out.
    pub more: bool,
}

/// What must be true for a transaction to be done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Condition {
    /// The key does not exist.
    Absent(String),
    /// The key was last changed by this revision of the table.
    Unchanged {
        /// The key.
        key: String,
        /// The `mod_revision` it was read with.
        mod_revision: u64,
    },
}

impl Condition {
    /// The key that it is about.
    pub fn key(&self) -> &str {
        match self {
            Self::Absent(key) | Self::Unchanged { key, .. } => key,
        }
    }

    /// Whether it holds for a key that was last changed by that revision, `None` if it is absent.
    pub fn holds(&self, found: Option<u64>) -> bool {
        match self {
            Self::Absent(_) => found.is_none(),
            Self::Unchanged { mod_revision, .. } => found == Some(*mod_revision),
        }
    }
}

/// One operation of a transaction. A transaction names each key at most once.
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
    /// The key that it is about.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Remove(key) => key,
        }
    }
}

/// A transaction: if all conditions hold it does all operations in one step, else nothing.
///
/// Conditions and operations together are at most [`MAX_ENTRIES`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Txn {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// What is done.
    pub ops: Vec<Op>,
}

impl Txn {
    /// A transaction that is done in any case.
    pub fn unconditional(ops: Vec<Op>) -> Self {
        let conditions = Vec::new();
        Self { conditions, ops }
    }
}

/// One call to the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum TableCall {
    /// Reads rows, each as of a moment of its own.
    Read(Vec<String>),
    /// Runs a transaction.
    Write(Txn),
    /// Removes all rows of a range, some at a time: others may see a part of them gone.
    RemoveAll(KeyRange),
}

/// What a call did.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct TxnOutcome {
    /// Whether it was done; false only of a transaction whose conditions did not hold.
    pub succeeded: bool,
    /// The table's revision after the call; rows that it wrote have it as their `mod_revision`.
    pub table_revision: u64,
    /// The rows asked for by a read, or those of the conditions of a transaction that was not
    /// done; in order, `None` for a key that does not exist. Empty after a write that was done.
    pub rows: Vec<Option<Row>>,
}

impl TxnOutcome {
    /// A call that was done, as of a revision.
    pub fn done(table_revision: u64) -> Self {
        Self {
            succeeded: true,
            table_revision,
            rows: Vec::new(),
        }
    }
}
