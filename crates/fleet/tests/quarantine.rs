//! Requests under which endpoints end are held, by all hosts alike, and others are not.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    fingerprint::Fingerprint,
    quarantine::{Hold, Kept, Quarantine, Told},
};
use proptest::prelude::*;

const FIRST: Duration = Duration::from_secs(3600);
const ENDS: u64 = 3;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn request(n: u8) -> Fingerprint {
    Fingerprint::from([n; 16])
}

fn start(n: u64) -> Rc<str> {
    format!("e{n}").into()
}

/// Three endpoints end under the request.
fn ended_three(quarantine: &mut Quarantine, at: Duration) -> Option<Hold> {
    let mut hold = None;
    for n in 1..=ENDS {
        hold = quarantine.ended(request(1), &start(n), at + s(n));
    }
    hold
}

/// One host tells another all that it knows.
fn tell(from: &Quarantine, to: &mut Quarantine, now: Duration) {
    to.told(from.changes_since(0, now), now);
}

#[test]
fn a_request_is_held_once_three_endpoints_have_ended_under_it() {
    let mut quarantine = Quarantine::new(FIRST);
    assert!(quarantine.is_empty());
    for n in 1..ENDS {
        assert_eq!(quarantine.ended(request(1), &start(n), s(n)), None);
        assert_eq!(quarantine.held(&request(1), s(n)), None);
    }
    let hold = quarantine.ended(request(1), &start(ENDS), s(ENDS));
    assert_eq!(hold.map(|h| (h.times, h.left())), Some((1, FIRST)));
    assert_eq!(quarantine.held(&request(1), s(ENDS)), Some(FIRST));
    assert_eq!(quarantine.held(&request(2), s(ENDS)), None);
    assert_eq!(quarantine.held_now(s(ENDS)), 1);
}

#[test]
fn an_endpoint_that_ends_once_counts_once_however_often_it_is_seen() {
    let mut quarantine = Quarantine::new(FIRST);
    for n in 0..10 {
        quarantine.ended(request(1), &start(1), s(n));
        quarantine.ended(request(1), &start(2), s(n));
    }
    assert_eq!(quarantine.held(&request(1), s(10)), None);
}

#[test]
fn a_request_that_an_endpoint_answered_in_between_begins_anew() {
    let mut quarantine = Quarantine::new(FIRST);
    quarantine.ended(request(1), &start(1), s(1));
    quarantine.ended(request(1), &start(2), s(2));
    assert!(!quarantine.survived(&request(1), s(3)));
    quarantine.ended(request(1), &start(3), s(200));
    quarantine.ended(request(1), &start(4), s(201));
    assert_eq!(quarantine.held(&request(1), s(202)), None);
    assert!(quarantine.ended(request(1), &start(5), s(203)).is_some());
}

#[test]
fn nothing_counts_against_a_request_that_was_answered_in_the_last_minute() {
    let mut quarantine = Quarantine::new(FIRST);
    for minute in 1..5 {
        quarantine.survived(&request(1), s(60 * minute));
        quarantine.survived(&request(2), s(60 * minute));
        assert_eq!(ended_three(&mut quarantine, s(60 * minute + 50)), None);
        assert!(quarantine.is_empty());
    }
    assert!(ended_three(&mut quarantine, s(60 * 4 + 121)).is_some());
}

#[test]
fn an_answer_speaks_against_a_break_before_it() {
    let mut quarantine = Quarantine::new(FIRST);
    quarantine.broke_off(request(1), &start(1), s(1));
    quarantine.broke_off(request(2), &start(1), s(1));
    quarantine.survived(&request(1), s(2));
    assert_eq!(quarantine.over("e1", s(3)), [request(2)]);
}

#[test]
fn a_flood_of_answers_is_bounded() {
    let mut quarantine = Quarantine::new(FIRST);
    quarantine.survived(&request(1), s(1));
    for n in 0..20_000u32 {
        let mut bytes = [7; 16];
        bytes[..4].copy_from_slice(&n.to_be_bytes());
        quarantine.survived(&Fingerprint::from(bytes), s(2));
    }
    assert!(
        ended_three(&mut quarantine, s(3)).is_some(),
        "it was forgotten"
    );
}

