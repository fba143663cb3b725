//! Hosts that start together do not call the store more often, each, the more they are.

mod common;

use std::time::Duration;

use common::ms;
use dragonflyrill_fleet::{
    row_writes::{self, JoinWrite, ProofVersions, RefusedWrites, SpreadWrite},
    share::{Claim, ClaimRow, ClaimsSnapshot, Share},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const HEARTBEAT: Duration = Duration::from_secs(30);
/// Duration of a write; a part writes one row after the other.
const WRITE: Duration = Duration::from_millis(5);
/// The part refuses writes while more than this is waiting.
const MAX_BACKLOG: Duration = Duration::from_secs(1);
/// Interval between two reads of the rows that are reported to all hosts.
const READ_INTERVAL: Duration = Duration::from_millis(1200);
const STEP: Duration = Duration::from_millis(20);

/// One part of a table, and the rows in it.
struct Part {
    rows: Vec<Option<ClaimRow>>,
    version: u64,
    busy_until: Duration,
    calls: u64,
}

impl Part {
    fn write(&mut self, host: usize, claim: Claim, now: Duration) -> Option<u64> {
        self.calls += 1;
        if self.busy_until > now + MAX_BACKLOG {
            return None;
        }
        self.busy_until = self.busy_until.max(now) + WRITE;
        self.version += 1;
        let version = self.version;
        self.rows[host] = Some(ClaimRow { version, claim });
        Some(version)
    }

    fn snapshot(&self, now: Duration) -> ClaimsSnapshot {
        let rows: Vec<ClaimRow> = self.rows.iter().flatten().copied().collect();
        ClaimsSnapshot::of(&rows, self.version, now)
    }
}

struct Host {
    share: Share,
    started_at: Duration,
    started: bool,
    written: bool,
    paused_until: Duration,
    join: JoinWrite,
    refused: RefusedWrites,
}

/// Starts `hosts` hosts within 0.3 s of each other. Returns the writes of each host on average until all hold
/// their shares, and when that is.
fn start_together(hosts: usize) -> (f64, Duration) {
    let mut rng = Pcg64::seed_from_u64(hosts as u64);
    let mut part = Part {
        rows: vec![None; hosts],
        version: 0,
        busy_until: Duration::ZERO,
        calls: 0,
    };
    let mut all: Vec<Host> = (0..hosts)
        .map(|_| Host {
            share: Share::new(Duration::from_secs(11)),
            started_at: ms(rng.random_range(0..300)),
            started: false,
            written: false,
            paused_until: Duration::ZERO,
            join: JoinWrite::default(),
            refused: RefusedWrites::default(),
        })
        .collect();
    let mut now = Duration::ZERO;
    let mut read_at = Duration::ZERO;
    while now < Duration::from_secs(60) {
        now += STEP;
        let reported = (now >= read_at + READ_INTERVAL).then(|| {
            read_at = now;
            part.snapshot(now)
        });
        let mut held = 0;
        for (number, host) in all.iter_mut().enumerate() {
            if now < host.started_at {
                continue;
            }
            if !std::mem::replace(&mut host.started, true) {
                host.share.merge_snapshot(part.snapshot(now), now, now);
            }
            if let Some(snapshot) = reported {
                host.share.merge_snapshot(snapshot, now, now);
            }
            held += usize::from(host.share.divisor(now).is_some());
            let known = host.share.snapshot().map_or(0, |s| s.hosts);
            let spread = row_writes::join_spread(known, HEARTBEAT);
            let awaited = host.share.awaited();
            let join = host
                .join
                .is_due(awaited, spread, now, || rng.random::<f64>());
            let due = join || !host.written;
            if now < host.paused_until || !due {
                continue;
            }
            let Some(draft) = host.share.draft(now) else {
                continue;
            };
            match part.write(number, draft.claim, now) {
                Some(version) => {
                    host.share.confirm_write(&draft, version, now);
                    host.written = true;
                    host.join.record_write();
                    host.refused.reset();
                }
                None => host.paused_until = now + host.refused.record_refusal(rng.random()),
            }
        }
        if held == hosts {
            break;
        }
    }
    (part.calls as f64 / hosts as f64, now)
}

/// Guards against rows that are written once for each group of hosts that joins while others still wait, and
/// against refused writes that are all sent again at the same moment.
#[test]
fn the_writes_of_each_host_at_a_common_start_do_not_grow_with_the_number_of_hosts() {
    for hosts in [50, 200, 800, 1972] {
        let (writes, settled_at) = start_together(hosts);
        println!("{hosts} hosts: {writes:.2} writes each, shares held after {settled_at:?}");
        // A claim, a write that counts all others, and as many refused ones.
        assert!(writes <= 4.0, "{hosts} hosts: {writes} writes each");
        // Half of what the part takes is used: a claim and a count of each host, and the time of a read.
        let bound = 2 * row_writes::WRITE_PAUSE_PER_HOST * hosts as u32 + HEARTBEAT.mul_f64(0.2);
        assert!(settled_at <= bound, "{hosts} hosts: {settled_at:?}");
    }
}

#[test]
fn the_write_for_a_joining_host_waits_while_more_hosts_join() {
    let mut join = JoinWrite::default();
    let spread = |hosts| row_writes::join_spread(hosts, Duration::from_secs(8));
    assert!(!join.is_due(true, spread(1), ms(0), || 0.0));
    assert!(!join.is_due(true, spread(500), ms(400), || 0.0));
    assert!(join.is_due(true, spread(500), ms(2500), || 0.0));
    join.record_write();
    assert!(!join.is_due(true, spread(500), ms(2600), || 0.0));
    assert!(!join.is_due(false, spread(500), ms(9000), || 0.0));
}

#[test]
fn refused_writes_are_spread_over_a_longer_time_each_time() {
    let mut refused = RefusedWrites::default();
    let first = refused.record_refusal(1.0);
    assert_eq!(refused.record_refusal(1.0), 2 * first);
    assert_eq!(refused.record_refusal(0.0), Duration::ZERO);
    refused.reset();
    assert_eq!(refused.record_refusal(1.0), first);
}

#[test]
fn a_spread_write_keeps_the_time_that_was_drawn_when_it_was_first_owed() {
    let mut write = SpreadWrite::default();
    assert!(!write.is_due(false, ms(0), || unreachable!("nothing is owed")));
    assert!(write.may_be_due(ms(0)));
    assert!(!write.is_due(true, ms(100), || ms(50)));
    assert!(!write.may_be_due(ms(149)));
    assert!(!write.is_due(true, ms(149), || unreachable!("it was drawn")));
    assert!(write.is_due(true, ms(150), || unreachable!("it was drawn")));
    write.record_write();
    assert!(!write.is_due(true, ms(160), || ms(50)));
    // What was owed may be written by another host.
    assert!(!write.is_due(false, ms(170), || ms(0)));
    assert!(write.is_due(true, ms(180), || ms(0)));
}

#[test]
fn a_proof_is_owed_until_it_is_stored_or_reported_to_the_host_that_stores_it() {
    let of = |proved, urgent, stored, reported| ProofVersions {
        proved,
        urgent,
        stored,
        reported,
    };
    let owed = |proved, stored, reported| of(proved, 0, stored, reported).owed();
    assert!(!owed(0, 0, None));
    assert!(owed(7, 0, None));
    assert!(owed(7, 6, Some(6)));
    assert!(!owed(7, 6, Some(7)));
    assert!(!owed(7, 7, Some(0)));
    assert!(!owed(7, 7, None));
    // What may be caused by its request is not left to another host.
    let urgent = of(7, 6, 5, Some(7));
    assert!(urgent.is_urgent() && urgent.owed());
    let stored = of(7, 6, 6, Some(7));
    assert!(!stored.is_urgent() && !stored.owed());
}
