//! When a caller that is refused under overload is to return, and whether a request is such a return.
//!
//! The store's clock, known to all hosts, is divided into periods, and each period into slots. The fingerprint of a
//! request, the same for each of its attempts, selects one slot. A refused caller is told to return in the slot of its
//! request, which spreads the returns evenly over a period, and each host recognises without state or messages a
//! request that arrives in its own slot.
//!
//! A first attempt arrives in its own slot by chance with a probability of `slot / period`. Attempts of requests with
//! the same fingerprint all return in the same slot, at different times within it.
//!
//! Hosts extrapolate the store's clock from a read that took some milliseconds, their own or that of the host that they
//! poll, so their clocks differ by as much. A clock that is wrong by more than a part of a slot, for example after a
//! slow read, only has the effect that returns aren't recognised.

use std::time::Duration;

use crate::fingerprint::Fingerprint;

/// The shortest delay, unless the caller has less than three times as much time left. The loads by which a request was
/// refused are up to 0.5 s old, so a request that returns sooner is judged by nearly the same ones.
pub const MIN_DELAY: Duration = Duration::from_millis(500);

/// The part of the time left after which callers still follow a stated delay.
const FOLLOWED_PART: u32 = 3;

/// The part of a slot before the earliest time for which callers are told to return. With a slot of 100 ms, a host
/// whose clock is 20 ms behind still recognises the return.
const EARLY_MARGIN: f64 = 0.2;

/// The part of a slot in which callers are told to return. The rest of the slot, 40 ms of 100, is for late timers, new
/// connections and clocks that are ahead, because returns are late more often than early.
const AIMED_PART: f64 = 0.4;

/// The shortest slot. In a shorter one, returns that are a few milliseconds early or late aren't recognised.
const MIN_SLOT: Duration = Duration::from_millis(50);

/// The longest period: callers wait for less.
const MAX_PERIOD: Duration = Duration::from_secs(3600);

/// A period and a slot as stated in settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RawReturnSlots {
    /// The time over which returns are spread.
    pub period: Duration,
    /// The length of one slot.
    pub slot: Duration,
}

/// The slots in which refused callers are to return. Invariants: the period is a whole number of slots, at least two,
/// and at most an hour; a slot is at least 50 ms long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnSlots {
    period: Duration,
    slot: Duration,
}

/// A period and a slot that can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidReturnSlots {
    /// The slot has no length.
    #[error("the return slot is zero")]
    ZeroSlot,
    /// The slot is too short for returns to be recognised.
    #[error("the return slot of {slot:?} is shorter than {MIN_SLOT:?}")]
    ShortSlot {
        /// The length of the slot.
        slot: Duration,
    },
    /// The period has fewer than two slots.
    #[error("the return slot of {slot:?} is longer than half of the return period of {period:?}")]
    LongSlot {
        /// The length of the period.
        period: Duration,
        /// The length of the slot.
        slot: Duration,
    },
    /// The period is longer than any caller waits.
    #[error("the return period of {period:?} is longer than {MAX_PERIOD:?}")]
    LongPeriod {
        /// The length of the period.
        period: Duration,
    },
    /// The period can't be divided into slots of this length.
    #[error("the return period of {period:?} is no multiple of the return slot of {slot:?}")]
    UnequalSlots {
        /// The length of the period.
        period: Duration,
        /// The length of the slot.
        slot: Duration,
    },
}

impl TryFrom<RawReturnSlots> for ReturnSlots {
    type Error = InvalidReturnSlots;

    fn try_from(raw: RawReturnSlots) -> Result<Self, InvalidReturnSlots> {
        let RawReturnSlots { period, slot } = raw;
        if slot.is_zero() {
            return Err(InvalidReturnSlots::ZeroSlot);
        }
        if slot < MIN_SLOT {
            return Err(InvalidReturnSlots::ShortSlot { slot });
        }
        if period > MAX_PERIOD {
            return Err(InvalidReturnSlots::LongPeriod { period });
        }
        if slot > period / 2 {
            return Err(InvalidReturnSlots::LongSlot { period, slot });
        }
        if period.as_nanos() % slot.as_nanos() != 0 {
            return Err(InvalidReturnSlots::UnequalSlots { period, slot });
        }
        Ok(Self { period, slot })
    }
}

impl Default for ReturnSlots {
    /// A period of 2 s in slots of 100 ms: one first attempt in 20 is taken for a return.
    fn default() -> Self {
        Self {
            period: Duration::from_secs(2),
            slot: Duration::from_millis(100),
        }
    }
}

impl ReturnSlots {
    /// The time over which returns are spread.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// The length of one slot.
    pub fn slot(&self) -> Duration {
        self.slot
    }

    /// The delay after which a refused caller is to return; `clock` is the store's clock, if known, and `draw` a random
    /// number in `0.0..1.0`.
    ///
    /// The delay leads to the last slot of the request within a third of the time left, because callers don't wait for
    /// longer, and an overload lasts for seconds: who returns early is refused again. It is at least [`MIN_DELAY`] if
    /// the caller has enough time left.
    pub fn delay(
        &self,
        fingerprint: Fingerprint,
        clock: Option<Duration>,
        time_left: Duration,
        draw: f64,
    ) -> Duration {
        let longest = time_left / FOLLOWED_PART;
        let first = longest.saturating_sub(self.period).max(MIN_DELAY);
        let Some(clock) = clock else {
            // The same range as with a known clock, as far as the caller follows it.
            let spread = longest.saturating_sub(first);
            return (first + spread.mul_f64(draw)).min(longest);
        };
        let offset = self.slot.mul_f64(EARLY_MARGIN + AIMED_PART * draw);
        let target = self.slot * self.slot_index(fingerprint) + offset;
        let earliest = self.phase(clock.saturating_add(first));
        let beyond_earliest = match target.checked_sub(earliest) {
            Some(wait) => wait,
            None => self.period + target - earliest,
        };
        (first + beyond_earliest).min(longest)
    }

    /// Whether a request that arrives when the store's clock shows `clock` is in its own slot, as one that returns as
    /// told; false if the clock isn't known.
    pub fn is_return(&self, fingerprint: Fingerprint, clock: Option<Duration>) -> bool {
        let Some(clock) = clock else {
            return false;
        };
        let begin = self.slot * self.slot_index(fingerprint);
        let phase = self.phase(clock);
        begin <= phase && phase < begin + self.slot
    }

    /// The position of the slot of a request in the period.
    fn slot_index(&self, fingerprint: Fingerprint) -> u32 {
        let slots = self.period.as_nanos() / self.slot.as_nanos();
        // Fits, because a period has at most 72,000 slots.
        (u128::from_be_bytes(fingerprint.bytes()) % slots) as u32
    }

    /// The time since the current period began.
    fn phase(&self, clock: Duration) -> Duration {
        // Fits, because a period is at most an hour.
        Duration::from_nanos((clock.as_nanos() % self.period.as_nanos()) as u64)
    }
}
