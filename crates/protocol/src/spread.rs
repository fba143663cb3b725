//! Messages that distribute the catalogue.

use std::pin;

use dragonflyrill_catalogue::{Change, Entry, Revision};
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde::{self, formats};

/// Identifies a catalogue.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Digest {
    /// The revision in force.
    pub revision: Revision,
    /// Hash of the id of the revision's change. It tells apart two catalogues of one revision if
    /// the store was ever restored to an earlier state and then changed differently.
    pub change: u64,
}

/// One part of a complete catalogue. A catalogue is divided in the same way each time it is sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Revision of the complete catalogue.
    pub revision: Revision,
    /// Id of the newest change of the catalogue.
    pub change_id: String,
    /// Index of this part, from 0.
    pub index: u32,
    /// Number of parts.
    pub parts: u32,
    /// Entries of this part.
    pub entries: Vec<Entry>,
}

/// A message that distributes the catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Identifies the catalogue that the sender has in force.
    Digest(Digest),
    /// Requests the changes after this revision, which the sender lacks.
    Pull(Digest),
    /// Consecutive changes, in order and without gaps.
    Changes(Vec<Change>),
    /// A part of a complete catalogue.
    Part(Part),
}

/// Returns the encoded length of `value` in a message, in bytes, without the framing.
///
/// # Panics
/// Never for the types of this crate: the codec can encode all of their values.
pub fn encoded_len<T: Serialize>(value: &T) -> usize {
    let codec = pin::pin!(formats::Bincode::<(), T>::default());
    let bytes = tokio_serde::Serializer::serialize(codec, value);
    bytes.expect("plain data is encodable").len()
}
