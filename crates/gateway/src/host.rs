//! Starts and stops an entry host.

use std::{rc::Rc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http::StatusCode;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    signal::unix::{SignalKind, signal},
    time::{self, Instant},
};

use crate::{
    control,
    forward::Forwarder,
    gateway::{Gateway, STILL_TAKING},
    http::callers::{self, Handler, Received, Responder},
    peers,
};

/// New connections that wait to be accepted; beyond that the kernel drops them.
const BACKLOG: u32 = 1024;
/// What is kept of the time between the signal and the kill, for the process to end by itself.
const END_MARGIN: Duration = Duration::from_millis(300);
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);
/// How often it is looked whether the last request has ended.
const DRAIN_TICK: Duration = Duration::from_millis(50);

/// Runs a host until a signal asks it to stop and its requests have ended.
pub async fn run(gateway: Rc<Gateway>) -> anyhow::Result<()> {
    let settings = &gateway.settings;
    log::info!(target: "host", host = &*settings.host, data_centre = &*settings.data_centre; "Host starts.");
    let callers = listen(settings.callers)?;
    let readiness = listen(settings.readiness)?;
    let metrics = listen(settings.metrics)?;
    let peers = listen(settings.peers)?;
    gateway.set_reading(false);
    actix_rt::spawn(control::catalogue::follow(gateway.clone()));
    actix_rt::spawn(control::endpoints::follow(gateway.clone()));
    actix_rt::spawn(control::roster::keep(gateway.clone(), incarnation()));
    actix_rt::spawn(peers::serve::serve(peers, gateway.clone()));
    actix_rt::spawn(peers::follow::follow(gateway.clone()));
    let forwarder = Rc::new(Forwarder::new(gateway.clone()));
    let status = Rc::new(Status(gateway.clone()));
    actix_rt::spawn(accept(callers, forwarder, gateway.clone()));
    actix_rt::spawn(accept(readiness, status.clone(), gateway.clone()));
    actix_rt::spawn(accept(metrics, status, gateway.clone()));
    actix_rt::spawn(sweep(gateway.clone()));
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM can't be watched")?;
    let mut reload = signal(SignalKind::hangup()).context("SIGHUP can't be watched")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => log::info!(target: "host", "Settings are read at the start only."),
        }
    }
    drain(&gateway).await;
    Ok(())
}

/// Closes connections to endpoints that have been idle too long. On each host: a host that does not
/// read the store opens as many as one that does.
async fn sweep(gateway: Rc<Gateway>) {
    loop {
        time::sleep(SWEEP).await;
        gateway.idle.sweep();
    }
}

/// A number for this start, above that of earlier ones as far as the time of day allows.
fn incarnation() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or_else(|_| rand::random(), |since| since.as_micros() as u64)
}

/// Stops taking work, and waits until what was taken has ended or the time is up.
async fn drain(gateway: &Gateway) {
    log::info!(target: "host", open = gateway.open.get(); "Host stops.");
    let asked = Instant::now();
    let until = asked + gateway.settings.grace.saturating_sub(END_MARGIN);
    gateway.leave();
    time::sleep_until((asked + STILL_TAKING).min(until)).await;
    gateway.close_idle();
    while gateway.open.get() > 0 && Instant::now() < until {
        time::sleep(DRAIN_TICK).await;
    }
    // What was written last is still on its way to the callers.
    time::sleep(DRAIN_TICK).await;
    log::info!(target: "host", cut = gateway.open.get(); "Host has stopped.");
}

fn listen(addr: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    };
    open().with_context(|| format!("can't listen on {addr}"))
}

async fn accept<H: Handler + 'static>(listener: TcpListener, handler: Rc<H>, gateway: Rc<Gateway>) {
    loop {
        match listener.accept().await {
            Ok((io, _)) => serve(io, handler.clone(), &gateway),
            Err(e) => {
                log::warn!(target: "host", why:% = e; "A connection can't be accepted.");
                time::sleep(DRAIN_TICK).await;
            }
        }
    }
}

fn serve<H: Handler + 'static>(io: TcpStream, handler: Rc<H>, gateway: &Gateway) {
    if let Err(e) = io.set_nodelay(true) {
        log::warn!(target: "host", why:% = e; "A connection can't be set up.");
        return;
    }
    let codec = gateway.codec.clone();
    actix_rt::spawn(callers::serve(io, handler, codec, gateway.closing()));
}

/// Answers the balancer and the collector of metrics.
struct Status(Rc<Gateway>);

impl Handler for Status {
    fn limits(&self) -> dragonflyrill_fleet::catalogue::CallerLimits {
        Default::default()
    }

    fn shutting_down(&self) -> bool {
        false
    }

    async fn handle(&self, req: Received, out: &mut Responder<'_>) -> std::io::Result<()> {
        let gateway = &self.0;
        let path = req.head.uri.path();
        let (status, body) = match path {
            _ if gateway.platform.dialect.is_readiness_path(path) => match gateway.ready() {
                true => (StatusCode::OK, Bytes::new()),
                false => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            },
            "/metrics" => {
                gateway.observe();
                (StatusCode::OK, gateway.metrics.text().into())
            }
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        };
        out.send_complete(status, Default::default(), body).await
    }

    fn abandoned(&self) {}
}
