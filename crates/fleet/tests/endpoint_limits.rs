//! Limits that endpoints name for all hosts together.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use dragonflyrill_fleet::endpoint_limits::{
    Account, Change, EndpointLimits, POOLED_FOR, RequestRate, Shares,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// How often a host asks the first one of its data centre.
const PERIOD_MS: u64 = 250;
const TICK_MS: u64 = 10;
/// The windows in which requests are counted.
const WINDOW_MS: u64 = 4000;
const ENDPOINT: &str = "i-1";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::try_from(per_s).expect("a rate")
}

/// What an endpoint may get in a window.
fn most(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW_MS as f64 / 1000.0 + 5.0) as usize
}

/// What happens to the hosts on the way.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    None,
    /// The first host of each data centre is out of reach of the others, which ask the second, from a moment on.
    FirstUnreachable(u64),
    /// The same between each data centre's first host and a half of its others.
    HalfUnreachable(u64),
    /// All processes end and start again, knowing the limit.
    AllStartAgain(u64),
    /// Nobody wants anything until a moment.
    QuietUntil(u64),
}

#[derive(Debug, Clone, Copy)]
struct Case {
    hosts: usize,
    data_centres: usize,
    per_s: f64,
    /// Requests a second that all callers together want to send there.
    wanted_per_s: f64,
    trouble: Trouble,
    seed: u64,
}

struct Host {
    limits: EndpointLimits,
    /// When it asks, within the period.
    phase_ms: u64,
    /// Who asked it lately, and when.
    asked_by: BTreeMap<usize, Duration>,
}

struct Play {
    case: Case,
    id: Rc<str>,
    hosts: Vec<Host>,
    /// When requests were sent, in ms.
    sends: Vec<u64>,
}

impl Play {
    fn new(case: Case, rng: &mut Pcg64) -> Self {
        let host = |_| Host {
            limits: EndpointLimits::default(),
            phase_ms: rng.random_range(0..PERIOD_MS / TICK_MS) * TICK_MS,
            asked_by: BTreeMap::new(),
        };
        let mut play = Self {
            case,
            id: ENDPOINT.into(),
            hosts: (0..case.hosts).map(host).collect(),
            sends: Vec::new(),
        };
        play.all_learn(Duration::ZERO);
        play
    }

    fn all_learn(&mut self, now: Duration) {
        for host in &mut self.hosts {
            host.limits
                .named(&self.id, Some(rate(self.case.per_s)), now);
        }
    }

    /// The host that one asks now, if it is not the first.
    fn lender(&self, i: usize, now_ms: u64) -> Option<usize> {
        let rank = i / self.case.data_centres;
        let first = i % self.case.data_centres;
        let second = first + self.case.data_centres;
        let cut = match self.case.trouble {
            Trouble::FirstUnreachable(from) => now_ms >= from,
            Trouble::HalfUnreachable(from) => now_ms >= from && rank.is_multiple_of(2),
            _ => false,
        };
        match (rank, cut) {
            (0, _) | (1, true) => None,
            (_, true) => Some(second),
            (_, false) => Some(first),
        }
    }

    fn shares(&self, i: usize, now: Duration) -> Shares {
        let asked_by = &self.hosts[i].asked_by;
        Shares {
            asked_by: asked_by
                .values()
                .filter(|at| **at + POOLED_FOR > now)
                .count() as u32,
            hosts: Some(self.case.hosts as u32),
        }
    }

    fn ask(&mut self, i: usize, now_ms: u64) {
        let now = ms(now_ms);
        let Some(lender) = self.lender(i, now_ms) else {
            return;
        };
        for asked in self.hosts[i].limits.ask(now) {
            self.hosts[lender].asked_by.insert(i, now);
            let shares = self.shares(lender, now);
            let lent = self.hosts[lender].limits.lend(&asked, shares, now);
            self.hosts[i].limits.lent(&asked.id, lent, now);
        }
    }

    fn request(&mut self, i: usize, now_ms: u64) {
        let (shares, now) = (self.shares(i, ms(now_ms)), ms(now_ms));
        let limits = &mut self.hosts[i].limits;
        let free = limits.without_permit(|_| true, shares, now).is_empty();
        if free && limits.take(&[&self.id], shares, now) {
            self.sends.push(now_ms);
        }
    }

    fn start_again(&mut self, now: Duration) {
        for host in &mut self.hosts {
            host.limits = EndpointLimits::default();
            host.asked_by.clear();
        }
        self.all_learn(now);
    }

