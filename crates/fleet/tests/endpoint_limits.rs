//! Limits that endpoints set for all hosts together.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use dragonflyrill_fleet::endpoint_limits::{
    EndpointLimits, LimitChange, LimitReport, POOLED_SHARE_TTL, PooledShares, RequestRate,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// How often a host polls the first one of its data centre.
const POLL_PERIOD_MS: u64 = 250;
const TICK_MS: u64 = 10;
/// Length of the windows in which requests are counted.
const WINDOW_MS: u64 = 4000;
const ENDPOINT: &str = "i-1";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::try_from(per_s).expect("a rate")
}

/// Maximum number of requests that an endpoint may get in a window.
fn max_requests_per_window(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW_MS as f64 / 1000.0 + 5.0) as usize
}

/// A fault during the simulation.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    /// From this time on, in ms, the first host of each data centre is unreachable for the others, which poll
    /// the second.
    FirstHostUnreachable(u64),
    /// The same, but between each data centre's first host and half of its other hosts.
    HalfUnreachable(u64),
    /// At this time, in ms, all processes restart, and know the limit.
    AllRestart(u64),
    /// No caller sends a request before this time, in ms.
    NoDemandUntil(u64),
}

#[derive(Debug, Clone, Copy)]
struct Case {
    hosts: usize,
    data_centres: usize,
    per_s: f64,
    /// Requests a second that all callers together want to send to the endpoint.
    wanted_per_s: f64,
    fault: Fault,
    seed: u64,
}

struct Host {
    limits: EndpointLimits,
    /// When the host polls, within the period.
    phase_ms: u64,
    /// Which hosts have polled this one, and when each last did.
    polled_by: BTreeMap<usize, Duration>,
}

struct Simulation {
    case: Case,
    id: Rc<str>,
    hosts: Vec<Host>,
    /// When requests were sent, in ms.
    sent_at_ms: Vec<u64>,
}

impl Simulation {
    fn new(case: Case, rng: &mut Pcg64) -> Self {
        let host = |_| Host {
            limits: EndpointLimits::default(),
            phase_ms: rng.random_range(0..POLL_PERIOD_MS / TICK_MS) * TICK_MS,
            polled_by: BTreeMap::new(),
        };
        let mut simulation = Self {
            case,
            id: ENDPOINT.into(),
            hosts: (0..case.hosts).map(host).collect(),
            sent_at_ms: Vec::new(),
        };
        simulation.record_limit_on_all(Duration::ZERO);
        simulation
    }

    fn record_limit_on_all(&mut self, now: Duration) {
        for host in &mut self.hosts {
            host.limits
                .record_stated(&self.id, Some(rate(self.case.per_s)), now);
        }
    }

    /// The host that host `i` polls now; `None` if it is the first of its data centre that can be reached.
    fn lender(&self, i: usize, now_ms: u64) -> Option<usize> {
        let rank = i / self.case.data_centres;
        let first = i % self.case.data_centres;
        let second = first + self.case.data_centres;
        let unreachable = match self.case.fault {
            Fault::FirstHostUnreachable(from) => now_ms >= from,
            Fault::HalfUnreachable(from) => now_ms >= from && rank.is_multiple_of(2),
            _ => false,
        };
        match (rank, unreachable) {
            (0, _) | (1, true) => None,
            (_, true) => Some(second),
            (_, false) => Some(first),
        }
    }

    fn shares(&self, i: usize, now: Duration) -> PooledShares {
        let polled_by = &self.hosts[i].polled_by;
        PooledShares {
            polling_hosts: polled_by
                .values()
                .filter(|at| **at + POOLED_SHARE_TTL > now)
                .count() as u32,
            hosts: Some(self.case.hosts as u32),
        }
    }

    fn request_permits(&mut self, i: usize, now_ms: u64) {
        let now = ms(now_ms);
        let Some(lender) = self.lender(i, now_ms) else {
            return;
        };
        for request in self.hosts[i].limits.request_permits(now) {
            self.hosts[lender].polled_by.insert(i, now);
            let shares = self.shares(lender, now);
            let lent = self.hosts[lender].limits.lend(&request, shares, now);
            self.hosts[i].limits.add_borrowed(&request.id, lent, now);
        }
    }

    fn send_request(&mut self, i: usize, now_ms: u64) {
        let (shares, now) = (self.shares(i, ms(now_ms)), ms(now_ms));
        let limits = &mut self.hosts[i].limits;
        let free = limits.without_permit(|_| true, shares, now).is_empty();
        if free && limits.try_acquire(&[&self.id], shares, now) {
            self.sent_at_ms.push(now_ms);
        }
    }

    fn restart_all(&mut self, now: Duration) {
        for host in &mut self.hosts {
            host.limits = EndpointLimits::default();
            host.polled_by.clear();
        }
        self.record_limit_on_all(now);
    }

