//! The listeners and the control server of the relay.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use actix_http::{Method, StatusCode};
use futures_util::{FutureExt, future::LocalBoxFuture};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

use super::{
    LinkConfig, LinkFaults, LinkStats, Mode, connection,
    link::{ConnectionFault, Link},
};
use crate::{
    Running,
    serve::{self, Answer, Call, Handler},
};

/// The time limit for connecting to the target of a link.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay after a failure to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// A running relay.
pub struct RunningRelay {
    control: Running,
    links: Vec<SocketAddr>,
    /// Ends the connections when it is dropped.
    stop: watch::Sender<()>,
}

impl RunningRelay {
    /// The control address.
    pub fn control(&self) -> SocketAddr {
        self.control.addr()
    }

    /// The addresses of the links, in the order of their settings.
    pub fn links(&self) -> &[SocketAddr] {
        &self.links
    }

    /// Stops immediately and closes all connections.
    pub async fn stop(self) {
        drop(self.stop);
        self.control.stop().await;
    }
}

/// One link without a control address. Its connections end when it is dropped.
pub struct RunningLink {
    link: Arc<Link>,
    addr: SocketAddr,
    task: JoinHandle<()>,
    /// Ends the connections when it is dropped.
    _stop: watch::Sender<()>,
}

impl RunningLink {
    /// Starts a link on the current `actix_rt` system.
    pub fn start(cfg: LinkConfig) -> io::Result<Self> {
        let (stop, stopped) = watch::channel(());
        let (link, addr, accepting) = open(cfg, stopped)?;
        Ok(Self {
            link,
            addr,
            task: actix_rt::spawn(accepting),
            _stop: stop,
        })
    }

    /// The address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the faults of the link.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.link.set_faults(faults);
    }

    /// Resets the connections that are open.
    pub fn reset(&self) {
        self.link.inject(ConnectionFault::Reset);
    }

    /// Silences the connections that are open: they carry no more bytes.
    pub fn silence(&self) {
        self.link.inject(ConnectionFault::Silence);
    }
}

impl Drop for RunningLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a link. It accepts connections while the returned future is polled.
fn open(
    cfg: LinkConfig,
    stopped: watch::Receiver<()>,
) -> io::Result<(Arc<Link>, SocketAddr, impl Future<Output = ()>)> {
    let listener = serve::bind(cfg.listen)?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let link = Arc::new(Link::new(cfg));
    let accepting = accept(link.clone(), TcpListener::from_std(listener)?, stopped);
    Ok((link, addr, accepting))
}

/// Starts a relay on the current `actix_rt` system.
pub async fn start(control: SocketAddr, cfgs: Vec<LinkConfig>) -> io::Result<RunningRelay> {
    let (stop, stopped) = watch::channel(());
    let mut links = Vec::with_capacity(cfgs.len());
    let mut addrs = Vec::with_capacity(cfgs.len());
    let mut tasks = Vec::with_capacity(cfgs.len());
    for cfg in cfgs {
        let (link, addr, accepting) = open(cfg, stopped.clone())?;
        links.push(link);
        addrs.push(addr);
        tasks.push(actix_rt::spawn(accepting));
    }
    let handler = Arc::new(Control { links });
    let control = serve::run(vec![(serve::bind(control)?, handler)], tasks)?;
    Ok(RunningRelay {
        control,
        links: addrs,
        stop,
    })
}

async fn accept(link: Arc<Link>, listener: TcpListener, stopped: watch::Receiver<()>) {
    loop {
        match listener.accept().await {
            Ok((client, _)) => {
                actix_rt::spawn(connect(Arc::clone(&link), client, stopped.clone()));
            }
            Err(err) => {
                log::warn!("relay {}: accept: {err}.", link.cfg.name);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn connect(link: Arc<Link>, client: TcpStream, mut stopped: watch::Receiver<()>) {
    if link.faults.borrow().mode == Mode::Cut {
        link.counters.refused.fetch_add(1, Relaxed);
        return;
    }
    let target = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(link.cfg.to)).await;
    let Ok(Ok(target)) = target else {
        link.counters.refused.fetch_add(1, Relaxed);
        return;
    };
    link.counters.accepted.fetch_add(1, Relaxed);
    let relaying = Box::pin(connection::relay(link, client, target));
    futures_util::future::select(relaying, Box::pin(stopped.changed())).await;
}

struct Control {
    links: Vec<Arc<Link>>,
}

impl Handler for Control {
    fn answer(self: Arc<Self>, call: Call) -> LocalBoxFuture<'static, Answer> {
        async move { self.control(&call).unwrap_or_else(|answer| answer) }.boxed_local()
    }
}

impl Control {
    fn control(&self, call: &Call) -> Result<Answer, Answer> {
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/standin/stats") => {
                let stats: Vec<LinkStats> = self.links.iter().map(|link| link.stats()).collect();
                return Ok(Answer::json(&stats));
            }
            (&Method::POST, "/standin/faults") => {
                let faults: LinkFaults = call.json()?;
                self.links.iter().for_each(|link| link.set_faults(faults));
            }
            (&Method::POST, path) => {
                let name = path
                    .strip_prefix("/standin/links/")
                    .ok_or_else(Answer::not_found)?;
                let (name, fault) = name.split_once('/').unwrap_or((name, ""));
                let link = self.links.iter().find(|link| link.cfg.name == name);
                let link = link.ok_or_else(Answer::not_found)?;
                match fault {
                    "" => link.set_faults(call.json()?),
                    "reset" => link.inject(ConnectionFault::Reset),
                    "silence" => link.inject(ConnectionFault::Silence),
                    _ => return Err(Answer::not_found()),
                }
            }
            _ => return Err(Answer::not_found()),
        }
        Ok(Answer::empty(StatusCode::NO_CONTENT))
    }
}