#[test]
fn an_answer_that_was_under_way_when_a_request_was_held_ends_the_hold() {
    let mut quarantine = Quarantine::new(FIRST);
    ended_three(&mut quarantine, s(0));
    quarantine.kept(quarantine.to_keep(s(4)).0);
    assert!(!quarantine.keep_due());
    assert!(quarantine.survived(&request(1), s(5)));
    assert_eq!(quarantine.held(&request(1), s(5)), None);
    assert!(quarantine.keep_due(), "what was kept says that it is held");
}

#[test]
fn a_hold_lapses_and_each_further_end_holds_it_twice_as_long() {
    let mut quarantine = Quarantine::new(FIRST);
    ended_three(&mut quarantine, s(0));
    let mut now = s(ENDS);
    for n in 1..4 {
        now += quarantine.held(&request(1), now).expect("it is held");
        assert_eq!(quarantine.held(&request(1), now), None, "hold {n}");
        now += s(1);
        let hold = quarantine.ended(request(1), &start(100 + u64::from(n)), now);
        let hold = hold.map(|h| (h.times, h.left()));
        assert_eq!(hold, Some((n + 1, FIRST * 2u32.pow(n))));
    }
}

#[test]
fn a_run_that_broke_off_counts_once_its_endpoint_is_known_to_have_ended() {
    let mut quarantine = Quarantine::new(FIRST);
    quarantine.broke_off(request(1), &start(1), s(1));
    quarantine.broke_off(request(1), &start(1), s(2));
    quarantine.broke_off(request(2), &start(1), s(2));
    quarantine.broke_off(request(1), &start(2), s(3));
    assert!(quarantine.is_empty(), "nothing is proved yet");
    assert_eq!(quarantine.over("e1", s(5)), [request(1), request(2)]);
    assert_eq!(quarantine.over("e1", s(5)), [], "told once");
    assert_eq!(quarantine.over("e2", s(60)), [], "too long ago");
}

#[test]
fn ends_that_two_hosts_saw_count_together() {
    let (mut a, mut b) = (Quarantine::new(FIRST), Quarantine::new(FIRST));
    a.ended(request(1), &start(1), s(1));
    b.ended(request(1), &start(2), s(2));
    b.ended(request(1), &start(1), s(2));
    tell(&a, &mut b, s(3));
    assert_eq!(b.held(&request(1), s(3)), None);
    b.ended(request(1), &start(3), s(4));
    tell(&b, &mut a, s(5));
    assert!(a.held(&request(1), s(5)).is_some());
    assert!(
        a.to_keep(s(5)).1.is_empty(),
        "the host that found it keeps it"
    );
    assert_eq!(b.to_keep(s(5)).1.len(), 1);
}

#[test]
fn ends_that_were_held_against_a_request_already_don_t_count_again() {
    let (mut a, mut b) = (Quarantine::new(FIRST), Quarantine::new(FIRST));
    a.ended(request(1), &start(1), s(1));
    a.ended(request(1), &start(2), s(2));
    tell(&a, &mut b, s(3));
    b.ended(request(1), &start(3), s(4));
    // The hold has lapsed when a host that was cut off tells of the ends that led to it.
    let later = s(4) + FIRST + s(1);
    assert_eq!(b.held(&request(1), later), None);
    tell(&a, &mut b, later);
    assert_eq!(b.held(&request(1), later), None);
}

#[test]
fn a_host_that_has_just_started_takes_what_is_older_than_itself() {
    let (mut old, mut new) = (Quarantine::new(FIRST), Quarantine::new(FIRST));
    ended_three(&mut old, s(1000));
    old.ended(request(2), &start(1), s(1004));
    let told = old.changes_since(0, s(1010));
    assert_eq!(new.told(told, s(1)), [request(1)]);
    let left = new.held(&request(1), s(1));
    assert_eq!(left, old.held(&request(1), s(1010)));
}

