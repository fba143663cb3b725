//! Tests of the catalogue in the store: conflicts, lost responses, snapshots, trimming, and
//! detection and restoration of a store that was rolled back to a backup.

mod common;

use common::{FakeTable, Faults};
use dragonflyrill_catalogue::{
    entry::{Entry, WorkspaceEntry},
    name::{Name, WorkspaceName},
    state::{Change, ChangeId, Revision},
};
use dragonflyrill_store::{
    PlatformError,
    catalogue_store::{CatalogueStore, CommitOutcome, Head, Proposal, Restoration, StoreError},
};

fn change_id(raw: &str) -> ChangeId {
    ChangeId::try_from(raw).expect("a valid id")
}

fn workspace(name: &str, weight: u32) -> Entry {
    let name = WorkspaceName(Name::try_from(name).expect("a valid name"));
    Entry::Workspace(WorkspaceEntry { name, weight })
}

fn proposal(base: u64, id: &str, puts: Vec<Entry>) -> Proposal {
    Proposal {
        base: Revision(base),
        change_id: change_id(id),
        author: format!("author of {id}"),
        now_ms: 1,
        puts,
        deletes: Vec::new(),
    }
}

fn head(revision: u64, id: &str) -> Head {
    Head {
        revision: Revision(revision),
        change_id: id.to_owned(),
    }
}

fn restoration(above: u64, id: &str, entries: Vec<Entry>) -> Restoration {
    Restoration {
        above: Revision(above),
        change_id: change_id(id),
        author: format!("author of {id}"),
        now_ms: 2,
        entries,
    }
}

async fn accept(store: &CatalogueStore<FakeTable>, base: u64, id: &str, puts: Vec<Entry>) {
    let commit = store.commit(&proposal(base, id, puts)).await;
    assert_eq!(commit, Ok(CommitOutcome::Accepted(Revision(base + 1))));
}

/// Commits the changes after revision `from` up to revision `to`. Each sets the weight of workspace
/// `w` to its own revision.
async fn fill(store: &CatalogueStore<FakeTable>, from: u64, to: u64, prefix: &str) {
    for base in from..to {
        let puts = vec![workspace("w", base as u32 + 1)];
        accept(store, base, &format!("{prefix}{}", base + 1), puts).await;
    }
}

#[actix_rt::test]
async fn an_empty_store_has_revision_zero() {
    let table = FakeTable::new(1, Faults::default());
    let store = table.store();
    assert_eq!(store.read_head().await, Ok(Head::default()));
    let loaded = store.load(&table).await.expect("an empty catalogue");
    assert_eq!(loaded.head(), Head::default());
}

#[actix_rt::test]
async fn accepted_changes_are_read_in_order() {
    let table = FakeTable::new(1, Faults::default());
    let store = table.store();
    fill(&store, 0, 3, "c").await;
    assert_eq!(store.read_head().await, Ok(head(3, "c3")));
    let changes = store.read_changes(Revision(1)).await.expect("changes");
    let ids: Vec<&str> = changes.iter().map(|c| c.change_id.as_str()).collect();
    assert_eq!(ids, ["c2", "c3"]);
}

#[actix_rt::test]
async fn a_concurrent_operator_gets_a_conflict_with_the_changes_since_its_base() {
    let table = FakeTable::new(1, Faults::default());
    let store = table.store();
    fill(&store, 0, 2, "c").await;
    let late = store
        .commit(&proposal(1, "late", vec![workspace("w", 9)]))
        .await;
    let Ok(CommitOutcome::Conflict {
        head: newest,
        since,
    }) = late
    else {
        panic!("{late:?}");
    };
    assert_eq!(newest, head(2, "c2"));
    assert_eq!(since.len(), 1);
    assert_eq!(since[0].puts, [workspace("w", 2)]);
    assert_eq!(store.read_head().await, Ok(newest));
}

