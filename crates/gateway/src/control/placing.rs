//! Has engines load the layers that the planner gives them, on the host that holds the lease.
//!
//! What engines should load is decided in [`dragonflyrill_fleet::placement::planner`], what is known
//! of them, and which orders that allows, in [`dragonflyrill_fleet::placement::engine_states`]; here
//! engines are asked and ordered.

use std::{rc::Rc, time::Duration};

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
use tokio::time;

use super::tenure::{Tenure, Tenures};
use crate::{
    gateway::Gateway,
    http::call::CallError,
    ports::{EngineReport, OrderAnswer},
};

/// How long a call to an engine may take.
const CALL: Duration = Duration::from_millis(700);
/// Calls to engines at the same time.
const AT_ONCE: usize = 8;

/// How often it is looked whether anything is to be placed.
const TICK: Duration = Duration::from_millis(100);

/// Places layers while this host holds the lease, for as long as the process lives.
pub(super) async fn keep(gateway: Rc<Gateway>, tenures: Rc<Tenures>) {
    let mut placing = Placing {
        gateway: gateway.clone(),
        tenures: tenures.clone(),
        tenure: None,
        known: EngineStates::default(),
        planners: FxHashMap::default(),
    };
    loop {
        match tenures.tenure(gateway.now()) {
            Some(tenure) => placing.round(tenure).await,
            None => placing.watch(),
        }
        time::sleep(TICK).await;
    }
}

/// The work of the host that holds the lease.
struct Placing {
    gateway: Rc<Gateway>,
    tenures: Rc<Tenures>,
    /// The tenure in which `known` was learned.
    tenure: Option<Tenure>,
    known: EngineStates,
    /// One for each service of engines.
    planners: FxHashMap<Rc<str>, Planner>,
}

/// The engines of one service that are listed.
struct Listed {
    staying: Vec<Rc<Endpoint>>,
    leaving: Vec<Rc<Endpoint>>,
}

impl Placing {
    /// Another host may give orders now: what was known is no longer so, and only the list is
    /// watched.
    fn watch(&mut self) {
        self.known.clear();
        let Some(catalogue) = self.gateway.catalogue.borrow().clone() else {
            return;
        };
        for service in catalogue.engine_services() {
            let listed = self.listed(&service.name);
            self.with_planner(&service.name, &listed, |planner, engines, now| {
                planner.observe(engines, now);
            });
        }
    }

