//! Errors in the text of a trace.

/// The reason a trace was rejected, and the line at fault.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {kind}")]
pub struct TraceError {
    /// The name of the trace file.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The reason.
    pub kind: TraceErrorKind,
}

/// Why a line of a trace was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TraceErrorKind {
    /// The file has no line that is not blank.
    #[error("the file is empty; its first line must be a header such as {{\"trace\":1,...}}")]
    Empty,
    /// The line is not valid JSON or does not match the schema of its kind.
    #[error("{0}")]
    Json(String),
    /// The version of the format is not supported.
    #[error("trace version {0} is not known; this tool reads version 1")]
    Version(u32),
    /// A name is not valid.
    #[error("{field}: {reason}")]
    Name {
        /// The name of the field.
        field: &'static str,
        /// Why the name is not valid.
        reason: String,
    },
    /// A number is out of range.
    #[error("{field} = {value}: must be {expected}")]
    Range {
        /// The name of the field.
        field: &'static str,
        /// The rejected value.
        value: u64,
        /// What the field allows.
        expected: &'static str,
    },
    /// Two lines have the same id.
    #[error("id {0:?} stands in an earlier line too")]
    DuplicateId(String),
    /// Two lines of a workspace have the same idempotency key but different work.
    #[error("key {0:?} stands in an earlier line for other work")]
    KeyReused(String),
    /// A required field is missing.
    #[error("{field} is missing: {reason}")]
    Missing {
        /// The name of the field.
        field: &'static str,
        /// Why the field is required.
        reason: &'static str,
    },
    /// A field is present that has no meaning on this line.
    #[error("{field} has no meaning here: {reason}")]
    Unexpected {
        /// The name of the field.
        field: &'static str,
        /// Why the field has no meaning.
        reason: &'static str,
    },
    /// A text does not have the required format.
    #[error("{field} = {value:?}: must be {expected}")]
    Format {
        /// The name of the field.
        field: &'static str,
        /// The rejected value.
        value: String,
        /// What the field allows.
        expected: &'static str,
    },
    /// An outcome names a fault that is not in the trace.
    #[error("fault {0:?} does not stand in this trace")]
    UnknownFault(String),
}
