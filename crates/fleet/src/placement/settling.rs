//! Whether the list of engines has stood still for long enough to plan with.
//!
//! At a start engines are listed one after the other. And when engines that hold layers come back to
//! the list, more will: a data centre that was cut off is listed again one engine after the other.
//! Nothing moves there until its list stands still.

use std::{rc::Rc, time::Duration};

use rustc_hash::{FxHashMap, FxHashSet};

use super::planner::Engines;

/// How long the list of engines must stand still before the first plan of a start: a little over the
/// pause between two entries of one engine, so that all that have started are listed.
const SETTLE: Duration = Duration::from_millis(1500);
/// The longest that the first plan waits for that, and while requests wait for it.
const MOST_SETTLE: Duration = Duration::from_millis(5500);
const MOST_SETTLE_ASKED: Duration = Duration::from_millis(1000);

/// How the list of one service's engines has changed.
#[derive(Debug, Default)]
pub(super) struct Settling {
    /// How many engines are listed, and since when.
    listed: (usize, Duration),
    first_seen: Option<Duration>,
    /// The engines that held layers when the list was last looked at.
    holders: FxHashSet<Rc<str>>,
    /// When an engine that holds layers last came to the list of a data centre.
    came_at: FxHashMap<Rc<str>, Duration>,
}

impl Settling {
    /// Whether the list can be planned with; `asked` says that requests wait for it.
    pub(super) fn settled(&mut self, engines: &Engines<'_>, asked: bool, now: Duration) -> bool {
        let listed = engines.staying.len();
        if listed == 0 {
            return false;
        }
        // Later plans change little, and what is missing then is missed by requests.
        if engines.staying.iter().any(|e| e.layers.is_some()) {
            return true;
        }
        let first = *self.first_seen.get_or_insert(now);
        if listed != self.listed.0 {
            self.listed = (listed, now);
        }
        let most = match asked {
            true => MOST_SETTLE_ASKED,
            false => MOST_SETTLE,
        };
        self.listed.1 + SETTLE <= now || first + most <= now
    }

    /// The data centres to whose list engines that hold layers have come a short time ago, or in which
    /// one does not answer: it may be back in a moment, and is taken from the list if it is not.
    pub(super) fn unsettled(&mut self, engines: &Engines<'_>, now: Duration) -> Vec<Rc<str>> {
        let mut holders = FxHashSet::default();
        for endpoint in engines.staying.iter().filter(|e| e.layers.is_some()) {
            holders.insert(endpoint.id.clone());
            let ordered = engines.known.knows(&endpoint.id);
            if !self.holders.contains(&endpoint.id) && !ordered {
                self.came_at.insert(endpoint.data_centre.clone(), now);
            }
        }
        self.holders = holders;
        self.came_at.retain(|_, at| *at + SETTLE > now);
        let lost = engines.staying.iter();
        let lost = lost.filter(|e| engines.directory.is_unresponsive(&e.id));
        let lost = lost.map(|e| e.data_centre.clone());
        let mut unsettled: Vec<Rc<str>> = self.came_at.keys().cloned().chain(lost).collect();
        unsettled.sort();
        unsettled.dedup();
        unsettled
    }
}
