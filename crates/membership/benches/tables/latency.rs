//! Time from the acceptance of a change until it is in force on every host.

use std::time::Duration;

use crate::{
    fleet::{Fleet, ms},
    tables,
};

const SPACING: Duration = ms(4_000);

/// The fault during which changes are made.
#[derive(Clone, Copy)]
enum Fault {
    None,
    HostKilled,
    PlatformCut,
    StoreSlow,
    Loss,
}

/// Prints the table for 8 hosts in 3 data centres.
pub(crate) fn print_small() {
    print(3, 8, 200);
}

/// Prints the table for 360 hosts in 25 data centres. It makes fewer single changes, as each
/// simulates 4 s of 360 hosts.
pub(crate) fn print_large() {
    print(25, 360, 50);
}

fn print(data_centres: usize, hosts: usize, steady: usize) {
    println!("\n## Accepted to in force on every host that is up, ms\n");
    println!("| hosts | changes | fault | p50 | p99 | worst | reverts |");
    println!("|---|---|---|---|---|---|---|");
    let faults = [
        ("none", Fault::None),
        (
            "a polling host killed 100 ms after a change",
            Fault::HostKilled,
        ),
        ("a data centre cut from the platform", Fault::PlatformCut),
        ("store answers after 2 s", Fault::StoreSlow),
        ("1 in 10 messages lost", Fault::Loss),
    ];
    for (name, fault) in faults {
        let outcome = run(
            data_centres,
            hosts,
            fault,
            Load {
                changes: steady,
                burst: 1,
            },
        );
        row(hosts, &format!("{steady} at 0.25/s"), name, outcome);
        let outcome = run(
            data_centres,
            hosts,
            fault,
            Load {
                changes: 200,
                burst: 50,
            },
        );
        row(hosts, "4 bursts of 50", name, outcome);
    }
}

/// The changes of one run.
#[derive(Clone, Copy)]
struct Load {
    changes: usize,
    /// How many changes are made at once.
    burst: usize,
}

/// Makes the changes under the fault. Returns the delays of all changes, sorted, and the number of
/// times that a revision decreased on a host.
fn run(dcs: usize, hosts: usize, fault: Fault, load: Load) -> Outcome {
    let burst = load.burst;
    let mut fleet = tables::fleet(dcs, hosts);
    fleet.run(ms(8_000));
    match fault {
        Fault::PlatformCut => drop(fleet.platform_cut.insert(1)),
        Fault::StoreSlow => fleet.store_delay = ms(2_000),
        Fault::Loss => fleet.loss = 0.1,
        Fault::None | Fault::HostKilled => {}
    }
    let mut delays = Vec::new();
    for n in 0..load.changes / burst {
        let accepted = fleet.now;
        let first = fleet.store.head().revision.0 + 1;
        for _ in 0..burst {
            fleet.store.commit();
        }
        let kill = matches!(fault, Fault::HostKilled) && (n % 10 == 0 || burst > 1);
        let killed = kill.then(|| poller(&fleet, n));
        if let Some(killed) = killed {
            fleet.run(accepted + ms(100));
            fleet.kill(killed);
        }
        // Shifted against the interval of the polls, so that changes don't stay in phase with them.
        fleet.run(accepted + SPACING + ms(37));
        for revision in first..first + burst as u64 {
            delays.push(in_force_everywhere(&fleet, revision) - accepted);
        }
        if let Some(killed) = killed {
            fleet.restart(killed);
            fleet.run_for(ms(6_000));
        }
    }
    delays.sort_unstable();
    Outcome {
        delays,
        reverts: reverts(&fleet),
    }
}

struct Outcome {
    delays: Vec<Duration>,
    reverts: usize,
}

/// A host that polls the platform, in a data centre selected by `n`.
fn poller(fleet: &Fleet, n: usize) -> usize {
    let dcs = fleet.nodes.iter().map(|n| n.data_centre).max().unwrap_or(0) + 1;
    let polls = |(_, node): &(usize, &crate::fleet::Node)| {
        node.up && node.data_centre == n % dcs && node.spread.is_poller()
    };
    let mut nodes = fleet.nodes.iter().enumerate();
    nodes.find(polls).map_or(0, |(i, _)| i)
}

/// When `revision` or a newer one had come into force on all hosts that are up; half of
/// [`Duration::MAX`] if it never did.
fn in_force_everywhere(fleet: &Fleet, revision: u64) -> Duration {
    let up = fleet.nodes.iter().filter(|n| n.up);
    let reached = up.map(|node| {
        let at = node.in_force.iter().find(|(_, r)| r.0 >= revision);
        at.map_or(Duration::MAX / 2, |(at, _)| *at)
    });
    reached.max().unwrap_or_default()
}

fn reverts(fleet: &Fleet) -> usize {
    let decreases =
        |n: &crate::fleet::Node| n.in_force.windows(2).filter(|w| w[0].1 >= w[1].1).count();
    fleet.nodes.iter().map(decreases).sum()
}

fn row(hosts: usize, changes: &str, fault: &str, outcome: Outcome) {
    let delays = &outcome.delays;
    let at = |q: f64| {
        let i = ((delays.len() as f64 * q).ceil() as usize).clamp(1, delays.len());
        let delay = delays[i - 1];
        if delay > Duration::from_secs(3600) {
            "never".to_owned()
        } else {
            format!("{:.0}", delay.as_secs_f64() * 1000.0)
        }
    };
    let (p50, p99, worst) = (at(0.5), at(0.99), at(1.0));
    let reverts = outcome.reverts;
    println!("| {hosts} | {changes} | {fault} | {p50} | {p99} | {worst} | {reverts} |");
}
