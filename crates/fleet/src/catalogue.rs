//! One version of the catalogue: routes, services, workspaces and their API keys.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{admission::Rank, endpoints::Endpoint, layers::LayerRange};

/// One version of the catalogue; immutable after it is read.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    /// Version number; increases with each change, not necessarily by one.
    pub version: u64,
    /// Routes by host name, sorted by descending prefix length.
    routes: FxHashMap<Box<str>, Vec<Rc<Route>>>,
    services: FxHashMap<Rc<str>, Rc<Service>>,
    workspaces: FxHashMap<Box<str>, Workspace>,
    /// Ranks that streams for a service may have, by service name; ascending and distinct.
    ranks: FxHashMap<Rc<str>, Vec<Rank>>,
    /// Whether any workspace is declared; if none is, requests need no key.
    pub needs_keys: bool,
    /// Limits on requests from callers.
    pub caller_limits: CallerLimits,
}

/// Limits on the size and duration of requests from callers.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub head_timeout: Duration,
    /// Maximum idle time of a keep-alive connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The limits in force until the first catalogue is read.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The kind of a route, which determines whether its requests may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A call that may run more than once.
    Idempotent,
    /// A call that may run at most once.
    NonIdempotent,
    /// A stream of events.
    Stream {
        /// Whether the stream may be rerun from a given event; otherwise it may run at most once.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request on such a route may run more than once.
    pub fn retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// A route: the destination and limits of requests whose path has a given prefix.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name of the route.
    pub name: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Determines whether requests may be retried.
    pub kind: RouteKind,
    /// Maximum time to serve a request.
    pub timeout: Duration,
    /// Target latency of an answer or, for a stream, of its first event.
    pub latency_target: Duration,
    /// Target for the longest gap between events; zero for routes without events.
    pub gap_target: Duration,
    /// Priority of requests on this route; 0 is the highest.
    pub priority: u8,
    /// Maximum number of endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub anonymous: bool,
    /// Services and their weights. Invariant: not empty, and the sum of the weights is greater than
    /// zero.
    pub services: Vec<(Rc<Service>, u32)>,
}

impl Route {
    /// Selects a service in proportion to the weights; `draw` is uniform in 0..1.
    pub fn pick_service(&self, draw: f64) -> &Rc<Service> {
        let total: u32 = self.services.iter().map(|(_, w)| w).sum();
        let mut remaining = draw * f64::from(total);
        for (service, weight) in &self.services {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return service;
            }
        }
        &self.services[0].0
    }
}

/// A service that endpoints serve.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub name: Rc<str>,
    /// Maximum number of connections that one endpoint accepts from all hosts together.
    pub max_connections: u32,
    /// Model engine parameters, if the endpoints of the service hold layers of a model.
    pub engine: Option<Rc<Engine>>,
}

/// Performance model of the model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Number of layers of the model.
    pub layers: u32,
    /// Memory of one layer, in MB.
    pub layer_mb: f64,
    /// Memory of one token in one layer, in MB.
    pub token_layer_mb: f64,
    /// Time of one decoding step through all layers, in ms, on an accelerator with step factor 1.
    pub step_ms: f64,
    /// Time that each generating request adds to a step, in ms.
    pub step_ms_per_request: f64,
    /// Time that each 1,000 tokens of context add to a step, in ms.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens prefilled per millisecond through all layers, on an accelerator with prefill
    /// factor 1.
    pub prefill_tokens_per_ms: f64,
    /// Typical length of a prompt, in tokens.
    pub typical_prompt_tokens: f64,
    /// Typical length of an answer, in tokens.
    pub typical_answer_tokens: f64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: f64,
    /// Time to load all layers of the model, in seconds.
    pub load_s: f64,
    /// Number of concurrent loads that run at full speed; with more, each load takes proportionally
    /// longer.
    pub concurrent_loads: f64,
    /// Accelerator kinds on which the engines run.
    pub accelerators: Vec<Accelerator>,
}

impl Engine {
    /// Returns the accelerator kind with that name.
    pub fn accelerator(&self, name: &str) -> Option<&Accelerator> {
        self.accelerators.iter().find(|a| &*a.name == name)
    }

    /// Memory that the endpoint has for requests, in tokens times layers; `None` if the endpoint
    /// holds no layers or its accelerator kind is unknown.
    pub fn capacity(&self, endpoint: &Endpoint) -> Option<f64> {
        let accelerator = self.accelerator(endpoint.accelerator.as_deref()?)?;
        Some(self.request_capacity(accelerator.memory_mb, endpoint.layers?))
    }

