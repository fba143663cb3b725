//! Who asks a store that does not answer.

use std::time::Duration;

use dragonflyrill_fleet::store_access::{self, Access, Role, Told, Turns};
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("h{i}")).collect()
}

#[test]
fn a_store_is_away_after_some_failures_in_a_row() {
    let mut access = Access::default();
    access.failed(ms(1));
    access.failed(ms(2));
    access.answered(ms(2));
    access.failed(ms(3));
    access.failed(ms(4));
    assert!(!access.away(), "links lose single calls");
    access.failed(ms(5));
    assert!(access.away());
    access.answered(ms(6));
    assert!(!access.away());
    access.doubted(ms(7));
    assert!(access.away(), "until it has answered");
    access.answered(ms(8));
    assert!(!access.away());
}

/// A host that was turned away believed that the store was back, as a read that it had sent before was answered
/// then, and had the host that read in its place stop.
#[test]
fn an_answer_to_what_was_sent_before_a_failure_does_not_show_that_the_store_is_back() {
    let mut access = Access::default();
    let waits_for_news = ms(1);
    for failed_at in [10, 20, 30] {
        access.failed(ms(failed_at));
    }
    access.answered(waits_for_news);
    assert!(access.away());
    access.answered(ms(31));
    assert!(!access.away());
}

#[test]
fn a_host_that_is_told_fresh_news_without_the_list_reads_it() {
    let told = |list| {
        Some(Told {
            fresh: true,
            from_here: false,
            away: false,
            turn: false,
            list,
        })
    };
    assert_eq!(store_access::role(told(true), false), Role::IsTold);
    for goes_on in [false, true] {
        assert_eq!(store_access::role(told(false), goes_on), Role::Reads);
    }
}

#[test]
fn a_host_that_is_told_that_the_store_is_away_waits_for_its_turn() {
    let told = |fresh, from_here, turn| {
        Some(Told {
            fresh,
            from_here,
            away: !fresh,
            turn,
            list: true,
        })
    };
    let role = store_access::role;
    assert_eq!(role(None, false), Role::Reads, "it reaches nobody");
    assert_eq!(role(told(true, false, false), false), Role::IsTold);
    assert_eq!(role(told(true, false, false), true), Role::IsTold);
    assert_eq!(role(told(false, false, false), false), Role::Waits);
    assert_eq!(role(told(false, false, true), false), Role::Reads);
    assert_eq!(role(told(false, false, false), true), Role::Reads);
    // What the other one knows it has from here.
    assert_eq!(role(told(true, true, false), true), Role::Reads);
    assert_eq!(role(told(true, true, false), false), Role::Waits);
}

/// Turns that were given while news were still fresh were not taken: for 0.7 s nobody looked whether the store
/// answers another host.
#[test]
fn fresh_news_of_a_store_that_no_longer_answers_are_the_last() {
    let told = |turn| {
        Some(Told {
            fresh: true,
            from_here: false,
            away: true,
            turn,
            list: true,
        })
    };
    let role = store_access::role;
    assert_eq!(role(told(true), false), Role::Reads);
    assert_eq!(role(told(false), false), Role::Waits);
    assert_eq!(role(told(false), true), Role::Reads, "it has an answer");
}

/// A host that had its turn asked for news while its try was under way, or when the catalogue had been answered
/// and the list had not, and was told to wait: it left off, and the next one did the same.
#[test]
fn a_host_that_has_its_turn_goes_on_until_its_try_has_ended() {
    let mut access = Access::default();
    assert!(access.goes_on(), "the store has failed it in nothing");
    access.doubted(ms(1));
    assert!(!access.goes_on());
    access.given_turn(ms(2));
    assert!(access.away() && access.goes_on());
    access.failed(ms(3));
    assert!(!access.goes_on(), "its try has failed");
    access.given_turn(ms(4));
    access.answered(ms(5));
    assert!(!access.away() && access.goes_on(), "it has an answer");
}

/// Hosts ask in a random order every few ms; gives who had turns, and when.
fn turns(hosts: usize, asks: &[(usize, u64)]) -> Vec<(usize, Duration)> {
    let names = names(hosts);
    let mut turns = Turns::default();
    let mut now = Duration::ZERO;
    let mut given = Vec::new();
    for (host, pause) in asks {
        now += ms(*pause);
        let host = host % hosts;
        let others = names.iter().map(String::as_str);
        if turns.give(&names[host], others, now) {
            given.push((host, now));
        }
    }
    given
}

proptest! {
    /// However many hosts ask, and however often: the calls to the store don't grow with them.
    #[test]
    fn turns_are_as_few_for_many_hosts(
        hosts in 1..300_usize,
        asks in proptest::collection::vec((0..300_usize, 0..20_u64), 0..2000),
    ) {
        let given = turns(hosts, &asks);
        for (nth, pair) in given.windows(2).enumerate() {
            let least = if nth < 3 { ms(100) } else { ms(700) };
            prop_assert!(pair[1].1 - pair[0].1 >= least);
        }
    }

    /// A host whose calls would be answered is not kept from trying by others: no host has a turn
    /// twice before each other one that asks has had one.
    #[test]
    fn each_host_has_its_turn(
        hosts in 1..12_usize,
        asks in proptest::collection::vec((0..12_usize, 0..400_u64), 0..2000),
    ) {
        let given = turns(hosts, &asks);
        let mut had = vec![0; hosts];
        for (host, _) in given {
            had[host] += 1;
            let most = had.iter().max();
            let least = had.iter().min();
            prop_assert!(most <= least.map(|n| n + 1).as_ref(), "{had:?}");
        }
    }
}

/// A host used its catalogue for 0.06 s longer than a change may take: three of its data centre's four hosts were
/// cut off from the store together, and the one that was not had its turn last, 1.4 s after the first.
#[test]
fn the_one_host_of_four_that_is_not_cut_off_has_its_turn_soon() {
    let every_host_each_quarter_second = [(0, 62), (1, 63), (2, 62), (3, 63)].repeat(4);
    let given = turns(4, &every_host_each_quarter_second);
    let first = given[0].1;
    let mut soon: Vec<usize> = given
        .iter()
        .take_while(|(_, at)| *at <= first + ms(500))
        .map(|(host, _)| *host)
        .collect();
    soon.sort();
    assert_eq!(soon, [0, 1, 2, 3]);
}

#[test]
fn the_first_turn_comes_at_once_and_again_after_the_store_was_back() {
    let mut turns = Turns::default();
    let now = ms(5000);
    let others = || ["h1", "h2"].into_iter();
    assert!(turns.give("h1", others(), now));
    assert!(!turns.give("h2", others(), now));
    turns.over();
    assert!(turns.give("h1", others(), now));
}