    /// Orders what is missing.
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
            let asked = self.gateway.asked.get();
            let settled = self.with_planner(&service.name, &listed, |planner, engines, now| {
                planner.settled(engines, asked, now)
            });
            if !settled {
                continue;
            }
            self.ask(&listed.staying).await;
            let Plan {
                placements,
                newly_waiting,
            } = self.with_planner(&service.name, &listed, |planner, engines, now| {
                planner.plan(engine, engines, now)
            });
            for id in newly_waiting {
                log::info!(target: "placing", endpoint = &*id; "Engine waits for one of its kind to leave.");
            }
            self.ask_movers(&listed.staying, &placements).await;
            self.order(&placements, tenure).await;
        }
        self.known.retain_listed(&self.gateway.directory.borrow());
    }

    fn listed(&self, service: &Rc<str>) -> Listed {
        let directory = self.gateway.directory.borrow();
        let engines = directory.iter().filter(|e| e.service == *service);
        let mut engines: Vec<Rc<Endpoint>> = engines.cloned().collect();
        engines.sort_by(|a, b| a.id.cmp(&b.id));
        let (leaving, staying) = engines.into_iter().partition(|e| e.draining);
        Listed { staying, leaving }
    }

    /// Has a service's planner do something with the engines as they are known now.
    fn with_planner<T>(
        &mut self,
        service: &Rc<str>,
        listed: &Listed,
        act: impl FnOnce(&mut Planner, &ListedEngines<'_>, Duration) -> T,
    ) -> T {
        let engines = ListedEngines {
            staying: &listed.staying,
            draining: &listed.leaving,
            states: &self.known,
            directory: &self.gateway.directory.borrow(),
        };
        let planner = self.planners.entry(service.clone()).or_default();
        act(planner, &engines, self.gateway.now())
    }

    /// Asks engines that are listed as empty and of which nothing is known.
    async fn ask(&mut self, endpoints: &[Rc<Endpoint>]) {
        let asked = self.known.unknown_empty(endpoints, self.gateway.now());
        let reports = self.reports(&asked).await;
        let now = self.gateway.now();
        for (endpoint, report) in reports {
            if !self.started_again(endpoint, report.as_ref()) {
                self.known
                    .record_empty_report(&endpoint.id, report.map(told), now);
            }
        }
    }

    /// Asks the loaded engines that are to move.
    async fn ask_movers(&mut self, endpoints: &[Rc<Endpoint>], placements: &[Placement]) {
        let asked = self.known.unknown_movers(endpoints, placements);
        let reports = self.reports(&asked).await;
        let now = self.gateway.now();
        for (endpoint, report) in reports {
            if !self.started_again(endpoint, report.as_ref()) {
                self.known
                    .record_mover_report(endpoint, report.map(told), now);
            }
        }
    }

    /// Whether a report is of another start than the engine is known by: it says nothing of that one,
    /// and the new one is asked by its own id.
    fn started_again(&self, endpoint: &Endpoint, report: Option<&EngineReport>) -> bool {
        if let Some(report) = report {
            self.gateway.reported(&endpoint.id, report);
        }
        self.gateway.directory.borrow().get(&endpoint.id).is_none()
    }

    async fn reports<'a>(
        &self,
        endpoints: &'a [Rc<Endpoint>],
    ) -> Vec<(&'a Rc<Endpoint>, Option<EngineReport>)> {
        let gateway = &self.gateway;
        let report = async |e: &Endpoint| {
            if !gateway.take_permits(&[&e.id]) {
                return None;
            }
            let report = gateway.platform.engines.report(e.addr);
            time::timeout(CALL, report).await.ok()?.ok()
        };
        let report = &report;
        stream::iter(endpoints)
            .map(|e| async move { (e, report(e).await) })
            .buffer_unordered(AT_ONCE)
            .collect()
            .await
    }

    /// Gives the orders, each only while the tenure lasts: all of them may take longer than the lease does.
    async fn order(&mut self, placements: &[Placement], tenure: Tenure) {
        let (gateway, tenures) = (&self.gateway, &self.tenures);
        let orders = self.known.orders(&gateway.directory.borrow(), placements);
        let give = async |order: Order| {
            if !tenures.holds(tenure, gateway.now()) {
                return None;
            }
            let _under_way = tenures.order();
            let engines = &gateway.platform.engines;
            let placed = engines.place(
                order.endpoint.addr,
                order.layers,
                Some(order.expected_orders),
            );
            let outcome = time::timeout(CALL, placed).await;
            let silent = || CallError::Unknown("no answer in time".to_owned());
            Some((order, outcome.unwrap_or_else(|_| Err(silent()))))
        };
        let outcomes: Vec<(Order, Result<OrderAnswer, CallError>)> = stream::iter(orders)
            .map(give)
            .buffer_unordered(AT_ONCE)
            .filter_map(async |outcome| outcome)
            .collect()
            .await;
        for (order, outcome) in outcomes {
            self.note(&order, &outcome);
        }
    }

    fn note(&mut self, order: &Order, outcome: &Result<OrderAnswer, CallError>) {
        let (ended, label) = match outcome {
            Ok(OrderAnswer::Begun | OrderAnswer::Holds) => (OrderOutcome::Accepted, "begun"),
            Ok(OrderAnswer::Refused(_)) | Err(CallError::NotSent(_)) => {
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
        self.known.record_outcome(order, ended, self.gateway.now());
    }
}

fn told(report: EngineReport) -> LoadReport {
    LoadReport {
        layers: report.layers,
        busy: report.busy,
        orders: report.orders,
    }
}
