//! All gateways are killed at once while the platform's list holds entries of another writer.
//!
//! The other writer lists a service that no configuration names, at the addresses of the servers, without `born`. Its
//! entries name no server to use; the others hold.

mod platform;

use platform::{
    Clients, Gateway, HEARTBEAT, Record, Server, Store, folders, has_trouble, keep_listed, served,
};
use std::sync::{Arc, atomic::AtomicBool};
use std::thread::sleep;
use std::time::Duration;

const SERVICE: &str = "xano55b";
const OTHER_SERVICE: &str = "node-agent";
/// The bound `recoveryS` of a small deployment.
const RECOVERY: Duration = Duration::from_secs(12);

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":{attempts},\"allowAnonymous\":false}}",
            platform::HOST
        )
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\"maxConnections\":48,\"healthCheck\":\"/health\"}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"{}\",\"apiKeys\":[\"{}\"]}}]}}",
        route("lookup", "/puxa403/", "non_idempotent", 1),
        route("check", "/cuti104/", "idempotent", 2),
        platform::TENANT,
        platform::KEY
    )
}

fn main() {
    let (root, case, temp) = folders();
    let trouble = has_trouble();
    let record = Record::new();
    let store = Store::start();
    store.put("op", "config", &config());
    let never = Arc::new(AtomicBool::new(false));

    let servers: Vec<Server> = ["i-2c77ab01", "i-7f3a91c2", "i-c90d5e13"]
        .iter()
        .map(|id| Server::start(id, Duration::from_millis(20), &record))
        .collect();
    // The other writer is there first, as its program starts with the machine.
    for (n, server) in servers.iter().enumerate() {
        let (key, addr) = (format!("node-agent-{n}"), server.addr);
        record.note(format!("another writer lists {key} of service {OTHER_SERVICE} at {addr}, without born"));
        keep_listed(&store, &key, never.clone(), move |sequence| {
            format!(
                "{{\"service\":\"{OTHER_SERVICE}\",\"address\":\"{addr}\",\"zone\":\"bern\",\"version\":\"9\",\"slots\":1,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence}}}"
            )
        });
    }

    let places = [("front-bern-1", "bern"), ("front-bern-2", "bern"), ("front-olten-1", "olten")];
    let mut gateways: Vec<Gateway> =
        places.iter().map(|(name, zone)| Gateway::new(&temp, &root, name, zone, store.addr)).collect();
    for gateway in &mut gateways {
        if let Err(e) = gateway.start() {
            eprintln!("the gateway does not start: {e}");
            std::process::exit(2);
        }
    }
    if !gateways.iter().all(|g| g.until_ready(Duration::from_secs(15))) {
        eprintln!("the gateways do not become ready");
        std::process::exit(2);
    }
    sleep(2 * HEARTBEAT);
    for server in &servers {
        record.note(format!("server {} lists itself: service {SERVICE} at {}, born {}", server.id, server.addr, server.born));
        let listed = server.clone();
        keep_listed(&store, &server.id, never.clone(), move |sequence| {
            listed.entry(SERVICE, "bern", sequence)
        });
    }
    sleep(2 * HEARTBEAT);

    let fronts = gateways.iter().map(|g| g.callers).collect();
    let begin = record.now();
    let clients = Clients::start(6, fronts, Duration::from_millis(100), &record, |n| match n % 2 {
        0 => ("GET", format!("/cuti104/{n:x}")),
        _ => ("POST", format!("/puxa403/{n:x}")),
    });
    sleep(Duration::from_secs(10));
    let fault = record.now();
    if trouble {
        record.note("all processes of the system are killed");
        gateways.iter_mut().for_each(Gateway::kill);
        sleep(Duration::from_millis(1500));
        for gateway in &mut gateways {
            gateway.start().expect("it started before");
        }
        record.note("all processes of the system are started again");
    }
    let ready = gateways.iter().all(|g| g.until_ready(Duration::from_secs(10)));
    record.note(format!("all processes are ready: {ready}"));
    let back = record.now();
    sleep(RECOVERY + Duration::from_secs(10));
    let attempts = clients.end();
    drop(gateways);

    let (served_before, before) = served(&attempts, begin, fault);
    let (served_after, after) = served(&attempts, back + RECOVERY, Duration::MAX);
    let verdict = format!(
        "served before the fault: {served_before} of {before}; sent later than 12 s after the machines were back: {served_after} of {after}"
    );
    record.note(&*verdict);
    let _ = record.write(&case.join("record.txt"));
    println!("{verdict}");
    let usable = before >= 100 && after >= 100 && 4 * served_before >= before;
    std::process::exit(match usable {
        false => 2,
        true => i32::from(4 * served_after < after),
    });
}
