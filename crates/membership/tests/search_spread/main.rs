//! An exhaustive search of the spread of the catalogue among 3 hosts in up to 3 data centres: all
//! orders of deliveries, losses, duplicated messages, cuts, restarts and rollbacks of the store, up
//! to a depth.

#[path = "../fleet/mod.rs"]
mod fleet;
mod world;

use std::cell::Cell;

use dragonflyrill_membership::spread::Budget;
use pathfinding::prelude::bfs;

use world::{Faults, HOSTS, Scenario, World};

fn search(name: &str, scenario: &Scenario, faults: Faults, depth: u8) {
    let states = Cell::new(0_u64);
    let start = World::new(scenario, faults);
    let found = bfs(
        &start,
        |world| {
            states.set(states.get() + 1);
            let steps = if world.depth < depth {
                world.steps()
            } else {
                Vec::new()
            };
            let next: Vec<World> = steps.into_iter().map(|s| world.after(s)).collect();
            next
        },
        |world| world.violation().is_some(),
    );
    println!("{name}: {} states expanded, depth {depth}", states.get());
    if let Some(path) = found {
        let end = path.last().unwrap();
        panic!(
            "{name}: {} after {} steps: {:?}",
            end.violation().unwrap(),
            path.len() - 1,
            end.history
        );
    }
}

/// The search depth; unoptimized builds search less deep.
const fn depth(optimized: u8, otherwise: u8) -> u8 {
    if cfg!(debug_assertions) {
        otherwise
    } else {
        optimized
    }
}

const FAULTS: Faults = Faults {
    commits: 2,
    losses: 1,
    duplicates: 1,
    cuts: 1,
    restarts: 1,
    roll_backs: 0,
    rounds: 2,
};

fn single_messages(data_centres: [usize; HOSTS]) -> Scenario {
    Scenario {
        data_centres,
        budget: Budget::default(),
        full_rounds: false,
    }
}

fn full_rounds(data_centres: [usize; HOSTS]) -> Scenario {
    Scenario {
        full_rounds: true,
        ..single_messages(data_centres)
    }
}

/// Every entry is sent as a separate part, and no change is sent by itself.
fn in_parts(data_centres: [usize; HOSTS]) -> Scenario {
    Scenario {
        budget: Budget {
            max_push_bytes: 0,
            max_log_changes: 1,
            target_part_bytes: 6,
            ..Budget::default()
        },
        ..full_rounds(data_centres)
    }
}

#[test]
fn single_messages_in_any_order_among_three_data_centres() {
    let scenario = single_messages([0, 1, 2]);
    search("single messages", &scenario, FAULTS, depth(6, 4));
}

#[test]
fn full_rounds_among_three_data_centres() {
    let faults = Faults {
        losses: 2,
        ..FAULTS
    };
    search(
        "three data centres",
        &full_rounds([0, 1, 2]),
        faults,
        depth(6, 4),
    );
}

#[test]
fn full_rounds_with_two_hosts_of_one_data_centre() {
    let faults = Faults {
        losses: 2,
        ..FAULTS
    };
    search(
        "two data centres",
        &full_rounds([0, 0, 1]),
        faults,
        depth(6, 4),
    );
}

#[test]
fn catalogues_in_parts_are_never_mixed_or_replaced_by_older_ones() {
    let faults = Faults {
        losses: 2,
        cuts: 0,
        ..FAULTS
    };
    search("in parts", &in_parts([0, 1, 2]), faults, depth(7, 5));
}

#[test]
fn no_host_follows_a_rolled_back_store() {
    let faults = Faults {
        commits: 3,
        losses: 1,
        cuts: 0,
        restarts: 0,
        roll_backs: 1,
        ..FAULTS
    };
    search("older store", &full_rounds([0, 1, 2]), faults, depth(9, 6));
}
