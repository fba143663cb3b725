//! Opens connections over which requests reach endpoints.

use std::{future::Future, io, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use dragonflyrill_clock::awake;
use dragonflyrill_fleet::paths::Way;
use futures_util::future::{self, Either};

use super::{Via, check};
use crate::{
    gateway::Gateway,
    http::connection::{self, Connection},
};

/// The timeout for connecting to an endpoint or a host. They are a fraction of a ms away; the rest allows for busy
/// hosts.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// The delay of the second attempt to connect to an endpoint: one lost packet must not look like a cut path.
const SECOND_ATTEMPT_DELAY: Duration = Duration::from_millis(25);
/// The maximum number of ways to an endpoint that are tried for one request.
const MAX_WAYS: usize = 3;

/// A connection for a request, and what it reaches.
pub(crate) struct OpenedPath {
    pub(crate) connection: Connection,
    pub(crate) via: Via,
}

impl OpenedPath {
    fn direct(connection: Connection) -> Self {
        Self {
            connection,
            via: Via::Direct,
        }
    }
}

impl Gateway {
    /// Takes an idle connection over which requests reach an endpoint, or opens one. Fails if neither this host nor any
    /// that it asks reaches the endpoint.
    pub(crate) async fn open_path(self: &Rc<Self>, endpoint: SocketAddr) -> io::Result<OpenedPath> {
        // Idle connections may outlive a cut that refuses new ones.
        if let Some(connection) = self.idle.take(endpoint) {
            return Ok(OpenedPath::direct(connection));
        }
        let mut failure = io::Error::from(io::ErrorKind::HostUnreachable);
        for _ in 0..MAX_WAYS {
            let way = self.paths.known.borrow().way(endpoint);
            if let Way::Relay(relay) = way {
                self.recheck_if_due(endpoint);
                match self.open_relay(relay).await {
                    Ok(connection) => {
                        let via = Via::Relay(relay);
                        return Ok(OpenedPath { connection, via });
                    }
                    Err(e) => failure = e,
                }
                self.record_unanswered(relay);
                continue;
            }
            match open_direct(self, endpoint).await {
                Ok(connection) => {
                    self.record_direct_path(endpoint);
                    return Ok(OpenedPath::direct(connection));
                }
                Err(e) => failure = e,
            }
            let kind = check::cut_kind(&failure);
            if self.find_relay(endpoint, kind).await.is_none() {
                break;
            }
        }
        Err(failure)
    }

    async fn open_relay(&self, relay: SocketAddr) -> io::Result<Connection> {
        if let Some(connection) = self.idle.take(relay) {
            return Ok(connection);
        }
        within(CONNECT_TIMEOUT, Connection::open(relay, &self.codec)).await
    }

    /// Checks in the background whether a cut path carries connections again, if a check is due.
    fn recheck_if_due(self: &Rc<Self>, endpoint: SocketAddr) {
        let now = self.now();
        if !self.paths.known.borrow_mut().begin_recheck(endpoint, now) {
            return;
        }
        let gateway = self.clone();
        actix_rt::spawn(async move {
            if let check::DirectCheck::Reached = gateway.check_direct(endpoint).await {
                gateway.record_direct_path(endpoint);
            }
        });
    }
}

/// Opens a connection to an endpoint. A refusal fails at once.
pub(super) async fn open_direct(gateway: &Gateway, endpoint: SocketAddr) -> io::Result<Connection> {
    let open = || {
        let network = &*gateway.platform.network;
        connection::open_within(network, endpoint, &gateway.codec, CONNECT_TIMEOUT)
    };
    let first = pin!(open());
    let second = pin!(async {
        awake::sleep(SECOND_ATTEMPT_DELAY).await;
        open().await
    });
    let both = async {
        match future::select(first, second).await {
            Either::Left((Err(e), second)) if e.kind() == io::ErrorKind::TimedOut => second.await,
            Either::Left((first, _)) => first,
            Either::Right((Err(_), first)) => first.await,
            Either::Right((second, _)) => second,
        }
    };
    within(CONNECT_TIMEOUT, both).await
}

async fn within<T>(limit: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    match awake::timeout(limit, work).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
