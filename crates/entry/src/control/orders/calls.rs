//! The calls to the table and to the engines. Each call is made once, without a retry, and has a
//! timeout.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_adapter::store::Table;
use dragonflyrill_clock::{Clock, awake};
use dragonflyrill_engines::{
    CallError, EngineClient,
    wire::{EngineState, Order},
};
use dragonflyrill_orders::{
    group,
    lease::{Fence, Leases, TxnId},
};
use dragonflyrill_store::table::{TableApi, TableCall};
use tokio::sync::mpsc;

use super::{CallRef, Config, Event};

/// The status with which an engine refuses an order with an old fencing number.
const STALE_FENCE_STATUS: u16 = 409;

/// Makes the calls and sends their results to the task.
pub(super) struct Calls {
    clock: Clock,
    leases: Rc<RefCell<Leases>>,
    table: Table,
    http: awc::Client,
    /// The timeout of a call to an engine. It is half of `max_flight_time`: in the other half the
    /// engine notices that the connection is closed.
    call_timeout: Duration,
    /// Weak, so that the task ends when its handle is dropped.
    tx: mpsc::WeakUnboundedSender<Event>,
}

impl Calls {
    /// Creates the clients, without any call.
    pub(super) fn new(
        cfg: &Config,
        clock: Clock,
        leases: Rc<RefCell<Leases>>,
        tx: mpsc::WeakUnboundedSender<Event>,
    ) -> Self {
        let call_timeout = cfg.group.max_flight_time / 2;
        let connector = awc::Connector::new().timeout(call_timeout / 2);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(call_timeout)
            .disable_redirects()
            .finish();
        Self {
            clock,
            leases,
            table: Table::new(cfg.platform, cfg.lease.answer_timeout),
            http,
            call_timeout,
            tx,
        }
    }

    /// Starts a call to the platform's table.
    pub(super) fn call_table(&self, id: TxnId, call: TableCall) {
        let (table, tx) = (self.table.clone(), self.tx.clone());
        actix_rt::spawn(async move {
            let result = table.call(&call).await;
            report(&tx, Event::TxnDone(id, result));
        });
    }

    /// Starts to read the state of an engine. With `with_sessions`, reads the number of its sessions
    /// first.
    pub(super) fn read_state(&self, of: CallRef, addr: SocketAddr, with_sessions: bool) {
        let engine = EngineClient::new(self.http.clone(), addr);
        let (clock, call_timeout, tx) = (self.clock.clone(), self.call_timeout, self.tx.clone());
        let deadline = clock.now() + call_timeout;
        actix_rt::spawn(async move {
            if with_sessions {
                let started_at = clock.now();
                let load = with_timeout(call_timeout / 2, engine.load(call_timeout / 2)).await;
                if let Ok(load) = load {
                    let age = Duration::from_millis(load.age_ms.into());
                    let at = started_at.saturating_sub(age);
                    report(&tx, Event::SessionCount(of.clone(), load.sessions, at));
                }
            }
            let left = deadline.saturating_sub(clock.now());
            let state = with_timeout(left, engine.state(left)).await;
            let state = state.and_then(|state| check_endpoint(&of, state));
            report(
                &tx,
                Event::CallDone(of, state.map_err(|e| to_group_error(&e))),
            );
        });
    }

    /// Starts to send an order to an engine, if this host still holds the lease.
    pub(super) fn send_order(&self, of: CallRef, addr: SocketAddr, order: Order) {
        let engine = EngineClient::new(self.http.clone(), addr);
        let (clock, leases, tx) = (self.clock.clone(), self.leases.clone(), self.tx.clone());
        let deadline = clock.now() + self.call_timeout;
        actix_rt::spawn(async move {
            let now = clock.now();
            let left = deadline.saturating_sub(now);
            let fence = Fence(order.fence);
            // Nothing may delay the order between this check of the lease and the call.
            let allowed = leases.borrow().check(now, &of.lease, fence);
            let result = match allowed && !left.is_zero() {
                true => with_timeout(left, engine.order(&order, left)).await,
                false => Err(CallError::NotSent(
                    "the lease is not held any more".to_owned(),
                )),
            };
            if let Err(e) = &result {
                log::warn!("orders: The order to {} failed: {e}.", of.endpoint);
            }
            report(
                &tx,
                Event::CallDone(of, result.map_err(|e| to_group_error(&e))),
            );
        });
    }

    /// Reports that the call was not sent.
    pub(super) fn report_not_sent(&self, of: CallRef) {
        let result: Result<EngineState, _> = Err(group::CallError::NotSent);
        report(&self.tx, Event::CallDone(of, result));
    }
}

/// Cancels a call after `timeout`, also while its body is being read. The cancellation closes the
/// connection.
async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let timed_out = || CallError::Lost("no answer in time".to_owned());
    let result = awake::timeout(timeout, call).await;
    result.unwrap_or_else(|_| Err(timed_out()))
}

/// Returns `state`, or an error if it is the state of another endpoint, which now listens on the
/// address.
fn check_endpoint(of: &CallRef, state: EngineState) -> Result<EngineState, CallError> {
    if state.endpoint == of.endpoint.as_str() {
        return Ok(state);
    }
    let found = format!("the state of {:?}", state.endpoint);
    Err(CallError::Malformed(found))
}

fn to_group_error(e: &CallError) -> group::CallError {
    match e {
        CallError::NotSent(_) => group::CallError::NotSent,
        CallError::Status(STALE_FENCE_STATUS) => group::CallError::StaleFence,
        CallError::Status(_) | CallError::Lost(_) | CallError::Malformed(_) => {
            group::CallError::Unknown
        }
    }
}

fn report(tx: &mpsc::WeakUnboundedSender<Event>, event: Event) {
    // There is no sender left when the task is ending.
    if let Some(tx) = tx.upgrade() {
        let _ = tx.send(event);
    }
}
