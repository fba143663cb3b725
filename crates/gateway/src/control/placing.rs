//! Has engines load the layers that the planner gives them, on the host that holds the duty.
//!
//! What is known of engines, and which orders that allows, is decided in
//! [`dragonflyrill_fleet::placement::knowledge`]; here engines are asked and ordered.
//!
//! When engines that hold layers come back to the list, more will: a data centre that was cut off is
//! listed again one engine after the other. Nothing moves there until its list stands still.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    endpoints::Endpoint,
    placement::{
        self, Candidate, Placement,
        knowledge::{Knowledge, Order, Outcome, Told},
    },
};
use futures_util::{StreamExt, stream};
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::time;

use crate::{
    gateway::Gateway,
    http::call::CallError,
    ports::{EngineReport, Ordered},
};

/// How long the list of engines must stand still before the first plan of a start: a little over the
/// pause between two entries of one engine, so that all that have started are listed.
const SETTLE: Duration = Duration::from_millis(1500);
/// The longest that the first plan waits for that, and while requests wait for it.
const MOST_SETTLE: Duration = Duration::from_millis(5500);
const MOST_SETTLE_ASKED: Duration = Duration::from_millis(1000);
/// How long a call to an engine may take.
const CALL: Duration = Duration::from_millis(700);
/// Calls to engines at the same time.
const AT_ONCE: usize = 8;

/// The work of the host that holds the duty.
pub(super) struct Placing {
    gateway: Rc<Gateway>,
    known: Knowledge,
    /// How many engines are listed, and since when.
    listed: (usize, Duration),
    first_seen: Option<Duration>,
    /// The engines that held layers when the list was last looked at.
    holders: FxHashSet<Rc<str>>,
    /// When an engine that holds layers last came to the list of a data centre.
    came_at: FxHashMap<Rc<str>, Duration>,
    /// The state for which there was nothing to order.
    planned_for: Option<Situation>,
}

/// What is planned for.
#[derive(PartialEq)]
struct Situation {
    candidates: Vec<Candidate>,
    /// Data centres in which nothing loaded may move.
    unsettled: Vec<Rc<str>>,
}

impl Placing {
    /// Nothing is known of any engine.
    pub(super) fn new(gateway: Rc<Gateway>) -> Self {
        Self {
            gateway,
            known: Knowledge::default(),
            listed: (0, Duration::ZERO),
            first_seen: None,
            holders: FxHashSet::default(),
            came_at: FxHashMap::default(),
            planned_for: None,
        }
    }

    /// Another host may give orders now: what was known is no longer so, and only the list is
    /// watched.
    pub(super) fn watch(&mut self) {
        self.known.clear();
        let Some(catalogue) = self.gateway.catalogue.borrow().clone() else {
            return;
        };
        for service in catalogue.engine_services() {
            let endpoints = self.endpoints(&service.name);
            self.unsettled(&endpoints);
        }
    }

    /// Orders what is missing, if `held` still says so when the engines have been asked: that takes
    /// a good part of what the holder keeps back of its term.
    pub(super) async fn round(&mut self, held: impl Fn() -> bool) {
        let Some(catalogue) = self.gateway.catalogue.borrow().clone() else {
            return;
        };
        for service in catalogue.engine_services() {
            let Some(engine) = &service.engine else {
                continue;
            };
            let endpoints = self.endpoints(&service.name);
            if !self.settled(&endpoints) {
                continue;
            }
            self.ask(&endpoints).await;
            let situation = Situation {
                candidates: self.candidates(&endpoints),
                unsettled: self.unsettled(&endpoints),
            };
            if self.planned_for.as_ref() == Some(&situation) {
                continue;
            }
            let unsettled = |centre: &str| situation.unsettled.iter().any(|c| **c == *centre);
            let placements = placement::plan(engine, &situation.candidates, unsettled);
            self.planned_for = placements.is_empty().then_some(situation);
            self.ask_movers(&endpoints, &placements).await;
            if !held() {
                return;
            }
            self.order(&placements).await;
        }
        self.known.keep_listed(&self.gateway.directory.borrow());
    }

    fn endpoints(&self, service: &Rc<str>) -> Vec<Rc<Endpoint>> {
        let directory = self.gateway.directory.borrow();
        let mut endpoints: Vec<Rc<Endpoint>> = directory
            .iter()
            .filter(|e| e.service == *service && !e.leaving)
            .cloned()
            .collect();
        endpoints.sort_by(|a, b| a.id.cmp(&b.id));
        endpoints
    }

