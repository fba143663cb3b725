//! How requests reach endpoints to which this host has lost its path.
//!
//! Such a host still reaches other hosts, and these reach the endpoints. It keeps deciding everything about its
//! requests - endpoint or chain, retries, deadlines, what its callers are answered - and only sends them through another
//! host, which passes each of them on to the endpoint that it names and the answer back as it arrives.
//!
//! - `open` opens the connection for a request: to the endpoint, or to a host that relays.
//! - `check` determines whether an endpoint that does not answer has failed or only the path to it is cut, by asking
//!   other hosts. The decisions are in [`dragonflyrill_fleet::paths`].
//! - `serve` passes on what other hosts send. It listens at the address for calls of other hosts, see
//!   [`crate::peers::serve`].
//!
//! | what ends | what follows |
//! |---|---|
//! | the caller's connection | the host resets its connection to the relay, which resets the one to the endpoint |
//! | the relay, or its connection to the endpoint | the host sees an answer that broke off, as over a connection of its own |
//! | the host | the relay resets its connection to the endpoint |
//! | the relay by SIGTERM | it completes what it passes on and accepts nothing new; it states that nothing was sent |

mod check;
mod open;
pub(crate) mod serve;

use std::{
    cell::{Ref, RefCell},
    net::SocketAddr,
};

use actix_http::ServiceConfig;
use dragonflyrill_clock::Clock;
use dragonflyrill_fleet::paths::{CutKind, Paths, Way};
use rustc_hash::FxHashSet;

use self::check::PathChecks;
use crate::http::call::Client;

pub(crate) use self::{check::PathState, open::OpenedPath};

/// How a connection reaches an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Via {
    /// It is a connection to the endpoint.
    Direct,
    /// It is a connection to the host with this address, which relays.
    Relay(SocketAddr),
}

/// What this host knows of its paths to endpoints.
pub struct EndpointPaths {
    known: RefCell<Paths>,
    /// Relays that are shutting down: they complete what they pass on.
    stopping: RefCell<FxHashSet<SocketAddr>>,
    checks: PathChecks,
    /// Asks other hosts.
    client: Client,
}

impl EndpointPaths {
    /// Creates the state of a host to which no cut path is known.
    pub(crate) fn new(codec: ServiceConfig, clock: Clock) -> Self {
        Self {
            known: RefCell::default(),
            stopping: RefCell::default(),
            checks: PathChecks::default(),
            client: Client::new(codec, clock),
        }
    }

    /// The known paths.
    pub(crate) fn known(&self) -> Ref<'_, Paths> {
        self.known.borrow()
    }

    /// Whether a connection that was opened to reach an endpoint carries nothing any more, as far as known.
    pub(crate) fn is_lost(&self, endpoint: SocketAddr, via: Via) -> bool {
        let known = self.known.borrow();
        match via {
            Via::Relay(relay) if self.stopping.borrow().contains(&relay) => false,
            Via::Direct => known.cut_kind(endpoint) == Some(CutKind::Silent),
            Via::Relay(relay) => match known.way(endpoint) {
                Way::Direct => false,
                Way::Relay(current) => current != relay,
                Way::Search => true,
            },
        }
    }
}
