//! A small deployment: zones, entry hosts, servers and a configuration, all on loopback addresses.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    endpoints::{Ledger, Listed, PlainServer, HEARTBEAT},
    hosts::{self, Host, Process, TempDir},
    record::Record,
    store::Store,
};

pub const ZONES: [&str; 3] = ["tongyeong", "geoje", "namhae"];
/// The number of entry hosts in each zone.
const HOSTS_PER_ZONE: [usize; 3] = [3, 3, 2];
/// The name that callers send in the `Host` header.
pub const DOMAIN: &str = "quay.example";
/// How long hosts may take until they are ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// A service of plain servers.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    pub name: &'static str,
    pub servers: usize,
    pub slots: u32,
    pub work: Duration,
    /// The third number of the servers' loopback addresses.
    pub subnet: u8,
}

/// The services of the deployment. Their servers are plain ones: no case needs engines.
pub const SERVICES: [Service; 2] = [
    Service {
        name: "drill-lm",
        servers: 33,
        slots: 192,
        work: Duration::from_millis(20),
        subnet: 64,
    },
    Service {
        name: "quay-app",
        servers: 3,
        slots: 6,
        work: Duration::from_millis(15),
        subnet: 65,
    },
];

/// A key, and the tenant that holds it.
pub type Key = (&'static str, &'static str);

/// The text of a configuration with one idempotent route for each service, `/SERVICE/`.
pub fn configuration(version: u64, keys: &[Key]) -> String {
    let route = |service: &Service| {
        let name = service.name;
        format!(
            r#"{{"name":"r-{name}","host":"{DOMAIN}","prefix":"/{name}/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":100,"priority":2,"service":"{name}","maxAttempts":2,"allowAnonymous":false}}"#
        )
    };
    let routes: Vec<String> = SERVICES.iter().map(route).collect();
    let listed: Vec<String> = SERVICES
        .iter()
        .map(|s| format!(r#"{{"name":"{}","healthCheck":"/health","maxConnections":110,"protocol":"h1","tls":false}}"#, s.name))
        .collect();
    let tenants: Vec<String> = keys
        .iter()
        .map(|(tenant, key)| format!(r#"{{"name":"{tenant}","apiKeys":["{key}"]}}"#))
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{}]}}"#,
        routes.join(","),
        listed.join(","),
        tenants.join(",")
    )
}

/// What is deployed.
#[derive(Debug, Clone, Copy)]
pub struct Setup<'a> {
    pub name: &'a str,
    pub keys: &'a [Key],
}

pub struct Deployment {
    pub store: Arc<Store>,
    pub hosts: Vec<Host>,
    pub processes: Vec<Process>,
    /// The servers, whether they are started yet or not.
    pub servers: Vec<Listed>,
    pub ledger: Arc<Ledger>,
    pub record: Arc<Record>,
    _dir: TempDir,
}

impl Deployment {
    /// Starts the store, which holds the configuration, and the hosts.
    pub fn start_hosts(setup: &Setup<'_>, record: Arc<Record>) -> io::Result<Self> {
        let dir = TempDir::create(setup.name)?;
        let port = free_port()?;
        let store = Store::start(loopback(200, 1, port))?;
        store.write("op", "config", Some(&configuration(7, setup.keys)));
        let servers = SERVICES.iter().flat_map(|s| listed_servers(s, port));
        let hosts = all_hosts(&dir, port);
        let processes: io::Result<Vec<Process>> = hosts.iter().map(Host::start).collect();
        Ok(Self {
            store,
            servers: servers.collect(),
            processes: processes?,
            hosts,
            ledger: Arc::default(),
            record,
            _dir: dir,
        })
    }

    /// Starts the servers one after the other, so that their heartbeats are spread.
    pub fn start_servers(&self) -> io::Result<()> {
        let pause = HEARTBEAT / self.servers.len() as u32;
        for listed in &self.servers {
            let service = SERVICES.iter().find(|s| s.name == listed.service);
            let server = PlainServer {
                listed: listed.clone(),
                work: service.map_or(Duration::ZERO, |s| s.work),
                ledger: self.ledger.clone(),
                record: self.record.clone(),
            };
            server.start()?;
            listed.clone().keep_listed(self.store.clone());
            thread::sleep(pause);
        }
        Ok(())
    }

    pub fn wait_until_ready(&self) -> io::Result<()> {
        if !hosts::wait_until_ready(&self.hosts, READY_LIMIT) {
            return Err(io::Error::other("the hosts did not become ready"));
        }
        let (hosts, servers) = (self.hosts.len(), self.servers.len());
        self.record.announce(&format!(
            "{hosts} hosts are ready, {servers} servers are started"
        ));
        Ok(())
    }

    /// Writes a configuration as the operator, again and again until the store acknowledges it. Returns the time of the
    /// acknowledgement and the version of the row.
    pub fn configure(&self, text: &str) -> (Instant, u64) {
        loop {
            if let Some(ver) = self.store.write("op", "config", Some(text)) {
                return (Instant::now(), ver);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn listed_servers(service: &Service, port: u16) -> Vec<Listed> {
    let listed = |n: usize| Listed {
        id: format!("i-{}-{n:02}", service.name),
        service: service.name.to_owned(),
        addr: loopback(service.subnet, 1 + n as u8, port),
        zone: ZONES[n % ZONES.len()].to_owned(),
        slots: service.slots,
        draining: Arc::default(),
        left: Arc::default(),
    };
    (0..service.servers).map(listed).collect()
}

fn all_hosts(dir: &TempDir, port: u16) -> Vec<Host> {
    let mut hosts = Vec::new();
    for (zone, count) in ZONES.iter().zip(HOSTS_PER_ZONE) {
        for n in 0..count {
            hosts.push(Host {
                name: format!("front-{zone}-{}", n + 1),
                zone: (*zone).to_owned(),
                ip: format!("127.77.100.{}", hosts.len() + 1),
                base_port: port,
                store: loopback(200, 1, port),
                dir: dir.path().to_owned(),
            });
        }
    }
    hosts
}

fn loopback(subnet: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 77, subnet, host], port))
}

/// A port from which four in a row are probably free on all addresses that are used here.
fn free_port() -> io::Result<u16> {
    let listener = std::net::TcpListener::bind("127.77.200.1:0")?;
    Ok(listener.local_addr()?.port().min(65_000))
}
