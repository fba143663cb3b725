//! The timelines of the store that hosts state to each other with each poll and answer.
//!
//! They travel as an entry in the lists of endpoint loads, so that hosts of earlier releases pass it on as the load of an
//! unknown endpoint. The entry names the host that states it, and counts for messages of this host only.

use dragonflyrill_fleet::timeline::{LatestTimeline, StoreRevision, Timeline};
use dragonflyrill_protocol::exchange::EndpointLoad;

use crate::gateway::Gateway;

/// What precedes the timelines in the id of the entry.
const ID_PREFIX: &str = "store-timeline/";
/// The load of the entry: hosts drop entries with less than half a request from sums.
const ENTRY_REQUESTS: f32 = 1.0;

/// What a host states about the store's timelines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedTimelines {
    /// The latest timeline that the host has heard of.
    pub latest: Timeline,
    /// The timeline of its list of endpoints.
    pub list: Timeline,
}

impl StatedTimelines {
    /// What this host states; `None` before the first answer of the store.
    pub(super) fn own(gateway: &Gateway) -> Option<Self> {
        Some(Self {
            latest: gateway.timeline()?,
            list: gateway.list_revision.get().timeline,
        })
    }

    /// The entry in which `host` states this.
    pub fn to_entry(self, host: &str) -> EndpointLoad {
        EndpointLoad {
            endpoint: format!("{ID_PREFIX}{}/{}/{host}", self.latest, self.list),
            requests: ENTRY_REQUESTS,
            token_layers: 0.0,
        }
    }

    /// Finds what `host` states in a list of loads that it has sent; `None` for a host of an earlier release, or one
    /// that has had no answer from the store.
    pub fn find(loads: &[EndpointLoad], host: &str) -> Option<Self> {
        let mut entries = loads.iter().filter_map(|l| parse(&l.endpoint));
        let (stated, _) = entries.find(|(_, by)| *by == host)?;
        Some(stated)
    }
}

/// Whether a load is an entry in which a host states timelines.
pub(super) fn is_entry(load: &EndpointLoad) -> bool {
    load.endpoint.starts_with(ID_PREFIX)
}

fn parse(id: &str) -> Option<(StatedTimelines, &str)> {
    let mut parts = id.strip_prefix(ID_PREFIX)?.splitn(3, '/');
    let mut timeline = || Some(Timeline(parts.next()?.parse().ok()?));
    let (latest, list) = (timeline()?, timeline()?);
    Some((StatedTimelines { latest, list }, parts.next()?))
}

/// The position of another host's list of endpoints, whose version in the store it has sent; `None` if it can't be
/// compared with that of this host's list.
pub fn list_revision(
    known: LatestTimeline,
    stated: Option<StatedTimelines>,
    version: u64,
) -> Option<StoreRevision> {
    let timeline = match stated {
        Some(stated) => stated.list,
        None => known.of_message(None)?,
    };
    Some(StoreRevision::new(timeline, version))
}
