//! Accepts a change at most once, in spite of concurrent operators and lost responses.

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

/// A change that an operator proposes.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// The revision on which the operator based the change.
    pub base: Revision,
    /// The id that the operator gave the change. Unique to the change; a second proposal with the
    /// same id is a retry.
    pub change_id: ChangeId,
    /// The author of the change.
    pub author: String,
    /// The current time in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Entries to create or replace.
    pub puts: Vec<Entry>,
    /// Entries to remove.
    pub deletes: Vec<EntryKey>,
}

/// The outcome of a [`Proposal`] or a restoration.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// The store holds the change under this revision.
    Accepted(Revision),
    /// Another change was accepted first. This one did not take effect and never will.
    Conflict {
        /// The newest change.
        head: Head,
        /// All changes since the proposal's base; empty if they are no longer stored.
        since: Vec<Change>,
    },
    /// The outcome is unknown. A retry with the same id resolves it.
    Unknown(PlatformError),
}

/// The outcome of all attempts of one conditional transaction.
pub(super) enum TxnAttempts {
    /// An attempt was applied.
    Done,
    /// The condition no longer holds. An attempt without a response may be the cause.
    ConditionFailed {
        /// Whether there was an attempt without a response.
        in_doubt: bool,
    },
    /// No attempt is left.
    Exhausted {
        /// Whether one of the attempts may have been applied, or may still be.
        in_doubt: bool,
        /// The last failure.
        cause: PlatformError,
    },
}

impl<T: TableApi> CatalogueStore<T> {
    /// Makes `proposal` the next change if the head is still at its base.
    ///
    /// After a lost response, the change id found in the store determines the outcome. A retry is
    /// safe: all attempts are conditional on the same head, so at most one of them takes effect.
    ///
    /// # Errors
    /// [`StoreError`] when no attempt of this call took effect or will. If an earlier call for the
    /// same id ended as [`CommitOutcome::Unknown`], the outcome of that call is still unknown.
    pub async fn commit(&self, proposal: &Proposal) -> Result<CommitOutcome, StoreError> {
        let row = self.read_head_row().await?;
        if row.head.revision != proposal.base {
            return self.resolve(proposal, row.head, false).await;
        }
        match self.run_txn(&commit_txn(proposal, &row)?).await {
            TxnAttempts::Done => {
                let head = proposal.head();
                self.record_seen_head(head.clone());
                Ok(CommitOutcome::Accepted(head.revision))
            }
            TxnAttempts::ConditionFailed { in_doubt } => {
                self.resolve_moved_head(proposal, in_doubt).await
            }
            TxnAttempts::Exhausted { in_doubt, cause } => {
                self.resolve_exhausted(proposal, in_doubt, cause).await
            }
        }
    }

    /// Runs `txn` until there is a response, or no attempt is left.
    pub(super) async fn run_txn(&self, txn: &Txn) -> TxnAttempts {
        let mut in_doubt = false;
        let mut failed_attempts = 0;
        loop {
            let cause = match self.table.txn(txn).await {
                Ok(outcome) if outcome.succeeded => return TxnAttempts::Done,
                Ok(_) => return TxnAttempts::ConditionFailed { in_doubt },
                Err(cause) => cause,
            };
            in_doubt |= cause.is_unknown();
            failed_attempts += 1;
            if let Err(cause) = self.retry.wait_before_retry(failed_attempts, cause).await {
                return TxnAttempts::Exhausted { in_doubt, cause };
            }
        }
    }

    /// Resolves a proposal after the head moved from its base: reads which changes moved it.
    async fn resolve_moved_head(
        &self,
        proposal: &Proposal,
        in_doubt: bool,
    ) -> Result<CommitOutcome, StoreError> {
        let resolved = match self.read_head_row().await {
            Ok(row) => self.resolve(proposal, row.head, in_doubt).await,
            Err(e) => Err(e),
        };
        match resolved {
            // One of the attempts of this call may have moved the head.
            Err(StoreError::Platform(e)) if in_doubt => Ok(CommitOutcome::Unknown(e)),
            resolved => resolved,
        }
    }

    /// Returns accepted if `proposal` is among the changes since its base, a conflict otherwise.
    async fn resolve(
        &self,
        proposal: &Proposal,
        head: Head,
        in_doubt: bool,
    ) -> Result<CommitOutcome, StoreError> {
        let since = match self.read_changes(proposal.base).await {
            Ok(since) => since,
            // The changes after the base were trimmed.
            Err(StoreError::Missing { .. }) if !in_doubt => Vec::new(),
            Err(e) => return Err(e),
        };
        match find(&since, &proposal.change_id) {
            Some(change) => Ok(CommitOutcome::Accepted(change.revision)),
            None => Ok(CommitOutcome::Conflict { head, since }),
        }
    }

    /// Resolves a proposal that has no attempt left: reads the head once more to find out whether
    /// one of the attempts took effect.
    async fn resolve_exhausted(
        &self,
        proposal: &Proposal,
        in_doubt: bool,
        cause: PlatformError,
    ) -> Result<CommitOutcome, StoreError> {
        if !in_doubt {
            return Err(cause.into());
        }
        match self.read_head_row().await {
            // The head is unchanged, but a delayed attempt may still take effect.
            Ok(row) if row.head.revision == proposal.base => Ok(CommitOutcome::Unknown(cause)),
            Ok(_) => self.resolve_moved_head(proposal, in_doubt).await,
            Err(_) => Ok(CommitOutcome::Unknown(cause)),
        }
    }
}

impl Proposal {
    /// The head after this proposal is accepted.
    fn head(&self) -> Head {
        Head {
            revision: self.base.next(),
            change_id: self.change_id.to_string(),
        }
    }
}

impl HeadRow {
    /// The condition that the head has not changed since it was read.
    pub(super) fn unchanged_condition(&self) -> Condition {
        match self.mod_revision {
            None => Condition::Absent(HEAD_KEY.to_owned()),
            Some(mod_revision) => Condition::Unchanged {
                key: HEAD_KEY.to_owned(),
                mod_revision,
            },
        }
    }
}

/// The operations that append `change` to `log` and make it the head.
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

/// The transaction that accepts `proposal` if the head is still `row`.
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
        conditions: vec![row.unchanged_condition()],
        ops: change_ops(&change, row.log)?,
    })
}
