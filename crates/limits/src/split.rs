//! How much of a limit a data centre and a part of a shard hold.

use dragonflyrill_catalogue::{DataCentre, entry::LimitEntry};
use dragonflyrill_protocol::rights::KeyId;
use xxhash_rust::xxh3;

/// A limit is parted only so far that each part's burst, and its requests in flight, are at least
/// this many; a data centre without a part borrows.
const MIN_PART_REQUESTS: f64 = 4.0;

/// Rights as a lender holds them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Share {
    /// Requests a second.
    pub(crate) requests: f64,
    /// Tokens a second.
    pub(crate) tokens: f64,
    /// Requests in flight.
    pub(crate) in_flight: u32,
    /// Unused requests kept at most.
    pub(crate) request_burst: f64,
    /// Unused tokens kept at most.
    pub(crate) token_burst: f64,
}

impl Share {
    /// The whole limit. A burst of less than one request counts as one.
    pub(crate) fn full(limit: &LimitEntry) -> Self {
        Self {
            requests: limit.requests_per_second,
            tokens: limit.tokens_per_second,
            in_flight: limit.in_flight,
            request_burst: (limit.requests_per_second * limit.burst_seconds).max(1.0),
            token_burst: limit.tokens_per_second * limit.burst_seconds,
        }
    }

    /// This with the rates and bursts times `f`, and `in_flight`.
    fn scaled(&self, f: f64, in_flight: u32) -> Self {
        Self {
            requests: self.requests * f,
            tokens: self.tokens * f,
            in_flight,
            request_burst: self.request_burst * f,
            token_burst: self.token_burst * f,
        }
    }

    /// The smaller of each.
    pub(crate) fn min(self, other: Self) -> Self {
        Self {
            requests: self.requests.min(other.requests),
            tokens: self.tokens.min(other.tokens),
            in_flight: self.in_flight.min(other.in_flight),
            request_burst: self.request_burst.min(other.request_burst),
            token_burst: self.token_burst.min(other.token_burst),
        }
    }

    /// The parts `(main, floor)` of a shard, of which `floor` is the second's fraction.
    ///
    /// What is too little to be parted stays whole in the second.
    pub(crate) fn split_floor(self, floor: f64) -> (Self, Self) {
        let smallest = self.request_burst.min(f64::from(self.in_flight));
        let f = if smallest < MIN_PART_REQUESTS {
            1.0
        } else {
            floor
        };
        let in_flight = (f64::from(self.in_flight) * f) as u32;
        let main = self.scaled(1.0 - f, self.in_flight - in_flight);
        (main, self.scaled(f, in_flight))
    }

    /// Both together.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            tokens: self.tokens + other.tokens,
            in_flight: self.in_flight + other.in_flight,
            request_burst: self.request_burst + other.request_burst,
            token_burst: self.token_burst + other.token_burst,
        }
    }
}

/// The part of a limit that a data centre holds.
///
/// Each amount grows with the limit's, so that hosts that know different revisions of one limit
/// never hold more than the larger of them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fraction {
    /// Declared by the operator.
    Declared(f64),
    /// The `rank`th of `of` equal parts.
    Even {
        /// From 0.
        rank: u32,
        /// At least 1.
        of: u32,
    },
    /// Nothing.
    None,
}

impl Fraction {
    /// The part of `limit` held by `data_centre`, one of `all`.
    pub(crate) fn of(limit: &LimitEntry, key: KeyId, all: &[DataCentre], dc: &DataCentre) -> Self {
        if !limit.shares.is_empty() {
            return limit
                .shares
                .get(dc)
                .map_or(Self::None, |f| Self::Declared(*f));
        }
        let mut order: Vec<&DataCentre> = all.iter().collect();
        order.sort_by_key(|d| (xxh3::xxh3_64_with_seed(d.as_str().as_bytes(), key.0), *d));
        let of = max_data_centres(limit).clamp(1, order.len().max(1));
        match order.iter().take(of).position(|d| *d == dc) {
            Some(rank) => Self::Even {
                rank: rank as u32,
                of: of as u32,
            },
            None => Self::None,
        }
    }

    /// The amount held of `limit`.
    pub(crate) fn share(self, limit: &Share) -> Share {
        let (fraction, in_flight) = match self {
            Self::None => return Share::default(),
            Self::Declared(f) => (f, (f64::from(limit.in_flight) * f) as u32),
            Self::Even { rank, of } => {
                let extra = u32::from(rank < limit.in_flight % of);
                (1.0 / f64::from(of), limit.in_flight / of + extra)
            }
        };
        limit.scaled(fraction, in_flight)
    }
}

/// Over how many data centres a limit can be split without falling under [`MIN_PART_REQUESTS`].
fn max_data_centres(limit: &LimitEntry) -> usize {
    let burst = limit.requests_per_second * limit.burst_seconds;
    let smallest = burst.min(f64::from(limit.in_flight)) / MIN_PART_REQUESTS;
    smallest as usize
}