    fn step(&mut self, now_ms: u64, rng: &mut Pcg64) {
        if matches!(self.case.fault, Fault::AllRestart(at) if at == now_ms) {
            self.restart_all(ms(now_ms));
        }
        let no_demand = matches!(self.case.fault, Fault::NoDemandUntil(at) if now_ms < at);
        let per_host = self.case.wanted_per_s / self.case.hosts as f64;
        let chance = per_host * TICK_MS as f64 / 1000.0;
        for i in 0..self.hosts.len() {
            if now_ms % POLL_PERIOD_MS == self.hosts[i].phase_ms {
                self.request_permits(i, now_ms);
            }
            if !no_demand && rng.random::<f64>() < chance {
                self.send_request(i, now_ms);
            }
        }
    }

    /// The largest number of requests in any window.
    fn busiest_window(&self) -> usize {
        let within = |(n, first): (usize, &u64)| {
            let later = self.sent_at_ms[n..].iter();
            later.take_while(|at| **at < first + WINDOW_MS).count()
        };
        self.sent_at_ms
            .iter()
            .enumerate()
            .map(within)
            .max()
            .unwrap_or(0)
    }
}

fn simulate(case: Case, length_ms: u64) -> Simulation {
    let mut rng = Pcg64::seed_from_u64(case.seed);
    let mut simulation = Simulation::new(case, &mut rng);
    for now_ms in (0..length_ms).step_by(TICK_MS as usize) {
        simulation.step(now_ms, &mut rng);
    }
    simulation
}

