//! Orders engines to load the layers that the planner assigns to them, on the host that holds the lease.
//!
//! [`dragonflyrill_fleet::placement::planner`] decides what engines should load;
//! [`dragonflyrill_fleet::placement::engine_states`] holds what is known of the engines, and decides which orders that
//! permits. This module calls the engines.

use std::{rc::Rc, time::Duration};

use dragonflyrill_clock::awake;
use dragonflyrill_fleet::{
    endpoints::Endpoint,
    placement::{
        Placement,
        engine_states::{EngineStates, LoadReport, Order, OrderOutcome},
        planner::{ListedEngines, Plan, Planner},
    },
};
use futures_util::{StreamExt, stream};
use rustc_hash::FxHashMap;

use super::tenure::{LeaseState, Tenure};
use crate::{
    gateway::{EnginePoll, Gateway},
    http::call::CallError,
    ports::{EngineReport, OrderAnswer},
};

/// The time limit of a call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The maximum number of concurrent calls to engines.
const MAX_CONCURRENT_CALLS: usize = 8;

/// How often the task checks whether layers are to be placed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Places layers while this host holds the lease, until the process exits.
pub(super) async fn run(gateway: Rc<Gateway>, lease: Rc<LeaseState>) {
    let mut placer = Placer {
        gateway: gateway.clone(),
        lease: lease.clone(),
        tenure: None,
        known: EngineStates::default(),
        planners: FxHashMap::default(),
    };
    loop {
        match lease.tenure(gateway.now()) {
            Some(tenure) => placer.round(tenure).await,
            None => placer.observe(),
        }
        awake::sleep(CHECK_INTERVAL).await;
    }
}

/// The state of the task that places layers.
struct Placer {
    gateway: Rc<Gateway>,
    lease: Rc<LeaseState>,
    /// The tenure in which `known` was learned.
    tenure: Option<Tenure>,
    known: EngineStates,
    /// The planner of each service that runs on engines.
    planners: FxHashMap<Rc<str>, Planner>,
}

/// The listed engines of one service.
struct ListedService {
    staying: Vec<Rc<Endpoint>>,
    draining: Vec<Rc<Endpoint>>,
}

impl Placer {
    /// Runs while this host does not hold the lease: another host may order engines, so that the known states of the
    /// engines are discarded and only the list of engines is observed.
    fn observe(&mut self) {
        self.known.clear();
        let Some(catalogue) = self.gateway.catalogue.borrow().clone() else {
            return;
        };
        for service in catalogue.engine_services() {
            let planner = self.planners.entry(service.name.clone()).or_default();
            if !planner.is_observation_due(&self.gateway.directory.borrow()) {
                continue;
            }
            let listed = self.listed(&service.name);
            self.with_planner(&service.name, &listed, |planner, engines, now| {
                planner.observe(engines, now);
            });
        }
    }

    /// Plans the placement of each service and orders engines to load missing layers.
    async fn round(&mut self, tenure: Tenure) {
        if self.tenure.replace(tenure) != Some(tenure) {
            self.known.clear();
        }
        let Some(catalogue) = self.gateway.catalogue.borrow().clone() else {
            return;
        };
        for service in catalogue.engine_services() {
            let Some(engine) = &service.engine else {
                continue;
            };
            let listed = self.listed(&service.name);
            let has_requests = self.gateway.request_received.get();
            let settled = self.with_planner(&service.name, &listed, |planner, engines, now| {
                planner.settled(engines, has_requests, now)
            });
            if !settled {
                continue;
            }
            self.query_empty(&listed.staying).await;
            let Plan {
                placements,
                newly_waiting,
            } = self.with_planner(&service.name, &listed, |planner, engines, now| {
                planner.plan(engine, engines, now)
            });
            for id in newly_waiting {
                log::info!(target: "placing", endpoint = &*id; "Engine waits for another engine of its kind to drain.");
            }
            self.query_movers(&listed.staying, &placements).await;
            self.order(&placements, tenure).await;
        }
        self.known.retain_listed(&self.gateway.directory.borrow());
    }

    fn listed(&self, service: &Rc<str>) -> ListedService {
        let directory = self.gateway.directory.borrow();
        let engines = directory.iter().filter(|e| e.service == *service);
        let mut engines: Vec<Rc<Endpoint>> = engines.cloned().collect();
        engines.sort_by(|a, b| a.id.cmp(&b.id));
        let (draining, staying) = engines.into_iter().partition(|e| e.draining);
        ListedService { staying, draining }
    }

