//! Operators race each other against a table that loses answers: every apply ends as accepted or
//! conflict, and none is lost.

mod common;

use std::collections::BTreeMap;

use common::{FakeTable, Faults};
use dragonflyrill_catalogue::{
    entry::{Entry, WorkspaceEntry},
    name::{Name, WorkspaceName},
    state::{ChangeId, Revision},
};
use dragonflyrill_store::catalogue_store::{CatalogueStore, Commit, Proposal, StoreError};

const OPERATORS: usize = 12;
const APPLIES: usize = 20;
const SEEDS: u64 = 10;

/// The most calls to settle one apply.
const MAX_CALLS: usize = 200;

const FAULTS: Faults = Faults {
    not_sent: 5,
    refused: 5,
    lost_before: 10,
    lost_after: 15,
    delayed: 10,
};

/// How one apply ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Accepted(Revision),
    Conflict,
}

#[derive(Debug, Default)]
struct Sum {
    accepted: usize,
    conflicts: usize,
    /// Applies that were unknown in between.
    settled_later: usize,
}

async fn apply(store: &CatalogueStore<FakeTable>, proposal: &Proposal, sum: &mut Sum) -> End {
    let mut unknown = false;
    for _ in 0..MAX_CALLS {
        match store.commit(proposal).await {
            Ok(Commit::Accepted(revision)) => {
                sum.accepted += 1;
                sum.settled_later += usize::from(unknown);
                return End::Accepted(revision);
            }
            Ok(Commit::Conflict { head, since }) => {
                assert!(head.revision > proposal.base);
                assert!(
                    since
                        .iter()
                        .all(|c| c.change_id != proposal.change_id.as_str())
                );
                sum.conflicts += 1;
                sum.settled_later += usize::from(unknown);
                return End::Conflict;
            }
            Ok(Commit::Unknown(_)) => unknown = true,
            Err(StoreError::Platform(e)) => assert!(e.is_transient(), "{e}"),
            Err(e) => panic!("{e}"),
        }
    }
    panic!(
        "{} is not settled after {MAX_CALLS} calls",
        proposal.change_id
    );
}

async fn operate(table: FakeTable, operator: usize) -> (Sum, BTreeMap<String, End>) {
    // So few tries that outcomes stay unknown at times and have to be settled later.
    let store = table.store_with_tries(2);
    let mut sum = Sum::default();
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

/// What was told, against what the store holds after every delayed write has arrived.
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
    let (mut accepted, mut conflicts, mut settled_later) = (0, 0, 0);
    let (mut lost, mut delayed_done) = (0, 0);
    for seed in 0..SEEDS {
        let table = FakeTable::new(seed, FAULTS);
        let operators: Vec<_> = (0..OPERATORS)
            .map(|operator| actix_rt::spawn(operate(table.clone(), operator)))
            .collect();
        let mut ends = BTreeMap::new();
        for operator in operators {
            let (sum, own) = operator.await.expect("an operator ends");
            accepted += sum.accepted;
            conflicts += sum.conflicts;
            settled_later += sum.settled_later;
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
        "accepted {accepted}, conflicts {conflicts}, of these settled after unknown \
         {settled_later}; answers lost {lost}, delayed writes that took effect {delayed_done}"
    );
    // The race is one, and the faults were met.
    assert!(accepted > 0 && conflicts > 0 && settled_later > 0 && delayed_done > 0);
}