fn fault() -> impl Strategy<Value = Fault> {
    let at = || (0u64..900).prop_map(|n| n * TICK_MS);
    prop_oneof![
        Just(Fault::None),
        at().prop_map(Fault::FirstHostUnreachable),
        at().prop_map(Fault::HalfUnreachable),
        at().prop_map(Fault::AllRestart),
        at().prop_map(Fault::NoDemandUntil),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn all_hosts_together_send_no_more_than_the_limit_allows(
        hosts in 1usize..80,
        data_centres in 1usize..6,
        per_s in 0.0f64..40.0,
        pressure in 0.2f64..8.0,
        fault in fault(),
        seed: u64,
    ) {
        let wanted_per_s = per_s.max(1.0) * pressure;
        let case = Case { hosts, data_centres, per_s, wanted_per_s, fault, seed };
        let sent = simulate(case, 14_000).busiest_window();
        prop_assert!(sent <= max_requests_per_window(per_s), "{sent} requests in a window, {} allowed", max_requests_per_window(per_s));
    }
}

#[test]
fn hundreds_of_hosts_keep_to_a_low_limit_after_a_time_without_demand() {
    for seed in 0..4 {
        let case = Case {
            hosts: 295,
            data_centres: 5,
            per_s: 5.0,
            wanted_per_s: 200.0,
            fault: Fault::NoDemandUntil(20_000),
            seed,
        };
        let sent = simulate(case, 30_000).busiest_window();
        assert!(sent <= max_requests_per_window(5.0), "{sent}");
    }
}

#[test]
fn most_of_a_limit_is_used_if_demand_exceeds_it() {
    let case = Case {
        hosts: 6,
        data_centres: 3,
        per_s: 5.1,
        wanted_per_s: 18.0,
        fault: Fault::None,
        seed: 1,
    };
    let length_ms = 60_000;
    let sent = simulate(case, length_ms).sent_at_ms.len() as f64;
    let used = sent * 1000.0 / length_ms as f64 / case.per_s;
    assert!(used > 0.75, "{used}");
}

#[test]
fn a_report_older_than_the_known_state_is_ignored() {
    let id: Rc<str> = ENDPOINT.into();
    let mut limits = EndpointLimits::default();
    assert_eq!(limits.merge_report(&id, None, ms(900)), None);
    let named = Some(LimitChange::Set(rate(5.0)));
    assert_eq!(limits.merge_report(&id, Some(rate(5.0)), ms(1000)), named);
    assert_eq!(
        limits.record_stated(&id, None, ms(2000)),
        Some(LimitChange::Lifted)
    );
    assert_eq!(limits.merge_report(&id, Some(rate(5.0)), ms(1900)), None);
    assert_eq!(limits.rate(&id), None);
    assert_eq!(
        limits.reports(ms(3000)).len(),
        1,
        "other hosts receive that the limit is lifted"
    );
    limits.expire(|_| true, ms(60_000));
    assert_eq!(
        limits.reports(ms(60_000)),
        [],
        "the lifted limit is removed"
    );
}

/// Entries of the list may expire while the store is unavailable, or be damaged by other writers.
#[test]
fn a_limit_survives_a_short_absence_of_its_endpoint_from_the_list() {
    let id: Rc<str> = ENDPOINT.into();
    let mut limits = EndpointLimits::default();
    limits.record_stated(&id, Some(rate(5.0)), ms(1000));
    limits.expire(|_| false, ms(10_000));
    assert_eq!(limits.rate(&id), Some(rate(5.0)));
    limits.expire(|_| true, ms(90_000));
    assert_eq!(limits.rate(&id), Some(rate(5.0)));
    limits.expire(|_| false, ms(90_000));
    assert_eq!(limits.rate(&id), None);
}

#[test]
fn no_permits_are_given_while_the_number_of_hosts_is_unknown() {
    let (limited, free): (Rc<str>, Rc<str>) = (ENDPOINT.into(), "i-2".into());
    let mut limits = EndpointLimits::default();
    limits.record_stated(&limited, Some(rate(50.0)), ms(0));
    let unknown = PooledShares::default();
    assert!(!limits.try_acquire(&[&limited], unknown, ms(5000)));
    assert!(limits.try_acquire(&[&free], unknown, ms(5000)));
    let alone = PooledShares {
        polling_hosts: 0,
        hosts: Some(1),
    };
    assert!(
        !limits.try_acquire(&[&limited], alone, ms(5000)),
        "no permits accumulate while the number of hosts is unknown"
    );
    assert!(limits.try_acquire(&[&limited], alone, ms(5100)));
}

#[test]
fn a_chain_acquires_permits_of_all_its_stages_or_of_none() {
    let (first, second): (Rc<str>, Rc<str>) = ("i-1".into(), "i-2".into());
    let mut limits = EndpointLimits::default();
    let alone = PooledShares {
        polling_hosts: 0,
        hosts: Some(1),
    };
    limits.record_stated(&first, Some(rate(1.0)), ms(0));
    limits.record_stated(&second, Some(rate(0.25)), ms(0));
    let (both, one) = ([&first, &second], [&first]);
    assert!(
        !limits.try_acquire(&both, alone, ms(1000)),
        "the second has no permit yet"
    );
    assert!(
        limits.try_acquire(&one, alone, ms(1000)),
        "no permit of the first was used"
    );
    assert!(limits.try_acquire(&both, alone, ms(4000)));
}

#[test]
fn an_endpoint_with_limit_zero_still_gets_a_few_requests() {
    let id: Rc<str> = ENDPOINT.into();
    let mut limits = EndpointLimits::default();
    let alone = PooledShares {
        polling_hosts: 0,
        hosts: Some(1),
    };
    limits.record_stated(&id, Some(rate(0.0)), ms(0));
    let acquired = (0..=400)
        .filter(|n| limits.try_acquire(&[&id], alone, ms(n * 100)))
        .count();
    assert!((5..=10).contains(&acquired), "{acquired} in 40 s");
}

#[test]
fn unused_borrowed_permits_are_returned_once() {
    let id: Rc<str> = ENDPOINT.into();
    let shares = PooledShares {
        polling_hosts: 1,
        hosts: Some(2),
    };
    let (mut lender, mut borrower) = (EndpointLimits::default(), EndpointLimits::default());
    for limits in [&mut lender, &mut borrower] {
        limits.record_stated(&id, Some(rate(1.0)), ms(0));
    }
    let wanted = |wanted| LimitReport {
        id: id.clone(),
        rate: Some(rate(1.0)),
        age: Duration::ZERO,
        wanted,
        returned: 0,
    };
    let lent = lender.lend(&wanted(3), shares, ms(1000));
    assert_eq!(lent, 1);
    assert!(
        !lender.try_acquire(&[&id], shares, ms(1000)),
        "the permit was lent"
    );
    borrower.add_borrowed(&id, lent, ms(1000));
    let request = borrower.request_permits(ms(1100));
    assert_eq!(request[0].returned, 1);
    assert!(
        !borrower.try_acquire(&[&id], PooledShares::default(), ms(1100)),
        "the permit was returned"
    );
    assert_eq!(lender.lend(&request[0], shares, ms(1100)), 0);
    assert!(lender.try_acquire(&[&id], shares, ms(1100)));
}

#[test]
fn invalid_rates_are_rejected() {
    for number in [-1.0, f64::NAN, f64::INFINITY] {
        assert!(RequestRate::try_from(number).is_err(), "{number}");
    }
}

#[test]
fn a_borrowed_permit_expires_while_its_lender_is_unreachable() {
    let id: Rc<str> = ENDPOINT.into();
    let unknown = PooledShares::default();
    let mut limits = EndpointLimits::default();
    limits.record_stated(&id, Some(rate(1.0)), ms(0));
    limits.request_permits(ms(1000));
    limits.add_borrowed(&id, 2, ms(1000));
    assert!(limits.try_acquire(&[&id], unknown, ms(1300)));
    assert!(!limits.try_acquire(&[&id], unknown, ms(1400)));
}