#[actix_rt::test]
async fn a_lost_response_is_resolved_by_the_change_id() {
    let table = FakeTable::new(1, Faults::default());
    let store = table.store();
    let lost = Faults {
        lost_after: 100,
        ..Faults::default()
    };
    let first = proposal(0, "c1", vec![workspace("w", 1)]);
    table.set_faults(lost);
    let accepted = Ok(CommitOutcome::Accepted(Revision(1)));
    assert_eq!(store.commit(&first).await, accepted);
    table.set_faults(Faults::default());
    fill(&store, 1, 3, "other").await;
    assert_eq!(
        table.store().commit(&first).await,
        accepted,
        "a retry after other changes"
    );
}

#[actix_rt::test]
async fn a_commit_that_was_never_sent_is_an_error_and_not_unknown() {
    let table = FakeTable::new(1, Faults::default());
    let store = table.store();
    let unreachable = Faults {
        not_sent: 100,
        ..Faults::default()
    };
    table.set_faults(unreachable);
    let commit = store.commit(&proposal(0, "c1", Vec::new())).await;
    let not_sent = PlatformError::NotSent("fake".to_owned());
    assert_eq!(commit, Err(StoreError::Platform(not_sent)));
}

#[actix_rt::test]
async fn a_store_that_was_rolled_back_is_reported_and_not_written() {
    let table = FakeTable::new(1, Faults::default());
    let store = table.store();
    fill(&store, 0, 2, "c").await;
    let backup = table.backup();
    fill(&store, 2, 5, "c").await;
    table.restore(&backup);
    let rolled_back = StoreError::RolledBack {
        seen: head(5, "c5"),
        found: head(2, "c2"),
    };
    assert_eq!(store.read_head().await, Err(rolled_back.clone()));
    assert_eq!(store.load(&table).await, Err(rolled_back.clone()));
    let commit = store.commit(&proposal(2, "d3", Vec::new())).await;
    assert_eq!(commit, Err(rolled_back));
}

#[actix_rt::test]
async fn another_change_with_a_known_revision_is_reported() {
    let table = FakeTable::new(1, Faults::default());
    let store = table.store();
    fill(&store, 0, 2, "c").await;
    let backup = table.backup();
    fill(&store, 2, 4, "c").await;
    table.restore(&backup);
    fill(&table.store(), 2, 6, "d").await;
    let known = head(4, "c4");
    let forked = StoreError::RolledBack {
        seen: known.clone(),
        found: head(4, "d4"),
    };
    assert_eq!(store.read_changes_after(&known).await, Err(forked));
    let follow = store.read_changes_after(&head(2, "c2")).await;
    assert_eq!(follow.expect("the common part").len(), 4);
    assert_eq!(
        store.read_changes_after(&head(6, "d6")).await,
        Ok(Vec::<Change>::new())
    );
}

#[actix_rt::test]
async fn a_restoration_gets_a_revision_above_those_of_the_hosts() {
    let table = FakeTable::new(1, Faults::default());
    let host = table.store();
    fill(&host, 0, 2, "c").await;
    let backup = table.backup();
    fill(&host, 2, 5, "c").await;
    table.restore(&backup);

    let restoration = Restoration {
        above: Revision(5),
        change_id: change_id("again"),
        author: "op".to_owned(),
        now_ms: 2,
        entries: vec![workspace("v", 7)],
    };
    let operator = table.store();
    let accepted = Ok(CommitOutcome::Accepted(Revision(7)));
    assert_eq!(operator.restore(&table, &restoration).await, accepted);
    assert_eq!(
        operator.restore(&table, &restoration).await,
        accepted,
        "a retry"
    );

    // A host that has the lost revisions in force must not fold the restoration into its catalogue:
    // it finds a gap and loads the snapshot.
    assert_eq!(host.read_head().await, Ok(head(7, "again")));
    let missing = Err(StoreError::Missing { after: Revision(4) });
    assert_eq!(host.read_changes_after(&head(5, "c5")).await, missing);
    let loaded = host.load(&table).await.expect("the snapshot");
    assert!(loaded.catalogue.entries().eq(&[workspace("v", 7)]));
    fill(&host, 7, 8, "c").await;
}

