//! A whole entry host: its listeners, its two arbiters, its end.

use std::{io, net::SocketAddr, rc::Rc};

use actix_rt::task::JoinHandle;
use tokio::{net::TcpListener, sync::mpsc};

use crate::{clock::Clock, control, host::Host, serve, settings::Settings};

/// A running entry host. Lives on the request arbiter.
pub struct Node {
    /// The state requests touch.
    pub host: Rc<Host>,
    callers: SocketAddr,
    peers: SocketAddr,
    control: actix_rt::Arbiter,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Listens, and starts both arbiters' work.
    ///
    /// # Errors
    /// An address of the settings can't be listened on.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let callers = listen(settings.callers).await?;
        let peers =
            std::net::TcpListener::bind(settings.peers).map_err(|e| at(settings.peers, &e))?;
        let addrs = (callers.local_addr()?, peers.local_addr()?);
        let (control_tx, control_rx) = mpsc::unbounded_channel();
        let host = Host::new(settings.clone(), Clock::start(), control_tx.clone());
        let start = control::StartConfig {
            me: control::Identity {
                host: host.me.clone(),
                data_centre: settings.data_centre.clone(),
                peers: addrs.1,
                callers: addrs.0,
            },
            clock: host.clock,
            listener: peers,
            platform: settings.platform,
            seeds: settings.seeds.clone(),
            poll_interval: settings.poll,
            host_list_interval: settings.poll_hosts,
            startup_wait: settings.compare,
        };
        let (tx, rx) = mpsc::unbounded_channel();
        let control = actix_rt::Arbiter::new();
        control.spawn_fn(move || control::start(start, control_tx, control_rx, tx));
        log::info!("entry: {} listens on {}.", host.settings.host, addrs.0);
        let tasks = vec![
            actix_rt::spawn(learn(host.clone(), rx)),
            actix_rt::spawn(accept(host.clone(), callers)),
        ];
        Ok(Self {
            host,
            callers: addrs.0,
            peers: addrs.1,
            control,
            tasks,
        })
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where other hosts connect.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Stops at once; see [`serve::drain`] for a graceful end.
    pub fn stop(self) {
        self.host.admission.stop();
        for task in &self.tasks {
            task.abort();
        }
        self.control.stop();
    }
}

async fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr).await.map_err(|e| at(addr, &e))
}

fn at(addr: SocketAddr, e: &io::Error) -> io::Error {
    io::Error::new(e.kind(), format!("can't listen on {addr}: {e}"))
}

async fn learn(host: Rc<Host>, mut rx: mpsc::UnboundedReceiver<control::ControlUpdate>) {
    while let Some(news) = rx.recv().await {
        host.learn(news);
    }
}

async fn accept(host: Rc<Host>, listener: TcpListener) {
    if let Err(e) = serve::serve(host, listener).await {
        log::error!("entry: Callers are not served: {e}.");
    }
}
