//! Accepting a change, exactly once, against racing operators and lost answers.

use dragonflyrill_catalogue::{
    entry::{Entry, EntryKey},
    state::{Change, ChangeId, Revision},
};

use super::{
    CatalogueStore, HEAD_KEY, Head, LogNumber, StoreError, encode, find,
    read::{HeadRow, StoredHead},
};
use crate::{
    error::PlatformError,
    table::{Condition, Op, TableApi, Txn},
};

/// A change that an operator wants.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// The revision the operator looked at.
    pub base: Revision,
    /// The operator's own id of the change, unique to it; the same id again is a retry.
    pub change_id: ChangeId,
    /// Who makes it.
    pub author: String,
    /// Now, in milliseconds since the epoch.
    pub now_ms: u64,
    /// Entries to create or replace.
    pub puts: Vec<Entry>,
    /// Entries to remove.
    pub deletes: Vec<EntryKey>,
}

/// What became of a proposal.
#[derive(Debug, Clone, PartialEq)]
pub enum Commit {
    /// The change is in the store and has this revision.
    Accepted(Revision),
    /// Others were faster. The change did not take effect and never will.
    Conflict {
        /// The newest change.
        head: Head,
        /// All changes since the proposal's base; empty where they are not kept any more.
        since: Vec<Change>,
    },
    /// No answer tells. Proposing again under the same id settles it.
    Unknown(PlatformError),
}

/// How the tries of one conditional transaction ended.
pub(super) enum Tried {
    /// It was done.
    Done,
    /// The condition does not hold any more; a try without an answer may be the cause.
    Moved {
        /// Whether there was such a try.
        in_doubt: bool,
    },
    /// All tries are spent.
    GaveUp {
        /// Whether one of them may have been done, or may still be.
        in_doubt: bool,
        /// The last failure.
        cause: PlatformError,
    },
}

impl<T: TableApi> CatalogueStore<T> {
    /// Makes `proposal` the next change if the head is still at its base.
    ///
    /// A lost answer is resolved by reading back under the change id. Trying again is safe: all
    /// tries are conditional on the same head, so at most one of them takes effect.
    ///
    /// # Errors
    /// [`StoreError`] when no try of this call took effect or will. If an earlier call for the
    /// same id ended as [`Commit::Unknown`], that one is still open.
    pub async fn commit(&self, proposal: &Proposal) -> Result<Commit, StoreError> {
        let row = self.read_head_row().await?;
        if row.head.revision != proposal.base {
            return self.settle(proposal, row.head, false).await;
        }
        match self.try_txn(&commit_txn(proposal, &row)?).await {
            Tried::Done => {
                let head = proposal.head();
                self.note_seen(head.clone());
                Ok(Commit::Accepted(head.revision))
            }
            Tried::Moved { in_doubt } => self.settle_moved(proposal, in_doubt).await,
            Tried::GaveUp { in_doubt, cause } => self.give_up(proposal, in_doubt, cause).await,
        }
    }

    /// Tries `txn` until there is an answer, or no try is left.
    pub(super) async fn try_txn(&self, txn: &Txn) -> Tried {
        let mut in_doubt = false;
        let mut tried = 0;
        loop {
            let cause = match self.table.txn(txn).await {
                Ok(outcome) if outcome.succeeded => return Tried::Done,
                Ok(_) => return Tried::Moved { in_doubt },
                Err(cause) => cause,
            };
            in_doubt |= cause.is_unknown();
            tried += 1;
            if let Err(cause) = self.retry.pause(tried, cause).await {
                return Tried::GaveUp { in_doubt, cause };
            }
        }
    }

    /// The head is no longer at the base: reads who moved it.
    async fn settle_moved(
        &self,
        proposal: &Proposal,
        in_doubt: bool,
    ) -> Result<Commit, StoreError> {
        let settled = match self.read_head_row().await {
            Ok(row) => self.settle(proposal, row.head, in_doubt).await,
            Err(e) => Err(e),
        };
        match settled {
            // One of the tries may be what moved the head.
            Err(StoreError::Platform(e)) if in_doubt => Ok(Commit::Unknown(e)),
            settled => settled,
        }
    }

    /// Accepted if `proposal` is among the changes since its base, a conflict if not.
    async fn settle(
        &self,
        proposal: &Proposal,
        head: Head,
        in_doubt: bool,
    ) -> Result<Commit, StoreError> {
        let since = match self.read_changes(proposal.base).await {
            Ok(since) => since,
            // The base is older than what is kept.
            Err(StoreError::Missing { .. }) if !in_doubt => Vec::new(),
            Err(e) => return Err(e),
        };
        match find(&since, &proposal.change_id) {
            Some(change) => Ok(Commit::Accepted(change.revision)),
            None => Ok(Commit::Conflict { head, since }),
        }
    }

    /// All tries are spent: looks once more whether one of them took effect.
    async fn give_up(
        &self,
        proposal: &Proposal,
        in_doubt: bool,
        cause: PlatformError,
    ) -> Result<Commit, StoreError> {
        if !in_doubt {
            return Err(cause.into());
        }
        match self.read_head_row().await {
            // Unchanged, but a delayed try may still arrive.
            Ok(row) if row.head.revision == proposal.base => Ok(Commit::Unknown(cause)),
            Ok(_) => self.settle_moved(proposal, in_doubt).await,
            Err(_) => Ok(Commit::Unknown(cause)),
        }
    }
}

impl Proposal {
    /// The head that this proposal makes.
    fn head(&self) -> Head {
        Head {
            revision: self.base.next(),
            change_id: self.change_id.to_string(),
        }
    }
}

impl HeadRow {
    /// The condition that the head is still this one.
    pub(super) fn unchanged(&self) -> Condition {
        match self.mod_revision {
            None => Condition::Absent(HEAD_KEY.to_owned()),
            Some(mod_revision) => Condition::Unchanged {
                key: HEAD_KEY.to_owned(),
                mod_revision,
            },
        }
    }
}

/// The operations that write `change` to a log and make it the newest.
pub(super) fn change_ops(change: &Change, log: LogNumber) -> Result<Vec<Op>, PlatformError> {
    let head = Head {
        revision: change.revision,
        change_id: change.change_id.clone(),
    };
    let head = StoredHead { head, log };
    Ok(vec![
        Op::Put {
            key: HEAD_KEY.to_owned(),
            value: encode(&head)?,
        },
        Op::Put {
            key: log.change_key(change.revision),
            value: encode(change)?,
        },
    ])
}

/// The transaction that accepts `proposal` on top of `row`.
fn commit_txn(proposal: &Proposal, row: &HeadRow) -> Result<Txn, PlatformError> {
    let change = Change {
        revision: proposal.base.next(),
        change_id: proposal.change_id.to_string(),
        author: proposal.author.clone(),
        accepted_ms: proposal.now_ms,
        puts: proposal.puts.clone(),
        deletes: proposal.deletes.clone(),
    };
    Ok(Txn {
        conditions: vec![row.unchanged()],
        ops: change_ops(&change, row.log)?,
    })
}
