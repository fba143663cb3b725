//! Two hosts never hold a lease at the same time, whatever happens to their calls, and the lease is
//! taken over in time.

use std::time::Duration;

use dragonflyrill_fleet::leader_lease::{LeaderLease, LeaseRecord, NO_HOLDER, Step, WriteOutcome};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

mod common;
use common::ms;

const TERM: Duration = Duration::from_millis(2400);
const READ_INTERVAL: Duration = Duration::from_millis(1200);

fn lease(host: usize) -> LeaderLease {
    LeaderLease::new(format!("host{host} 1"), TERM, READ_INTERVAL)
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
fn the_first_host_acquires_an_unheld_lease() {
    let mut lease = lease(0);
    assert_eq!(lease.step(ms(0)), Step::Read);
    lease.record_read(ms(1), None);
    assert_eq!(lease.step(ms(1)), Step::Write { expected: 0 });
    lease.record_write(ms(1), ms(5), WriteOutcome::Done(7));
    assert!(lease.held(ms(5)));
    assert_eq!(lease.step(ms(100)), Step::Wait);
    assert_eq!(lease.step(ms(1000)), Step::Write { expected: 7 });
}

/// Guards against a holder that writes its row with an outdated version again and again, as long as another host reports
/// that version.
#[test]
fn a_report_of_an_older_row_does_not_replace_the_known_one() {
    let own = |version| LeaseRecord {
        holder: "host0 1".to_owned(),
        version,
    };
    let mut lease = lease(0);
    lease.record_read(ms(0), Some(own(3)));
    let conflict = WriteOutcome::Conflict(Some(own(5)));
    lease.record_write(ms(1), ms(2), conflict);
    lease.record_report(ms(100), own(3));
    assert_eq!(lease.step(ms(100)), Step::Write { expected: 5 });
    lease.record_report(ms(200), own(6));
    assert_eq!(lease.step(ms(200)), Step::Write { expected: 6 });
    // A restored store gives versions out again.
    lease.record_restoration();
    lease.record_report(ms(300), own(4));
    assert_eq!(lease.step(ms(300)), Step::Write { expected: 4 });
}

#[test]
fn a_row_that_is_unchanged_for_a_term_is_taken_over() {
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
fn after_a_write_with_unknown_outcome_the_row_is_read_first() {
    let mut lease = lease(0);
    lease.record_read(ms(0), None);
    lease.record_write(ms(0), ms(900), WriteOutcome::Unknown);
    assert!(!lease.held(ms(900)));
    assert_eq!(lease.step(ms(900)), Step::Read);
}

#[test]
fn a_holder_that_does_not_renew_stops_acting_before_its_term_ends() {
    let mut lease = lease(0);
    lease.record_read(ms(0), None);
    lease.record_write(ms(0), ms(50), WriteOutcome::Done(1));
    assert!(lease.held(ms(1900)));
    assert!(!lease.held(ms(1921)));
}

#[test]
fn a_holder_that_shuts_down_releases_the_lease_for_another_host() {
    let mut row = Row::default();
    let (mut first, mut second) = (lease(0), lease(1));
    first.record_read(ms(0), None);
    let wrote = row.write("host0 1", 0);
    first.record_write(ms(0), ms(5), wrote);
    second.record_read(ms(10), row.now.clone());
    assert_eq!(second.step(ms(20)), Step::Wait);
    first.shut_down();
    assert!(!first.held(ms(30)), "even before the row is released");
    assert_eq!(first.step(ms(30)), Step::Release { expected: 1 });
    let wrote = row.write(NO_HOLDER, 1);
    first.record_write(ms(30), ms(35), wrote);
    assert_eq!(first.step(ms(36)), Step::Wait);
    assert!(!first.held(ms(36)));
    second.record_read(ms(40), row.now.clone());
    assert_eq!(second.step(ms(40)), Step::Write { expected: 2 });
}

#[test]
fn a_host_that_shuts_down_without_the_lease_writes_nothing() {
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
    shutting_down: bool,
    paused_until: u64,
    /// The pending call: when it is sent, when it is executed, when its answer arrives (all in ms),
    /// whether the answer is lost, and the step.
    call: Option<(u64, u64, u64, bool, Step)>,
    executed: Option<Result<WriteOutcome, Option<LeaseRecord>>>,
}

#[test]
fn random_schedules_never_have_two_holders_and_always_regain_one() {
    for seed in 0..300 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut row = Row::default();
        let mut hosts: Vec<Host> = (0..4)
            .map(|i| Host {
                lease: lease(i),
                number: i,
                incarnation: 1,
                shutting_down: false,
                paused_until: 0,
                call: None,
                executed: None,
            })
            .collect();
        let mut last_held_at = 0;
        for t in (0..60_000).step_by(20) {
            let no_faults = t > 40_000;
            for host in &mut hosts {
                step(host, &mut row, t, no_faults, &mut rng);
            }
            let held = |h: &&Host| h.lease.held(ms(t));
            let holders = hosts.iter().filter(held).count();
            assert!(holders <= 1, "seed {seed}: {holders} holders at {t} ms");
            if holders == 1 {
                last_held_at = t;
            }
            if t > 48_000 {
                assert!(t - last_held_at < 6_000, "seed {seed}: nobody at {t} ms");
            }
        }
    }
}

/// The holder that a step writes, and the version that the row must have.
fn written(number: usize, incarnation: u32, step: &Step) -> Option<(String, u64)> {
    match step {
        Step::Write { expected } => Some((format!("host{number} {incarnation}"), *expected)),
        Step::Release { expected } => Some((NO_HOLDER.to_owned(), *expected)),
        Step::Wait | Step::Read => None,
    }
}

fn step(host: &mut Host, row: &mut Row, t: u64, no_faults: bool, rng: &mut Pcg64) {
    // A call is executed even while its sender is paused.
    if let Some((_, at, _, _, step)) = &host.call
        && *at <= t
        && host.executed.is_none()
    {
        host.executed = Some(match written(host.number, host.incarnation, step) {
            Some((holder, expected)) => Ok(row.write(&holder, expected)),
            None => Err(row.now.clone()),
        });
    }
    if !no_faults && rng.random_bool(0.0008) {
        host.paused_until = t + rng.random_range(500..8000);
    }
    if host.paused_until > t {
        return;
    }
    if let Some((sent, _, answered, lost, _)) = host.call {
        // The caller waits 800 ms for an answer; the call may be executed even later.
        let timed_out = t > sent + 800 && (lost || answered > t);
        if answered <= t && !lost {
            match host
                .executed
                .take()
                .expect("executed before it is answered")
            {
                Ok(wrote) => host.lease.record_write(ms(sent), ms(t), wrote),
                Err(seen) => host.lease.record_read(ms(t), seen),
            }
            host.call = None;
        } else if timed_out {
            let pending = host.call.take();
            let pending = pending.and_then(|c| written(host.number, host.incarnation, &c.4));
            if let Some((holder, expected)) = pending {
                host.lease
                    .record_write(ms(sent), ms(t), WriteOutcome::Unknown);
                if host.executed.is_none() {
                    // Executed late, and no host receives the outcome.
                    row.write(&holder, expected);
                }
            }
            host.executed = None;
        }
        return;
    }
    if !no_faults && !host.shutting_down && rng.random_bool(0.0008) {
        host.shutting_down = true;
        host.lease.shut_down();
    }
    let step = host.lease.step(ms(t));
    if step == Step::Wait && host.shutting_down {
        host.shutting_down = false;
        host.incarnation += 1;
        let me = format!("host{} {}", host.number, host.incarnation);
        host.lease = LeaderLease::new(me, TERM, READ_INTERVAL);
        host.paused_until = t + rng.random_range(100..5000);
        return;
    }
    if step != Step::Wait {
        let slow_call = !no_faults && rng.random_bool(0.1);
        let at = t + rng.random_range(1..if slow_call { 3000 } else { 30 });
        let lost = !no_faults && rng.random_bool(0.1);
        host.call = Some((t, at, at + rng.random_range(1..30), lost, step));
    }
}
