//! The declared state of a group.

use std::collections::BTreeSet;

use dragonflyrill_catalogue::{DataCentre, EndpointId, TargetName, name::NameError};
use dragonflyrill_engines::wire::Layers;

use crate::lease::LeaseName;

/// Identifies a group: the endpoints of one model in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId {
    /// The model.
    pub model: TargetName,
    /// The data centre.
    pub data_centre: DataCentre,
}

impl GroupId {
    /// Returns the name of the lease that a host must hold to send orders to the group.
    pub fn lease_name(&self) -> LeaseName {
        let name = format!("orders/{}/{}", self.model, self.data_centre);
        LeaseName::try_from(name.as_str()).expect("both names are short and printable")
    }
}

/// A declared group before validation.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RawGroup {
    /// The model.
    pub model: String,
    /// The data centre.
    pub data_centre: String,
    /// The version of the weights.
    pub version: String,
    /// The number of layers of the model.
    pub layers: u32,
    /// The layer ranges that are served separately, in order.
    pub ranges: Vec<RawRange>,
    /// The number of endpoints that the ranges must leave unused.
    pub spares: u32,
    /// The endpoints.
    pub endpoints: Vec<String>,
    /// The largest number of endpoints that load weights concurrently.
    pub loads_at_once: u32,
    /// The largest number of layers loaded per second, over all endpoints.
    pub layers_per_second: u32,
}

/// A declared layer range before validation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RawRange {
    /// The first layer.
    pub first: u32,
    /// One past the last layer.
    pub end: u32,
    /// The number of endpoints that must serve the range.
    pub minimum: u32,
}

/// A layer range to be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RangeSpec {
    /// The layers.
    pub layers: Layers,
    /// The number of endpoints that must serve the layers. No order reduces the number of serving
    /// endpoints below it. At least 1.
    pub minimum: u32,
}

/// The limits on loads from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LoadBudget {
    /// The largest number of endpoints that load concurrently. At least 1.
    pub max_concurrent_loads: u32,
    /// The largest number of layers loaded per second, over all endpoints. At least 1.
    pub layers_per_second: u32,
}

/// The declared state of a group.
///
/// Invariants: the ranges are contiguous and cover the model from layer 0 to its last layer; there
/// are enough endpoints for all minimums and the spares.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GroupSpec {
    id: GroupId,
    version: String,
    ranges: Vec<RangeSpec>,
    spares: u32,
    endpoints: BTreeSet<EndpointId>,
    budget: LoadBudget,
}

/// The error in a declared group, and the key that has it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("group {model:?} in {data_centre:?}: {key}: {kind}")]
pub struct SpecError {
    /// The model as declared.
    pub model: String,
    /// The data centre as declared.
    pub data_centre: String,
    /// The key that has the error.
    pub key: &'static str,
    /// The kind of the error.
    pub kind: SpecErrorKind,
}

/// The kind of an error in a declared group.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SpecErrorKind {
    /// A name is invalid.
    #[error("{0:?}: {1}")]
    Name(String, NameError),
    /// A required number is zero, or a required text is empty.
    #[error("must be set and must not be 0")]
    Missing,
    /// A range overlaps the previous one, leaves a gap, or is empty.
    #[error("the range {found} must start at layer {expected} and must not be empty")]
    Range {
        /// The layer at which the range has to start.
        expected: u32,
        /// The range as declared.
        found: Layers,
    },
    /// The ranges end at another layer than the model, or the model has no layers.
    #[error("the ranges end at layer {end}, but the model ends at {layers}")]
    Coverage {
        /// One past the last layer of the ranges.
        end: u32,
        /// The number of layers of the model.
        layers: u32,
    },
    /// The minimum of a range is 0.
    #[error("the minimum of {0} must be at least 1")]
    Minimum(Layers),
    /// An endpoint is listed twice.
    #[error("{0:?} is listed twice")]
    Duplicate(String),
    /// There are not enough endpoints.
    #[error("there are {have} endpoints, but the minimums and spares need {need}")]
    TooFewEndpoints {
        /// The number of endpoints.
        have: u64,
        /// The number of endpoints needed.
        need: u64,
    },
}

