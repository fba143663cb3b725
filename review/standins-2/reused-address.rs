//! A model server falls silent for good, and its address is given to a server of another service with less memory.

mod engines;
mod platform;

use engines::{A100, Engine, L4};
use platform::{Clients, Gateway, HEARTBEAT, Record, Store, folders, has_trouble, served};
use std::net::SocketAddr;
use std::sync::{Arc, atomic::{AtomicBool, Ordering}};
use std::thread::{self, sleep};
use std::time::Duration;

/// The service whose server crashes, and the one that gets its address.
const DRAFTS: &str = "dele69a";
const NOTES: &str = "moru27c";
/// Longer than the bound `reuseDelayS`.
const REUSE_DELAY: Duration = Duration::from_millis(2500);
/// How long after its start a server first writes its entry: less than half a heartbeat.
const FIRST_ENTRY: Duration = Duration::from_millis(500);

fn config() -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{}\",\"prefix\":\"{prefix}\",\"kind\":\"stream\",\"resumable\":true,\"timeoutMs\":20000,\"targetLatencyMs\":500,\"gapTargetMs\":200,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\"allowAnonymous\":false}}",
            platform::HOST
        )
    };
    let service = |name: &str, layers: u64| {
        format!(
            "{{\"name\":\"{name}\",\"maxConnections\":1038,\"healthCheck\":\"/health\",\"engine\":{{\"stride\":3,\"models\":[{{\"name\":\"m0\",\"loadS\":14.0}}],\"loads_at_once\":5,\"step_ms\":1.02,\"per_seq_ms\":0.00714,\"context_per_k\":0.00956,\"read_per_s\":105000.0,\"usual\":{{\"prompt\":760,\"answer\":180}},\"layers\":{layers},\"layerMb\":1750.0,\"kvTokenBytes\":918000.0,\"kinds\":[{{\"name\":\"a100\",\"megabytes\":72000.0,\"pace\":2.4,\"readFactor\":3.2}},{{\"name\":\"l4\",\"megabytes\":21600.0,\"pace\":16.0,\"readFactor\":8.2}}]}}}}"
        )
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"{}\",\"apiKeys\":[\"{}\"]}}]}}",
        route("drafts", "/lohu930/", DRAFTS),
        route("notes", "/wuny96/", NOTES),
        service(DRAFTS, 80),
        service(NOTES, 8),
        platform::TENANT,
        platform::KEY
    )
}

/// Writes the entry of a server every 1,200 ms; the platform removes it three intervals after the last one.
fn register(store: &Store, engine: &Engine, first: Duration) -> Arc<AtomicBool> {
    let (store, engine) = (store.clone(), engine.clone());
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    thread::spawn(move || {
        sleep(first);
        for sequence in 1.. {
            if stopped.load(Ordering::Relaxed) {
                // One interval has passed since the last entry.
                sleep(2 * HEARTBEAT);
                store.remove("servers", &engine.id);
                return;
            }
            store.put("servers", &engine.id, &engine.entry("bern", sequence));
            engine.heartbeats.store(sequence, Ordering::Relaxed);
            sleep(HEARTBEAT);
        }
    });
    stop
}

fn main() {
    let (root, case, temp) = folders();
    let trouble = has_trouble();
    let record = Record::new();
    let store = Store::start();
    store.put("op", "config", &config());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));

    let drafts: Vec<Engine> = (0..7)
        .map(|n| Engine::start(&format!("i-dd{n}0c7e1"), DRAFTS, A100, any, &record))
        .collect();
    let notes = [Engine::start("i-ee01b3d4", NOTES, L4, any, &record)];
    let registered: Vec<Arc<AtomicBool>> =
        drafts.iter().chain(&notes).map(|e| register(&store, e, Duration::ZERO)).collect();

    let places = [("front-bern-1", "bern"), ("front-bern-2", "bern"), ("front-bern-3", "bern")];
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
    sleep(Duration::from_secs(8));
    for engine in drafts.iter().chain(&notes) {
        record.note(format!("server {} of {} at {} holds {:?}", engine.id, engine.service, engine.addr, engine.layers()));
    }
    let fronts = gateways.iter().map(|g| g.callers).collect();
    let begin = record.now();
    let clients = Clients::start(18, fronts, platform::KEY, Duration::from_millis(50), &record, |n| {
        ("POST", format!("/lohu930/{n:x}"))
    });
    sleep(Duration::from_secs(6));

    let crashed = drafts.iter().position(|e| e.layers().is_some()).unwrap_or(0);
    let mut addr = any;
    if trouble {
        let lost = &drafts[crashed];
        // Right after a heartbeat, so that its entry stays as long as the platform allows.
        let sequence = lost.heartbeats.load(Ordering::Relaxed);
        while lost.heartbeats.load(Ordering::Relaxed) == sequence {
            sleep(Duration::from_millis(5));
        }
        registered[crashed].store(true, Ordering::Relaxed);
        record.note(format!("server {} of {} at {} falls silent for good", lost.id, lost.service, lost.addr));
        lost.fall_silent();
        addr = lost.addr;
    }
    sleep(REUSE_DELAY);
    if trouble {
        drafts[crashed].release();
    }
    let joined = Engine::start("i-ee02f6a9", NOTES, L4, addr, &record);
    record.note(format!("server {} of {} ({}) starts at {}", joined.id, joined.service, joined.kind.name, joined.addr));
    let _registered = register(&store, &joined, FIRST_ENTRY);
    sleep(Duration::from_secs(12));
    let attempts = clients.end();
    drop(gateways);

    let (ok, n) = served(&attempts, begin, Duration::MAX);
    let over: Vec<&str> = drafts.iter().chain(&notes).chain([&joined])
        .filter(|e| e.overloaded.load(Ordering::Relaxed))
        .map(|e| &*e.id)
        .collect();
    let verdict = format!("streams served: {ok} of {n}; servers ordered to hold more than their memory: {over:?}");
    record.note(&*verdict);
    let _ = record.write(&case.join("record.txt"));
    println!("{verdict}");
    std::process::exit(match (n >= 50 && 2 * ok >= n, over.is_empty()) {
        (false, _) => 2,
        (true, empty) => i32::from(!empty),
    });
}
