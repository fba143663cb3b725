//! Guards against changes that are lost, or applied twice, when several operators change the
//! catalogue concurrently and the table loses responses: every apply must end as accepted or as a
//! conflict, as the stored changes show.

mod common;

use std::collections::BTreeMap;

use common::{FakeTable, Faults};
use dragonflyrill_catalogue::{
    entry::{Entry, WorkspaceEntry},
    name::{Name, WorkspaceName},
    state::{ChangeId, Revision},
};
use dragonflyrill_store::catalogue_store::{CatalogueStore, CommitOutcome, Proposal, StoreError};

const OPERATORS: usize = 12;
const APPLIES: usize = 20;
const SEEDS: u64 = 10;

/// The maximum number of calls until the outcome of one apply is known.
const MAX_CALLS: usize = 200;

const FAULTS: Faults = Faults {
    not_sent: 5,
    refused: 5,
    lost_before: 10,
    lost_after: 15,
    delayed: 10,
};

/// The final outcome of one apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Accepted(Revision),
    Conflict,
}

#[derive(Debug, Default)]
struct OutcomeCounts {
    accepted: usize,
    conflicts: usize,
    /// Applies whose outcome was unknown at first.
    resolved_later: usize,
}

async fn apply(
    store: &CatalogueStore<FakeTable>,
    proposal: &Proposal,
    sum: &mut OutcomeCounts,
) -> End {
    let mut unknown = false;
    for _ in 0..MAX_CALLS {
        match store.commit(proposal).await {
            Ok(CommitOutcome::Accepted(revision)) => {
                sum.accepted += 1;
                sum.resolved_later += usize::from(unknown);
                return End::Accepted(revision);
            }
            Ok(CommitOutcome::Conflict { head, since }) => {
                assert!(head.revision > proposal.base);
                assert!(
                    since
                        .iter()
                        .all(|c| c.change_id != proposal.change_id.as_str())
                );
                sum.conflicts += 1;
                sum.resolved_later += usize::from(unknown);
                return End::Conflict;
            }
            Ok(CommitOutcome::Unknown(_)) => unknown = true,
            Err(StoreError::Platform(e)) => assert!(e.is_transient(), "{e}"),
            Err(e) => panic!("{e}"),
        }
    }
    panic!(
        "the outcome of {} is unknown after {MAX_CALLS} calls",
        proposal.change_id
    );
}

async fn operate(table: FakeTable, operator: usize) -> (OutcomeCounts, BTreeMap<String, End>) {
    // With so few attempts, some outcomes stay unknown and have to be resolved by a later call.
    let store = table.store_with_attempts(2);
    let mut sum = OutcomeCounts::default();
    let mut ends = BTreeMap::new();
    for n in 0..APPLIES {
        let base = loop {
            match store.read_head().await {
                Ok(head) => break head.revision,
                Err(StoreError::Platform(_)) => {}
                Err(e) => panic!("{e}"),
            }
        };
        let id = format!("op{operator}-{n}");
        let name = WorkspaceName(Name::try_from(id.as_str()).expect("a valid name"));
        let proposal = Proposal {
            base,
            change_id: ChangeId::try_from(id.as_str()).expect("a valid id"),
            author: format!("op{operator}"),
            now_ms: n as u64,
            puts: vec![Entry::Workspace(WorkspaceEntry { name, weight: 1 })],
            deletes: Vec::new(),
        };
        let end = apply(&store, &proposal, &mut sum).await;
        ends.insert(id, end);
    }
    (sum, ends)
}

/// Compares the reported outcomes with what the store holds after all delayed writes arrived.
async fn verify(table: &FakeTable, ends: &BTreeMap<String, End>) {
    table.deliver_delayed();
    table.set_faults(Faults::default());
    let changes = table
        .store()
        .read_changes(Revision(0))
        .await
        .expect("no gap");
    let mut stored = BTreeMap::new();
    for change in &changes {
        let twice = stored.insert(change.change_id.clone(), change.revision);
        assert_eq!(twice, None, "{} took effect twice", change.change_id);
    }
    for (id, end) in ends {
        match end {
            End::Accepted(revision) => assert_eq!(stored.get(id), Some(revision), "{id}"),
            End::Conflict => assert_eq!(stored.get(id), None, "{id}"),
        }
    }
    assert!(stored.keys().all(|id| ends.contains_key(id)));
    let loaded = table.store().load(table).await.expect("a catalogue");
    assert_eq!(loaded.catalogue.entries().count(), stored.len());
}

#[actix_rt::test]
async fn every_apply_ends_as_accepted_or_conflict_and_none_is_lost() {
    let (mut accepted, mut conflicts, mut resolved_later) = (0, 0, 0);
    let (mut lost, mut delayed_done) = (0, 0);
    for seed in 0..SEEDS {
        let table = FakeTable::new(seed, FAULTS);
        let operators: Vec<_> = (0..OPERATORS)
            .map(|operator| actix_rt::spawn(operate(table.clone(), operator)))
            .collect();
        let mut ends = BTreeMap::new();
        for operator in operators {
            let (sum, own) = operator.await.expect("the operator's task ended normally");
            accepted += sum.accepted;
            conflicts += sum.conflicts;
            resolved_later += sum.resolved_later;
            ends.extend(own);
        }
        assert_eq!(ends.len(), OPERATORS * APPLIES);
        verify(&table, &ends).await;
        let counts = table.counts();
        lost += counts.lost_before + counts.lost_after + counts.delayed;
        delayed_done += counts.delayed_done;
    }
    assert_eq!(accepted + conflicts, SEEDS as usize * OPERATORS * APPLIES);
    println!(
        "accepted {accepted}, conflicts {conflicts}, of these resolved after unknown \
         {resolved_later}; responses lost {lost}, delayed writes that took effect {delayed_done}"
    );
    // Ensures that operators did conflict and that the faults occurred.
    assert!(accepted > 0 && conflicts > 0 && resolved_later > 0 && delayed_done > 0);
}
