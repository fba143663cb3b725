//! Has engines load the layers that the planner gives them, on the host that holds the duty.
//!
//! What an engine holds is read from itself before an order, so that an order of an earlier holder
//! that is still being carried out is seen, and engines that are cut off are left alone. An order
//! without an answer may be carried out seconds later: the engine is left alone until then, and read
//! again.
//!
//! When engines that hold layers come back to the list, more will: a data centre that was cut off is
//! listed again one engine after the other. Nothing moves there until its list stands still.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    endpoints::Endpoint,
    layers::LayerRange,
    placement::{self, Belief, Candidate, Placement},
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
/// How long an order that got no answer may still be carried out.
const LATE_ORDER: Duration = Duration::from_secs(12);
/// How long an engine that was ordered to load may go without being listed with its layers.
const LOADING: Duration = Duration::from_secs(20);
/// How long a call to an engine may take.
const CALL: Duration = Duration::from_millis(700);
/// How long an engine is left alone after it refused an order or gave no report.
const REFUSED: Duration = Duration::from_millis(1500);
/// Calls to engines at the same time.
const AT_ONCE: usize = 8;

/// What is known of an engine beyond the list.
#[derive(Debug, Clone)]
enum Known {
    /// It was asked and is as listed; how many orders it had begun.
    Asked(u64),
    /// It holds these layers or loads them, until then at the latest.
    Loading(LayerRange, Duration),
    /// Nothing can be said before then.
    Unsure(Duration),
}

/// An order to an engine.
struct Order {
    placement: Placement,
    addr: SocketAddr,
    /// How many orders it must have begun.
    begun: Option<u64>,
}

/// The work of the host that holds the duty.
pub(super) struct Placing {
    gateway: Rc<Gateway>,
    known: FxHashMap<Rc<str>, Known>,
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
            known: FxHashMap::default(),
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
            let mut placements = placement::plan(engine, &situation.candidates, unsettled);
            self.planned_for = placements.is_empty().then_some(situation);
            self.ask_movers(&endpoints, &placements).await;
            placements.retain(|p| matches!(self.known.get(&p.id), Some(Known::Asked(_))));
            if !held() {
                return;
            }
            self.order(&endpoints, placements).await;
        }
        let directory = self.gateway.directory.borrow();
        self.known.retain(|id, _| directory.get(id).is_some());
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
        let now = self.gateway.now();
        for endpoint in endpoints {
            let outdated = match self.known.get(&endpoint.id) {
                Some(Known::Loading(layers, until)) => {
                    *until <= now || endpoint.layers == Some(*layers)
                }
                Some(Known::Unsure(until)) => *until <= now,
                Some(Known::Asked(_)) => endpoint.layers.is_some(),
                None => false,
            };
            if outdated {
                self.known.remove(&endpoint.id);
            }
        }
        let unknown = endpoints
            .iter()
            .filter(|e| e.layers.is_none() && !self.known.contains_key(&e.id));
        let reports = self.reports(unknown).await;
        let now = self.gateway.now();
        for (endpoint, report) in reports {
            if self.started_again(endpoint, report.as_ref()) {
                continue;
            }
            let known = match report {
                Some(EngineReport {
                    layers: Some(layers),
                    ..
                }) => Known::Loading(layers, now + LOADING),
                Some(report) if report.busy => Known::Unsure(now + REFUSED),
                Some(report) => Known::Asked(report.orders),
                None => Known::Unsure(now + REFUSED),
            };
            self.known.insert(endpoint.id.clone(), known);
        }
    }

    /// Asks the loaded engines that are to move. One that does not answer, or is not as it is
    /// listed, stays as it is.
    async fn ask_movers(&mut self, endpoints: &[Rc<Endpoint>], placements: &[Placement]) {
        let moves = |e: &&Rc<Endpoint>| {
            let placed = placements.iter().any(|p| p.id == e.id);
            placed && !self.known.contains_key(&e.id)
        };
        let reports = self.reports(endpoints.iter().filter(moves)).await;
        let now = self.gateway.now();
        for (endpoint, report) in reports {
            if self.started_again(endpoint, report.as_ref()) {
                continue;
            }
            let known = match report {
                Some(report) if !report.busy && report.layers == endpoint.layers => {
                    Known::Asked(report.orders)
                }
                _ => Known::Unsure(now + REFUSED),
            };
            self.known.insert(endpoint.id.clone(), known);
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
        endpoints: impl Iterator<Item = &'a Rc<Endpoint>>,
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
            let ordered = self.known.contains_key(&endpoint.id);
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
        let belief = |id: &str| match self.known.get(id) {
            _ if directory.is_lost(id) => Belief::Lost,
            Some(Known::Loading(layers, _)) => Belief::Loading(*layers),
            Some(Known::Unsure(_)) => Belief::Unsure,
            Some(Known::Asked(_)) | None => Belief::Listed,
        };
        let candidate = |e: &Rc<Endpoint>| Candidate::of(e, belief(&e.id));
        endpoints.iter().filter_map(candidate).collect()
    }

    /// The orders for placements, of engines that are what they were when they were asked.
    fn orders(&self, endpoints: &[Rc<Endpoint>], placements: Vec<Placement>) -> Vec<Order> {
        let directory = self.gateway.directory.borrow();
        let order = |placement: Placement| {
            let endpoint = endpoints.iter().find(|e| e.id == placement.id)?;
            // One that has started again since it was asked counts its orders anew.
            directory.get(&placement.id)?;
            let begun = match self.known.get(&placement.id) {
                Some(Known::Asked(begun)) => Some(*begun),
                _ => None,
            };
            Some(Order {
                placement,
                addr: endpoint.addr,
                begun,
            })
        };
        placements.into_iter().filter_map(order).collect()
    }

    async fn order(&mut self, endpoints: &[Rc<Endpoint>], placements: Vec<Placement>) {
        let engines = &self.gateway.platform.engines;
        let orders = self.orders(endpoints, placements);
        let outcomes: Vec<(Placement, Result<Ordered, CallError>)> = stream::iter(orders)
            .map(|o| async move {
                let order = engines.place(o.addr, o.placement.layers, o.begun);
                let outcome = match time::timeout(CALL, order).await {
                    Ok(outcome) => outcome,
                    Err(_) => Err(CallError::Unknown("no answer in time".to_owned())),
                };
                (o.placement, outcome)
            })
            .buffer_unordered(AT_ONCE)
            .collect()
            .await;
        for (placement, outcome) in outcomes {
            self.note(&placement, &outcome);
        }
    }

    fn note(&mut self, placement: &Placement, outcome: &Result<Ordered, CallError>) {
        let now = self.gateway.now();
        let (known, label) = match outcome {
            Ok(Ordered::Begun | Ordered::Holds) => {
                (Known::Loading(placement.layers, now + LOADING), "begun")
            }
            Ok(Ordered::Refused(_)) | Err(CallError::NotSent(_)) => {
                (Known::Unsure(now + REFUSED), "refused")
            }
            Err(CallError::Unknown(_)) => (Known::Unsure(now + LATE_ORDER), "unknown"),
        };
        let orders = &self.gateway.metrics.orders;
        orders.with_label_values(&[label]).inc();
        log::info!(
            target: "placing",
            endpoint = &*placement.id,
            layers:% = placement.layers,
            outcome:? = outcome;
            "Engine was ordered to load layers."
        );
        self.known.insert(placement.id.clone(), known);
    }
}
