//! One version of the catalogue: routes, services, workspaces and their keys.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{endpoints::Endpoint, layers::LayerRange};

/// One version of the catalogue, never changed after it was read.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// The routes, by the host name they belong to; the longest prefix comes first.
    routes: FxHashMap<Box<str>, Vec<Rc<Route>>>,
    services: FxHashMap<Rc<str>, Rc<Service>>,
    workspaces: FxHashMap<Box<str>, Workspace>,
    /// Whether any workspace is declared; without one, requests need no key.
    pub needs_keys: bool,
    /// What a caller may send.
    pub caller_limits: CallerLimits,
}

/// Bounds on what a caller may send and how long it may take.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// How long a request head may take to arrive.
    pub head_timeout: Duration,
    /// How long a kept connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Used until the first catalogue is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A call that may run more than once.
    Idempotent,
    /// A call that may run once at most.
    NonIdempotent,
    /// A stream of events.
    Stream {
        /// It may be run again from an event on; else it may run once at most.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// Where requests with one prefix go.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name.
    pub name: Box<str>,
    /// Begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is on time.
    pub target: Duration,
    /// The longest pause between events that is on time; zero where there are no events.
    pub gap_target: Duration,
    /// The rank of its requests, 0 is first.
    pub priority: u8,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Requests need no key.
    pub anonymous: bool,
    /// The services and the weight of each. Invariant: not empty, the weights' sum is over zero.
    pub services: Vec<(Rc<Service>, u32)>,
}

impl Route {
    /// The service for a request, by its weight; `draw` lies in 0..1.
    pub fn service(&self, draw: f64) -> &Rc<Service> {
        let total: u32 = self.services.iter().map(|(_, w)| w).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &self.services {
            left -= f64::from(*weight);
            if left < 0.0 {
                return service;
            }
        }
        &self.services[0].0
    }
}

/// A service that endpoints serve.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: Rc<str>,
    /// The most connections that one endpoint accepts from all hosts together.
    pub max_connections: u32,
    /// What its endpoints are, where they hold layers of a model.
    pub engine: Option<Rc<Engine>>,
}

/// How the model engines of a service work.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The layers of the model.
    pub layers: u32,
    /// The memory of one layer, in MB.
    pub layer_mb: f64,
    /// The memory of one token in one layer, in MB.
    pub token_layer_mb: f64,
    /// The time of one step over all layers, on an accelerator of pace 1.
    pub step_ms: f64,
    /// What each request that is generating adds to a step.
    pub step_ms_per_request: f64,
    /// What each 1,000 tokens of context add to a step.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens read in a millisecond, on an accelerator of read factor 1.
    pub read_per_ms: f64,
    /// The usual length of a prompt, in tokens.
    pub usual_prompt: f64,
    /// The usual length of an answer, in tokens.
    pub usual_answer: f64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: f64,
    /// The time to load the whole model's layers, in seconds.
    pub load_s: f64,
    /// Loads beyond so many at a time take proportionally longer.
    pub loads_at_once: f64,
    /// The kinds of accelerators.
    pub accelerators: Vec<Accelerator>,
}

impl Engine {
    /// The accelerator of that name.
    pub fn accelerator(&self, name: &str) -> Option<&Accelerator> {
        self.accelerators.iter().find(|a| &*a.name == name)
    }

    /// The memory that an endpoint has for requests, in tokens times layers.
    pub fn capacity(&self, endpoint: &Endpoint) -> Option<f64> {
        let accelerator = self.accelerator(endpoint.accelerator.as_deref()?)?;
        Some(self.memory_left(accelerator.memory_mb, endpoint.layers?))
    }

    /// What of an accelerator's memory layers leave for requests, in tokens times layers.
    pub(crate) fn memory_left(&self, memory_mb: f64, layers: LayerRange) -> f64 {
        let held_mb = f64::from(layers.count()) * self.layer_mb;
        (memory_mb - held_mb).max(0.0) / self.token_layer_mb
    }

    /// The most layers that the accelerator holds with nothing left for requests.
    pub fn most_layers(&self, accelerator: &Accelerator) -> u32 {
        ((accelerator.memory_mb / self.layer_mb) as u32).min(self.layers)
    }
}

/// A kind of accelerator.
#[derive(Debug, Clone)]
pub struct Accelerator {
    /// Its name.
    pub name: Rc<str>,
    /// Its memory, for layers and requests together, in MB.
    pub memory_mb: f64,
    /// How many times longer a step takes than on the fastest.
    pub pace: f64,
    /// How many times longer reading takes than on the fastest.
    pub read_factor: f64,
}

/// Whose requests they are.
#[derive(Debug, Clone)]
pub struct Workspace {
    /// Its name.
    pub name: Rc<str>,
    /// Goes before the route's.
    pub priority: Option<u8>,
}

/// What a route is made of besides its services.
pub struct CatalogueParts {
    /// The version.
    pub version: u64,
    /// Routes with the host name of each.
    pub routes: Vec<(Box<str>, Route)>,
    /// The services.
    pub services: Vec<Rc<Service>>,
    /// Keys and whose they are.
    pub keys: Vec<(Box<str>, Workspace)>,
    /// Whether any workspace is declared.
    pub needs_keys: bool,
    /// What a caller may send.
    pub caller_limits: CallerLimits,
}

impl From<CatalogueParts> for Catalogue {
    fn from(parts: CatalogueParts) -> Self {
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
            needs_keys: parts.needs_keys,
            caller_limits: parts.caller_limits,
        }
    }
}

impl Catalogue {
    /// The route of a request: among those of the host, the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let list = self.routes.get(host)?;
        list.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Whose key it is.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.get(key)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    /// The services whose endpoints hold layers of a model.
    pub fn engine_services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values().filter(|s| s.engine.is_some())
    }
}