#[actix_rt::test]
async fn a_host_whose_revision_was_reused_loads_the_restoration() {
    let table = FakeTable::new(1, Faults::default());
    let host = table.store();
    fill(&host, 0, 2, "c").await;
    let backup = table.backup();
    fill(&host, 2, 4, "c").await;
    table.restore(&backup);
    fill(&table.store(), 2, 6, "d").await;
    let restoration = restoration(6, "again", vec![workspace("v", 7)]);
    let accepted = Ok(CommitOutcome::Accepted(Revision(8)));
    assert_eq!(table.store().restore(&table, &restoration).await, accepted);

    let missing = |after| {
        Err(StoreError::Missing {
            after: Revision(after),
        })
    };
    assert_eq!(host.read_head().await, Ok(head(8, "again")));
    assert_eq!(host.read_changes_after(&head(4, "c4")).await, missing(3));
    assert_eq!(host.read_changes(Revision(3)).await, missing(3));
    let kept = |key: &String| key.starts_with("catalogue/changes/");
    assert_eq!(table.keys().into_iter().filter(kept).count(), 1);
    let loaded = host.load(&table).await.expect("the snapshot");
    assert_eq!(loaded.head(), head(8, "again"));
    assert!(loaded.catalogue.entries().eq(&[workspace("v", 7)]));
}

#[actix_rt::test]
async fn a_restoration_reports_its_true_outcome_when_responses_are_lost() {
    for seed in 0..50 {
        let table = FakeTable::new(seed, Faults::default());
        fill(&table.store(), 0, 1, "c").await;
        table.set_faults(Faults {
            lost_after: 30,
            delayed: 30,
            ..Faults::default()
        });
        let restoration = Restoration {
            above: Revision(5),
            change_id: change_id("again"),
            author: "op".to_owned(),
            now_ms: 2,
            entries: Vec::new(),
        };
        let outcome = table.store().restore(&table, &restoration).await;
        table.set_faults(Faults::default());
        table.deliver_delayed();
        let revision = table.store().read_head().await.expect("a head").revision;
        match outcome {
            Ok(CommitOutcome::Accepted(accepted)) => assert_eq!(accepted, revision),
            Ok(CommitOutcome::Unknown(_)) => {}
            Err(_) => assert_eq!(revision, Revision(1)),
            Ok(CommitOutcome::Conflict { .. }) => panic!("nobody else writes"),
        }
    }
}

#[actix_rt::test]
async fn a_load_reads_a_snapshot_and_the_changes_after_it() {
    let table = FakeTable::new(1, Faults::default());
    let store = table.store();
    fill(&store, 0, 49, "c").await;
    store.maintain(&table).await.expect("too early");
    assert!(table.objects().is_empty());
    fill(&store, 49, 50, "c").await;
    store.maintain(&table).await.expect("a snapshot");
    assert_eq!(table.objects(), ["catalogue-snapshot-50-c50"]);
    fill(&store, 50, 60, "c").await;
    let loaded = table.store().load(&table).await.expect("a catalogue");
    assert_eq!(loaded.head(), head(60, "c60"));
    assert!(loaded.catalogue.entries().eq(&[workspace("w", 60)]));
}

#[actix_rt::test]
async fn changes_far_before_a_snapshot_are_trimmed_and_the_rest_stays_readable() {
    let table = FakeTable::new(1, Faults::default());
    let store = table.store();
    fill(&store, 0, 1100, "c").await;
    store.maintain(&table).await.expect("a snapshot and a trim");
    let changes = table
        .keys()
        .iter()
        .filter(|k| k.starts_with("catalogue/changes/"))
        .count();
    assert_eq!(changes, 1001);
    let missing = Err(StoreError::Missing {
        after: Revision(50),
    });
    assert_eq!(store.read_changes(Revision(50)).await, missing);
    assert_eq!(
        store.read_changes(Revision(99)).await.expect("kept").len(),
        1001
    );
    let loaded = table.store().load(&table).await.expect("a catalogue");
    assert_eq!(loaded.head(), head(1100, "c1100"));
}
