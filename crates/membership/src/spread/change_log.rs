//! The newest changes, kept to answer pulls.

use std::collections::VecDeque;

use dragonflyrill_catalogue::{Change, Revision};
use dragonflyrill_protocol::spread::{self, Digest};
use xxhash_rust::xxh3;

/// The newest changes in order and without gaps.
#[derive(Debug, Clone, Default)]
pub(super) struct ChangeLog {
    /// The digest before the first change kept.
    base: Digest,
    changes: VecDeque<LoggedChange>,
    /// The sum of the kept sizes.
    bytes: usize,
}

#[derive(Debug, Clone)]
struct LoggedChange {
    change: Change,
    bytes: usize,
}

/// Why the log can't answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PullError {
    /// The changes were dropped, or one is too large for a message.
    Unavailable,
    /// The other side has another change under one revision.
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
    /// A log that starts after `base`.
    pub(super) fn starting_after(base: Digest) -> Self {
        Self {
            base,
            ..Self::default()
        }
    }

    /// Adds the next change; drops the oldest ones above the limits.
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

    /// Whether the catalogue `other` is, or may be, an earlier state of this one.
    pub(super) fn is_consistent_with(&self, other: Digest) -> bool {
        self.digest_at(other.revision)
            .is_none_or(|known| known == other)
    }

    /// The changes after `from`, in messages of at most about `max` bytes.
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

    /// The digest of the catalogue at `revision`, where it is known.
    fn digest_at(&self, revision: Revision) -> Option<Digest> {
        if revision == self.base.revision {
            return Some(self.base);
        }
        let i = revision.0.checked_sub(self.base.revision.0 + 1)? as usize;
        let logged = self.changes.get(i)?;
        Some(digest(revision, &logged.change.change_id))
    }
}
