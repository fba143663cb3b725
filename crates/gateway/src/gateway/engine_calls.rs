//! Calls to the control interface of engines, which are withheld from engines that accept nothing now.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_fleet::layers::LayerRange;
use tokio::time;

use super::Gateway;
use crate::{
    http::call::CallError,
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
        let poll = self.platform.engines.report(addr);
        let Ok(reply) = time::timeout(timeout, poll).await else {
            return EnginePoll::Silent;
        };
        match reply.result {
            Ok(report) => {
                let id = self.reporting_incarnation(id, &report);
                self.record_availability(&id, reply.availability);
                EnginePoll::Report(report)
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
        let order = self.platform.engines.place(addr, layers, Some(orders));
        Some(match time::timeout(timeout, order).await {
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