    /// Calls `act` with the planner of a service, the engines as they are known now, and the current time.
    fn with_planner<T>(
        &mut self,
        service: &Rc<str>,
        listed: &ListedService,
        act: impl FnOnce(&mut Planner, &ListedEngines<'_>, Duration) -> T,
    ) -> T {
        let engines = ListedEngines {
            staying: &listed.staying,
            draining: &listed.draining,
            states: &self.known,
            directory: &self.gateway.directory.borrow(),
        };
        let planner = self.planners.entry(service.clone()).or_default();
        act(planner, &engines, self.gateway.now())
    }

    /// Reads the state of engines that are listed as empty and whose state is unknown.
    async fn query_empty(&mut self, endpoints: &[Rc<Endpoint>]) {
        let queried = self.known.unknown_empty(endpoints, self.gateway.now());
        let reports = self.reports(&queried).await;
        let now = self.gateway.now();
        for (endpoint, report) in reports {
            if !self.has_restarted(endpoint, report.as_ref()) {
                self.known
                    .record_empty_report(&endpoint.id, report.map(load_report), now);
            }
        }
    }

    /// Reads the state of loaded engines that are to move to other layers and whose state is unknown.
    async fn query_movers(&mut self, endpoints: &[Rc<Endpoint>], placements: &[Placement]) {
        let queried = self.known.unknown_movers(endpoints, placements);
        let reports = self.reports(&queried).await;
        let now = self.gateway.now();
        for (endpoint, report) in reports {
            if !self.has_restarted(endpoint, report.as_ref()) {
                self.known
                    .record_mover_report(endpoint, report.map(load_report), now);
            }
        }
    }

    /// Whether a report is of another incarnation than the listed one. Such a report says nothing about the listed
    /// incarnation; the new incarnation is listed with an id of its own, and its state is read under that id.
    fn has_restarted(&self, endpoint: &Endpoint, report: Option<&EngineReport>) -> bool {
        if let Some(report) = report {
            self.gateway.apply_engine_report(&endpoint.id, report);
        }
        self.gateway.directory.borrow().get(&endpoint.id).is_none()
    }

    async fn reports<'a>(
        &self,
        endpoints: &'a [Rc<Endpoint>],
    ) -> Vec<(&'a Rc<Endpoint>, Option<EngineReport>)> {
        let gateway = &self.gateway;
        let report = async |e: &Endpoint| match gateway
            .poll_engine_by_any_way(&e.id, e.addr, CALL_TIMEOUT)
            .await
        {
            EnginePoll::Report(report) => Some(report),
            EnginePoll::Silent | EnginePoll::Withheld => None,
        };
        let report = &report;
        stream::iter(endpoints)
            .map(|e| async move { (e, report(e).await) })
            .buffer_unordered(MAX_CONCURRENT_CALLS)
            .collect()
            .await
    }

    /// Sends the orders, each only while the tenure lasts, as sending all of them may take longer than the lease lasts.
    async fn order(&mut self, placements: &[Placement], tenure: Tenure) {
        let (gateway, lease) = (&self.gateway, &self.lease);
        let orders = self.known.orders(&gateway.directory.borrow(), placements);
        let give = async |order: Order| {
            if !lease.is_current(tenure, gateway.now()) {
                return None;
            }
            let _pending = lease.begin_order();
            let Endpoint { id, addr, .. } = &*order.endpoint;
            let (layers, orders) = (order.layers, order.expected_orders);
            let outcome = gateway
                .order_engine(id, *addr, layers, orders, CALL_TIMEOUT)
                .await?;
            Some((order, outcome))
        };
        let outcomes: Vec<(Order, Result<OrderAnswer, CallError>)> = stream::iter(orders)
            .map(give)
            .buffer_unordered(MAX_CONCURRENT_CALLS)
            .filter_map(async |outcome| outcome)
            .collect()
            .await;
        for (order, outcome) in outcomes {
            self.record_outcome(&order, &outcome);
        }
    }

    fn record_outcome(&mut self, order: &Order, outcome: &Result<OrderAnswer, CallError>) {
        let (order_outcome, label) = match outcome {
            Ok(OrderAnswer::Begun | OrderAnswer::Holds) => (OrderOutcome::Accepted, "begun"),
            Ok(OrderAnswer::Refused(_)) | Err(CallError::NotSent(_) | CallError::NotRelayed(_)) => {
                (OrderOutcome::Refused, "refused")
            }
            Err(CallError::Unknown(_)) => (OrderOutcome::Unknown, "unknown"),
        };
        let orders = &self.gateway.metrics.orders;
        orders.with_label_values(&[label]).inc();
        log::info!(
            target: "placing",
            endpoint = &*order.endpoint.id,
            layers:% = order.layers,
            outcome:? = outcome;
            "Engine was ordered to load layers."
        );
        self.known
            .record_outcome(order, order_outcome, self.gateway.now());
    }
}

fn load_report(report: EngineReport) -> LoadReport {
    LoadReport {
        layers: report.layers,
        busy: report.busy,
        orders: report.orders,
    }
}
