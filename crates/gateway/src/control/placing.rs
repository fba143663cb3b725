//! Has engines load the layers that the planner gives them, on the host that holds the duty.
//!
//! What an engine holds is read from itself before its first order, so that an order of an earlier
//! holder that is still being carried out is seen. An order without an answer may be carried out
//! seconds later: the engine is left alone until then, and read again.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    endpoints::Endpoint,
    layers::LayerRange,
    placement::{self, Candidate, Placement},
};
use futures_util::{StreamExt, stream};
use rustc_hash::FxHashMap;
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
    /// It was asked and holds nothing; how many orders it had begun.
    Empty(u64),
    /// It holds these layers or loads them, until then at the latest.
    Loading(LayerRange, Duration),
    /// Nothing can be said before then.
    Unsure(Duration),
}

/// The work of the host that holds the duty.
pub(super) struct Placing {
    gateway: Rc<Gateway>,
    known: FxHashMap<Rc<str>, Known>,
    /// How many engines are listed, and since when.
    listed: (usize, Duration),
    first_seen: Option<Duration>,
    /// The state for which there was nothing to order.
    planned_for: Option<Vec<Candidate>>,
}

impl Placing {
    /// Nothing is known of any engine.
    pub(super) fn new(gateway: Rc<Gateway>) -> Self {
        Self {
            gateway,
            known: FxHashMap::default(),
            listed: (0, Duration::ZERO),
            first_seen: None,
            planned_for: None,
        }
    }

    /// Another host may give orders now: what was known is no longer so.
    pub(super) fn pause(&mut self) {
        self.known.clear();
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
            let candidates = self.candidates(&endpoints);
            if self.planned_for.as_ref() == Some(&candidates) {
                continue;
            }
            let mut placements = placement::plan(engine, &candidates);
            placements.retain(|p| match self.known.get(&p.id) {
                Some(Known::Empty(_)) | None => true,
                Some(Known::Loading(..) | Known::Unsure(_)) => false,
            });
            self.planned_for = placements.is_empty().then_some(candidates);
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
            let expired = match self.known.get(&endpoint.id) {
                Some(Known::Unsure(until) | Known::Loading(_, until)) => *until <= now,
                _ => false,
            };
            let loaded = match self.known.get(&endpoint.id) {
                Some(Known::Loading(layers, _)) => endpoint.layers == Some(*layers),
                Some(Known::Unsure(_)) => false,
                _ => endpoint.layers.is_some(),
            };
            if expired || loaded {
                self.known.remove(&endpoint.id);
            }
        }
        let unknown = endpoints
            .iter()
            .filter(|e| e.layers.is_none() && !self.known.contains_key(&e.id));
        let engines = &self.gateway.platform.engines;
        let reports: Vec<(Rc<str>, Option<EngineReport>)> = stream::iter(unknown)
            .map(|e| async move {
                let report = time::timeout(CALL, engines.report(e.addr)).await;
                (e.id.clone(), report.ok().and_then(Result::ok))
            })
            .buffer_unordered(AT_ONCE)
            .collect()
            .await;
        let now = self.gateway.now();
        for (id, report) in reports {
            let known = match report {
                Some(EngineReport {
                    layers: Some(layers),
                    ..
                }) => Known::Loading(layers, now + LOADING),
                Some(report) if report.busy => Known::Unsure(now + REFUSED),
                Some(report) => Known::Empty(report.orders),
                None => Known::Unsure(now + REFUSED),
            };
            self.known.insert(id, known);
        }
    }

    fn candidates(&self, endpoints: &[Rc<Endpoint>]) -> Vec<Candidate> {
        let candidate = |e: &Rc<Endpoint>| {
            let loading = match self.known.get(&e.id) {
                Some(Known::Loading(layers, _)) => Some(*layers),
                _ => None,
            };
            Some(Candidate {
                id: e.id.clone(),
                data_centre: e.data_centre.clone(),
                accelerator: e.accelerator.clone()?,
                holds: loading.or(e.layers),
                loading: self.known.contains_key(&e.id),
            })
        };
        endpoints.iter().filter_map(candidate).collect()
    }

    async fn order(&mut self, endpoints: &[Rc<Endpoint>], placements: Vec<Placement>) {
        let engines = &self.gateway.platform.engines;
        let known = &self.known;
        let orders = placements.into_iter().filter_map(|p| {
            let endpoint = endpoints.iter().find(|e| e.id == p.id)?;
            let begun = match known.get(&p.id) {
                Some(Known::Empty(begun)) => Some(*begun),
                _ => None,
            };
            Some((p, endpoint.addr, begun))
        });
        let outcomes: Vec<(Placement, Result<Ordered, CallError>)> = stream::iter(orders)
            .map(|(p, addr, begun)| async move {
                let order = engines.place(addr, p.layers, begun);
                let outcome = match time::timeout(CALL, order).await {
                    Ok(outcome) => outcome,
                    Err(_) => Err(CallError::Unknown("no answer in time".to_owned())),
                };
                (p, outcome)
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
