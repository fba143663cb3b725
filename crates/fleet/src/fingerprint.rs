//! Determines whether two requests are the same, one of them a retry of the other.
//!
//! Callers give each attempt its own id and may retry at any host. What stays the same is what they ask for:
//! the route's host, the method, the path with its query, the workspace and the body.
//!
//! Different requests may share parts of their prompts. A part has a fingerprint of its own, the same in every request.

use std::{fmt, str::FromStr};

use sha2::{Digest, Sha256};

/// Bytes of the hash that are used: enough to exclude collisions, accidental or deliberate.
const HASH_BYTES: usize = 16;

/// What identifies a request across its attempts.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// The host that the request names.
    pub host: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The workspace of the caller; `None` on routes that need no key.
    pub workspace: Option<&'a str>,
    /// The body of the request.
    pub body: &'a [u8],
}

/// The first bytes of the fingerprint of a part of prompts, by which hosts tell what another one has reported. One request
/// in four billion has them by chance.
const PROMPT_PART_TAG: [u8; 4] = *b"part";

/// Identifies a request, or a part of prompts, on all hosts, without revealing its contents.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; HASH_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(identity: &RequestIdentity<'_>) -> Self {
        Self::of_pieces(identity, std::iter::empty())
    }

    /// The same for a request whose body continues with further pieces.
    pub fn of_pieces<'a>(
        identity: &RequestIdentity<'_>,
        further: impl Iterator<Item = &'a [u8]> + Clone,
    ) -> Self {
        let mut hash = Sha256::new();
        let workspace = identity.workspace.map_or(&[][..], str::as_bytes);
        let fields = [
            identity.host.as_bytes(),
            identity.method.as_bytes(),
            identity.path.as_bytes(),
            workspace,
        ];
        hash.update([u8::from(identity.workspace.is_some())]);
        for field in fields {
            // The length precedes each field, so that bytes can't move from one field to the next.
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field);
        }
        let body_len = identity.body.len() + further.clone().map(<[u8]>::len).sum::<usize>();
        hash.update((body_len as u64).to_be_bytes());
        hash.update(identity.body);
        further.for_each(|piece| hash.update(piece));
        Self::truncated(hash)
    }

    /// Computes the fingerprint of a part of prompts from the id that callers give it.
    pub fn of_prompt_part(id: &str) -> Self {
        let mut fingerprint = Self::truncated(Sha256::new_with_prefix(id.as_bytes()));
        fingerprint.0[..PROMPT_PART_TAG.len()].copy_from_slice(&PROMPT_PART_TAG);
        fingerprint
    }

    /// Whether this is the fingerprint of a part of prompts.
    pub fn is_prompt_part(&self) -> bool {
        self.0.starts_with(&PROMPT_PART_TAG)
    }

    fn truncated(hash: Sha256) -> Self {
        let mut bytes = [0; HASH_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..HASH_BYTES]);
        Self(bytes)
    }

    /// The bytes of the fingerprint, as exchanged between hosts.
    pub fn bytes(&self) -> [u8; HASH_BYTES] {
        self.0
    }
}

impl From<[u8; HASH_BYTES]> for Fingerprint {
    fn from(bytes: [u8; HASH_BYTES]) -> Self {
        Self(bytes)
    }
}

/// The text is not a fingerprint in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseFingerprintError;

impl fmt::Display for ParseFingerprintError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} hexadecimal digits are needed", 2 * HASH_BYTES)
    }
}

impl std::error::Error for ParseFingerprintError {}

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, ParseFingerprintError> {
        let digits = text.len() == 2 * HASH_BYTES && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = digits.then(|| u128::from_str_radix(text, 16));
        match number {
            Some(Ok(number)) => Ok(Self(number.to_be_bytes())),
            _ => Err(ParseFingerprintError),
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
