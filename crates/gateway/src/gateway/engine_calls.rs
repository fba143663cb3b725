//! Calls to the control interface of engines, which are withheld from engines that accept nothing now.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_clock::awake;
use dragonflyrill_fleet::{layers::LayerRange, paths::Way};

use super::Gateway;
use crate::{
    http::{
        call::{CallError, CallPath},
        relayed::{RelayKind, RelayResult},
    },
    paths::PathState,
    ports::{EngineReport, OrderAnswer},
};

/// The result of a poll of an engine's report.
pub(crate) enum EnginePoll {
    /// The engine reported its state.
    Report(EngineReport),
    /// The engine did not answer, or the poll failed.
    Silent,
    /// The poll was not made, or the engine refused it with a backoff. Nothing is known about the engine's state.
    Withheld,
}

impl Gateway {
    /// Polls the report of an engine, unless the engine is in a backoff or its limit leaves no permit.
    pub(crate) async fn poll_engine(
        &self,
        id: &Rc<str>,
        addr: SocketAddr,
        timeout: Duration,
    ) -> EnginePoll {
        if self.is_backing_off(id) || !self.try_acquire_permits(&[id]) {
            return EnginePoll::Withheld;
        }
        let way = self.paths.known().way(addr);
        let poll = self.platform.engines.report(call_path(addr, way));
        let Ok(reply) = awake::timeout(timeout, poll).await else {
            return EnginePoll::Silent;
        };
        match reply.result {
            Ok(report) => {
                let id = self.reporting_incarnation(id, &report);
                self.record_availability(&id, reply.availability);
                EnginePoll::Report(report)
            }
            Err(CallError::NotRelayed(result)) => {
                if let Way::Relay(relay) = way {
                    self.record_relay_failure(addr, relay, result);
                }
                match result {
                    RelayResult::Unavailable => EnginePoll::Withheld,
                    _ => EnginePoll::Silent,
                }
            }
            Err(_) => {
                self.record_availability(id, reply.availability);
                match self.is_backing_off(id) {
                    true => EnginePoll::Withheld,
                    false => EnginePoll::Silent,
                }
            }
        }
    }

    /// Polls the report of an engine. If the engine does not answer and only the path to it is cut, polls it again
    /// through another host.
    pub(crate) async fn poll_engine_by_any_way(
        self: &Rc<Self>,
        id: &Rc<str>,
        addr: SocketAddr,
        timeout: Duration,
    ) -> EnginePoll {
        let poll = self.poll_engine(id, addr, timeout).await;
        match poll {
            EnginePoll::Silent if self.check_path(addr).await == PathState::Cut => {
                self.poll_engine(id, addr, timeout).await
            }
            poll => poll,
        }
    }

    /// Orders an engine to hold `layers`, unless the engine is in a backoff; `None` if no order was sent for this
    /// reason. The engine refuses the order if it has started another number of orders than `orders`.
    pub(crate) async fn order_engine(
        &self,
        id: &Rc<str>,
        addr: SocketAddr,
        layers: LayerRange,
        orders: u64,
        timeout: Duration,
    ) -> Option<Result<OrderAnswer, CallError>> {
        if self.is_backing_off(id) {
            return None;
        }
        let path = call_path(addr, self.paths.known().way(addr));
        let order = self.platform.engines.place(path, layers, Some(orders));
        Some(match awake::timeout(timeout, order).await {
            Ok(reply) => {
                self.record_availability(id, reply.availability);
                reply.result
            }
            Err(_) => Err(CallError::Unknown("no answer in time".to_owned())),
        })
    }

    fn is_backing_off(&self, id: &str) -> bool {
        let directory = self.directory.borrow();
        !directory.remaining_backoff(id, self.now()).is_zero()
    }
}

/// How a call to an engine is made.
fn call_path(addr: SocketAddr, way: Way) -> CallPath {
    match way {
        Way::Direct | Way::Search => addr.into(),
        Way::Relay(relay) => CallPath::relayed(relay, addr, RelayKind::Control),
    }
}
