//! Accepting callers' connections, and draining.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{HttpService, Request};
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::TcpListener;

use crate::{caller, control, host::Host};

/// How long an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// How long a client may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a drain looks whether it is done.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Serves callers on `listener` until the task is dropped.
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
        .map_err(|()| io::Error::other("the HTTP service can't be made"))?;
    loop {
        let (io, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("serve: A connection was not accepted: {e}.");
                continue;
            }
        };
        accepted(&service, io, peer);
    }
}

fn accepted<S>(service: &S, io: tokio::net::TcpStream, peer: SocketAddr)
where
    S: Service<tokio::net::TcpStream, Response = ()>,
    S::Future: 'static,
    S::Error: std::fmt::Debug,
{
    if let Err(e) = io.set_nodelay(true) {
        log::debug!("serve: No-delay of {peer} was not set: {e}.");
    }
    let connection = service.call(io);
    actix_rt::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("serve: The connection of {peer} ended: {e:?}.");
        }
    });
}

/// Takes no new requests and waits until all running ones have ended, or the limit is over.
///
/// Returns how many were still running.
pub async fn drain(host: &Host) -> usize {
    host.draining.set(true);
    host.admission.leave();
    // Closed only when the control arbiter has stopped already.
    let _ = host.control.send(control::actor::Event::ShutDown);
    let running = host.requests.borrow().running();
    log::info!("drain: No new requests are taken; {running} are running.");
    let until = host.now() + host.settings.drain;
    loop {
        let running = host.requests.borrow().running();
        if running == 0 || host.now() >= until {
            return running;
        }
        actix_rt::time::sleep(DRAIN_POLL).await;
    }
}