impl GroupSpec {
    /// Returns the id of the group.
    pub fn id(&self) -> &GroupId {
        &self.id
    }

    /// Returns the version of the weights.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Returns the ranges in order.
    pub fn ranges(&self) -> &[RangeSpec] {
        &self.ranges
    }

    /// Returns the number of endpoints that the ranges leave unused.
    pub fn spares(&self) -> u32 {
        self.spares
    }

    /// Returns the endpoints.
    pub fn endpoints(&self) -> &BTreeSet<EndpointId> {
        &self.endpoints
    }

    /// Returns the limits on loads from the weight store.
    pub fn budget(&self) -> LoadBudget {
        self.budget
    }
}

impl TryFrom<RawGroup> for GroupSpec {
    type Error = SpecError;

    fn try_from(raw: RawGroup) -> Result<Self, SpecError> {
        let error = |key, kind| SpecError {
            model: raw.model.clone(),
            data_centre: raw.data_centre.clone(),
            key,
            kind,
        };
        let name = |e| SpecErrorKind::Name(raw.model.clone(), e);
        let model =
            TargetName::try_from(raw.model.as_str()).map_err(|e| error("model", name(e)))?;
        let name = |e| SpecErrorKind::Name(raw.data_centre.clone(), e);
        let data_centre = DataCentre::try_from(raw.data_centre.as_str())
            .map_err(|e| error("data_centre", name(e)))?;
        if raw.version.is_empty() {
            return Err(error("version", SpecErrorKind::Missing));
        }
        let ranges = ranges(&raw).map_err(|kind| error("ranges", kind))?;
        let endpoints = endpoints(&raw).map_err(|kind| error("endpoints", kind))?;
        let budget = LoadBudget {
            max_concurrent_loads: raw.loads_at_once,
            layers_per_second: raw.layers_per_second,
        };
        if budget.max_concurrent_loads == 0 {
            return Err(error("loads_at_once", SpecErrorKind::Missing));
        }
        if budget.layers_per_second == 0 {
            return Err(error("layers_per_second", SpecErrorKind::Missing));
        }
        Ok(Self {
            id: GroupId { model, data_centre },
            version: raw.version.clone(),
            ranges,
            spares: raw.spares,
            endpoints,
            budget,
        })
    }
}

fn ranges(raw: &RawGroup) -> Result<Vec<RangeSpec>, SpecErrorKind> {
    let mut expected = 0;
    let mut ranges = Vec::new();
    for range in &raw.ranges {
        let layers = Layers {
            first: range.first,
            end: range.end,
        };
        if layers.first != expected || layers.end <= layers.first {
            let found = layers;
            return Err(SpecErrorKind::Range { expected, found });
        }
        if range.minimum == 0 {
            return Err(SpecErrorKind::Minimum(layers));
        }
        expected = layers.end;
        ranges.push(RangeSpec {
            layers,
            minimum: range.minimum,
        });
    }
    if expected != raw.layers || raw.layers == 0 {
        return Err(SpecErrorKind::Coverage {
            end: expected,
            layers: raw.layers,
        });
    }
    Ok(ranges)
}

fn endpoints(raw: &RawGroup) -> Result<BTreeSet<EndpointId>, SpecErrorKind> {
    let mut endpoints = BTreeSet::new();
    for name in &raw.endpoints {
        let id = EndpointId::try_from(name.as_str());
        let id = id.map_err(|e| SpecErrorKind::Name(name.clone(), e))?;
        if !endpoints.insert(id) {
            return Err(SpecErrorKind::Duplicate(name.clone()));
        }
    }
    let minimums = raw.ranges.iter().map(|range| u64::from(range.minimum));
    let need = minimums.sum::<u64>() + u64::from(raw.spares);
    let have = endpoints.len() as u64;
    if have < need {
        return Err(SpecErrorKind::TooFewEndpoints { have, need });
    }
    Ok(endpoints)
}
