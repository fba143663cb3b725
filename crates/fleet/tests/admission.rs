//! Tests which new streams are admitted while engines are short of memory.

use std::time::Duration;

use dragonflyrill_fleet::{
    admission::{
        AdmissionConfig, AdmissionConfigError, Level, Rank, RankPosition, RawAdmissionConfig,
        ServiceLoad, Verdict,
    },
    rank_demand::RankDemand,
};
use proptest::prelude::*;

const RAW: RawAdmissionConfig = RawAdmissionConfig {
    ceiling: 1.2,
    last_level_ceiling: 1.0,
    floor: 0.3,
};
const PRIORITIES: [u8; 3] = [0, 1, 2];
/// Number of draws that are spread evenly over 0..1.
const DRAWS: u32 = 1000;

fn config(raw: RawAdmissionConfig) -> AdmissionConfig {
    AdmissionConfig::try_from(raw).expect("valid thresholds")
}

/// Twice as many streams as 300 running ones of 3 s can be replaced by.
fn load(memory_fill: f64) -> ServiceLoad {
    ServiceLoad {
        memory_fill,
        running: 300.0,
        offered_per_s: 200.0,
        answer: Duration::from_secs(3),
    }
}

fn admits(cfg: &AdmissionConfig, level: Level, fill: f64, draw: f64) -> bool {
    cfg.decide(level, &load(fill), draw) == Verdict::Admit
}

/// Fraction of draws for which a request is admitted.
fn admitted_fraction(cfg: &AdmissionConfig, level: Level, fill: f64) -> f64 {
    let draws = (0..DRAWS).map(|n| f64::from(n) / f64::from(DRAWS));
    let admitted = draws.filter(|draw| admits(cfg, level, fill, *draw)).count();
    admitted as f64 / f64::from(DRAWS)
}

/// The rank of a request of a workspace without a priority of its own.
fn rank(priority: u8) -> Rank {
    Rank {
        priority,
        route_priority: priority,
    }
}

fn position(priority: u8, priorities: &[u8]) -> RankPosition {
    let ranks: Vec<Rank> = priorities.iter().copied().map(rank).collect();
    RankDemand::default().position(rank(priority), &ranks)
}

/// Level of a first attempt of a workspace within its share.
fn first_attempt(priority: u8) -> Level {
    Level::of(position(priority, &PRIORITIES), 0.0, false)
}

fn error(raw: RawAdmissionConfig) -> Option<AdmissionConfigError> {
    AdmissionConfig::try_from(raw).err()
}

/// Guards against thresholds that shed while chains have room, or that a comparison with a value
/// that is not a number lets through.
#[test]
fn thresholds_that_shed_while_chains_have_room_are_refused() {
    for last_level_ceiling in [0.99, 0.0, -1.0, f64::NAN] {
        let raw = RawAdmissionConfig {
            last_level_ceiling,
            ..RAW
        };
        assert_eq!(error(raw), Some(AdmissionConfigError::ShedsWithRoom));
    }
}

/// Guards against an order of shedding that is the reverse of the levels.
#[test]
fn a_ceiling_below_that_of_the_last_level_is_refused() {
    for ceiling in [0.99, f64::NAN] {
        let raw = RawAdmissionConfig { ceiling, ..RAW };
        assert_eq!(
            error(raw),
            Some(AdmissionConfigError::CeilingBelowLastLevel)
        );
    }
    let equal = RawAdmissionConfig {
        ceiling: 1.0,
        ..RAW
    };
    assert_eq!(error(equal), None);
}

#[test]
fn a_floor_that_is_no_fraction_is_refused() {
    for floor in [-0.01, 1.01, f64::NAN] {
        let raw = RawAdmissionConfig { floor, ..RAW };
        assert_eq!(error(raw), Some(AdmissionConfigError::FloorOutOfRange));
    }
    for floor in [0.0, 1.0] {
        assert_eq!(error(RawAdmissionConfig { floor, ..RAW }), None);
    }
}

/// Guards against an order of shedding that is not the order of urgency.
#[test]
fn the_last_rank_is_shed_first_and_each_keeps_the_floor() {
    let cfg = config(RAW);
    for fill in [1.06, 1.14, 1.19, 1.3] {
        let admitted = PRIORITIES.map(|p| admitted_fraction(&cfg, first_attempt(p), fill));
        assert!(admitted.is_sorted_by(|a, b| a >= b), "{fill}: {admitted:?}");
        assert!(admitted[2] < admitted[0], "{fill}: {admitted:?}");
        let floor = RAW.floor * admitted[0] - 1.0 / f64::from(DRAWS);
        assert!(admitted[2] >= floor, "{fill}: {admitted:?}");
    }
    assert_eq!(
        PRIORITIES.map(|p| admitted_fraction(&cfg, first_attempt(p), 1.0)),
        [1.0; 3]
    );
}

