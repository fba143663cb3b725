//! Idle connections, by address.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rustc_hash::FxHashMap;

use super::connection::Connection;

/// How long a connection may be idle and still be used: below the shortest timeout that servers
/// usually have, so that a request rarely meets a connection that is being closed.
const MOST_IDLE: Duration = Duration::from_millis(2500);
/// Idle connections kept to one address.
const MOST_KEPT: usize = 16;

/// Idle connections.
#[derive(Default)]
pub struct Idle {
    by_addr: RefCell<FxHashMap<SocketAddr, Vec<(Instant, Connection)>>>,
}

impl Idle {
    /// The connection to an address that was used last, if it can still be used.
    pub fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut by_addr = self.by_addr.borrow_mut();
        let kept = by_addr.get_mut(&addr)?;
        while let Some((since, mut connection)) = kept.pop() {
            if since.elapsed() < MOST_IDLE && connection.reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection that can be used again, if fewer than `most` are kept to its address.
    pub fn put(&self, addr: SocketAddr, connection: Connection, most: usize) {
        let mut by_addr = self.by_addr.borrow_mut();
        let kept = by_addr.entry(addr).or_default();
        if kept.len() < most.min(MOST_KEPT) {
            kept.push((Instant::now(), connection));
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
            kept.retain(|(since, _)| since.elapsed() < MOST_IDLE);
            !kept.is_empty()
        });
    }
}
