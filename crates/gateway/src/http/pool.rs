//! A pool of idle connections, by address.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use dragonflyrill_clock::Clock;
use rustc_hash::FxHashMap;

use super::connection::Connection;

/// How long a connection may be idle and still be reused, if its server states no idle timeout. It is below the
/// shortest timeout that servers usually have, so that a request is rarely sent on a connection that is being closed.
const MAX_IDLE: Duration = Duration::from_millis(2500);
/// The maximum if the server states a longer timeout: a peer that has become unreachable meanwhile is noticed only
/// when a request is sent.
const MAX_IDLE_STATED: Duration = Duration::from_secs(15);
/// How long before the timeout that a server states a connection is no longer reused, to allow for network latency
/// and delays on a busy host.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// The maximum number of idle connections to one address.
const MAX_KEPT_PER_ADDR: usize = 16;

/// An idle connection and how long it can be reused.
struct IdleConnection {
    /// When it stops being reusable. Its server counts the time for which this machine is suspended.
    until: Duration,
    connection: Connection,
}

impl IdleConnection {
    fn new(connection: Connection, now: Duration) -> Self {
        let stated = connection.idle_timeout();
        let max = stated.map_or(MAX_IDLE, |t| {
            t.saturating_sub(TIMEOUT_MARGIN).min(MAX_IDLE_STATED)
        });
        Self {
            until: now + max,
            connection,
        }
    }

    fn is_usable(&self, now: Duration) -> bool {
        now < self.until
    }
}

/// A pool of idle connections.
pub struct IdleConnections {
    clock: Clock,
    by_addr: RefCell<FxHashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl IdleConnections {
    /// Creates an empty pool.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            by_addr: RefCell::default(),
        }
    }

    /// Removes and returns the most recently used connection to an address that can still be reused.
    pub fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut by_addr = self.by_addr.borrow_mut();
        let kept = by_addr.get_mut(&addr)?;
        let now = self.clock.now();
        while let Some(mut kept) = kept.pop() {
            if kept.is_usable(now) && kept.connection.reusable() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Adds a reusable connection, if fewer than `max` to its address are in the pool; closes it otherwise.
    pub fn put(&self, addr: SocketAddr, connection: Connection, max: usize) {
        let mut by_addr = self.by_addr.borrow_mut();
        let kept = by_addr.entry(addr).or_default();
        if kept.len() < max.min(MAX_KEPT_PER_ADDR) {
            kept.push(IdleConnection::new(connection, self.clock.now()));
        }
    }

    /// Closes all connections to an address.
    pub fn close_all(&self, addr: SocketAddr) {
        self.by_addr.borrow_mut().remove(&addr);
    }

    /// Closes the connections that have been idle for too long or whose peers have sent something or closed them.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut by_addr = self.by_addr.borrow_mut();
        by_addr.retain(|_, kept| {
            kept.retain_mut(|idle| idle.is_usable(now) && idle.connection.reusable());
            !kept.is_empty()
        });
    }
}
