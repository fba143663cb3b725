//! A server leaves, and the store comes back from an older copy, in which the server is still listed.

use std::{
    collections::BTreeMap,
    io,
    sync::{atomic::Ordering, Arc},
    thread,
    time::{Duration, Instant},
};

use super::Outcome;
use crate::{
    callers::Callers,
    deployment::{Deployment, Key, Setup},
    record::Record,
};

const KEYS: [Key; 2] = [("harbour", "kept-key-5b1f"), ("broker", "kept-key-90ac")];

/// `drainMs` of the small deployments.
const DRAIN: Duration = Duration::from_millis(2000);
/// `stableWindowMs` of the small deployments.
const STABLE: Duration = Duration::from_millis(3000);
/// Traffic before the copy is taken.
const BEFORE: Duration = Duration::from_secs(6);
/// From the copy to the moment at which the server leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(500);
/// From the copy to the moment at which the store goes away.
const COPY_AGE: Duration = Duration::from_secs(4);
const AWAY: Duration = Duration::from_millis(1500);
/// Three heartbeat intervals: a server that writes nothing for so long is removed from the list.
const LAPSE: Duration = Duration::from_millis(3600);
/// Traffic after that.
const AFTER: Duration = Duration::from_secs(1);

pub fn run(record: Arc<Record>, trouble: bool) -> io::Result<Outcome> {
    let setup = Setup {
        name: "left-server",
        keys: &KEYS,
    };
    let deployment = Deployment::start_hosts(&setup, record.clone())?;
    deployment.start_servers()?;
    deployment.wait_until_ready()?;
    let callers = Arc::new(Callers::new(record.clone()));
    let threads = callers.call_all(&deployment.hosts, &[KEYS[0].1, KEYS[1].1]);
    thread::sleep(BEFORE);
    let copy_at = Instant::now();
    thread::sleep(LEAVES_AFTER);
    let leaving = deployment.servers.iter().find(|s| s.service == "quay-app");
    let leaving = leaving.ok_or_else(|| io::Error::other("no server"))?;
    let (acknowledged_at, ver) = leaving.leave(&deployment.store);
    record.announce(&format!(
        "the entry of {} is removed at version {ver}",
        leaving.id
    ));
    thread::sleep(COPY_AGE.saturating_sub(copy_at.elapsed()));
    if trouble {
        record.announce("the store goes away");
        deployment.store.go_away();
    }
    thread::sleep(AWAY);
    if trouble {
        let restored = deployment.store.come_back_from_copy(copy_at)?;
        let age = copy_at.elapsed().as_secs_f64();
        record.announce(&format!(
            "the store is back from a copy {age:.1} s old: {restored}"
        ));
    }
    let back_at = Instant::now();
    thread::sleep(LAPSE);
    deployment.store.write("servers", &leaving.id, None);
    thread::sleep(AFTER);
    callers.stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().expect("a caller does not panic");
    }
    let bound = Bound {
        acknowledged_at,
        stable_at: back_at + STABLE,
    };
    judge(&deployment, &callers, &leaving.id, bound)
}

/// From when on no request may reach the server.
struct Bound {
    acknowledged_at: Instant,
    /// When the store is stable again, so that hosts are in touch.
    stable_at: Instant,
}

/// DRAIN: no request reaches the server later than `drainMs` after the acknowledgement, sent on by a host in touch. Hosts
/// that have acknowledged its leaving are bound while the store is in disruption, too; what they send then is recorded, but
/// the verdict takes only what reaches the server once the store is stable again.
fn judge(
    deployment: &Deployment,
    callers: &Callers,
    leaving: &str,
    bound: Bound,
) -> io::Result<Outcome> {
    let sent = callers.sent.lock().unwrap();
    let mut late: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    let (mut before, mut in_touch) = (0, 0);
    let runs = deployment.ledger.runs();
    for run in runs.iter().filter(|run| run.server == leaving) {
        let Some(request) = sent.get(&run.attempt) else {
            continue;
        };
        let after = run.at.saturating_duration_since(bound.acknowledged_at);
        before += usize::from(after.is_zero());
        if after > DRAIN {
            late.entry(&request.host).or_default().push(after);
            in_touch += usize::from(run.at > bound.stable_at);
        }
    }
    let record = &deployment.record;
    record.announce(&format!(
        "{before} requests reached {leaving} before it left"
    ));
    for (host, late) in &late {
        let (first, last) = (late.iter().min().copied(), late.iter().max().copied());
        record.announce(&format!(
            "{host}: {} requests reached it too late, {:.2?} to {:.2?} after the acknowledgement",
            late.len(),
            first.unwrap_or_default(),
            last.unwrap_or_default()
        ));
    }
    record.announce(&format!(
        "{in_touch} of them reached it after the store was stable again"
    ));
    if before == 0 {
        return Err(io::Error::other(
            "no request reached the server before it left",
        ));
    }
    Ok(match in_touch {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    })
}
