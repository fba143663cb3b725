//! Starts a small fleet in one process: platform, engines, services and entry hosts, all on free
//! ports.

#![allow(dead_code, reason = "each test binary uses some of the helpers")]

use std::{net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_adapter::store::Table;
use dragonflyrill_adapter_standin::{register::Registry, server, store::Store};
use dragonflyrill_catalogue::{Entry, declare, state::ChangeId};
use dragonflyrill_engines::token;
use dragonflyrill_entry::{host::Host, node::Node, settings::Settings};
use dragonflyrill_fleet::endpoints::Endpoint;
use dragonflyrill_standins::{Running, engine, reference, service};
use dragonflyrill_store::{
    catalogue_store::{CatalogueStore, CommitOutcome, Proposal},
    table::{
        KeyRange, Row, TableApi,
        retry::{Retry, RetryPolicy},
    },
};

pub(crate) const MODEL: &str = "m";
pub(crate) const LAYERS: u32 = 8;
pub(crate) const CATALOGUE: &str = "
[data_centre dc]
[workspace w]
[model m]
layers = 8
context = 512
[service s]
not_repeatable = /once
[limit w/m/interactive]
requests_per_second = 1000
tokens_per_second = 100000
in_flight = 1000
burst_seconds = 1
deadline_ms = 5000
repeatable = true
[limit w/s/interactive]
requests_per_second = 1000
tokens_per_second = 0
in_flight = 1000
burst_seconds = 1
deadline_ms = 5000
repeatable = true
";
/// The timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a condition is checked, every 10 ms, before a test fails; far more often than any
/// condition needs.
const MAX_CHECKS: usize = 3000;

/// A running fleet.
pub(crate) struct Fleet {
    pub(crate) store: Rc<Store>,
    pub(crate) platform: server::Running,
    pub(crate) engines: Vec<Running>,
    pub(crate) services: Vec<Running>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) http: awc::Client,
}

impl Fleet {
    /// Starts one chain of two engines, one service and `hosts` entry hosts, and waits until the hosts
    /// are ready and see each other.
    pub(crate) async fn start(hosts: usize) -> Self {
        let _ = env_logger::builder().is_test(true).try_init();
        let (store, platform) = Store::start().await.expect("a free port");
        let mut fleet = Self {
            store,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
            http: awc::Client::builder()
                .timeout(Duration::from_secs(60))
                .finish(),
        };
        fleet.add_engine("e0", 0, 4, 0).await;
        fleet.add_engine("e1", 4, 8, 0).await;
        fleet.add_service("s0").await;
        fleet.apply(CATALOGUE).await;
        for n in 0..hosts {
            fleet.add_host(n).await;
        }
        for node in &fleet.nodes {
            let sees_all_hosts = || node.host.peers().len() + 1 == hosts;
            until("hosts see each other", sees_all_hosts).await;
        }
        fleet
    }

    pub(crate) async fn add_engine(&mut self, id: &str, first: u32, end: u32, layer_us: u64) {
        let mut cfg = engine::EngineConfig::new(id, MODEL, LAYERS);
        cfg.data_centre = "dc".into();
        cfg.layers = dragonflyrill_engines::wire::Layers { first, end };
        cfg.layer_us = layer_us.max(1);
        cfg.time_scale = if layer_us > 0 { 1.0 } else { 0.0 };
        let running = engine::start(vec![cfg.clone()]).await.expect("a free port");
        self.list(&cfg.listing(running.addr())).await;
        self.engines.push(running);
    }

    pub(crate) async fn add_service(&mut self, id: &str) {
        let mut cfg = service::ServiceConfig::new(id, "s");
        cfg.data_centre = "dc".into();
        let running = service::start(vec![cfg.clone()])
            .await
            .expect("a free port");
        self.list(&cfg.listing(running.addr())).await;
        self.services.push(running);
    }

    /// Adds one endpoint to the platform's list.
    pub(crate) async fn list(&self, endpoint: &Endpoint) {
        let registry = Registry::new(self.platform.addr);
        registry.add(endpoint).await.expect("the store answers");
    }

    /// Commits `declarations` as the next change of the catalogue.
    pub(crate) async fn apply(&self, declarations: &str) {
        apply_to(self.platform.addr, declarations).await;
    }

    pub(crate) async fn add_host(&mut self, n: usize) {
        let text = settings(n, self.platform.addr);
        let settings = Settings::parse("test.ini", &text).expect("valid settings");
        let node = Node::start(settings).await.expect("free ports");
        until("the host is ready", || {
            node.host.ready() && knows_all_endpoints(&node.host, self)
        })
        .await;
        self.nodes.push(node);
    }

