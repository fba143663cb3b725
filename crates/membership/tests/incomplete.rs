//! A host that receives only some parts of a catalogue, or changes after a gap, must not bring them
//! into force.

mod fleet;

use dragonflyrill_catalogue::{Entry, Revision, entry::WorkspaceEntry};
use dragonflyrill_membership::spread::{Action, Budget, Config, Spread};
use dragonflyrill_protocol::spread::{Message, Part};
use fleet::{data_centre, host, ms, store::Store};

fn spread() -> Spread {
    Spread::new(Config {
        me: host(0, 1),
        data_centre: data_centre(0),
        seed: 0,
        budget: Budget::default(),
    })
}

fn part(revision: u64, index: u32) -> Message {
    let entry = WorkspaceEntry {
        name: ["a", "b"][index as usize].try_into().unwrap(),
        weight: revision as u32,
    };
    Message::Part(Part {
        revision: Revision(revision),
        change_id: format!("change-{revision}"),
        index,
        parts: 2,
        entries: vec![Entry::Workspace(entry)],
    })
}

#[test]
fn parts_of_two_revisions_are_not_mixed() {
    let mut host_0 = spread();
    let mut receive = |message| {
        host_0.receive(ms(0), &host(1, 1), message, &mut Vec::new());
        host_0.catalogue().clone()
    };
    receive(part(5, 0));
    assert_eq!(receive(part(6, 1)).revision(), Revision(0));
    let complete = receive(part(6, 0));
    assert_eq!(complete.revision(), Revision(6));
    let of_6 = |e: &Entry| matches!(e, Entry::Workspace(w) if w.weight == 6);
    assert!(complete.entries().all(of_6));
}

#[test]
fn changes_after_a_gap_are_not_brought_in_force() {
    let mut host_0 = spread();
    let mut store = Store::default();
    for _ in 0..3 {
        store.commit();
    }
    let changes = Message::Changes(vec![store.changes[2].clone()]);
    let mut actions = Vec::new();
    host_0.receive(ms(0), &host(1, 1), changes, &mut actions);
    assert_eq!(host_0.catalogue().revision(), Revision(0));
    let in_force = |a: &Action| matches!(a, Action::InForce(_));
    assert!(!actions.iter().any(in_force));
}
