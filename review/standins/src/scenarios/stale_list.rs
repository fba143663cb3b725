//! The store comes back from a copy some seconds old, the first host of a zone is killed and started again, and later a
//! server drains.

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
const BEFORE: Duration = Duration::from_secs(4);
/// From the copy to the moment at which the store goes away.
const COPY_AGE: Duration = Duration::from_millis(5500);
const AWAY: Duration = Duration::from_millis(1500);
/// From the return of the store to the kill of the host.
const KILL_AFTER: Duration = Duration::from_millis(200);
/// From the kill of the host to its start.
const DOWN: Duration = Duration::from_millis(1000);
/// From the return of the store to the moment at which the server drains: the store is stable.
const DRAIN_AFTER: Duration = Duration::from_millis(3200);
/// How long the draining server goes on serving.
const SERVES_ON: Duration = Duration::from_secs(6);

pub fn run(record: Arc<Record>, trouble: bool) -> io::Result<Outcome> {
    let setup = Setup {
        name: "stale-list",
        keys: &KEYS,
    };
    let mut deployment = Deployment::start_hosts(&setup, record.clone())?;
    deployment.start_servers()?;
    deployment.wait_until_ready()?;
    let callers = Arc::new(Callers::new(record.clone()));
    let threads = callers.call_all(&deployment.hosts, &[KEYS[0].1, KEYS[1].1]);
    thread::sleep(BEFORE);
    let copy_at = Instant::now();
    thread::sleep(COPY_AGE);
    let killed = deployment.hosts[0].clone();
    if trouble {
        record.announce("the store goes away");
        deployment.store.go_away();
    }
    thread::sleep(AWAY);
    let back_at = Instant::now();
    if trouble {
        let restored = deployment.store.come_back_from_copy(copy_at)?;
        let age = copy_at.elapsed().as_secs_f64();
        record.announce(&format!(
            "the store is back from a copy {age:.1} s old: {restored}"
        ));
        thread::sleep(KILL_AFTER);
        record.announce(&format!("{} is killed", killed.name));
        deployment.processes[0].kill();
        thread::sleep(DOWN);
        deployment.processes[0] = killed.start()?;
    }
    thread::sleep(DRAIN_AFTER.saturating_sub(back_at.elapsed()));
    let leaving = deployment
        .servers
        .iter()
        .find(|s| s.service == "quay-app" && s.zone == killed.zone);
    let leaving = leaving.ok_or_else(|| io::Error::other("no server in the zone"))?;
    let (acknowledged_at, ver) = leaving.drain(&deployment.store);
    record.announce(&format!(
        "{} reports at version {ver} that it drains",
        leaving.id
    ));
    thread::sleep(SERVES_ON);
    callers.stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().expect("a caller does not panic");
    }
    judge(
        &deployment,
        &callers,
        &leaving.id,
        &killed.name,
        acknowledged_at,
    )
}

/// DRAIN: no request reaches the server later than `drainMs` after the acknowledgement, sent on by a host in touch. The
/// host that was killed is left out.
fn judge(
    deployment: &Deployment,
    callers: &Callers,
    leaving: &str,
    killed: &str,
    acknowledged_at: Instant,
) -> io::Result<Outcome> {
    let sent = callers.sent.lock().unwrap();
    let mut late: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    let mut before = 0;
    let runs = deployment.ledger.runs();
    for run in runs.iter().filter(|run| run.server == leaving) {
        let Some(request) = sent.get(&run.attempt).filter(|r| r.host != killed) else {
            continue;
        };
        let after = run.at.saturating_duration_since(acknowledged_at);
        before += usize::from(after.is_zero());
        if after > DRAIN {
            late.entry(&request.host).or_default().push(after);
        }
    }
    let record = &deployment.record;
    record.announce(&format!("{before} requests reached {leaving} before it drained; hosts are in touch {STABLE:?} after the return of the store"));
    for (host, late) in &late {
        let last = late.iter().max().copied().unwrap_or_default();
        record.announce(&format!("{host}: {} requests reached it too late, the last {last:.2?} after the acknowledgement", late.len()));
    }
    if before == 0 {
        return Err(io::Error::other(
            "no request reached the server before it drained",
        ));
    }
    Ok(match late.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    })
}
