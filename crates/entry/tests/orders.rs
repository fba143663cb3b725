//! The orders task against stand-ins: engines that check fencing numbers, and engines that don't,
//! reach the declared state whichever host sends the orders. The tests guard against a declared
//! state that is never reached or doesn't last, because an engine or a lease holder fails or two
//! holders act at the same time, and against orders without a lease.

mod common;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_adapter_standin::{
    server,
    store::{DownAs, Faults, Store},
};
use dragonflyrill_catalogue::{
    Catalogue, DataCentre, EndpointId, Entry, Name, TargetName, declare, state::Revision,
};
use dragonflyrill_clock::Clock;
use dragonflyrill_engines::{
    EngineClient,
    wire::{EngineState, Layers, Order},
};
use dragonflyrill_entry::control::orders::{self, OrdersHandle};
use dragonflyrill_orders::{group::GroupConfig, lease::LeaseConfig};
use dragonflyrill_protocol::{HostId, HostRef};
use dragonflyrill_routing as routing;
use dragonflyrill_standins::{Running, engine};

const MODEL: &str = "m";
const LAYERS: u32 = 8;
const RANGES: [Layers; 2] = [Layers { first: 0, end: 4 }, Layers { first: 4, end: 8 }];
const NONE: Layers = Layers { first: 0, end: 0 };
/// How often a condition is checked, every 10 ms, before a test fails; far more often than any
/// condition needs.
const MAX_CHECKS: usize = 6000;
/// In how many consecutive checks a state must hold to count as final.
const FINAL_CHECKS: usize = 40;

/// How often engines that must get no order are checked, every 10 ms: for longer than a host waits
/// before it takes a lease.
const CHECKS_WITHOUT_LEASE: usize = 250;

/// Engines in one process; the engine at index 0 has the name `e0`, and so on.
struct Engines {
    running: Vec<Running>,
    http: awc::Client,
}

impl Engines {
    async fn start(layers_held: &[Layers], checks_fence: bool) -> Self {
        let _ = env_logger::builder().is_test(true).try_init();
        let mut running = Vec::new();
        for (index, layers) in layers_held.iter().enumerate() {
            let mut cfg = engine::EngineConfig::new(&format!("e{index}"), MODEL, LAYERS);
            cfg.layers = *layers;
            cfg.checks_fence = checks_fence;
            cfg.load_ms_per_layer = 5;
            running.push(engine::start(vec![cfg]).await.expect("a free port"));
        }
        Self {
            running,
            http: awc::Client::default(),
        }
    }

    /// The engines as a host lists them.
    fn listed(&self) -> Vec<routing::Endpoint> {
        let endpoints = self.running.iter().enumerate();
        let endpoints = endpoints.map(|(index, running)| routing::Endpoint {
            id: EndpointId::try_from(format!("e{index}").as_str()).expect("a name"),
            addr: running.addr(),
            role: routing::Role::Engine,
            data_centre: DataCentre::try_from("dc").expect("a name"),
            target: TargetName::try_from(MODEL).expect("a name"),
            layers: NONE,
            accelerator: String::new(),
            layer_us: 0.0,
            draining: false,
            in_flight: 0,
            health: routing::Health::Up,
        });
        endpoints.collect()
    }

    async fn set_mode(&self, index: usize, mode: &str) {
        let url = format!("http://{}/standin/faults", self.running[index].addr());
        let body = serde_json::json!({ "mode": mode });
        let rsp = self.http.post(url).send_json(&body).await;
        assert!(rsp.expect("the engine is up").status().is_success());
    }

    /// Takes down an engine that is the only one to hold its range.
    async fn take_down_sole_holder(&self) {
        let states = self.states().await;
        let holders = |range: &Layers| states.iter().filter(|s| s.layers == *range).count();
        let sole = states
            .iter()
            .find(|s| holders(&s.layers) == 1 && s.layers != NONE);
        let sole = sole.expect("three engines hold two ranges");
        let index = sole.endpoint.trim_start_matches('e').parse();
        self.set_mode(index.expect("a number"), "down").await;
    }

    /// The states of the engines that answer.
    async fn states(&self) -> Vec<EngineState> {
        let mut states = Vec::new();
        for running in &self.running {
            let client = EngineClient::new(self.http.clone(), running.addr());
            states.extend(client.state(Duration::from_secs(5)).await.ok());
        }
        states
    }

