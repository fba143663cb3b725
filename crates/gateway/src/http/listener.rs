//! Accepts connections, as far as there is room for them.

use std::{rc::Rc, time::Duration};

use actix_http::ServiceConfig;
use dragonflyrill_clock::awake;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task,
};

use super::{
    callers::{self, Handler},
    intake::{AllInUse, ConnectionGuard, Intake, Listener},
};

/// The pause after a failed accept.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What the connections to a listener share.
pub struct Server<H> {
    /// Answers their requests.
    pub handler: Rc<H>,
    /// The settings of their codecs.
    pub codec: ServiceConfig,
    /// Where they are counted.
    pub intake: Rc<Intake>,
    /// Becomes true when idle connections are to be closed.
    pub closing: watch::Receiver<bool>,
}

/// Accepts and serves connections for as long as the process runs.
pub async fn serve<H: Handler + 'static>(listener: TcpListener, kind: Listener, server: Server<H>) {
    loop {
        match listener.accept().await {
            Ok((io, peer)) => {
                match server.intake.connect(kind, peer) {
                    Ok(connection) => server.spawn(io, connection),
                    Err(AllInUse) => callers::refuse_connection(&io),
                }
                // Connections that are to be closed for this one end before others are accepted.
                task::yield_now().await;
            }
            Err(e) => {
                log::warn!(target: "host", why:% = e; "A connection can't be accepted.");
                awake::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

impl<H: Handler + 'static> Server<H> {
    fn spawn(&self, io: TcpStream, connection: ConnectionGuard) {
        if let Err(e) = io.set_nodelay(true) {
            log::warn!(target: "host", why:% = e; "A connection can't be set up.");
            return;
        }
        let (handler, codec) = (self.handler.clone(), self.codec.clone());
        let served = callers::serve_counted(io, handler, codec, self.closing.clone(), connection);
        actix_rt::spawn(served);
    }
}
