//! Starts and stops an entry host.

use std::{rc::Rc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use dragonflyrill_clock::{awake, wall};
use dragonflyrill_fleet::catalogue::CallerLimits;
use http::StatusCode;
use tokio::{
    net::{TcpListener, TcpSocket},
    signal::unix::{Signal, SignalKind, signal},
};

use crate::{
    control,
    forward::Forwarder,
    gateway::{Gateway, SHUTDOWN_ACCEPT_PERIOD},
    http::{
        callers::{Handler, Received, Responder},
        intake::Listener,
        listener,
    },
    peers,
};

/// The maximum number of connections that wait to be accepted; the kernel drops further ones.
const ACCEPT_BACKLOG: u32 = 1024;
/// How long before the process would be killed it stops waiting for requests, so that it exits by itself.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// How often connections to endpoints are checked for having been idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How often a host that shuts down checks whether the last request has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The signals that a host handles. A signal ends a process that has no handler for it yet.
pub struct Signals {
    reload: Signal,
    terminate: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// A handler can't be installed, or no runtime is running.
    pub fn install() -> anyhow::Result<Self> {
        let reload = signal(SignalKind::hangup()).context("can't install a handler for SIGHUP")?;
        let terminate =
            signal(SignalKind::terminate()).context("can't install a handler for SIGTERM")?;
        Ok(Self { reload, terminate })
    }
}

/// Runs a host until it receives SIGTERM and its requests have ended or the grace time is over.
///
/// # Errors
/// An address of the settings can't be listened on.
pub async fn run(gateway: Rc<Gateway>, mut signals: Signals) -> anyhow::Result<()> {
    let settings = &gateway.settings;
    log::info!(target: "host", host = &*settings.host, data_centre = &*settings.data_centre; "Host starts.");
    let callers = listen(settings.callers)?;
    let readiness = listen(settings.readiness)?;
    let metrics = listen(settings.metrics)?;
    let peers = listen(settings.peers)?;
    gateway.set_reads_store(false);
    actix_rt::spawn(control::catalogue::follow(gateway.clone()));
    actix_rt::spawn(control::endpoints::follow(gateway.clone()));
    actix_rt::spawn(control::roster::run(gateway.clone(), incarnation()));
    actix_rt::spawn(peers::serve::serve(peers, gateway.clone()));
    actix_rt::spawn(peers::follow::follow(gateway.clone()));
    let forwarder = Rc::new(Forwarder::new(gateway.clone()));
    let status = Rc::new(Status(gateway.clone()));
    serve(&gateway, callers, Listener::Callers, forwarder);
    serve(&gateway, readiness, Listener::Readiness, status.clone());
    serve(&gateway, metrics, Listener::Metrics, status);
    actix_rt::spawn(sweep(gateway.clone()));
    actix_rt::spawn(gateway.clone().watch_suspensions());
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.reload.recv() => log::info!(target: "host", "Settings are read only at startup."),
        }
    }
    drain(&gateway).await;
    Ok(())
}

/// Closes connections to endpoints that have been idle for too long. This runs on every host, as hosts that don't read
/// the store open as many connections as those that do.
async fn sweep(gateway: Rc<Gateway>) {
    loop {
        gateway.clock().sleep(SWEEP_INTERVAL).await;
        gateway.idle.sweep();
    }
}

/// The incarnation number of this process: the time since the Unix epoch in microseconds, so that it is higher than
/// that of earlier processes unless the clock was set back. It is random if the clock is before the epoch.
fn incarnation() -> u64 {
    wall::since_epoch().map_or_else(rand::random, |since| since.as_micros() as u64)
}

/// Stops accepting requests, and waits until the accepted ones have ended or the grace time is over.
async fn drain(gateway: &Gateway) {
    log::info!(target: "host", open = gateway.open_requests.get(); "Host stops.");
    let clock = gateway.clock();
    let stop_requested_at = clock.now();
    let until = stop_requested_at + gateway.settings.grace.saturating_sub(KILL_MARGIN);
    gateway.begin_shutdown();
    clock
        .sleep_until((stop_requested_at + SHUTDOWN_ACCEPT_PERIOD).min(until))
        .await;
    gateway.close_idle_connections();
    while gateway.open_requests.get() > 0 && clock.now() < until {
        awake::sleep(POLL_INTERVAL).await;
    }
    // The last bytes written are still in transit to the callers.
    awake::sleep(POLL_INTERVAL).await;
    log::info!(target: "host", cut = gateway.open_requests.get(); "Host has stopped.");
}

fn listen(addr: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(ACCEPT_BACKLOG)
    };
    open().with_context(|| format!("can't listen on {addr}"))
}

fn serve<H: Handler + 'static>(
    gateway: &Gateway,
    listener: TcpListener,
    kind: Listener,
    handler: Rc<H>,
) {
    let server = listener::Server {
        handler,
        codec: gateway.codec.clone(),
        intake: gateway.intake.clone(),
        closing: gateway.closing(),
    };
    actix_rt::spawn(listener::serve(listener, kind, server));
}

/// Answers readiness checks of the load balancer and scrapes of the metrics.
struct Status(Rc<Gateway>);

impl Handler for Status {
    fn limits(&self) -> CallerLimits {
        CallerLimits {
            max_body_bytes: 0,
            ..CallerLimits::default()
        }
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
                gateway.update_gauges();
                (StatusCode::OK, gateway.metrics.text().into())
            }
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        };
        out.send_complete(status, Default::default(), body).await
    }

    fn abandoned(&self) {}
}
