//! Positions in the store's sequence of changes, across restorations of the store.
//!
//! A store that is restored from a copy has lost the changes since that copy, and gives their versions out again. Each
//! restoration therefore starts a new timeline, and a version only has a meaning within its timeline: a position of an
//! earlier timeline is never the start of a read, the condition of a write or the measure of another host's list in a
//! later one. What a host knows by other means stays known: the catalogue by its own version, and endpoints by their
//! incarnations.

use std::fmt;

/// The number of a timeline of the store. It increases with each restoration; 0 for a store that states none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timeline(pub u64);

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A position in the store's sequence of changes, ordered by timeline first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// The timeline that the version belongs to.
    pub timeline: Timeline,
    /// The version within the timeline.
    pub version: u64,
}

impl StoreRevision {
    /// Creates a position.
    pub const fn new(timeline: Timeline, version: u64) -> Self {
        Self { timeline, version }
    }

    /// Whether an answer as of `answer` to a read of the changes after this position contains all of them. It does not
    /// if the store was restored in between.
    pub fn is_continued_by(self, answer: Self) -> bool {
        self.timeline == answer.timeline && self.version <= answer.version
    }
}

/// What an answer or a message of a timeline means for a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The host has heard of this timeline before, or of none at all.
    Known,
    /// The store was restored: all positions that the host knows are void.
    Restored {
        /// The latest timeline before.
        before: Timeline,
    },
    /// The message was sent before a restoration that the host has heard of.
    Outdated,
}

/// The latest timeline that a host has heard of, from the store or from other hosts.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatestTimeline {
    latest: Option<Timeline>,
    restored: bool,
}

impl LatestTimeline {
    /// Records that the store or another host has stated a timeline.
    pub fn observe(&mut self, stated: Timeline) -> Observation {
        match self.latest {
            Some(latest) if stated < latest => Observation::Outdated,
            Some(before) if stated > before => {
                self.latest = Some(stated);
                self.restored = true;
                Observation::Restored { before }
            }
            _ => {
                self.latest = Some(stated);
                Observation::Known
            }
        }
    }

    /// The latest timeline; `None` if none was stated yet.
    pub fn latest(&self) -> Option<Timeline> {
        self.latest
    }

    /// The timeline that a message of another host belongs to, which has stated `stated`; `None` if it may not be
    /// compared with what this host knows now.
    ///
    /// A host of an earlier release states none. Its messages are of the latest timeline unless the store was restored
    /// since this host started: then they may be of any.
    pub fn of_message(&self, stated: Option<Timeline>) -> Option<Timeline> {
        let latest = self.latest.unwrap_or_default();
        match stated {
            Some(stated) => (stated == latest).then_some(stated),
            None => (!self.restored).then_some(latest),
        }
    }
}