    /// Waits until each range is served in this version only, in [`FINAL_CHECKS`] consecutive checks.
    async fn until_declared(&self, version: &str) {
        let mut consecutive = 0;
        let mut states = Vec::new();
        for _ in 0..MAX_CHECKS {
            states = self.states().await;
            consecutive = if is_as_declared(&states, version) {
                consecutive + 1
            } else {
                0
            };
            if consecutive == FINAL_CHECKS {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("timed out before the engines were as declared with version {version}: {states:?}");
    }
}

fn is_as_declared(states: &[EngineState], version: &str) -> bool {
    RANGES.iter().all(|range| {
        let mut held = states.iter().filter(|s| s.layers == *range).peekable();
        held.peek().is_some() && held.all(|s| !s.loading && s.version == version)
    })
}

fn catalogue(revision: u64, version: &str, endpoints: &str) -> Catalogue {
    let text = format!(
        "[data_centre dc]\n[model {MODEL}]\nlayers = {LAYERS}\ncontext = 512\n\
         [group {MODEL} dc]\nversion = {version}\nrange.0..4 = 1\nrange.4..8 = 1\nspares = 1\n\
         endpoints = {endpoints}\nloads_at_once = 1\nlayers_per_second = 1000\n"
    );
    let source = declare::Source {
        file: "test.ini",
        text: &text,
    };
    let entries = Vec::<Entry>::try_from(source).expect("valid declarations");
    Catalogue::from_entries(Revision(revision), entries)
}

async fn start_platform() -> (Rc<Store>, server::Running) {
    Store::start().await.expect("a free port")
}

/// Starts the orders task of a host that knows no other host and so requests every lease.
fn start_holder(
    name: &str,
    platform: SocketAddr,
    engines: &Engines,
    declared: &Catalogue,
) -> OrdersHandle {
    let me = HostRef {
        id: HostId(Name::try_from(name).expect("a name")),
        incarnation: 1,
    };
    let ms = Duration::from_millis;
    let cfg = orders::Config {
        data_centre: DataCentre::try_from("dc").expect("a name"),
        platform,
        lease: LeaseConfig::new(me, ms(1500), ms(150), name.len() as u64),
        group: GroupConfig {
            max_flight_time: ms(600),
            read_interval: ms(50),
            max_state_age: ms(1000),
            drain_settle_time: ms(50),
            max_drain_time: ms(400),
        },
    };
    let handle = orders::start(cfg, Clock::system());
    handle.set_peers(&[]);
    handle.set_endpoints(&engines.listed());
    handle.set_catalogue(declared);
    handle
}

#[actix_rt::test]
async fn a_spare_takes_over_the_range_of_an_engine_that_is_down() {
    for checks_fence in [true, false] {
        let engines = Engines::start(&[RANGES[0], RANGES[1], NONE], checks_fence).await;
        let (_store, platform) = start_platform().await;
        let first = catalogue(1, "1", "e0, e1, e2");
        let _holder = start_holder("h0", platform.addr, &engines, &first);
        engines.until_declared("1").await;
        engines.set_mode(0, "down").await;
        engines.until_declared("1").await;
        let states = engines.states().await;
        let spare = states.iter().find(|s| s.endpoint == "e2");
        assert_eq!(spare.expect("it is up").layers, RANGES[0]);
    }
}

#[actix_rt::test]
async fn a_declared_version_is_rolled_out_and_back() {
    for checks_fence in [true, false] {
        let engines = Engines::start(&[RANGES[0], RANGES[1], NONE], checks_fence).await;
        let (_store, platform) = start_platform().await;
        let next = catalogue(1, "2", "e0, e1, e2");
        let holder = start_holder("h0", platform.addr, &engines, &next);
        engines.until_declared("2").await;
        holder.set_catalogue(&catalogue(2, "1", "e0, e1, e2"));
        engines.until_declared("1").await;
    }
}

#[actix_rt::test]
async fn the_other_host_reaches_the_declared_state_after_either_of_two_stops() {
    for ending in [0, 1] {
        let engines = Engines::start(&[RANGES[0], RANGES[1], NONE], true).await;
        let (_store, platform) = start_platform().await;
        let next = catalogue(1, "2", "e0, e1, e2");
        let names = ["h0", "h-1"];
        let mut holders: Vec<_> = names
            .iter()
            .map(|name| start_holder(name, platform.addr, &engines, &next))
            .collect();
        engines.until_declared("2").await;
        drop(holders.remove(ending));
        engines.take_down_sole_holder().await;
        engines.until_declared("2").await;
    }
}

/// Each holder has its own table, so both hold the lease at the same time, with unrelated fencing
/// numbers.
#[actix_rt::test]
async fn two_holders_that_act_at_the_same_time_reach_the_declared_state() {
    for checks_fence in [true, false] {
        let engines = Engines::start(&[RANGES[0], RANGES[1], NONE], checks_fence).await;
        let platforms = [start_platform().await, start_platform().await];
        let next = catalogue(1, "2", "e0, e1, e2");
        let _h0 = start_holder("h0", platforms[0].1.addr, &engines, &next);
        let _h1 = start_holder("h-1", platforms[1].1.addr, &engines, &next);
        engines.until_declared("2").await;
        engines.take_down_sole_holder().await;
        engines.until_declared("2").await;
    }
}

#[actix_rt::test]
async fn a_holder_gets_a_fence_above_the_highest_that_an_engine_has_seen() {
    let engines = Engines::start(&[RANGES[0], RANGES[1], NONE], true).await;
    for (running, layers) in engines.running.iter().zip(RANGES) {
        let order = Order {
            fence: 9,
            model: MODEL.to_owned(),
            version: "1".to_owned(),
            layers,
        };
        let client = EngineClient::new(engines.http.clone(), running.addr());
        let ordered = client.order(&order, Duration::from_secs(5)).await;
        assert_eq!(ordered.expect("it is up").fence, 9);
    }
    let (_store, platform) = start_platform().await;
    let next = catalogue(1, "2", "e0, e1, e2");
    let _holder = start_holder("h0", platform.addr, &engines, &next);
    engines.until_declared("2").await;
    let states = engines.states().await;
    assert!(states.iter().any(|s| s.fence > 9), "{states:?}");
}

#[actix_rt::test]
async fn no_order_is_sent_before_the_lease_is_held() {
    let engines = Engines::start(&[RANGES[0], RANGES[1], NONE], false).await;
    let (store, platform) = start_platform().await;
    store.set_faults(Faults::down(DownAs::Closed));
    let next = catalogue(1, "2", "e0, e1, e2");
    let _holder = start_holder("h0", platform.addr, &engines, &next);
    for _ in 0..CHECKS_WITHOUT_LEASE {
        let states = engines.states().await;
        assert!(states.iter().all(|s| s.fence == 0), "{states:?}");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    store.set_faults(Faults::default());
    engines.until_declared("2").await;
}
