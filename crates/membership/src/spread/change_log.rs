//! The latest changes, stored to answer pulls.

use std::collections::VecDeque;

use dragonflyrill_catalogue::{Change, Revision};
use dragonflyrill_protocol::spread::{self, Digest};
use xxhash_rust::xxh3;

/// The latest changes, in order of revision and without gaps.
#[derive(Debug, Clone, Default)]
pub(super) struct ChangeLog {
    /// The digest of the catalogue before the first stored change.
    base: Digest,
    changes: VecDeque<LoggedChange>,
    /// The sum of the encoded sizes of the stored changes.
    bytes: usize,
}

#[derive(Debug, Clone)]
struct LoggedChange {
    change: Change,
    bytes: usize,
}

/// Why the log cannot answer a pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PullError {
    /// The log no longer holds the changes, or one of them is too large for a message.
    Unavailable,
    /// The other host has another change under the same revision.
    Forked,
}

/// The digest of a catalogue whose newest change is `change_id`.
pub(super) fn digest(revision: Revision, change_id: &str) -> Digest {
    let empty = revision == Revision::default();
    let change = if empty {
        0
    } else {
        xxh3::xxh3_64(change_id.as_bytes())
    };
    Digest { revision, change }
}

impl ChangeLog {
    /// An empty log for the changes after the catalogue `base`.
    pub(super) fn starting_after(base: Digest) -> Self {
        Self {
            base,
            ..Self::default()
        }
    }

    /// Appends the next change; drops the oldest changes above the limits.
    pub(super) fn push(&mut self, change: Change, max_changes: usize, max_bytes: usize) {
        let bytes = spread::encoded_len(&change);
        self.bytes += bytes;
        self.changes.push_back(LoggedChange { change, bytes });
        while self.changes.len() > max_changes || self.bytes > max_bytes {
            let Some(dropped) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= dropped.bytes;
            self.base = digest(dropped.change.revision, &dropped.change.change_id);
        }
    }

    /// Whether the log does not contradict `other`: false only if it has another change at that
    /// revision.
    pub(super) fn is_consistent_with(&self, other: Digest) -> bool {
        self.digest_at(other.revision)
            .is_none_or(|known| known == other)
    }

    /// The changes after `from`, grouped into messages of at most about `max` encoded bytes.
    pub(super) fn changes_after(
        &self,
        from: Digest,
        max: usize,
    ) -> Result<Vec<Vec<Change>>, PullError> {
        if !self.is_consistent_with(from) {
            return Err(PullError::Forked);
        }
        if from.revision < self.base.revision {
            return Err(PullError::Unavailable);
        }
        let skipped = from.revision.0.saturating_sub(self.base.revision.0) as usize;
        let mut messages: Vec<Vec<Change>> = Vec::new();
        let mut free_bytes = 0;
        for logged in self.changes.iter().skip(skipped) {
            if logged.bytes > max {
                return Err(PullError::Unavailable);
            }
            match messages.last_mut().filter(|_| logged.bytes <= free_bytes) {
                Some(message) => message.push(logged.change.clone()),
                None => {
                    free_bytes = max;
                    messages.push(vec![logged.change.clone()]);
                }
            }
            free_bytes -= logged.bytes;
        }
        Ok(messages)
    }

    /// The digest of the catalogue at `revision`, if the log covers that revision.
    fn digest_at(&self, revision: Revision) -> Option<Digest> {
        if revision == self.base.revision {
            return Some(self.base);
        }
        let i = revision.0.checked_sub(self.base.revision.0 + 1)? as usize;
        let logged = self.changes.get(i)?;
        Some(digest(revision, &logged.change.change_id))
    }
}
