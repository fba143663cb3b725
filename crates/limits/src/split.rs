//! How much of a limit a data centre holds, and how much of that the two parts of a shard hold.

use dragonflyrill_catalogue::{DataCentre, entry::LimitEntry};
use dragonflyrill_protocol::rights::KeyId;
use xxhash_rust::xxh3;

/// A limit is split only as long as the burst of each part, in requests, and its requests in flight
/// are at least this many. A data centre without a part borrows from the others.
const MIN_PART_REQUESTS: f64 = 4.0;

/// The rates, bursts and concurrency that a lender may lend.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Share {
    /// Requests a second.
    pub(crate) requests: f64,
    /// Tokens a second.
    pub(crate) tokens: f64,
    /// Requests in flight.
    pub(crate) in_flight: u32,
    /// The most unused requests that accumulate.
    pub(crate) request_burst: f64,
    /// The most unused tokens that accumulate.
    pub(crate) token_burst: f64,
}

impl Share {
    /// The share that holds the whole limit. A burst of less than one request counts as one.
    pub(crate) fn full(limit: &LimitEntry) -> Self {
        Self {
            requests: limit.requests_per_second,
            tokens: limit.tokens_per_second,
            in_flight: limit.in_flight,
            request_burst: (limit.requests_per_second * limit.burst_seconds).max(1.0),
            token_burst: limit.tokens_per_second * limit.burst_seconds,
        }
    }

    /// Returns this share with its rates and bursts multiplied by `f`, and with `in_flight`.
    fn scaled(&self, f: f64, in_flight: u32) -> Self {
        Self {
            requests: self.requests * f,
            tokens: self.tokens * f,
            in_flight,
            request_burst: self.request_burst * f,
            token_burst: self.token_burst * f,
        }
    }

    /// The smaller value of each field.
    pub(crate) fn min(self, other: Self) -> Self {
        Self {
            requests: self.requests.min(other.requests),
            tokens: self.tokens.min(other.tokens),
            in_flight: self.in_flight.min(other.in_flight),
            request_burst: self.request_burst.min(other.request_burst),
            token_burst: self.token_burst.min(other.token_burst),
        }
    }

    /// Splits the share into `(main, floor)`, where the second part is the fraction `floor` of it.
    ///
    /// A share that is too small to be split goes entirely to the floor part.
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

    /// The sum of both shares.
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

/// The fraction of a limit that a data centre holds.
///
/// Every amount increases monotonically with that of the limit, so the hosts that apply different
/// revisions of one limit never hold more in total than the larger of them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fraction {
    /// A fraction declared by the operator.
    Declared(f64),
    /// The part with number `rank` of `parts` equal parts.
    Even {
        /// From 0.
        rank: u32,
        /// At least 1.
        parts: u32,
    },
    /// No rights.
    None,
}

impl Fraction {
    /// The fraction of `limit` that data centre `dc`, one of `all`, holds.
    pub(crate) fn of(limit: &LimitEntry, key: KeyId, all: &[DataCentre], dc: &DataCentre) -> Self {
        if !limit.shares.is_empty() {
            return limit
                .shares
                .get(dc)
                .map_or(Self::None, |f| Self::Declared(*f));
        }
        let mut order: Vec<&DataCentre> = all.iter().collect();
        order.sort_by_key(|d| (xxh3::xxh3_64_with_seed(d.as_str().as_bytes(), key.0), *d));
        let parts = max_data_centres(limit).clamp(1, order.len().max(1));
        match order.iter().take(parts).position(|d| *d == dc) {
            Some(rank) => Self::Even {
                rank: rank as u32,
                parts: parts as u32,
            },
            None => Self::None,
        }
    }

    /// The share that this fraction is of `limit`.
    pub(crate) fn share(self, limit: &Share) -> Share {
        let (fraction, in_flight) = match self {
            Self::None => return Share::default(),
            Self::Declared(f) => (f, (f64::from(limit.in_flight) * f) as u32),
            Self::Even { rank, parts } => {
                let extra = u32::from(rank < limit.in_flight % parts);
                (1.0 / f64::from(parts), limit.in_flight / parts + extra)
            }
        };
        limit.scaled(fraction, in_flight)
    }
}

/// The most data centres over which a limit can be split so that each part still has at least
/// [`MIN_PART_REQUESTS`].
fn max_data_centres(limit: &LimitEntry) -> usize {
    let burst = limit.requests_per_second * limit.burst_seconds;
    let smallest = burst.min(f64::from(limit.in_flight)) / MIN_PART_REQUESTS;
    smallest as usize
}
