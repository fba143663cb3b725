//! Under random faults of a fleet, no host's catalogue revision decreases, and all hosts agree once
//! the faults have ended.

mod fleet;

use fleet::{Fleet, ms};
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Fault {
    Commit,
    Kill(usize),
    Restart(usize),
    Pause(usize, u64),
    Cut(usize, usize),
    PlatformCut(usize),
    Heal,
    StoreUnavailable(bool),
    RollBack,
    Loss(u8),
}

const HOSTS: usize = 7;

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::Commit),
        1 => (0..HOSTS).prop_map(Fault::Kill),
        1 => (0..HOSTS).prop_map(Fault::Restart),
        1 => (0..HOSTS, 100_u64..8_000).prop_map(|(n, time)| Fault::Pause(n, time)),
        1 => (0..3_usize, 0..3_usize).prop_map(|(a, b)| Fault::Cut(a.min(b), a.max(b))),
        1 => (0..3_usize).prop_map(Fault::PlatformCut),
        1 => Just(Fault::Heal),
        1 => any::<bool>().prop_map(Fault::StoreUnavailable),
        1 => Just(Fault::RollBack),
        1 => (0..60_u8).prop_map(Fault::Loss),
    ]
}

fn apply(fleet: &mut Fleet, fault: &Fault, rolled_back: &mut bool) {
    match *fault {
        // A store that was rolled back accepts no changes until it is brought forward again.
        Fault::Commit if *rolled_back => {}
        Fault::Commit => drop(fleet.store.commit()),
        Fault::Kill(n) => fleet.kill(n),
        Fault::Restart(n) => fleet.restart(n),
        Fault::Pause(n, time) => fleet.nodes[n].paused_until = fleet.now + ms(time),
        Fault::Cut(a, b) => drop(fleet.cut.insert((a, b))),
        Fault::PlatformCut(dc) => drop(fleet.platform_cut.insert(dc)),
        Fault::Heal => heal(fleet),
        Fault::StoreUnavailable(unavailable) => fleet.store.unavailable = unavailable,
        Fault::RollBack => {
            let remaining = fleet.store.changes.len() / 2;
            fleet.store.roll_back(remaining);
            *rolled_back = true;
        }
        Fault::Loss(percent) => {
            fleet.loss = f64::from(percent) / 100.0;
            fleet.duplication = 0.2;
        }
    }
}

fn heal(fleet: &mut Fleet) {
    fleet.cut.clear();
    fleet.platform_cut.clear();
    fleet.store.unavailable = false;
    fleet.loss = 0.0;
}

fn revisions_only_increase(fleet: &Fleet) -> bool {
    let forward = |n: &fleet::Node| n.in_force.windows(2).all(|w| w[0].1 < w[1].1);
    fleet.nodes.iter().all(forward)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn after_any_faults_all_hosts_agree_on_the_catalogue_and_the_members(
        seed: u64,
        faults in prop::collection::vec((fault(), 0_u64..3_000), 1..24),
    ) {
        let mut fleet = Fleet::new(3, HOSTS, seed);
        fleet.run(ms(3_000));
        let mut rolled_back = false;
        for (fault, wait) in &faults {
            apply(&mut fleet, fault, &mut rolled_back);
            fleet.run_for(ms(*wait));
            prop_assert!(revisions_only_increase(&fleet));
        }
        heal(&mut fleet);
        let longest_pause = ms(8_000);
        fleet.run_for(longest_pause + ms(8_000));
        prop_assert!(revisions_only_increase(&fleet));
        prop_assert_eq!(fleet.disagreements(), vec![]);
        let newest = fleet.newest().max(fleet.store.head().revision);
        let up: Vec<_> = fleet.nodes.iter().filter(|n| n.up).collect();
        for node in &up {
            prop_assert_eq!(node.spread.catalogue().revision(), newest);
            prop_assert_eq!(node.spread.catalogue(), up[0].spread.catalogue());
        }
    }
}
