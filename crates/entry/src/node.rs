//! Assembles an entry host: its listeners, its two arbiters and its shutdown.

use dragonflyrill_clock::Clock;
use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::task::JoinHandle;
use tokio::{net::TcpListener, sync::mpsc};

use crate::{control, host::Host, serve, settings::Settings, stalls};

/// How often connections to services are checked for having been idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A running entry host. Belongs to the thread of the request arbiter.
pub struct Node {
    /// The state that requests share.
    pub host: Rc<Host>,
    callers_addr: SocketAddr,
    peers_addr: SocketAddr,
    control: actix_rt::Arbiter,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Binds the listeners and starts the work of both arbiters.
    ///
    /// # Errors
    /// An address of the settings can't be bound.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let callers = listen(settings.callers_addr).await?;
        let peers = std::net::TcpListener::bind(settings.peers_addr)
            .map_err(|e| bind_error(settings.peers_addr, &e))?;
        let addrs = (callers.local_addr()?, peers.local_addr()?);
        let (control_tx, control_rx) = mpsc::unbounded_channel();
        let host = Host::new(settings.clone(), Clock::system(), control_tx.clone());
        let start = control::StartConfig {
            me: control::Identity {
                host: host.me.clone(),
                data_centre: settings.data_centre.clone(),
                peers: addrs.1,
                callers: addrs.0,
            },
            clock: host.clock.clone(),
            listener: peers,
            intake: settings.intake,
            refusals: host.metrics.caller_refusals.clone(),
            platform: settings.platform,
            seeds: settings.seeds.clone(),
            poll_interval: settings.poll_interval,
            host_list_interval: settings.poll_hosts_interval,
            startup_wait: settings.compare_timeout,
        };
        let (tx, rx) = mpsc::unbounded_channel();
        let control = actix_rt::Arbiter::new();
        control.spawn_fn(move || control::start(start, control_tx, control_rx, tx));
        log::info!("entry: {} listens on {}.", host.settings.host, addrs.0);
        let tasks = vec![
            actix_rt::spawn(apply_updates(host.clone(), rx)),
            actix_rt::spawn(serve::serve(host.clone(), callers)),
            actix_rt::spawn(stalls::watch(host.clone())),
            actix_rt::spawn(sweep_connections(host.clone())),
        ];
        Ok(Self {
            host,
            callers_addr: addrs.0,
            peers_addr: addrs.1,
            control,
            tasks,
        })
    }

    /// The bound address that callers connect to.
    pub fn callers(&self) -> SocketAddr {
        self.callers_addr
    }

    /// The bound address that other hosts connect to.
    pub fn peers(&self) -> SocketAddr {
        self.peers_addr
    }

    /// Stops at once and cuts off running requests; see [`serve::drain`] for a graceful shutdown.
    pub fn stop(self) {
        self.host.admission.stop();
        for task in &self.tasks {
            task.abort();
        }
        self.control.stop();
    }
}

async fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .map_err(|e| bind_error(addr, &e))
}

fn bind_error(addr: SocketAddr, e: &io::Error) -> io::Error {
    io::Error::new(e.kind(), format!("can't listen on {addr}: {e}"))
}

async fn apply_updates(host: Rc<Host>, mut rx: mpsc::UnboundedReceiver<control::ControlUpdate>) {
    while let Some(update) = rx.recv().await {
        host.apply_update(update);
    }
}

/// Closes connections to services that have been idle for too long.
async fn sweep_connections(host: Rc<Host>) {
    loop {
        host.clock.sleep(SWEEP_INTERVAL).await;
        host.services.sweep();
    }
}
