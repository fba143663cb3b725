//! Tests how the demand for a service is distributed over ranks.

use std::time::Duration;

use dragonflyrill_fleet::{
    admission::{Level, Rank, RankPosition},
    rank_demand::RankDemand,
};
use proptest::prelude::*;

const RANKS: [Rank; 4] = [rank(0, 0), rank(1, 0), rank(1, 1), rank(1, 2)];

const fn rank(priority: u8, route_priority: u8) -> Rank {
    Rank {
        priority,
        route_priority,
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Level of a first attempt of a workspace within its share.
fn level(demand: &RankDemand, rank: Rank) -> f64 {
    Level::of(demand.position(rank, &RANKS), 0.0, false).value()
}

/// Guards against the rank of one small workspace that takes half of the levels: at twice the load of 68 hosts the three
/// kinds of streams of all others had the levels 0.57, 0.75 and 0.93, and were served alike.
#[test]
fn a_rank_with_little_demand_takes_little_of_the_levels() {
    let mut demand = RankDemand::default();
    for n in 0..200 {
        let of_request = match n % 20 {
            0 => RANKS[0],
            1..=10 => RANKS[1],
            11..=16 => RANKS[2],
            _ => RANKS[3],
        };
        demand.record(of_request, ms(n * 20));
    }
    let levels = RANKS.map(|r| level(&demand, r));
    assert!(levels[1] < 0.2, "{levels:?}");
    assert!(levels[2] - levels[1] > 0.35, "{levels:?}");
    assert!(levels[3] - levels[2] > 0.2, "{levels:?}");
}

/// Guards against a host that has just started and sheds all ranks alike, and against a rank that is new in a catalogue.
#[test]
fn ranks_have_equal_parts_until_requests_were_counted() {
    let demand = RankDemand::default();
    let levels = RANKS.map(|r| level(&demand, r));
    for pair in levels.windows(2) {
        assert!((pair[1] - pair[0] - 0.25).abs() < 1e-9, "{levels:?}");
    }
}

/// Guards against a surge of one kind that is judged by the mix before it: 10 s after the surge began the others have
/// nearly all of the demand before theirs no more.
#[test]
fn the_demand_follows_a_surge_within_seconds() {
    let mut demand = RankDemand::default();
    (0..200).for_each(|n| demand.record(RANKS[1], ms(n * 50)));
    let before = level(&demand, RANKS[3]);
    (0..200).for_each(|n| demand.record(RANKS[3], ms(10_000 + n * 50)));
    assert!(before > 0.9, "{before}");
    let after = level(&demand, RANKS[3]);
    assert!(after < 0.4, "{after}");
}

#[test]
fn without_ranks_each_rank_is_the_only_one() {
    let mut demand = RankDemand::default();
    demand.record(RANKS[2], ms(0));
    assert_eq!(demand.position(RANKS[2], &[]), RankPosition::ONLY);
}

proptest! {
    /// Guards against a less urgent rank that is shed later, whatever the demand is, and against levels beyond 1.
    #[test]
    fn the_order_of_levels_is_that_of_ranks(
        requests in prop::collection::vec((0usize..4, 0u64..20_000), 0..100),
        excess in 0.0..=1.0f64,
    ) {
        let mut times: Vec<u64> = requests.iter().map(|(_, at)| *at).collect();
        times.sort_unstable();
        let mut demand = RankDemand::default();
        for ((n, _), at) in requests.iter().zip(times) {
            demand.record(RANKS[*n], ms(at));
        }
        let mut last = 0.0;
        for of_request in RANKS {
            let position = demand.position(of_request, &RANKS);
            let first = Level::of(position, 0.0, true).value();
            let end = Level::of(position, excess, false).value();
            prop_assert!(last <= first + 1e-9 && first <= end && end <= 1.0);
            last = end;
        }
    }
}
