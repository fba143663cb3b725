//! A key is revoked as the store comes back from a copy some seconds old.

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
    deployment::{configuration, Deployment, Key, Setup},
    record::Record,
};

const KEPT: Key = ("harbour", "kept-key-5b1f");
const REVOKED: Key = ("broker", "revoked-key-90ac");

/// `revokeMs` of the small deployments.
const REVOKE: Duration = Duration::from_millis(5000);
/// Traffic before the copy is taken.
const BEFORE: Duration = Duration::from_secs(6);
/// From the copy to the moment at which the store goes away.
const COPY_AGE: Duration = Duration::from_secs(1);
const AWAY: Duration = Duration::from_secs(2);
/// Traffic after the revocation was acknowledged.
const AFTER: Duration = Duration::from_secs(15);
pub fn run(record: Arc<Record>, trouble: bool) -> io::Result<Outcome> {
    let setup = Setup {
        name: "store-restored",
        keys: &[KEPT, REVOKED],
    };
    let mut deployment = Deployment::start_hosts(&setup, record.clone())?;
    deployment.start_servers()?;
    deployment.wait_until_ready()?;
    let callers = Arc::new(Callers::new(record.clone()));
    let threads = callers.call_all(&deployment.hosts, &[KEPT.1, REVOKED.1]);
    thread::sleep(BEFORE);
    let copy_at = Instant::now();
    thread::sleep(COPY_AGE);
    let away_at = Instant::now();
    if trouble {
        record.announce("the store goes away");
        deployment.store.go_away();
    }
    let revoked = configuration(12, &[KEPT]);
    let (acknowledged_at, ver) = thread::scope(|scope| {
        // The operator takes the key away while the store is away, and repeats the write until it is acknowledged.
        let operator = scope.spawn(|| {
            thread::sleep(AWAY / 2);
            if !trouble {
                thread::sleep(AWAY / 2);
            }
            deployment.configure(&revoked)
        });
        thread::sleep(AWAY.saturating_sub(away_at.elapsed()));
        if trouble {
            let restored = deployment.store.come_back_from_copy(copy_at)?;
            record.announce(&format!(
                "the store is back from a copy {:.1} s old: {restored}",
                copy_at.elapsed().as_secs_f64()
            ));
        }
        Ok::<_, io::Error>(operator.join().expect("the operator does not panic"))
    })?;
    record.announce(&format!(
        "the revocation of {} is acknowledged at version {ver}",
        REVOKED.1
    ));
    thread::sleep(AFTER);
    callers.stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().expect("a caller does not panic");
    }
    if deployment.processes.iter_mut().any(|p| p.has_ended()) {
        record.announce("a host has ended by itself");
    }
    judge(&deployment, &callers, acknowledged_at)
}

/// CONFIG: no request runs that was sent later than `revokeMs` after the acknowledgement of the configuration that took
/// its key away.
fn judge(
    deployment: &Deployment,
    callers: &Callers,
    acknowledged_at: Instant,
) -> io::Result<Outcome> {
    let sent = callers.sent.lock().unwrap();
    let runs = deployment.ledger.runs();
    let mut late: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    let mut kept = 0;
    for run in &runs {
        let Some(request) = sent.get(&run.attempt) else {
            continue;
        };
        let after = request.at.saturating_duration_since(acknowledged_at);
        kept += usize::from(request.key == KEPT.1 && after > REVOKE);
        if request.key == REVOKED.1 && after > REVOKE {
            late.entry(&request.host).or_default().push(after);
        }
    }
    let record = &deployment.record;
    record.announce(&format!(
        "{} runs in all; {kept} with the kept key more than {REVOKE:?} after the acknowledgement",
        runs.len()
    ));
    for (host, late) in &late {
        let last = late.iter().max().copied().unwrap_or_default();
        record.announce(&format!("{host}: {} requests with the revoked key ran, the last was sent {last:.1?} after the acknowledgement", late.len()));
    }
    if kept == 0 {
        return Err(io::Error::other("no request with the kept key ran"));
    }
    Ok(match late.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    })
}
