//! Idle connections, by address.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::connection::Connection;

/// How long a connection may be idle and still be used, if its server states no timeout: below the
/// shortest that servers usually have, so that a request rarely meets a connection that is being closed.
const MOST_IDLE: Duration = Duration::from_millis(2500);
/// The same if the server states a longer one: what went silent meanwhile shows only with a request.
const MOST_IDLE_STATED: Duration = Duration::from_secs(15);
/// What is kept back of a timeout that a server states, for the way there and a host that is busy.
const BEFORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle connections kept to one address.
const MOST_KEPT: usize = 16;

/// An idle connection.
struct Kept {
    /// Until when it can be used.
    until: Instant,
    connection: Connection,
}

impl Kept {
    fn new(connection: Connection) -> Self {
        let stated = connection.kept_for();
        let most = stated.map_or(MOST_IDLE, |t| {
            t.saturating_sub(BEFORE_TIMEOUT).min(MOST_IDLE_STATED)
        });
        Self {
            until: Instant::now() + most,
            connection,
        }
    }

    fn lives(&self) -> bool {
        Instant::now() < self.until
    }
}

/// Idle connections.
#[derive(Default)]
pub struct Idle {
    by_addr: RefCell<FxHashMap<SocketAddr, Vec<Kept>>>,
}

impl Idle {
    /// The connection to an address that was used last, if it can still be used.
    pub fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut by_addr = self.by_addr.borrow_mut();
        let kept = by_addr.get_mut(&addr)?;
        while let Some(mut kept) = kept.pop() {
            if kept.lives() && kept.connection.reusable() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Keeps a connection that can be used again, if fewer than `most` are kept to its address.
    pub fn put(&self, addr: SocketAddr, connection: Connection, most: usize) {
        let mut by_addr = self.by_addr.borrow_mut();
        let kept = by_addr.entry(addr).or_default();
        if kept.len() < most.min(MOST_KEPT) {
            kept.push(Kept::new(connection));
        }
    }

    /// Closes all connections to an address.
    pub fn drop_all(&self, addr: SocketAddr) {
        self.by_addr.borrow_mut().remove(&addr);
    }

    /// Closes what has been idle too long.
    pub fn sweep(&self) {
        let mut by_addr = self.by_addr.borrow_mut();
        by_addr.retain(|_, kept| {
            kept.retain(Kept::lives);
            !kept.is_empty()
        });
    }
}
