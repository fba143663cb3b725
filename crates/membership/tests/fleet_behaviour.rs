//! Convergence of a fleet under faults, on a virtual clock.

mod fleet;

use dragonflyrill_catalogue::Revision;
use dragonflyrill_membership::spread::Alarm;
use dragonflyrill_protocol::membership::State;

use fleet::{Fleet, host_id, ms};

/// A fleet of 3 data centres that has converged.
fn settled(hosts: usize) -> Fleet {
    let mut fleet = Fleet::new(3, hosts, 7);
    fleet.run(ms(6_000));
    assert_eq!(fleet.disagreements(), []);
    fleet
}

fn revisions(fleet: &Fleet) -> Vec<u64> {
    let nodes = fleet.nodes.iter().filter(|n| n.up);
    nodes.map(|n| n.spread.catalogue().revision().0).collect()
}

#[test]
fn hosts_that_start_together_all_see_each_other() {
    settled(12);
}

#[test]
fn a_killed_host_is_suspected_in_its_data_centre_within_two_seconds_and_then_dead() {
    let mut fleet = settled(12);
    fleet.kill(4);
    fleet.run_for(ms(2_000));
    let state_seen = |fleet: &Fleet, n: usize| {
        let mut alive = fleet.nodes[n].members.view();
        alive.find(|m| m.host.id == host_id(4)).map(|m| m.state)
    };
    for n in [1, 7, 10] {
        assert_ne!(state_seen(&fleet, n), Some(State::Alive));
    }
    fleet.run_for(ms(4_000));
    for n in 0..12 {
        assert!(n == 4 || state_seen(&fleet, n).is_none(), "seen by {n}");
    }
}

#[test]
fn a_paused_host_is_suspected_and_recovers_by_itself() {
    for pause in [1_500, 4_000, 20_000] {
        let mut fleet = settled(12);
        fleet.nodes[4].paused_until = fleet.now + ms(pause);
        fleet.run_for(ms(pause - 100));
        assert!(!fleet.disagreements().is_empty());
        fleet.run_for(ms(5_000));
        assert_eq!(fleet.disagreements(), [], "after a pause of {pause} ms");
    }
}

#[test]
fn an_unreachable_data_centre_is_suspected_until_it_is_reachable_again() {
    let mut fleet = settled(12);
    fleet.cut.extend([(0, 1), (1, 2)]);
    fleet.run_for(ms(4_500));
    let disagreements = fleet.disagreements();
    assert!(
        (0..12)
            .filter(|n| n % 3 != 1)
            .all(|n| disagreements.contains(&(n, 1)))
    );
    fleet.cut.clear();
    fleet.run_for(ms(4_000));
    assert_eq!(fleet.disagreements(), []);
}

#[test]
fn a_restarted_host_replaces_its_former_incarnation_everywhere() {
    let mut fleet = settled(12);
    fleet.restart(5);
    fleet.run_for(ms(4_000));
    assert_eq!(fleet.disagreements(), []);
}

#[test]
fn a_host_that_shuts_down_is_removed_from_all_views_at_once() {
    let mut fleet = settled(12);
    fleet.announce_shutdown(3);
    fleet.run_for(ms(200));
    for n in (0..12).filter(|n| *n != 3) {
        let mut alive = fleet.nodes[n].members.view();
        assert!(alive.all(|m| m.host.id != host_id(3)), "seen by {n}");
    }
}

#[test]
fn an_unlisted_host_is_alive_if_it_sends_messages() {
    let mut fleet = settled(12);
    for n in 0..12 {
        fleet.nodes[n].members.update_list(fleet.now, &[]);
    }
    fleet.run_for(ms(10_000));
    assert_eq!(fleet.disagreements(), []);
}

#[test]
fn a_change_reaches_all_hosts_within_a_second() {
    let mut fleet = settled(12);
    fleet.store.commit();
    fleet.run_for(ms(1_000));
    assert_eq!(revisions(&fleet), [1; 12]);
}

#[test]
fn a_data_centre_that_lost_the_platform_gets_changes_from_the_others() {
    let mut fleet = settled(12);
    fleet.platform_cut.insert(1);
    fleet.store.commit();
    fleet.run_for(ms(1_000));
    assert_eq!(revisions(&fleet), [1; 12]);
}

#[test]
fn digests_repair_the_loss_of_messages() {
    let mut fleet = settled(12);
    fleet.loss = 0.5;
    fleet.store.commit();
    fleet.run_for(ms(5_000));
    assert_eq!(revisions(&fleet), [1; 12]);
}

#[test]
fn a_host_that_starts_without_the_platform_gets_the_catalogue_from_others() {
    let mut fleet = settled(12);
    for _ in 0..1500 {
        fleet.store.commit();
    }
    fleet.run_for(ms(2_000));
    fleet.store.unavailable = true;
    fleet.restart(2);
    fleet.run_for(ms(2_000));
    assert_eq!(revisions(&fleet), [1500; 12]);
    let (a, b) = (&fleet.nodes[2].spread, &fleet.nodes[3].spread);
    assert_eq!(a.catalogue(), b.catalogue());
}

#[test]
fn a_rolled_back_store_raises_an_alarm_and_is_not_followed() {
    let mut fleet = settled(12);
    for _ in 0..5 {
        fleet.store.commit();
    }
    fleet.run_for(ms(1_000));
    fleet.store.roll_back(3);
    fleet.run_for(ms(2_000));
    let reports_older = |n: &fleet::Node| {
        let wanted = Alarm::StoreOlder {
            in_force: Revision(5),
            found: Revision(3),
        };
        n.alarms.contains(&wanted)
    };
    assert!(fleet.nodes.iter().any(reports_older));
    for _ in 0..4 {
        fleet.store.commit();
    }
    fleet.run_for(ms(2_000));
    let reports_forked = |n: &fleet::Node| {
        let in_force = Revision(5);
        n.alarms.contains(&Alarm::StoreForked { in_force })
    };
    assert!(fleet.nodes.iter().any(reports_forked));
    assert_eq!(revisions(&fleet), [5; 12]);
}

#[test]
fn a_host_that_starts_after_the_store_was_rolled_back_follows_its_peers() {
    let mut fleet = settled(12);
    for _ in 0..5 {
        fleet.store.commit();
    }
    fleet.run_for(ms(1_000));
    fleet.store.roll_back(3);
    fleet.store.commit();
    fleet.restart(6);
    fleet.run_for(ms(4_000));
    assert_eq!(revisions(&fleet), [5; 12]);
    let (a, b) = (&fleet.nodes[6].spread, &fleet.nodes[7].spread);
    assert_eq!(a.catalogue(), b.catalogue());
}