/// Guards against a stream that is refused for good because it exceeds the planned memory by itself.
#[test]
fn a_large_stream_is_admitted_where_nothing_runs() {
    let idle = ServiceLoad {
        running: 0.0,
        ..load(1.5)
    };
    let last = Level::of(position(2, &PRIORITIES), 1.0, false);
    assert_eq!(config(RAW).decide(last, &idle, 0.99), Verdict::Admit);
}

/// Guards against hosts that see the same old loads and all fill the same room: at the target fill
/// only as much is admitted as ends meanwhile, whatever is offered.
#[test]
fn at_the_target_as_much_is_admitted_as_ends() {
    let cfg = config(RAW);
    let returning = Level::of(RankPosition::ONLY, 0.0, true);
    for times in [2.0, 3.0, 4.0] {
        let offered = ServiceLoad {
            offered_per_s: 100.0 * times,
            ..load(RAW.ceiling)
        };
        let draws = (0..DRAWS).map(|n| f64::from(n) / f64::from(DRAWS));
        let admitted =
            draws.filter(|draw| cfg.decide(returning, &offered, *draw) == Verdict::Admit);
        let fraction = admitted.count() as f64 / f64::from(DRAWS);
        assert!(
            (fraction - 1.0 / times).abs() <= 1.0 / f64::from(DRAWS),
            "{times}: {fraction}"
        );
    }
}

/// Guards against levels that treat requests of one rank and of workspaces within their shares
/// differently from each other, whatever number the rank has.
#[test]
fn requests_of_the_only_rank_differ_only_in_whether_they_return() {
    let cfg = config(RAW);
    for priority in [0, 1, 9] {
        assert_eq!(position(priority, &[priority]), RankPosition::ONLY);
    }
    let returning = Level::of(RankPosition::ONLY, 0.0, true);
    let first = Level::of(RankPosition::ONLY, 0.0, false);
    assert!(first > returning);
    for fill in [1.1, 1.2] {
        let admitted = [returning, first].map(|level| admitted_fraction(&cfg, level, fill));
        assert!(admitted[0] > admitted[1], "{fill}: {admitted:?}");
        assert!(admitted[1] > 0.0, "{fill}: {admitted:?}");
    }
}

/// Guards against a priority that no route has, for example of a workspace that a newer catalogue
/// lists, whose requests take precedence over those of a more urgent rank.
#[test]
fn a_priority_that_is_not_listed_takes_the_next_less_urgent_position() {
    let listed = [1, 4, 7];
    let positions = |priorities: [u8; 3]| priorities.map(|p| position(p, &listed));
    assert_eq!(positions([0, 2, 5]), positions([1, 4, 7]));
    assert_eq!(positions([8, 9, 255]), positions([7, 7, 7]));
    let levels = [1, 4, 7].map(|p| Level::of(position(p, &listed), 0.0, true));
    assert!(levels[0] < levels[1] && levels[1] < levels[2], "{levels:?}");
    assert_eq!(position(3, &[]), RankPosition::ONLY);
}

/// Guards against a route's priority that goes before that of the workspace, and against kinds of
/// streams that are treated alike because their workspace has a priority.
#[test]
fn the_workspaces_priority_goes_before_that_of_the_route() {
    let rank = |priority, route_priority| Rank {
        priority,
        route_priority,
    };
    let ascending = [rank(0, 1), rank(0, 2), rank(1, 0), rank(1, 1)];
    let levels =
        ascending.map(|r| Level::of(RankDemand::default().position(r, &ascending), 1.0, false));
    assert!(levels.is_sorted_by(|a, b| a < b), "{levels:?}");
}

fn any_config() -> impl Strategy<Value = RawAdmissionConfig> {
    let raw = |(last_level_ceiling, range, floor)| RawAdmissionConfig {
        ceiling: last_level_ceiling + range,
        last_level_ceiling,
        floor,
    };
    (1.0..2.0f64, 0.0..1.0f64, 0.0..=1.0f64).prop_map(raw)
}

