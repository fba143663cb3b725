//! Whether the list of engines has been unchanged for long enough to plan with.
//!
//! At a start engines are listed one after the other. And when engines that hold layers come back
//! to the list, more will follow: a partitioned data centre is listed again one engine after the
//! other. No loaded layers move there until its list is stable.

use std::{rc::Rc, time::Duration};

use rustc_hash::{FxHashMap, FxHashSet};

use super::planner::ListedEngines;

/// How long the list of engines must be unchanged before the first plan of a start: a little over
/// the time between two entries of one engine, so that all that have started are listed.
const SETTLE: Duration = Duration::from_millis(1500);
/// The maximum time that the first plan waits for a stable list, without and with requests that
/// wait for it.
const MAX_SETTLE: Duration = Duration::from_millis(5500);
const MAX_SETTLE_WITH_REQUESTS: Duration = Duration::from_millis(1000);

/// The changes of the list of one service's engines.
#[derive(Debug, Default)]
pub(super) struct Settling {
    /// The number of listed engines, and since when it is that.
    listed: (usize, Duration),
    first_listed_at: Option<Duration>,
    /// The engines that held layers when the list was last observed.
    holders: FxHashSet<Rc<str>>,
    /// When an engine that holds layers was last added to the list of a data centre.
    joined_at: FxHashMap<Rc<str>, Duration>,
}

impl Settling {
    /// Whether the list can be planned with; `requests_waiting` says that requests wait for a plan.
    pub(super) fn settled(
        &mut self,
        engines: &ListedEngines<'_>,
        requests_waiting: bool,
        now: Duration,
    ) -> bool {
        let listed = engines.staying.len();
        if listed == 0 {
            return false;
        }
        // Later plans change little, and requests fail as long as layers are missing.
        if engines.staying.iter().any(|e| e.layers.is_some()) {
            return true;
        }
        let first = *self.first_listed_at.get_or_insert(now);
        if listed != self.listed.0 {
            self.listed = (listed, now);
        }
        let max_wait = match requests_waiting {
            true => MAX_SETTLE_WITH_REQUESTS,
            false => MAX_SETTLE,
        };
        self.listed.1 + SETTLE <= now || first + max_wait <= now
    }

    /// The data centres to whose list engines that hold layers were added less than [`SETTLE`] ago,
    /// or in which an engine is unresponsive: it may answer again soon, and is removed from the
    /// list otherwise.
    pub(super) fn unsettled(&mut self, engines: &ListedEngines<'_>, now: Duration) -> Vec<Rc<str>> {
        let mut holders = FxHashSet::default();
        for endpoint in engines.staying.iter().filter(|e| e.layers.is_some()) {
            holders.insert(endpoint.id.clone());
            let known = engines.states.is_known(&endpoint.id);
            if !self.holders.contains(&endpoint.id) && !known {
                self.joined_at.insert(endpoint.data_centre.clone(), now);
            }
        }
        self.holders = holders;
        self.joined_at.retain(|_, at| *at + SETTLE > now);
        let unresponsive = engines.staying.iter();
        let unresponsive = unresponsive.filter(|e| engines.directory.is_unresponsive(&e.id));
        let unresponsive = unresponsive.map(|e| e.data_centre.clone());
        let mut unsettled: Vec<Rc<str>> =
            self.joined_at.keys().cloned().chain(unresponsive).collect();
        unsettled.sort();
        unsettled.dedup();
        unsettled
    }
}
