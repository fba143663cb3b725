//! The errors of the commands.

use std::fmt;

use dragonflyrill_catalogue::{
    fault::{Fault, Faults},
    state::{ChangeId, Revision},
};
use dragonflyrill_store::{PlatformError, catalogue_store::StoreError};
use serde::{Serialize, Serializer, ser::SerializeStruct};

use crate::report::{Exit, Report};

/// The error of a failed command.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// The command line is valid in form, but can't be carried out as given.
    #[error("{0}")]
    Usage(String),
    /// The declarations are invalid.
    #[error("{0}")]
    Invalid(#[from] Faults),
    /// The catalogue store failed, or holds an older state than one that was seen before.
    #[error("{}", DisplayStoreError(.0))]
    Store(#[from] StoreError),
    /// Another call to the platform failed.
    #[error("platform: {0}")]
    Platform(#[from] PlatformError),
    /// Hosts have a newer catalogue in force than the store holds.
    #[error(
        "the store went back: host {host} has revision {} in force, which is above {}\n{RESTORE_HINT}",
        .in_force.0, .head.0
    )]
    HostsAhead {
        /// A host that is ahead.
        host: String,
        /// The revision in force on that host.
        in_force: Revision,
        /// The store's newest revision, or the revision given with `--restore-above`.
        head: Revision,
    },
    /// The change is accepted, but the hosts where it is in force are unknown.
    #[error("revision {} is accepted, but it is unknown where it is in force: {cause}", .revision.0)]
    InForceUnknown {
        /// The accepted revision.
        revision: Revision,
        /// Why the hosts' revisions are unknown.
        cause: String,
    },
    /// It is unknown whether the change was accepted.
    #[error(
        "the outcome of change {change_id} is unknown: {cause}\nrun the same command with --change-id {change_id} --base {} to settle it",
        .base.0
    )]
    OutcomeUnknown {
        /// The id of the change.
        change_id: ChangeId,
        /// The revision that the change is based on.
        base: Revision,
        /// The failure of the last call.
        cause: PlatformError,
    },
}

/// Tells an operator how to proceed when the store holds an older state than the hosts.
const RESTORE_HINT: &str = "hosts keep what they have; nothing is applied until the store is \
    brought forward, see the operators' page on the catalogue, \"Restoring an older store\"";

struct DisplayStoreError<'a>(&'a StoreError);

impl fmt::Display for DisplayStoreError<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "catalogue: {}", self.0)?;
        if matches!(self.0, StoreError::RolledBack { .. }) {
            write!(f, "\n{RESTORE_HINT}")?;
        }
        Ok(())
    }
}

impl CtlError {
    /// The value of `error` in the JSON form.
    fn kind(&self) -> &'static str {
        match self {
            Self::Usage(_) => "usage",
            Self::Invalid(_) => "invalid",
            Self::Store(StoreError::RolledBack { .. }) | Self::HostsAhead { .. } => "store_older",
            Self::Store(_) => "store",
            Self::Platform(_) => "platform",
            Self::InForceUnknown { .. } => "unseen",
            Self::OutcomeUnknown { .. } => "unknown",
        }
    }
}

impl Report for CtlError {
    fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::Invalid(_) => Exit::Invalid,
            Self::InForceUnknown { .. } => Exit::NotEverywhere,
            Self::Store(_)
            | Self::Platform(_)
            | Self::HostsAhead { .. }
            | Self::OutcomeUnknown { .. } => Exit::Failed,
        }
    }
}

impl Serialize for CtlError {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        let faults: &[Fault] = match self {
            Self::Invalid(faults) => &faults.0,
            _ => &[],
        };
        let faults: Vec<FaultReport<'_>> = faults.iter().map(FaultReport::from).collect();
        let mut out = ser.serialize_struct("CtlError", 3)?;
        out.serialize_field("error", self.kind())?;
        out.serialize_field("message", &self.to_string())?;
        out.serialize_field("faults", &faults)?;
        out.end()
    }
}

#[derive(Serialize)]
struct FaultReport<'a> {
    file: &'a str,
    line: Option<usize>,
    section: Option<&'a str>,
    key: Option<&'a str>,
    value: Option<&'a str>,
    expected: &'a str,
}

impl<'a> From<&'a Fault> for FaultReport<'a> {
    fn from(fault: &'a Fault) -> Self {
        Self {
            file: &fault.file,
            line: fault.line,
            section: fault.section.as_deref(),
            key: fault.key.as_deref(),
            value: fault.value.as_deref(),
            expected: &fault.expected,
        }
    }
}
