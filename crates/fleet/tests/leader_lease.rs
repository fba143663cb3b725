//! Never two hosts hold a lease, whatever becomes of their calls; and it is taken over in time.

use std::time::Duration;

use dragonflyrill_fleet::leader_lease::{LeaderLease, LeaseRecord, NO_HOLDER, Step, WriteOutcome};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

mod common;
use common::ms;

const TERM: Duration = Duration::from_millis(2400);
const LOOK: Duration = Duration::from_millis(1200);

fn lease(host: usize) -> LeaderLease {
    LeaderLease::new(format!("host{host} 1"), TERM, LOOK)
}

/// The row in the store.
#[derive(Default)]
struct Row {
    now: Option<LeaseRecord>,
    version: u64,
}

impl Row {
    fn write(&mut self, holder: &str, expected: u64) -> WriteOutcome {
        let at = self.now.as_ref().map_or(0, |s| s.version);
        if at != expected {
            return WriteOutcome::Conflict(self.now.clone());
        }
        self.version += 1;
        self.now = Some(LeaseRecord {
            holder: holder.to_owned(),
            version: self.version,
        });
        WriteOutcome::Done(self.version)
    }
}

#[test]
fn the_first_host_takes_a_lease_that_nobody_has() {
    let mut lease = lease(0);
    assert_eq!(lease.step(ms(0)), Step::Read);
    lease.record_read(ms(1), None);
    assert_eq!(lease.step(ms(1)), Step::Write { expected: 0 });
    lease.record_write(ms(1), ms(5), WriteOutcome::Done(7));
    assert!(lease.held(ms(5)));
    assert_eq!(lease.step(ms(100)), Step::Wait);
    assert_eq!(lease.step(ms(1000)), Step::Write { expected: 7 });
}

#[test]
fn a_row_that_stands_still_for_a_term_is_taken_over() {
    let mut lease = lease(1);
    let row = LeaseRecord {
        holder: "host0 1".to_owned(),
        version: 3,
    };
    lease.record_read(ms(0), Some(row.clone()));
    assert_eq!(lease.step(ms(100)), Step::Wait);
    assert_eq!(lease.step(ms(1300)), Step::Read);
    lease.record_read(ms(1300), Some(row));
    assert_eq!(lease.step(ms(2400)), Step::Write { expected: 3 });
}

#[test]
fn a_row_that_changes_is_left_to_its_holder() {
    let mut lease = lease(1);
    for beat in 0..10 {
        let row = LeaseRecord {
            holder: "host0 1".to_owned(),
            version: beat,
        };
        lease.record_read(ms(beat * 1000), Some(row));
        assert!(!matches!(lease.step(ms(beat * 1000)), Step::Write { .. }));
    }
}

#[test]
fn a_write_in_doubt_is_read_before_anything_else() {
    let mut lease = lease(0);
    lease.record_read(ms(0), None);
    lease.record_write(ms(0), ms(900), WriteOutcome::Unknown);
    assert!(!lease.held(ms(900)));
    assert_eq!(lease.step(ms(900)), Step::Read);
}

#[test]
fn a_holder_that_is_not_renewed_stops_before_its_term_ends() {
    let mut lease = lease(0);
    lease.record_read(ms(0), None);
    lease.record_write(ms(0), ms(50), WriteOutcome::Done(1));
    assert!(lease.held(ms(1900)));
    assert!(!lease.held(ms(1921)));
}

#[test]
fn a_holder_that_ends_gives_the_lease_up_and_another_host_need_not_wait() {
    let mut row = Row::default();
    let (mut first, mut second) = (lease(0), lease(1));
    first.record_read(ms(0), None);
    let wrote = row.write("host0 1", 0);
    first.record_write(ms(0), ms(5), wrote);
    second.record_read(ms(10), row.now.clone());
    assert_eq!(second.step(ms(20)), Step::Wait);
    first.shut_down();
    assert!(!first.held(ms(30)), "before the row says so");
    assert_eq!(first.step(ms(30)), Step::Release { expected: 1 });
    let wrote = row.write(NO_HOLDER, 1);
    first.record_write(ms(30), ms(35), wrote);
    assert_eq!(first.step(ms(36)), Step::Wait);
    assert!(!first.held(ms(36)));
    second.record_read(ms(40), row.now.clone());
    assert_eq!(second.step(ms(40)), Step::Write { expected: 2 });
}

