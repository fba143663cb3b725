//! Names of leases and fencing numbers.

use std::{fmt, sync::Arc};

/// The prefix of the table keys of lease rows.
const KEY_PREFIX: &str = "leases/";

/// The largest length of a lease name in bytes.
const MAX_NAME_BYTES: usize = 255;

/// The name of a lease: 1 to 255 printable ASCII characters without spaces.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseName(Arc<str>);

/// Why a text is not a valid [`LeaseName`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LeaseNameError {
    /// The text is empty or too long; its length in bytes.
    #[error("a lease name must have 1 to {MAX_NAME_BYTES} bytes, but this one has {0}")]
    Length(usize),
    /// The text contains this character, which isn't allowed.
    #[error("{0:?} is not allowed in a lease name: only printable ASCII without spaces is")]
    Character(char),
}

impl LeaseName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the table key of the lease's row.
    pub fn key(&self) -> String {
        format!("{KEY_PREFIX}{}", self.0)
    }
}

impl TryFrom<&str> for LeaseName {
    type Error = LeaseNameError;

    fn try_from(raw: &str) -> Result<Self, LeaseNameError> {
        if raw.is_empty() || raw.len() > MAX_NAME_BYTES {
            return Err(LeaseNameError::Length(raw.len()));
        }
        if let Some(c) = raw.chars().find(|c| !c.is_ascii_graphic()) {
            return Err(LeaseNameError::Character(c));
        }
        Ok(Self(raw.into()))
    }
}

impl fmt::Display for LeaseName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for LeaseName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A fencing number. A host that takes a lease over gets a higher number than all earlier holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fence(pub u64);