    fn step(&mut self, now_ms: u64, rng: &mut Pcg64) {
        if matches!(self.case.trouble, Trouble::AllStartAgain(at) if at == now_ms) {
            self.start_again(ms(now_ms));
        }
        let quiet = matches!(self.case.trouble, Trouble::QuietUntil(at) if now_ms < at);
        let per_host = self.case.wanted_per_s / self.case.hosts as f64;
        let chance = per_host * TICK_MS as f64 / 1000.0;
        for i in 0..self.hosts.len() {
            if now_ms % PERIOD_MS == self.hosts[i].phase_ms {
                self.ask(i, now_ms);
            }
            if !quiet && rng.random::<f64>() < chance {
                self.request(i, now_ms);
            }
        }
    }

    /// The most requests in any window.
    fn busiest_window(&self) -> usize {
        let within = |(n, first): (usize, &u64)| {
            let later = self.sends[n..].iter();
            later.take_while(|at| **at < first + WINDOW_MS).count()
        };
        self.sends.iter().enumerate().map(within).max().unwrap_or(0)
    }
}

fn played(case: Case, length_ms: u64) -> Play {
    let mut rng = Pcg64::seed_from_u64(case.seed);
    let mut play = Play::new(case, &mut rng);
    for now_ms in (0..length_ms).step_by(TICK_MS as usize) {
        play.step(now_ms, &mut rng);
    }
    play
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let at = || (0u64..900).prop_map(|n| n * TICK_MS);
    prop_oneof![
        Just(Trouble::None),
        at().prop_map(Trouble::FirstUnreachable),
        at().prop_map(Trouble::HalfUnreachable),
        at().prop_map(Trouble::AllStartAgain),
        at().prop_map(Trouble::QuietUntil),
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
        trouble in trouble(),
        seed: u64,
    ) {
        let wanted_per_s = per_s.max(1.0) * pressure;
        let case = Case { hosts, data_centres, per_s, wanted_per_s, trouble, seed };
        let came = played(case, 14_000).busiest_window();
        prop_assert!(came <= most(per_s), "{came} requests in a window, {} allowed", most(per_s));
    }
}

#[test]
fn hundreds_of_hosts_after_a_quiet_time_keep_to_a_limit_of_a_few_requests() {
    for seed in 0..4 {
        let case = Case {
            hosts: 295,
            data_centres: 5,
            per_s: 5.0,
            wanted_per_s: 200.0,
            trouble: Trouble::QuietUntil(20_000),
            seed,
        };
        let came = played(case, 30_000).busiest_window();
        assert!(came <= most(5.0), "{came}");
    }
}

#[test]
fn most_of_a_limit_is_used_where_callers_want_more() {
    let case = Case {
        hosts: 6,
        data_centres: 3,
        per_s: 5.1,
        wanted_per_s: 18.0,
        trouble: Trouble::None,
        seed: 1,
    };
    let length_ms = 60_000;
    let sent = played(case, length_ms).sends.len() as f64;
    let used = sent * 1000.0 / length_ms as f64 / case.per_s;
    assert!(used > 0.75, "{used}");
}

#[test]
fn an_account_that_is_older_than_what_is_known_is_not_taken() {
    let id: Rc<str> = ENDPOINT.into();
    let mut limits = EndpointLimits::default();
    assert_eq!(limits.told(&id, None, ms(900)), None);
    let named = Some(Change::Named(rate(5.0)));
    assert_eq!(limits.told(&id, Some(rate(5.0)), ms(1000)), named);
    assert_eq!(limits.named(&id, None, ms(2000)), Some(Change::Lifted));
    assert_eq!(limits.told(&id, Some(rate(5.0)), ms(1900)), None);
    assert_eq!(limits.rate(&id), None);
    assert_eq!(
        limits.to_tell(ms(3000)).len(),
        1,
        "others hear that it is over"
    );
    limits.expire(|_| true, ms(60_000));
    assert_eq!(limits.to_tell(ms(60_000)), [], "and it is forgotten then");
}

/// Entries lapse while the store is away, and are harmed by other writers.
#[test]
fn an_endpoint_that_is_listed_again_soon_is_still_limited() {
    let id: Rc<str> = ENDPOINT.into();
    let mut limits = EndpointLimits::default();
    limits.named(&id, Some(rate(5.0)), ms(1000));
    limits.expire(|_| false, ms(10_000));
    assert_eq!(limits.rate(&id), Some(rate(5.0)));
    limits.expire(|_| true, ms(90_000));
    assert_eq!(limits.rate(&id), Some(rate(5.0)));
    limits.expire(|_| false, ms(90_000));
    assert_eq!(limits.rate(&id), None);
}

