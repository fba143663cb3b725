//! Starts entry hosts as separate processes, with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::Connection;

/// The program that `deploy/system.toml` runs, from the root of the repository.
const PROGRAM: &str = "target/release/dragonflyrill-gateway";

/// Where a host runs, and where its settings and its log are written.
#[derive(Debug, Clone)]
pub struct Host {
    pub name: String,
    pub zone: String,
    pub ip: String,
    pub base_port: u16,
    pub store: SocketAddr,
    pub dir: PathBuf,
}

impl Host {
    pub fn callers(&self) -> SocketAddr {
        self.addr(0)
    }

    fn readiness(&self) -> SocketAddr {
        self.addr(1)
    }

    fn addr(&self, offset: u16) -> SocketAddr {
        let addr = format!("{}:{}", self.ip, self.base_port + offset);
        addr.parse().expect("an address")
    }

    /// The settings, as the template of the deploy file gives them for the bounds of the small deployments.
    fn settings(&self) -> String {
        let Self {
            name,
            zone,
            ip,
            store,
            ..
        } = self;
        let (callers, readiness) = (self.callers(), self.readiness());
        let (metrics, peers) = (self.base_port + 2, self.base_port + 3);
        format!(
            "[host]\nname = {name}\naddress = {ip}\ndata_centre = {zone}\nlink_mbps = 1000.0\n\n\
             [listen]\ncallers = {callers}\nreadiness = {readiness}\nmetrics_port = {metrics}\npeers_port = {peers}\n\n\
             [store]\naddress = {store}\n\n\
             [bounds]\nkey_revocation_ms = 5000\nconfig_apply_ms = 2000\nendpoint_drain_ms = 2000\n\
             endpoint_heartbeat_ms = 1200\ngrace_s = 8\n\n\
             [retries]\nratio = 0.2\nburst = 200\nwindow_s = 10\n\n[admission]\nenabled = yes\n"
        )
    }

    pub fn start(&self) -> io::Result<Process> {
        let settings = self.dir.join(format!("{}.ini", self.name));
        fs::write(&settings, self.settings())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", self.name)))?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("DRAGONFLYRILL_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Process(child))
    }

    /// Whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let second = Duration::from_secs(1);
        let Ok(mut connection) = Connection::open(self.readiness(), second) else {
            return false;
        };
        let answer = connection.call("GET", "/dragonflyrill/ready", &[("Host", "platform")], b"");
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

/// Waits until all hosts say that they are ready; false if that takes longer than `limit`.
pub fn wait_until_ready(hosts: &[Host], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if hosts.iter().all(Host::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// A process of a host, which is killed when this is dropped.
pub struct Process(Child);

impl Process {
    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder, removed with its files when it is dropped.
pub struct TempDir(PathBuf);

impl TempDir {
    pub fn create(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // KEEP_LOGS leaves the logs of the hosts for whoever studies a run.
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
