//! The calls to the table and the engines, each made once and in a bounded time.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_adapter::store::Table;
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
use crate::clock::Clock;

/// What an engine answers to an order with an old fencing number.
const STALE_FENCE: u16 = 409;

/// Makes the calls and reports to the task.
pub(super) struct Calls {
    clock: Clock,
    leases: Rc<RefCell<Leases>>,
    table: Table,
    http: awc::Client,
    /// The longest time a call to an engine takes. Half of the flight time: the rest is for the
    /// engine to notice that the connection is closed.
    limit: Duration,
    /// Weak, so that the task ends with its feed.
    tx: mpsc::WeakUnboundedSender<Event>,
}

impl Calls {
    /// No calls yet.
    pub(super) fn new(
        cfg: &Config,
        clock: Clock,
        leases: Rc<RefCell<Leases>>,
        tx: mpsc::WeakUnboundedSender<Event>,
    ) -> Self {
        let limit = cfg.group.max_flight_time / 2;
        let connector = awc::Connector::new().timeout(limit / 2);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(limit)
            .disable_redirects()
            .finish();
        Self {
            clock,
            leases,
            table: Table::new(cfg.platform, cfg.lease.answer_timeout),
            http,
            limit,
            tx,
        }
    }

    /// Calls the table.
    pub(super) fn table(&self, id: TxnId, call: TableCall) {
        let (table, tx) = (self.table.clone(), self.tx.clone());
        actix_rt::spawn(async move {
            let result = table.call(&call).await;
            report(&tx, Event::Table(id, result));
        });
    }

    /// Asks an engine what it is, and for its sessions first if those count.
    pub(super) fn read(&self, of: CallRef, addr: SocketAddr, with_sessions: bool) {
        let engine = EngineClient::new(self.http.clone(), addr);
        let (clock, limit, tx) = (self.clock, self.limit, self.tx.clone());
        let until = clock.now() + limit;
        actix_rt::spawn(async move {
            if with_sessions {
                let asked = clock.now();
                let load = bounded(limit / 2, engine.load(limit / 2)).await;
                if let Ok(load) = load {
                    let age = Duration::from_millis(load.age_ms.into());
                    let at = asked.saturating_sub(age);
                    report(&tx, Event::Sessions(of.clone(), load.sessions, at));
                }
            }
            let left = until.saturating_sub(clock.now());
            let state = bounded(left, engine.state(left)).await;
            let state = state.and_then(|state| own(&of, state));
            report(&tx, Event::Answer(of, state.map_err(|e| cause(&e))));
        });
    }

    /// Gives an order, if the lease still allows it.
    pub(super) fn order(&self, of: CallRef, addr: SocketAddr, order: Order) {
        let engine = EngineClient::new(self.http.clone(), addr);
        let (clock, leases, tx) = (self.clock, self.leases.clone(), self.tx.clone());
        let until = clock.now() + self.limit;
        actix_rt::spawn(async move {
            let now = clock.now();
            let left = until.saturating_sub(now);
            let fence = Fence(order.fence);
            // The last step before the order is sent.
            let allowed = leases.borrow().check(now, &of.lease, fence);
            let result = match allowed && !left.is_zero() {
                true => bounded(left, engine.order(&order, left)).await,
                false => Err(CallError::NotSent("the lease is gone".to_owned())),
            };
            if let Err(e) = &result {
                log::warn!("orders: The order to {} has no answer: {e}.", of.endpoint);
            }
            report(&tx, Event::Answer(of, result.map_err(|e| cause(&e))));
        });
    }

    /// Reports that no call was made.
    pub(super) fn not_sent(&self, of: CallRef) {
        let result: Result<EngineState, _> = Err(group::CallError::NotSent);
        report(&self.tx, Event::Answer(of, result));
    }
}

/// Ends a call at `limit`, its body too, and closes the connection.
async fn bounded<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let late = || CallError::Lost("no answer in time".to_owned());
    let result = actix_rt::time::timeout(limit, call).await;
    result.unwrap_or_else(|_| Err(late()))
}

/// Refuses the state of another endpoint that has come to listen on the address.
fn own(of: &CallRef, state: EngineState) -> Result<EngineState, CallError> {
    if state.endpoint == of.endpoint.as_str() {
        return Ok(state);
    }
    let found = format!("the state of {:?}", state.endpoint);
    Err(CallError::Malformed(found))
}

fn cause(e: &CallError) -> group::CallError {
    match e {
        CallError::NotSent(_) => group::CallError::NotSent,
        CallError::Status(STALE_FENCE) => group::CallError::StaleFence,
        CallError::Status(_) | CallError::Lost(_) | CallError::Malformed(_) => {
            group::CallError::Unknown
        }
    }
}

fn report(tx: &mpsc::WeakUnboundedSender<Event>, event: Event) {
    // Gone means that the task is ending.
    if let Some(tx) = tx.upgrade() {
        let _ = tx.send(event);
    }
}