    /// Whether the list has stood still for long enough to plan with.
    fn settled(&mut self, endpoints: &[Rc<Endpoint>]) -> bool {
        let now = self.gateway.now();
        let listed = endpoints.len();
        if listed == 0 {
            return false;
        }
        // Later plans change little, and what is missing then is missed by requests.
        if endpoints.iter().any(|e| e.layers.is_some()) {
            return true;
        }
        let first = *self.first_seen.get_or_insert(now);
        if listed != self.listed.0 {
            self.listed = (listed, now);
        }
        let most = match self.gateway.asked.get() {
            true => MOST_SETTLE_ASKED,
            false => MOST_SETTLE,
        };
        self.listed.1 + SETTLE <= now || first + most <= now
    }

    /// Asks the engines that are listed as empty and of which nothing is known.
    async fn ask(&mut self, endpoints: &[Rc<Endpoint>]) {
        let asked = self.known.empty_ones(endpoints, self.gateway.now());
        let reports = self.reports(&asked).await;
        let now = self.gateway.now();
        for (endpoint, report) in reports {
            if !self.started_again(endpoint, report.as_ref()) {
                self.known.empty_told(&endpoint.id, report.map(told), now);
            }
        }
    }

    /// Asks the loaded engines that are to move.
    async fn ask_movers(&mut self, endpoints: &[Rc<Endpoint>], placements: &[Placement]) {
        let asked = self.known.movers(endpoints, placements);
        let reports = self.reports(&asked).await;
        let now = self.gateway.now();
        for (endpoint, report) in reports {
            if !self.started_again(endpoint, report.as_ref()) {
                self.known.mover_told(endpoint, report.map(told), now);
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
        let engines = &self.gateway.platform.engines;
        stream::iter(endpoints)
            .map(|e| async move {
                let report = time::timeout(CALL, engines.report(e.addr)).await;
                (e, report.ok().and_then(Result::ok))
            })
            .buffer_unordered(AT_ONCE)
            .collect()
            .await
    }

    /// The data centres to whose list engines that hold layers have come a short time ago, or in which
    /// one does not answer: it may be back in a moment, and is taken from the list if it is not.
    fn unsettled(&mut self, endpoints: &[Rc<Endpoint>]) -> Vec<Rc<str>> {
        let now = self.gateway.now();
        let mut holders = FxHashSet::default();
        for endpoint in endpoints.iter().filter(|e| e.layers.is_some()) {
            holders.insert(endpoint.id.clone());
            let ordered = self.known.knows(&endpoint.id);
            if !self.holders.contains(&endpoint.id) && !ordered {
                self.came_at.insert(endpoint.data_centre.clone(), now);
            }
        }
        self.holders = holders;
        self.came_at.retain(|_, at| *at + SETTLE > now);
        let directory = self.gateway.directory.borrow();
        let lost = endpoints.iter().filter(|e| directory.is_lost(&e.id));
        let lost = lost.map(|e| e.data_centre.clone());
        let mut unsettled: Vec<Rc<str>> = self.came_at.keys().cloned().chain(lost).collect();
        unsettled.sort();
        unsettled.dedup();
        unsettled
    }

    fn candidates(&self, endpoints: &[Rc<Endpoint>]) -> Vec<Candidate> {
        let directory = self.gateway.directory.borrow();
        let candidate = |e: &Rc<Endpoint>| Candidate::of(e, self.known.belief(&directory, &e.id));
        endpoints.iter().filter_map(candidate).collect()
    }

    async fn order(&mut self, placements: &[Placement]) {
        let engines = &self.gateway.platform.engines;
        let orders = self
            .known
            .orders(&self.gateway.directory.borrow(), placements);
        let outcomes: Vec<(Order, Result<Ordered, CallError>)> = stream::iter(orders)
            .map(|o| async move {
                let order = engines.place(o.endpoint.addr, o.layers, Some(o.begun));
                let outcome = match time::timeout(CALL, order).await {
                    Ok(outcome) => outcome,
                    Err(_) => Err(CallError::Unknown("no answer in time".to_owned())),
                };
                (o, outcome)
            })
            .buffer_unordered(AT_ONCE)
            .collect()
            .await;
        for (order, outcome) in outcomes {
            self.note(&order, &outcome);
        }
    }

    fn note(&mut self, order: &Order, outcome: &Result<Ordered, CallError>) {
        let (ended, label) = match outcome {
            Ok(Ordered::Begun | Ordered::Holds) => (Outcome::Taken, "begun"),
            Ok(Ordered::Refused(_)) | Err(CallError::NotSent(_)) => (Outcome::Refused, "refused"),
            Err(CallError::Unknown(_)) => (Outcome::Unknown, "unknown"),
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
        self.known.ordered(order, ended, self.gateway.now());
    }
}

fn told(report: EngineReport) -> Told {
    Told {
        layers: report.layers,
        busy: report.busy,
        orders: report.orders,
    }
}