    /// Waits until each host of the data centre has a guard, which can pass its rights to others.
    pub(crate) async fn until_guarded(&self) {
        let table = Table::new(self.platform.addr, CALL_TIMEOUT);
        for _ in 0..MAX_CHECKS {
            let row = table
                .get("limits/shards/dc")
                .await
                .expect("the platform is up");
            if row.is_some_and(|row| all_have_guards(&row, self.nodes.len())) {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("timed out: each host has a guard");
    }

    /// The number of records in the platform's table that contain the end of their call.
    pub(crate) async fn recorded_ends(&self) -> usize {
        let table = Table::new(self.platform.addr, CALL_TIMEOUT);
        let rows = table
            .range(&KeyRange::prefix("record/"), 0)
            .await
            .expect("the platform is up");
        let ended = |row: &&Row| !String::from_utf8_lossy(&row.value).contains("\"begun\"");
        rows.rows.iter().filter(ended).count()
    }

    /// How often the services have run calls whose key ends in `key`.
    pub(crate) async fn ran(&self, key: &str) -> u64 {
        let mut sum = 0;
        for service in &self.services {
            let url = format!("http://{}/standin/ledger", service.addr());
            let mut rsp = self
                .http
                .get(url)
                .send()
                .await
                .expect("the service answers");
            let body = rsp.body().await.expect("a complete body");
            let ledger: Vec<serde_json::Value> = serde_json::from_slice(&body).expect("JSON");
            let theirs = ledger
                .iter()
                .filter(|e| e["key"].as_str().is_some_and(|k| k.ends_with(key)));
            sum += theirs
                .map(|e| e["count"].as_u64().unwrap_or_default())
                .sum::<u64>();
        }
        sum
    }

    /// The address at which host `n` accepts requests of callers.
    pub(crate) fn host(&self, n: usize) -> SocketAddr {
        self.nodes[n].callers()
    }

    pub(crate) fn url(&self, n: usize, path: &str) -> String {
        format!("http://{}{path}", self.host(n))
    }

    /// A completion request of workspace `w` to host `n`, without its body.
    pub(crate) fn completion(&self, n: usize) -> awc::ClientRequest {
        self.http
            .post(self.url(n, "/v1/completions"))
            .insert_header(("x-workspace", "w"))
    }
}

/// Commits `declarations` as the next change of the catalogue in the table at `platform`.
pub(crate) async fn apply_to(platform: SocketAddr, declarations: &str) {
    let source = declare::Source {
        file: "test.ini",
        text: declarations,
    };
    let puts = Vec::<Entry>::try_from(source).expect("valid declarations");
    let table = Table::new(platform, CALL_TIMEOUT);
    let store = CatalogueStore::new(table, Retry::new(RetryPolicy::default(), 1));
    let head = store.read_head().await.expect("the platform is up");
    let proposal = Proposal {
        base: head.revision,
        change_id: ChangeId::try_from(format!("change-{}", head.revision.0 + 1).as_str())
            .expect("a valid id"),
        author: "test".into(),
        now_ms: 0,
        puts,
        deletes: Vec::new(),
    };
    let commit = store.commit(&proposal).await.expect("the platform is up");
    assert!(matches!(commit, CommitOutcome::Accepted(_)), "{commit:?}");
}

fn all_have_guards(row: &Row, hosts: usize) -> bool {
    let map: serde_json::Value = serde_json::from_slice(&row.value).expect("JSON");
    let members = map["members"].as_array().expect("members");
    members.len() == hosts && members.iter().all(|m| !m["guard"].is_null())
}

fn knows_all_endpoints(host: &Rc<Host>, fleet: &Fleet) -> bool {
    let listed = fleet.engines.len() + fleet.services.len();
    host.router.borrow().table().len() == listed
}

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn settings(n: usize, platform: SocketAddr) -> String {
    format!(
        "[host]\nid = h{n}\ndata_centre = dc\n[listen]\ncallers = 127.0.0.1:0\n\
         peers = 127.0.0.1:0\n[platform]\naddress = {platform}\npoll_ms = 20\npoll_hosts_ms = 20\ncompare_ms = 50\n"
    )
}

/// Waits until `condition` holds.
pub(crate) async fn until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..MAX_CHECKS {
        if condition() {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out: {what}");
}

/// The text of a correct answer.
pub(crate) fn expected_text(prompt: &str, tokens: usize) -> String {
    let prompt = token::tokenize(prompt);
    let tokens = reference::expected_tokens(MODEL, LAYERS, &prompt, tokens);
    tokens.into_iter().map(token::detokenize).collect()
}
