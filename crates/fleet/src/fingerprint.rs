//! Tells whether two requests are the same one, asked for again.
//!
//! Callers give each attempt an id of its own, and may come back to any host. What stays is what they
//! ask for: the route's host, the method, the path with its query, whose request it is and its body.

use std::{fmt, str::FromStr};

use sha2::{Digest, Sha256};

/// Bytes of the hash that are kept: enough that no two requests share them, by chance or by intent.
const BYTES: usize = 16;

/// What a caller asks for, whichever attempt of it this is.
#[derive(Debug, Clone, Copy)]
pub struct Asked<'a> {
    /// The host that it names.
    pub host: &'a str,
    /// Its method.
    pub method: &'a str,
    /// Its path with its query.
    pub path: &'a str,
    /// Whose request it is; `None` on routes that need no key.
    pub workspace: Option<&'a str>,
    /// Its body.
    pub body: &'a [u8],
}

/// Names a request over all hosts. Says nothing of what is in it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// The fingerprint of what was asked for.
    pub fn of(asked: &Asked<'_>) -> Self {
        let mut hash = Sha256::new();
        let workspace = asked.workspace.map_or(&[][..], str::as_bytes);
        let parts = [
            asked.host.as_bytes(),
            asked.method.as_bytes(),
            asked.path.as_bytes(),
            workspace,
            asked.body,
        ];
        hash.update([u8::from(asked.workspace.is_some())]);
        for part in parts {
            // With its length, so that nothing can move from one part to the next.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hash.finalize()[..BYTES]);
        Self(bytes)
    }

    /// Its bytes, as hosts tell them to each other.
    pub fn bytes(&self) -> [u8; BYTES] {
        self.0
    }
}

impl From<[u8; BYTES]> for Fingerprint {
    fn from(bytes: [u8; BYTES]) -> Self {
        Self(bytes)
    }
}

/// A text is no fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoFingerprint;

impl fmt::Display for NoFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} hexadecimal digits are needed", 2 * BYTES)
    }
}

impl std::error::Error for NoFingerprint {}

impl FromStr for Fingerprint {
    type Err = NoFingerprint;

    fn from_str(text: &str) -> Result<Self, NoFingerprint> {
        let digits = text.len() == 2 * BYTES && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = digits.then(|| u128::from_str_radix(text, 16));
        match number {
            Some(Ok(number)) => Ok(Self(number.to_be_bytes())),
            _ => Err(NoFingerprint),
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
