//! Decides which new streams are admitted while engines are short of memory.
//!
//! Past saturation an engine that gets more requests than fit in its memory preempts running ones
//! and reads their prompts again, so that all of them end late. A host therefore admits new streams
//! only until the planned memory of the chains is filled to a target, and refuses the rest at once,
//! before any engine is asked.
//!
//! The target depends on the [`Level`] of a stream, so that the last level is shed first, but for a
//! floor. All hosts see the loads that they exchange, and so shed the same levels at about the same
//! time.

use std::time::Duration;

use thiserror::Error;

/// Time in which the chains are to be filled to the target. The loads of other hosts are as old as
/// this: a report takes two polls of a quarter of a second.
const HORIZON: Duration = Duration::from_millis(500);
/// Part of a rank's range of levels over which its requests are spread. The rest keeps the ranks
/// apart, as the fills of chains vary.
const WITHIN_RANK_RANGE: f64 = 0.5;
/// Fraction of a rank's range of levels that a first attempt is behind one that returns when told.
const FIRST_ATTEMPT_OFFSET: f64 = 0.25;

/// Unchecked values of an [`AdmissionConfig`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RawAdmissionConfig {
    /// Fill to which the first level is admitted.
    pub ceiling: f64,
    /// Fill to which the last level is admitted.
    pub last_level_ceiling: f64,
    /// Part of the first level's admitted fraction that every level keeps.
    pub floor: f64,
}

/// Thresholds of admission, as fractions of the memory that is planned with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionConfig {
    /// Fill to which the first level is admitted. Invariant: at least `last_level_ceiling`.
    ceiling: f64,
    /// Fill to which the last level is admitted. Invariant: at least 1, because a chain that is not
    /// full serves every level on time.
    last_level_ceiling: f64,
    /// Part of the first level's admitted fraction that every level keeps. Invariant: in 0..=1.
    floor: f64,
}

/// A value of [`RawAdmissionConfig`] that can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AdmissionConfigError {
    /// The last level would be shed while chains have room.
    #[error("the last level's ceiling must be at least 1")]
    ShedsWithRoom,
    /// The last level would go before the first.
    #[error("the ceiling must not be below that of the last level")]
    CeilingBelowLastLevel,
    /// The floor is not a fraction.
    #[error("the floor must be from 0 to 1")]
    FloorOutOfRange,
}

impl TryFrom<RawAdmissionConfig> for AdmissionConfig {
    type Error = AdmissionConfigError;

    fn try_from(raw: RawAdmissionConfig) -> Result<Self, Self::Error> {
        let RawAdmissionConfig {
            ceiling,
            last_level_ceiling,
            floor,
        } = raw;
        if !(1.0..).contains(&last_level_ceiling) {
            return Err(AdmissionConfigError::ShedsWithRoom);
        }
        if !(last_level_ceiling..).contains(&ceiling) {
            return Err(AdmissionConfigError::CeilingBelowLastLevel);
        }
        if !(0.0..=1.0).contains(&floor) {
            return Err(AdmissionConfigError::FloorOutOfRange);
        }
        Ok(Self {
            ceiling,
            last_level_ceiling,
            floor,
        })
    }
}

/// How urgent a request is; the lesser rank is the more urgent one.
///
/// A workspace's priority goes before that of the route. Among requests of the same priority, those
/// of the more urgent route go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority of the workspace, or of the route if the workspace has none; 0 is the highest.
    pub priority: u8,
    /// Priority of the route.
    pub route_priority: u8,
}

/// Position of a rank in the demand for a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankPosition {
    /// Fraction of the demand that is more urgent. Invariant: `more_urgent + share` is at most 1.
    pub(crate) more_urgent: f64,
    /// Fraction of the demand that has this rank.
    pub(crate) share: f64,
}

impl RankPosition {
    /// The only rank.
    pub const ONLY: Self = Self {
        more_urgent: 0.0,
        share: 1.0,
    };
}

/// How early a request is shed when memory is short: 0 last, 1 first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Level(f64);

impl Level {
    /// The level of a request.
    ///
    /// The rank decides first: its range of levels is the range that it has in the demand, so that
    /// ranks with little demand take little of the room between the others. Within a rank follow the `excess` of the request's workspace over
    /// its fair share, from 0 to 1, and whether the request is `returning` at the time that it was
    /// told when it was refused. So no workspace, however large, puts its requests behind those of a
    /// less urgent rank.
    pub fn of(rank: RankPosition, excess: f64, returning: bool) -> Self {
        let offset = if returning { 0.0 } else { FIRST_ATTEMPT_OFFSET };
        let within_rank = offset + (1.0 - offset) * excess.clamp(0.0, 1.0);
        Self(rank.more_urgent + rank.share * WITHIN_RANK_RANGE * within_rank)
    }

    /// The level as a number from 0 to 1.
    pub fn value(self) -> f64 {
        self.0
    }
}

/// What a host knows of the load of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Fill of the best chain's planned memory, the new stream included. At saturation all chains are
    /// about as full.
    pub memory_fill: f64,
    /// Number of running requests of all hosts.
    pub running: f64,
    /// New streams per second at all hosts.
    pub offered_per_s: f64,
    /// Duration of an answer.
    pub answer: Duration,
}

impl ServiceLoad {
    /// The fraction of the new streams that all hosts must admit so that the chains are filled to
    /// `target_fill` after [`HORIZON`].
    ///
    /// All hosts see the same loads, which are as old as the horizon. If each of them admitted
    /// everything up to the target, all would overfill the chains at the same time, and then all
    /// reject for as long. So they admit what ends within the horizon, and what is missing to the
    /// target.
    fn fraction_to_fill(&self, target_fill: f64) -> f64 {
        let horizon_s = HORIZON.as_secs_f64();
        let missing = self.running * (target_fill / self.memory_fill.max(0.01) - 1.0);
        let ending = self.running * horizon_s / self.answer.as_secs_f64().max(horizon_s);
        let offered = (self.offered_per_s * horizon_s).max(f64::MIN_POSITIVE);
        ((missing + ending) / offered).clamp(0.0, 1.0)
    }
}

/// The decision on a new stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be dispatched.
    Admit,
    /// It is refused before any engine is asked.
    Reject,
}

impl AdmissionConfig {
    /// Whether streams of every level are admitted whose chain would be filled to `memory_fill`.
    pub fn admits_all(&self, memory_fill: f64) -> bool {
        memory_fill <= self.last_level_ceiling
    }

    /// Decides on a new stream under the given load; `draw` is uniform in 0..1.
    pub fn decide(&self, level: Level, load: &ServiceLoad, draw: f64) -> Verdict {
        match draw < self.admitted_fraction(level, load) {
            true => Verdict::Admit,
            false => Verdict::Reject,
        }
    }

    /// The fraction of the new streams of a level that is admitted.
    fn admitted_fraction(&self, level: Level, load: &ServiceLoad) -> f64 {
        // Where nothing runs, a stream that exceeds the planned memory by itself gains nothing by
        // returning later.
        if self.admits_all(load.memory_fill) || load.running < 1.0 {
            return 1.0;
        }
        let target_of =
            |level: f64| self.ceiling - level * (self.ceiling - self.last_level_ceiling);
        let fraction = load.fraction_to_fill(target_of(level.0));
        let first_level = load.fraction_to_fill(target_of(0.0));
        fraction.max(self.floor * first_level)
    }
}
