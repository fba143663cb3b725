//! All hosts are killed and started again while the store holds entries of another writer, which name a service that is
//! not configured and the addresses of servers.

use std::{
    io,
    sync::{atomic::Ordering, Arc},
    thread,
    time::{Duration, Instant},
};

use super::Outcome;
use crate::{
    callers::Callers,
    deployment::{configuration, Deployment, Key, Setup},
    endpoints::Listed,
    hosts,
    record::Record,
};

const KEY: Key = ("harbour", "kept-key-5b1f");
/// A service that no configuration names.
const FOREIGN_SERVICE: &str = "tide-gauge";

/// `recoveryS` of the small deployments.
const RECOVERY: Duration = Duration::from_secs(12);
/// Traffic before the fault.
const BEFORE: Duration = Duration::from_secs(15);
/// How long the killed machines are down.
const DOWN: Duration = Duration::from_millis(1500);
/// Traffic after the time for recovery.
const AFTER: Duration = Duration::from_secs(12);

/// What another writer wrote: an entry with the address of a server, under a name and for a service of its own.
fn foreign_entry(server: &Listed) -> Listed {
    Listed {
        id: format!("tide-{}", server.id),
        service: FOREIGN_SERVICE.to_owned(),
        draining: Arc::default(),
        left: Arc::default(),
        ..server.clone()
    }
}

pub fn run(record: Arc<Record>, trouble: bool) -> io::Result<Outcome> {
    let setup = Setup {
        name: "foreign-entries",
        keys: &[KEY],
    };
    let mut deployment = Deployment::start_hosts(&setup, record.clone())?;
    // The other writer has written its entries once, before the servers are started. It removes none.
    for server in &deployment.servers {
        let foreign = foreign_entry(server);
        deployment
            .store
            .write("servers", &foreign.id, Some(&foreign.entry(1)));
        record.add(&format!(
            "entry of another writer: {} {}",
            foreign.id,
            foreign.entry(1)
        ));
    }
    thread::sleep(Duration::from_secs(2));
    deployment.start_servers()?;
    deployment.wait_until_ready()?;
    thread::sleep(Duration::from_secs(3));

    let callers = Arc::new(Callers::new(record.clone()));
    let threads = callers.call_all(&deployment.hosts, &[KEY.1]);
    let began_at = Instant::now();
    thread::sleep(BEFORE);
    let next = configuration(12, &[KEY]);
    let (fault_at, ver) = deployment.configure(&next);
    record.announce(&format!("a configuration is acknowledged at version {ver}"));
    if trouble {
        record.announce("all hosts are killed");
        deployment
            .processes
            .iter_mut()
            .for_each(|process| process.kill());
        thread::sleep(DOWN);
        let started: io::Result<Vec<_>> =
            deployment.hosts.iter().map(|host| host.start()).collect();
        deployment.processes = started?;
        record.announce("all hosts are started again");
    }
    let back_at = Instant::now();
    let ready = hosts::wait_until_ready(&deployment.hosts, RECOVERY);
    record.announce(&format!("all hosts say that they are ready: {ready}"));
    thread::sleep(RECOVERY.saturating_sub(back_at.elapsed()) + AFTER);
    callers.stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().expect("a caller does not panic");
    }
    let before = callers.served_between(began_at, fault_at);
    let after = callers.served_between(back_at + RECOVERY, Instant::now());
    record.announce(&format!("before the fault: {before}"));
    record.announce(&format!(
        "later than {RECOVERY:?} after the machines were back: {after}"
    ));
    // RECOVER: a quarter of these requests is served, if a quarter was before the fault.
    if before.sent == 0 || after.sent == 0 || before.served * 4 < before.sent {
        return Err(io::Error::other("too little was served before the fault"));
    }
    Ok(match after.served * 4 >= after.sent {
        true => Outcome::Held,
        false => Outcome::Broken,
    })
}