#[test]
fn a_host_that_does_not_know_how_many_hosts_there_are_sends_nothing_to_an_endpoint_with_a_limit() {
    let (limited, free): (Rc<str>, Rc<str>) = (ENDPOINT.into(), "i-2".into());
    let mut limits = EndpointLimits::default();
    limits.named(&limited, Some(rate(50.0)), ms(0));
    let unknown = Shares::default();
    assert!(!limits.take(&[&limited], unknown, ms(5000)));
    assert!(limits.take(&[&free], unknown, ms(5000)));
    let alone = Shares {
        asked_by: 0,
        hosts: Some(1),
    };
    assert!(
        !limits.take(&[&limited], alone, ms(5000)),
        "nothing was saved up"
    );
    assert!(limits.take(&[&limited], alone, ms(5100)));
}

#[test]
fn a_chain_takes_a_permit_of_each_of_its_parts_or_of_none() {
    let (first, second): (Rc<str>, Rc<str>) = ("i-1".into(), "i-2".into());
    let mut limits = EndpointLimits::default();
    let alone = Shares {
        asked_by: 0,
        hosts: Some(1),
    };
    limits.named(&first, Some(rate(1.0)), ms(0));
    limits.named(&second, Some(rate(0.25)), ms(0));
    let (both, one) = ([&first, &second], [&first]);
    assert!(
        !limits.take(&both, alone, ms(1000)),
        "the second has none yet"
    );
    assert!(
        limits.take(&one, alone, ms(1000)),
        "so that none of the first was taken"
    );
    assert!(limits.take(&both, alone, ms(4000)));
}

#[test]
fn an_endpoint_that_takes_nothing_is_asked_now_and_then() {
    let id: Rc<str> = ENDPOINT.into();
    let mut limits = EndpointLimits::default();
    let alone = Shares {
        asked_by: 0,
        hosts: Some(1),
    };
    limits.named(&id, Some(rate(0.0)), ms(0));
    let taken = (0..=400)
        .filter(|n| limits.take(&[&id], alone, ms(n * 100)))
        .count();
    assert!((5..=10).contains(&taken), "{taken} in 40 s");
}

#[test]
fn what_was_lent_and_not_used_is_given_back_once() {
    let id: Rc<str> = ENDPOINT.into();
    let shares = Shares {
        asked_by: 1,
        hosts: Some(2),
    };
    let (mut lender, mut borrower) = (EndpointLimits::default(), EndpointLimits::default());
    for limits in [&mut lender, &mut borrower] {
        limits.named(&id, Some(rate(1.0)), ms(0));
    }
    let wanted = |wanted| Account {
        id: id.clone(),
        rate: Some(rate(1.0)),
        age: Duration::ZERO,
        wanted,
        returned: 0,
    };
    let lent = lender.lend(&wanted(3), shares, ms(1000));
    assert_eq!(lent, 1);
    assert!(!lender.take(&[&id], shares, ms(1000)), "it was lent");
    borrower.lent(&id, lent, ms(1000));
    let asked = borrower.ask(ms(1100));
    assert_eq!(asked[0].returned, 1);
    assert!(
        !borrower.take(&[&id], Shares::default(), ms(1100)),
        "it was given back"
    );
    assert_eq!(lender.lend(&asked[0], shares, ms(1100)), 0);
    assert!(lender.take(&[&id], shares, ms(1100)));
}

#[test]
fn numbers_that_are_no_rates_are_refused() {
    for number in [-1.0, f64::NAN, f64::INFINITY] {
        assert!(RequestRate::try_from(number).is_err(), "{number}");
    }
}

#[test]
fn a_permit_that_was_lent_lapses_while_its_lender_is_out_of_reach() {
    let id: Rc<str> = ENDPOINT.into();
    let unknown = Shares::default();
    let mut limits = EndpointLimits::default();
    limits.named(&id, Some(rate(1.0)), ms(0));
    limits.ask(ms(1000));
    limits.lent(&id, 2, ms(1000));
    assert!(limits.take(&[&id], unknown, ms(1300)));
    assert!(!limits.take(&[&id], unknown, ms(1400)));
}