#[test]
fn an_answer_that_is_told_ends_the_hold_wherever_it_came_to_be_known() {
    let (mut a, mut b, mut c) = (
        Quarantine::new(FIRST),
        Quarantine::new(FIRST),
        Quarantine::new(FIRST),
    );
    ended_three(&mut a, s(0));
    tell(&a, &mut b, s(4));
    tell(&a, &mut c, s(4));
    a.kept(a.to_keep(s(5)).0);
    assert!(!a.keep_due());
    c.survived(&request(1), s(6));
    tell(&c, &mut b, s(7));
    // What says that it is held comes late, and is older than the answer.
    tell(&a, &mut b, s(8));
    assert_eq!(b.held(&request(1), s(8)), None);
    tell(&b, &mut a, s(9));
    assert_eq!(a.held(&request(1), s(9)), None);
    assert!(a.keep_due() && a.to_keep(s(9)).1.is_empty());
}

#[test]
fn what_was_kept_holds_for_the_process_that_starts_next() {
    let mut before = Quarantine::new(FIRST);
    assert!(!before.keep_due());
    ended_three(&mut before, s(0));
    assert!(before.keep_due());
    let (mark, kept) = before.to_keep(s(10));
    before.kept(mark);
    assert!(!before.keep_due());
    let mut after = Quarantine::new(FIRST);
    assert_eq!(after.found(kept.clone(), true, s(0)), [request(1)]);
    assert_eq!(
        after.held(&request(1), s(0)),
        before.held(&request(1), s(10))
    );
    assert_eq!(after.to_keep(s(0)).1, kept, "it keeps it as well");
    let mut other = Quarantine::new(FIRST);
    other.found(kept, false, s(0));
    assert!(other.held(&request(1), s(0)).is_some() && other.to_keep(s(0)).1.is_empty());
}

#[test]
fn a_host_that_keeps_a_hold_keeps_the_longer_one_that_it_is_told() {
    let (mut a, mut b) = (Quarantine::new(FIRST), Quarantine::new(2 * FIRST));
    ended_three(&mut a, s(0));
    ended_three(&mut b, s(0));
    tell(&b, &mut a, s(5));
    let kept = a.to_keep(s(5)).1;
    assert_eq!(kept.len(), 1);
    assert_eq!(kept[0].hold.lasts, 2 * FIRST);
}

#[test]
fn a_hold_lapses_at_the_same_moment_by_a_clock_that_outlives_the_process() {
    let hold = Hold {
        times: 2,
        age: s(20),
        lasts: s(60),
    };
    let span = hold.span(s(1000));
    assert_eq!((span.since, span.until), (s(980), s(1040)));
    let later = Hold::of(2, span, s(1030));
    assert_eq!((later.times, later.age, later.left()), (2, s(50), s(10)));
    assert_eq!(Hold::of(2, span, s(2000)).left(), s(0));
}

#[test]
fn a_hold_that_has_lapsed_where_it_was_kept_is_not_taken() {
    let hold = Hold {
        times: 1,
        age: s(20),
        lasts: s(10),
    };
    let kept = Kept {
        request: request(1),
        hold,
    };
    let mut quarantine = Quarantine::new(FIRST);
    assert_eq!(quarantine.found(vec![kept], true, s(0)), []);
    assert!(quarantine.is_empty());
}

#[test]
fn a_request_of_which_nothing_is_heard_is_forgotten() {
    let mut quarantine = Quarantine::new(FIRST);
    quarantine.ended(request(1), &start(1), s(0));
    quarantine.ended(request(1), &start(2), s(1));
    quarantine.ended(request(2), &start(1), FIRST + s(5));
    assert_eq!(quarantine.ended(request(1), &start(3), FIRST + s(6)), None);
}

