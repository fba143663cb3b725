//! The store comes back from a copy in which a revoked key is still valid, and the only host of a zone starts again.

mod platform;

use platform::{Clients, Gateway, HEARTBEAT, Record, Server, Store, folders, has_trouble, keep_listed};
use std::collections::HashSet;
use std::sync::{Arc, atomic::AtomicBool};
use std::thread::sleep;
use std::time::Duration;

const SERVICE: &str = "xano55b";
const LASTING_KEY: &str = platform::KEY;
const REVOKED_KEY: &str = "w7kq2bd0x5tzr8hcm3va";
/// The bound `revokeMs` of a small deployment.
const REVOKE: Duration = Duration::from_millis(5000);

fn config(version: u64, keys: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":{attempts},\"allowAnonymous\":false}}",
            platform::HOST
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\"maxConnections\":48,\"healthCheck\":\"/health\"}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"{}\",\"apiKeys\":[{keys}]}}]}}",
        route("lookup", "/puxa403/", "non_idempotent", 1),
        route("check", "/cuti104/", "idempotent", 2),
        platform::TENANT,
    )
}

fn main() {
    let (root, case, temp) = folders();
    let trouble = has_trouble();
    let record = Record::new();
    let store = Store::start();
    let both = format!("\"{LASTING_KEY}\",\"{REVOKED_KEY}\"");
    let without = format!("\"{LASTING_KEY}\"");
    store.put("op", "config", &config(7, &both));
    let never = Arc::new(AtomicBool::new(false));
    let servers: Vec<Server> = [("i-2c77ab01", "bern"), ("i-7f3a91c2", "olten"), ("i-c90d5e13", "luzern")]
        .iter()
        .map(|(id, zone)| {
            let server = Server::start(id, Duration::from_millis(20), &record);
            let (listed, zone) = (server.clone(), *zone);
            keep_listed(&store, id, never.clone(), move |n| listed.entry(SERVICE, zone, n));
            server
        })
        .collect();
    let places = [
        ("front-bern-1", "bern"),
        ("front-bern-2", "bern"),
        ("front-olten-1", "olten"),
        ("front-olten-2", "olten"),
        ("front-luzern-1", "luzern"),
    ];
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
    sleep(4 * HEARTBEAT);
    let fronts: Vec<_> = gateways.iter().map(|g| g.callers).collect();
    let pause = Duration::from_millis(100);
    let make = |n: u64| match n % 2 {
        0 => ("GET", format!("/cuti104/{n:x}")),
        _ => ("POST", format!("/puxa403/{n:x}")),
    };
    let lasting = Clients::start(5, fronts.clone(), LASTING_KEY, pause, &record, make);
    // One client of each host has the key that is taken away.
    let revoked: Vec<Clients> = fronts
        .iter()
        .map(|front| Clients::start(1, vec![*front], REVOKED_KEY, pause, &record, make))
        .collect();
    sleep(Duration::from_secs(4));

    let copy = store.copy();
    record.note("a copy of the store is made");
    sleep(Duration::from_secs(1));
    store.put("op", "config", &config(8, &without));
    let acknowledged = record.now();
    record.note("the store acknowledges version 8, which takes a key away");
    let until = |at: u64| sleep((acknowledged + Duration::from_millis(at)).saturating_sub(record.now()));
    if trouble {
        until(3000);
        store.go_away();
        record.note("the store is away");
        until(4700);
        gateways[4].kill();
        record.note("front-luzern-1, the only host of its zone, is killed");
        until(4800);
        store.come_back(copy);
        record.note("the store is back from the copy");
        until(5700);
        gateways[4].start().expect("it started before");
        record.note("front-luzern-1 is started again");
        until(6800);
        store.put("op", "config", &config(8, &without));
        record.note("the operator has written version 8 again");
    }
    until(12_000);
    let sound = lasting.end();
    let attempts: Vec<_> = revoked.into_iter().flat_map(Clients::end).collect();
    drop(gateways);

    let ran: HashSet<String> = servers
        .iter()
        .flat_map(|s| s.ran_at.lock().unwrap().clone())
        .map(|(id, _)| id)
        .collect();
    let before = attempts.iter().filter(|a| a.sent < acknowledged && ran.contains(&a.id)).count();
    let late: Vec<_> = attempts
        .iter()
        .filter(|a| a.sent > acknowledged + REVOKE && ran.contains(&a.id))
        .collect();
    for attempt in &late {
        record.note(format!(
            "BROKEN: {} with the key that was taken away was sent {:.3} s after the acknowledgement, and ran",
            attempt.id,
            (attempt.sent - acknowledged).as_secs_f64()
        ));
    }
    let served = sound.iter().filter(|a| a.status == 200).count();
    let verdict = format!(
        "requests with the key that ran: {before} sent before it was taken away, {} sent later than 5 s after; other requests served: {served} of {}",
        late.len(),
        sound.len()
    );
    record.note(&*verdict);
    let _ = record.write(&case.join("record.txt"));
    println!("{verdict}");
    std::process::exit(match before >= 20 && 2 * served >= sound.len() {
        false => 2,
        true => i32::from(!late.is_empty()),
    });
}