#[test]
fn a_host_that_ends_and_holds_nothing_writes_nothing() {
    let mut lease = lease(0);
    lease.record_read(ms(0), None);
    lease.shut_down();
    assert_eq!(lease.step(ms(10_000)), Step::Wait);
}

/// One host in a random schedule.
struct Host {
    lease: LeaderLease,
    number: usize,
    incarnation: u32,
    leaving: bool,
    asleep_until: u64,
    /// A call under way: when it was sent, when it is carried out, when its answer comes, whether
    /// the answer is lost.
    call: Option<(u64, u64, u64, bool, Step)>,
    carried_out: Option<Result<WriteOutcome, Option<LeaseRecord>>>,
}

#[test]
fn random_schedules_never_show_two_holders_and_always_find_one_again() {
    for seed in 0..300 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut row = Row::default();
        let mut hosts: Vec<Host> = (0..4)
            .map(|i| Host {
                lease: lease(i),
                number: i,
                incarnation: 1,
                leaving: false,
                asleep_until: 0,
                call: None,
                carried_out: None,
            })
            .collect();
        let mut unheld_since = 0;
        for t in (0..60_000).step_by(20) {
            let calm = t > 40_000;
            for host in &mut hosts {
                step(host, &mut row, t, calm, &mut rng);
            }
            let held = |h: &&Host| h.lease.held(ms(t));
            let holders = hosts.iter().filter(held).count();
            assert!(holders <= 1, "seed {seed}: {holders} holders at {t} ms");
            if holders == 1 {
                unheld_since = t;
            }
            if t > 48_000 {
                assert!(t - unheld_since < 6_000, "seed {seed}: nobody at {t} ms");
            }
        }
    }
}

/// What a step writes, and the version that the row must have.
fn written(number: usize, incarnation: u32, step: &Step) -> Option<(String, u64)> {
    match step {
        Step::Write { expected } => Some((format!("host{number} {incarnation}"), *expected)),
        Step::Release { expected } => Some((NO_HOLDER.to_owned(), *expected)),
        Step::Wait | Step::Read => None,
    }
}

fn step(host: &mut Host, row: &mut Row, t: u64, calm: bool, rng: &mut Pcg64) {
    // A call is carried out also while its sender sleeps.
    if let Some((_, at, _, _, step)) = &host.call
        && *at <= t
        && host.carried_out.is_none()
    {
        host.carried_out = Some(match written(host.number, host.incarnation, step) {
            Some((holder, expected)) => Ok(row.write(&holder, expected)),
            None => Err(row.now.clone()),
        });
    }
    if !calm && rng.random_bool(0.0008) {
        host.asleep_until = t + rng.random_range(500..8000);
    }
    if host.asleep_until > t {
        return;
    }
    if let Some((sent, _, answered, lost, _)) = host.call {
        // The caller gives up on an answer after 800 ms; the call may be carried out later still.
        let given_up = t > sent + 800 && (lost || answered > t);
        if answered <= t && !lost {
            match host
                .carried_out
                .take()
                .expect("carried out before answered")
            {
                Ok(wrote) => host.lease.record_write(ms(sent), ms(t), wrote),
                Err(seen) => host.lease.record_read(ms(t), seen),
            }
            host.call = None;
        } else if given_up {
            let late = host.call.take();
            let late = late.and_then(|c| written(host.number, host.incarnation, &c.4));
            if let Some((holder, expected)) = late {
                host.lease
                    .record_write(ms(sent), ms(t), WriteOutcome::Unknown);
                if host.carried_out.is_none() {
                    // Carried out late, and nobody hears of it.
                    row.write(&holder, expected);
                }
            }
            host.carried_out = None;
        }
        return;
    }
    if !calm && !host.leaving && rng.random_bool(0.0008) {
        host.leaving = true;
        host.lease.shut_down();
    }
    let step = host.lease.step(ms(t));
    if step == Step::Wait && host.leaving {
        host.leaving = false;
        host.incarnation += 1;
        let me = format!("host{} {}", host.number, host.incarnation);
        host.lease = LeaderLease::new(me, TERM, LOOK);
        host.asleep_until = t + rng.random_range(100..5000);
        return;
    }
    if step != Step::Wait {
        let trouble = !calm && rng.random_bool(0.1);
        let at = t + rng.random_range(1..if trouble { 3000 } else { 30 });
        let lost = !calm && rng.random_bool(0.1);
        host.call = Some((t, at, at + rng.random_range(1..30), lost, step));
    }
}