/// Number of more urgent ranks, excess, and whether the request returns when told.
fn any_request() -> impl Strategy<Value = (u8, f64, bool)> {
    (0u8..5, -0.5..1.5f64, any::<bool>())
}

fn level((priority, excess, returning): (u8, f64, bool)) -> Level {
    Level::of(position(priority, &[0, 1, 2, 3, 4]), excess, returning)
}

proptest! {
    /// Guards against a request that is refused although one that is worse in one respect is
    /// admitted: a fuller chain, a later level or a higher draw.
    #[test]
    fn the_decision_is_monotone(
        raw in any_config(),
        requests in (any_request(), any_request()),
        fills in (0.0..3.0f64, 0.0..3.0f64),
        draws in (0.0..1.0f64, 0.0..1.0f64),
    ) {
        let cfg = config(raw);
        let levels = [level(requests.0), level(requests.1)];
        let earlier = if levels[0] <= levels[1] { levels[0] } else { levels[1] };
        let later = if levels[0] <= levels[1] { levels[1] } else { levels[0] };
        let worst_admitted = admits(&cfg, later, fills.0.max(fills.1), draws.0.max(draws.1));
        let best_admitted = admits(&cfg, earlier, fills.0.min(fills.1), draws.0.min(draws.1));
        prop_assert!(best_admitted || !worst_admitted);
        let [fill, draw] = [fills.0, draws.0];
        prop_assert!(admits(&cfg, earlier, fill, draw) || !admits(&cfg, later, fill, draw));
        let (less, more) = (fills.0.min(fills.1), fills.0.max(fills.1));
        prop_assert!(admits(&cfg, later, less, draw) || !admits(&cfg, later, more, draw));
        let (less, more) = (draws.0.min(draws.1), draws.0.max(draws.1));
        prop_assert!(admits(&cfg, later, fill, less) || !admits(&cfg, later, fill, more));
    }

    /// Guards against refusals while chains have room, and against chains filled beyond the ceiling:
    /// there no more is admitted than ends meanwhile, half of what is offered.
    #[test]
    fn everything_is_admitted_below_the_last_levels_ceiling_and_no_more_than_ends_above_the_ceiling(
        raw in any_config(),
        request in any_request(),
        fraction in 0.0..(1.0 - 1e-9),
        beyond in 1e-9..10.0f64,
        draw in 0.0..1.0f64,
    ) {
        let cfg = config(raw);
        let level = level(request);
        prop_assert!(admits(&cfg, level, raw.last_level_ceiling * fraction, draw));
        let ending = 0.5;
        prop_assert!(!admits(&cfg, level, raw.ceiling + beyond, draw.max(ending)));
    }

    /// Guards against a kind of requests that is not served at all during a surge.
    #[test]
    fn each_level_keeps_the_floor(
        raw in any_config(),
        request in any_request(),
        fraction in 0.0..=2.0f64,
    ) {
        let cfg = config(raw);
        let fill = raw.ceiling * fraction;
        let first = Level::of(RankPosition::ONLY, 0.0, true);
        let admitted = admitted_fraction(&cfg, level(request), fill);
        let floor = raw.floor * admitted_fraction(&cfg, first, fill);
        prop_assert!(admitted >= floor - 1.0 / f64::from(DRAWS), "{admitted} {floor}");
    }

    /// Guards against a workspace that is far over its share and whose urgent requests are served
    /// after less urgent ones, and against levels outside of 0 to 1, whose thresholds would be
    /// outside of the configured ones.
    #[test]
    fn the_rank_precedes_excess_and_return(
        requests in (any_request(), any_request()),
    ) {
        let (a, b) = requests;
        prop_assert!((0.0..=1.0).contains(&level(a).value()));
        if a.0 < b.0 {
            prop_assert!(level(a) <= level(b));
        }
    }

    /// Guards against a workspace that gains by exceeding its share, and against a caller that gains
    /// by not returning when told.
    #[test]
    fn within_a_rank_excess_and_early_returns_are_shed_first(
        priority in 0u8..5,
        excesses in (0.0..=1.0f64, 0.0..=1.0f64),
    ) {
        let (less, more) = (excesses.0.min(excesses.1), excesses.0.max(excesses.1));
        for returning in [false, true] {
            prop_assert!(level((priority, less, returning)) <= level((priority, more, returning)));
        }
        prop_assert!(level((priority, less, true)) <= level((priority, less, false)));
    }
}
