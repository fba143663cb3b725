//! Why a command could not do its work.

use std::fmt;

use dragonflyrill_catalogue::{
    fault::{Fault, Faults},
    state::{ChangeId, Revision},
};
use dragonflyrill_store::{PlatformError, catalogue_store::StoreError};
use serde::{Serialize, Serializer, ser::SerializeStruct};

use crate::report::{Exit, Report};

/// The closed list of a command's failures.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// The command line asks for something impossible.
    #[error("{0}")]
    Usage(String),
    /// The declarations are wrong.
    #[error("{0}")]
    Invalid(#[from] Faults),
    /// The catalogue's store failed, or went back.
    #[error("{}", StoreText(.0))]
    Store(#[from] StoreError),
    /// The platform failed.
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
        /// What it has in force.
        in_force: Revision,
        /// The store's newest revision, or the one given for a restore.
        head: Revision,
    },
    /// The change is accepted, but nobody tells where it is in force.
    #[error("revision {} is accepted, but where it is in force can't be told: {cause}", .revision.0)]
    Unseen {
        /// The accepted revision.
        revision: Revision,
        /// Why.
        cause: String,
    },
    /// No answer tells whether the change was accepted.
    #[error(
        "the outcome of change {change_id} is unknown: {cause}\nrun the same command with --change-id {change_id} --base {} to settle it",
        .base.0
    )]
    Unknown {
        /// The change.
        change_id: ChangeId,
        /// The revision it was made on.
        base: Revision,
        /// The last failure.
        cause: PlatformError,
    },
}

/// What an operator does about a store that went back.
const RESTORE_HINT: &str = "hosts keep what they have; nothing is applied until the store is \
    brought forward, see the operators' page on the catalogue, \"Restoring an older store\"";

struct StoreText<'a>(&'a StoreError);

impl fmt::Display for StoreText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "catalogue: {}", self.0)?;
        if matches!(self.0, StoreError::RolledBack { .. }) {
            write!(f, "\n{RESTORE_HINT}")?;
        }
        Ok(())
    }
}

impl CtlError {
    fn kind(&self) -> &'static str {
        match self {
            Self::Usage(_) => "usage",
            Self::Invalid(_) => "invalid",
            Self::Store(StoreError::RolledBack { .. }) | Self::HostsAhead { .. } => "store_older",
            Self::Store(_) => "store",
            Self::Platform(_) => "platform",
            Self::Unseen { .. } => "unseen",
            Self::Unknown { .. } => "unknown",
        }
    }
}

impl Report for CtlError {
    fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::Invalid(_) => Exit::Invalid,
            Self::Unseen { .. } => Exit::NotEverywhere,
            Self::Store(_) | Self::Platform(_) | Self::HostsAhead { .. } | Self::Unknown { .. } => {
                Exit::Failed
            }
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
