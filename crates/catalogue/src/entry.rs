//! The entries that an operator can declare.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::name::{ClassName, DataCentre, EndpointId, TargetName, WorkspaceName};

/// The identity of an entry: at most one entry per key is in force.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKey {
    /// A workspace.
    Workspace(WorkspaceName),
    /// A model.
    Model(TargetName),
    /// A plain service.
    Service(TargetName),
    /// The limits of one workspace, target and class.
    Limit(LimitKey),
    /// The operator's intent for one endpoint.
    Endpoint(EndpointId),
    /// The cost of the link between two data centres.
    Link(DataCentre, DataCentre),
    /// A data centre.
    DataCentre(DataCentre),
    /// The engines of one model in one data centre.
    Group(TargetName, DataCentre),
}

/// What a limit applies to: one workspace, one model or service, and one class of work.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimitKey {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The model or service.
    pub target: TargetName,
    /// The class of work.
    pub class: ClassName,
}

/// One declaration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A workspace.
    Workspace(WorkspaceEntry),
    /// A model.
    Model(ModelEntry),
    /// A plain service.
    Service(ServiceEntry),
    /// The limits of one workspace, target and class.
    Limit(LimitEntry),
    /// The operator's intent for one endpoint.
    Endpoint(EndpointEntry),
    /// The cost of the link between two data centres.
    Link(LinkEntry),
    /// A data centre.
    DataCentre(DataCentreEntry),
    /// The engines of one model in one data centre.
    Group(GroupEntry),
}

/// A workspace: a customer that sends requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceEntry {
    /// The workspace's name.
    pub name: WorkspaceName,
    /// The weight of this workspace in fair queueing. At least 1.
    pub weight: u32,
}

/// A model served by chains of endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// The model's name, as callers send it.
    pub name: TargetName,
    /// The number of layers; a chain covers `0..layers` exactly once. At least 1.
    pub layers: u32,
    /// The maximum number of tokens of a request, prompt and answer together.
    pub context: u32,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The service's name, as callers send it in the request path.
    pub name: TargetName,
    /// Path prefixes whose calls must run at most once.
    pub not_repeatable: Vec<String>,
}

/// The limits of one workspace, target and class, over the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitEntry {
    /// The workspace, target and class that the limit applies to.
    pub key: LimitKey,
    /// The maximum rate of admitted requests, per second.
    pub requests_per_second: f64,
    /// The maximum rate of tokens, prompt and generated together, per second.
    pub tokens_per_second: f64,
    /// The maximum number of requests in flight at the same time.
    pub in_flight: u32,
    /// How much unused rate accumulates for a later burst, in seconds of the full rate.
    pub burst_seconds: f64,
    /// The priority of the requests; 0 is served first.
    pub priority: u8,
    /// The deadline of a request that states none, in milliseconds.
    pub deadline_ms: u32,
    /// Whether a request may be run again if it does not itself state whether it may.
    pub repeatable: bool,
    /// The fixed fractions of the limit that data centres hold; their sum is at most 1. If empty,
    /// the limit is split by demand.
    pub shares: BTreeMap<DataCentre, f64>,
}

/// What an operator intends for one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointIntent {
    /// The endpoint gets work.
    Serve,
    /// The endpoint gets no new work.
    #[serde(rename = "leave")]
    Drain,
}

/// The operator's intent for one endpoint. An endpoint without an entry serves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// The operator's intent.
    pub intent: EndpointIntent,
    /// Whether the endpoint refuses orders with an outdated fencing number.
    pub checks_fence: bool,
}

/// The declared cost of the link between two data centres, the same in both directions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkEntry {
    /// The data centre at one end, the first of the two in alphabetical order.
    pub a: DataCentre,
    /// The data centre at the other end.
    pub b: DataCentre,
    /// The one-way latency in microseconds.
    pub latency_us: u32,
    /// The bandwidth in megabits per second.
    pub mbit_per_second: u32,
}

/// A data centre among which limits are split.
///
/// Limits are split among the declared data centres, not among those that hosts report to be in: a
/// data centre keeps its share even while it is unreachable or has no host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreEntry {
    /// The data centre.
    pub name: DataCentre,
}

/// The desired state of the engines of one model in one data centre. Without such an entry, the
/// engines get no orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupEntry {
    /// The model.
    pub model: TargetName,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The version of the weights: 1 to [`MAX_VERSION_LEN`] printable ASCII characters without
    /// spaces and backslashes.
    pub version: String,
    /// The served layer ranges, in order. They cover the model's layers exactly once.
    pub ranges: Vec<RangeEntry>,
    /// The number of endpoints that are kept out of all ranges as spares.
    pub spares: u32,
    /// The endpoints, each once and in no other group. There must be enough of them for the
    /// minimums of all ranges and the spares.
    pub endpoints: Vec<EndpointId>,
    /// The maximum number of endpoints that load weights at the same time. At least 1.
    pub loads_at_once: u32,
    /// The maximum number of layers loaded per second, over all endpoints. At least 1.
    pub layers_per_second: u32,
}

/// The maximum length of the version of a [`GroupEntry`], in bytes.
pub const MAX_VERSION_LEN: usize = 128;

/// A layer range of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeEntry {
    /// The first layer.
    pub first: u32,
    /// One past the last layer.
    pub end: u32,
    /// The minimum number of live replicas. At least 1.
    pub min: u32,
}

impl Entry {
    /// The key under which this entry is in force.
    pub fn key(&self) -> EntryKey {
        match self {
            Self::Workspace(e) => EntryKey::Workspace(e.name.clone()),
            Self::Model(e) => EntryKey::Model(e.name.clone()),
            Self::Service(e) => EntryKey::Service(e.name.clone()),
            Self::Limit(e) => EntryKey::Limit(e.key.clone()),
            Self::Endpoint(e) => EntryKey::Endpoint(e.id.clone()),
            Self::Link(e) => EntryKey::Link(e.a.clone(), e.b.clone()),
            Self::DataCentre(e) => EntryKey::DataCentre(e.name.clone()),
            Self::Group(e) => EntryKey::Group(e.model.clone(), e.data_centre.clone()),
        }
    }
}
