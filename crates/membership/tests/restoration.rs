//! A host that found the store older or forked raises an alarm and ignores the store. It must apply
//! the newer catalogue with which an operator restores the store, and no older one.

use std::time::Duration;

use dragonflyrill_catalogue::{Catalogue, Change, DataCentre, Name, Revision};
use dragonflyrill_membership::spread::{Action, Alarm, Budget, Config, Spread, StoreRead};
use dragonflyrill_protocol::{HostId, HostRef};
use dragonflyrill_store::catalogue_store::{Head, LoadedCatalogue};

const NOW: Duration = Duration::from_secs(60);

fn host_at_revision_5() -> Spread {
    let id = HostId(Name::try_from("h").expect("a name"));
    let mut spread = Spread::new(Config {
        me: HostRef { id, incarnation: 1 },
        data_centre: DataCentre::try_from("dc").expect("a name"),
        seed: 1,
        budget: Budget::default(),
    });
    let changes = (1..=5).map(|r| change(r, &format!("c{r}"))).collect();
    spread.receive_store_read(NOW, StoreRead::Changes(changes), &mut Vec::new());
    assert_eq!(spread.catalogue().revision(), Revision(5));
    spread
}

fn change(revision: u64, id: &str) -> Change {
    Change {
        revision: Revision(revision),
        change_id: id.to_owned(),
        author: "test".into(),
        accepted_ms: 0,
        puts: Vec::new(),
        deletes: Vec::new(),
    }
}

fn head(revision: u64, id: &str) -> Head {
    let mut head = Head {
        revision: Revision(revision),
        ..Head::default()
    };
    head.change_id = change(revision, id).change_id;
    head
}

fn restored(revision: u64) -> StoreRead {
    StoreRead::Loaded(LoadedCatalogue {
        catalogue: Catalogue::from_entries(Revision(revision), []),
        change_id: "restored".into(),
    })
}

fn alarms(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Alarm(_)))
        .count()
}

#[test]
fn host_that_saw_an_older_store_applies_the_restoration() {
    let mut spread = host_at_revision_5();
    let mut actions = Vec::new();
    spread.receive_store_head(NOW, &head(3, "c3"), &mut actions);
    assert_eq!(alarms(&actions), 1);
    spread.receive_store_read(NOW, restored(7), &mut Vec::new());
    assert_eq!(spread.catalogue().revision(), Revision(7));
}

#[test]
fn host_that_saw_a_forked_store_applies_the_restoration() {
    let mut spread = host_at_revision_5();
    let mut actions = Vec::new();
    spread.receive_store_head(NOW, &head(5, "other"), &mut actions);
    let forked = |a: &Action| matches!(a, Action::Alarm(Alarm::StoreForked { .. }));
    assert!(actions.iter().any(forked), "{actions:?}");
    spread.receive_store_read(NOW, restored(8), &mut Vec::new());
    assert_eq!(spread.catalogue().revision(), Revision(8));
}

#[test]
fn older_restoration_is_not_applied() {
    let mut spread = host_at_revision_5();
    spread.receive_store_head(NOW, &head(3, "c3"), &mut Vec::new());
    spread.receive_store_read(NOW, restored(4), &mut Vec::new());
    assert_eq!(spread.catalogue().revision(), Revision(5));
}
