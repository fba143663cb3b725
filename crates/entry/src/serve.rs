//! Accepts callers' connections, and drains the host on shutdown.

use dragonflyrill_clock::awake;
use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{HttpService, Request};
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::TcpListener;

use crate::{caller, control, host::Host};

/// How long an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// The time within which a client must send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval at which a drain checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves callers on `listener` until the task is dropped.
///
/// # Errors
/// The HTTP service can't be created. A connection that can't be accepted is only logged.
pub async fn serve(host: Rc<Host>, listener: TcpListener) -> io::Result<()> {
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_TIMEOUT)
        .h1(fn_service(move |req: Request| {
            caller::handle(host.clone(), req)
        }))
        .tcp();
    let service = factory
        .new_service(())
        .await
        .map_err(|()| io::Error::other("the HTTP service can't be created"))?;
    loop {
        let (io, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("serve: A connection was not accepted: {e}.");
                continue;
            }
        };
        serve_connection(&service, io, peer);
    }
}

fn serve_connection<S>(service: &S, io: tokio::net::TcpStream, peer: SocketAddr)
where
    S: Service<tokio::net::TcpStream, Response = ()>,
    S::Future: 'static,
    S::Error: std::fmt::Debug,
{
    if let Err(e) = io.set_nodelay(true) {
        log::debug!("serve: TCP_NODELAY could not be set for {peer}: {e}.");
    }
    let connection = service.call(io);
    actix_rt::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("serve: The connection of {peer} failed: {e:?}.");
        }
    });
}

/// Refuses new requests and waits until all running ones have ended, at most the drain limit of the
/// settings. Also hands this host's rights over to other hosts and reports its shutdown to them.
///
/// Returns the number of requests that were still running at the end of the wait.
pub async fn drain(host: &Host) -> usize {
    host.draining.set(true);
    host.admission.hand_over();
    // The channel is closed only after the control arbiter has stopped.
    let _ = host.control.send(control::actor::Event::ShutDown);
    let running = host.requests.borrow().running();
    log::info!("drain: New requests are refused; {running} are running.");
    let until = host.now() + host.settings.drain_limit;
    loop {
        let running = host.requests.borrow().running();
        if running == 0 || host.now() >= until {
            return running;
        }
        awake::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