#[test]
fn a_flood_of_requests_is_bounded_and_pushes_no_hold_out() {
    let mut quarantine = Quarantine::new(FIRST);
    ended_three(&mut quarantine, s(0));
    for n in 0..5000u32 {
        let mut bytes = [7; 16];
        bytes[..4].copy_from_slice(&n.to_be_bytes());
        quarantine.ended(Fingerprint::from(bytes), &start(1), s(10));
    }
    for n in 0..5000 {
        quarantine.broke_off(request(2), &start(n), s(11));
    }
    assert_eq!(quarantine.over("e0", s(11)), []);
    assert_eq!(quarantine.over("e4999", s(11)), [request(2)]);
    assert!(quarantine.held(&request(1), s(10)).is_some());
    assert!(quarantine.changes_since(0, s(10)).len() <= 1024);
}

/// What befalls three hosts.
#[derive(Debug, Clone)]
enum Event {
    /// A host sees an endpoint end under a request.
    Ends(usize, u8, u64),
    /// A host passes an answer on.
    Answers(usize, u8),
    /// A host tells another what has changed since it last did.
    Tells(usize, usize),
    /// A host starts again, with what was kept.
    Starts(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..3usize, 0..2u8, 0..6u64).prop_map(|(h, r, e)| Event::Ends(h, r, e)),
        1 => (0..3usize, 0..2u8).prop_map(|(h, r)| Event::Answers(h, r)),
        5 => (0..3usize, 0..3usize).prop_map(|(a, b)| Event::Tells(a, b)),
        1 => (0..3usize).prop_map(Event::Starts),
    ]
}

/// Three hosts, and up to where each has told each other.
struct Hosts {
    hosts: Vec<Quarantine>,
    told: [[u64; 3]; 3],
}

impl Hosts {
    fn tell(&mut self, from: usize, to: usize, sent: Duration, heard: Duration) -> usize {
        let news: Vec<Told> = self.hosts[from].changes_since(self.told[from][to], sent);
        self.told[from][to] = self.hosts[from].version();
        let n = news.len();
        self.hosts[to].told(news, heard);
        n
    }
}

proptest! {
    /// Hosts that tell each other come to hold the same requests, and then have nothing more to tell,
    /// although each takes news to be of a somewhat later moment than the one before it.
    #[test]
    fn hosts_that_tell_each_other_agree_and_fall_silent(
        events in prop::collection::vec((event(), 0..1500u64), 0..60),
        delay_ms in 0..200u64,
    ) {
        let new = || (0..3).map(|_| Quarantine::new(FIRST)).collect();
        let mut hosts = Hosts { hosts: new(), told: [[0; 3]; 3] };
        let mut now = s(1);
        let delay = Duration::from_millis(delay_ms);
        for (event, after) in events {
            now += Duration::from_millis(after);
            match event {
                Event::Ends(h, r, e) => {
                    let on = hosts.hosts[h].held(&request(r), now).is_none();
                    // What is held isn't sent.
                    if on {
                        hosts.hosts[h].ended(request(r), &start(e), now);
                    }
                }
                Event::Answers(h, r) => {
                    hosts.hosts[h].survived(&request(r), now);
                }
                Event::Tells(a, b) if a != b => {
                    hosts.tell(a, b, now, now + delay);
                }
                Event::Tells(..) => {}
                Event::Starts(h) => {
                    let (_, kept) = hosts.hosts[h].to_keep(now);
                    hosts.hosts[h] = Quarantine::new(FIRST);
                    hosts.hosts[h].found(kept, true, now);
                    hosts.told[h] = [0; 3];
                    (0..3).for_each(|other| hosts.told[other][h] = 0);
                }
            }
        }
        let mut told = usize::MAX;
        for _ in 0..12 {
            now += s(1);
            told = 0;
            for (a, b) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                told += hosts.tell(a, b, now, now + delay);
            }
        }
        prop_assert_eq!(told, 0, "they go on telling each other");
        for r in 0..2 {
            let held = |h: &Quarantine| h.held(&request(r), now).is_some();
            let held: Vec<bool> = hosts.hosts.iter().map(held).collect();
            prop_assert!(held.iter().all(|h| *h == held[0]), "{:?}", held);
        }
    }
}
