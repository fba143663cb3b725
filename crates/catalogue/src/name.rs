//! Validated names: the identifiers that declarations, settings and requests share.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// The maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 63;

/// Why a string is not a valid [`Name`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The name is empty or longer than [`MAX_NAME_LEN`]. Holds its length in bytes.
    #[error("a name has 1 to {MAX_NAME_LEN} characters, this one has {0}")]
    Length(usize),
    /// The name contains a character outside `a-z 0-9 . _ -`, or starts with one of `. _ -`. Holds
    /// the character and its position from 0.
    #[error(
        "{0:?} is not allowed at position {1}: a name is a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
    )]
    Character(char, usize),
}

/// A validated identifier that is cheap to clone.
///
/// Invariant: 1 to [`MAX_NAME_LEN`] characters of `a-z 0-9 . _ -`, the first a letter or digit.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl Name {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for Name {
    type Error = NameError;

    fn try_from(raw: &str) -> Result<Self, NameError> {
        if raw.is_empty() || raw.len() > MAX_NAME_LEN {
            return Err(NameError::Length(raw.len()));
        }
        for (i, c) in raw.chars().enumerate() {
            let alphanumeric = matches!(c, 'a'..='z' | '0'..='9');
            let punctuation = matches!(c, '.' | '_' | '-');
            if !(alphanumeric || (i > 0 && punctuation)) {
                return Err(NameError::Character(c, i));
            }
        }
        Ok(Self(raw.into()))
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(raw: String) -> Result<Self, NameError> {
        Self::try_from(raw.as_str())
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.as_ref().to_owned()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $ty:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $ty(pub Name);

        impl $ty {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl TryFrom<&str> for $ty {
            type Error = NameError;

            fn try_from(raw: &str) -> Result<Self, NameError> {
                Name::try_from(raw).map(Self)
            }
        }

        impl fmt::Display for $ty {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl fmt::Debug for $ty {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl Borrow<str> for $ty {
            fn borrow(&self) -> &str {
                self.0.as_str()
            }
        }
    )*};
}

name_types! {
    /// The name of a workspace, against whose limits requests are admitted.
    WorkspaceName;
    /// The name of the target of a request: a model or a plain service.
    TargetName;
    /// The name of a class of work within a workspace, such as `interactive` or `batch`.
    ClassName;
    /// The name of a data centre.
    DataCentre;
    /// The stable id of an endpoint, whose address may change.
    EndpointId;
}