    /// Memory that remains for requests on an accelerator that holds `layers`, in tokens times
    /// layers.
    pub(crate) fn request_capacity(&self, memory_mb: f64, layers: LayerRange) -> f64 {
        let layers_mb = f64::from(layers.count()) * self.layer_mb;
        (memory_mb - layers_mb).max(0.0) / self.token_layer_mb
    }

    /// Maximum number of layers that fit on the accelerator if no memory is kept for requests.
    pub fn max_layers(&self, accelerator: &Accelerator) -> u32 {
        ((accelerator.memory_mb / self.layer_mb) as u32).min(self.layers)
    }
}

/// A kind of accelerator.
#[derive(Debug, Clone, PartialEq)]
pub struct Accelerator {
    /// Name of the accelerator kind.
    pub name: Rc<str>,
    /// Memory for layers and requests together, in MB.
    pub memory_mb: f64,
    /// Duration of a step relative to the fastest accelerator kind.
    pub step_factor: f64,
    /// Duration of a prefill relative to the fastest accelerator kind.
    pub prefill_factor: f64,
}

/// A workspace, identified by the key of a request.
#[derive(Debug, Clone)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Rc<str>,
    /// Priority that overrides the one of the route.
    pub priority: Option<u8>,
}

/// Contents from which a [`Catalogue`] is built.
pub struct CatalogueParts {
    /// Version number.
    pub version: u64,
    /// Routes, each with its host name.
    pub routes: Vec<(Box<str>, Route)>,
    /// All declared services.
    pub services: Vec<Rc<Service>>,
    /// API keys, each with its workspace.
    pub keys: Vec<(Box<str>, Workspace)>,
    /// Whether any workspace is declared.
    pub needs_keys: bool,
    /// Limits on requests from callers.
    pub caller_limits: CallerLimits,
}

/// The ranks that streams for each service may have, ascending and distinct.
fn ranks(parts: &CatalogueParts) -> FxHashMap<Rc<str>, Vec<Rank>> {
    let mut of_workspaces: Vec<Option<u8>> = parts.keys.iter().map(|(_, w)| w.priority).collect();
    of_workspaces.sort_unstable();
    of_workspaces.dedup();
    let mut ranks: FxHashMap<Rc<str>, Vec<Rank>> = FxHashMap::default();
    let routes = parts.routes.iter().map(|(_, route)| route);
    for route in routes.filter(|r| matches!(r.kind, RouteKind::Stream { .. })) {
        // Callers of other routes have a workspace, and its priority.
        let without_workspace = (route.anonymous || !parts.needs_keys).then_some(None);
        let priorities = of_workspaces.iter().copied().chain(without_workspace);
        let of_route = priorities.map(|priority| Rank {
            priority: priority.unwrap_or(route.priority),
            route_priority: route.priority,
        });
        let of_route: Vec<Rank> = of_route.collect();
        for (service, _) in &route.services {
            ranks
                .entry(service.name.clone())
                .or_default()
                .extend(&of_route);
        }
    }
    for of_service in ranks.values_mut() {
        of_service.sort_unstable();
        of_service.dedup();
    }
    ranks
}

impl From<CatalogueParts> for Catalogue {
    fn from(parts: CatalogueParts) -> Self {
        let ranks = ranks(&parts);
        let mut routes: FxHashMap<Box<str>, Vec<Rc<Route>>> = FxHashMap::default();
        for (host, route) in parts.routes {
            routes.entry(host).or_default().push(Rc::new(route));
        }
        for list in routes.values_mut() {
            list.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let by_name = |s: Rc<Service>| (s.name.clone(), s);
        Self {
            version: parts.version,
            routes,
            services: parts.services.into_iter().map(by_name).collect(),
            workspaces: parts.keys.into_iter().collect(),
            ranks,
            needs_keys: parts.needs_keys,
            caller_limits: parts.caller_limits,
        }
    }
}

impl Catalogue {
    /// Returns the route of a request: the one with the longest matching path prefix among the
    /// routes of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let list = self.routes.get(host)?;
        list.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the workspace to which the key belongs.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.get(key)
    }

    /// Returns the service with that name.
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// The ranks that streams for a service may have, ascending and distinct.
    pub fn ranks(&self, service: &str) -> &[Rank] {
        self.ranks.get(service).map_or(&[], Vec::as_slice)
    }

    /// Iterates over all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    /// Iterates over the services whose endpoints hold layers of a model.
    pub fn engine_services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values().filter(|s| s.engine.is_some())
    }
}
