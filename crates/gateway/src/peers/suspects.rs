//! Exchange of suspected requests between hosts: requests during whose runs endpoints have
//! terminated.
//!
//! Each call carries the changes since the last call between the two hosts, in both directions; the
//! first call carries everything ([`delta_sync`](dragonflyrill_fleet::delta_sync)).

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use dragonflyrill_fleet::{
    delta_sync::{Cursor, DeltaSync},
    fingerprint::Fingerprint,
    quarantine::{QuarantinePeriod, SuspectReport, Termination},
};
use dragonflyrill_protocol::exchange::{
    EndpointTermination, ListPosition, RequestQuarantine, Suspect, SuspectUpdate, millis,
};

use crate::gateway::Gateway;

/// How far this host and each host that it polls know each other's changes, by address.
#[derive(Debug, Default)]
pub(super) struct PeerSyncs(HashMap<SocketAddr, DeltaSync>);

/// What this host sends of its suspects with a call.
pub(super) struct SuspectOffer {
    /// Position up to which this host knows the other host's changes.
    pub(super) known: ListPosition,
    /// The changes of this host that the other host doesn't know yet.
    pub(super) suspects: Vec<Suspect>,
    /// The version of this host's suspects that the other host knows once it has received the
    /// offer.
    pub(super) version: u64,
}

impl PeerSyncs {
    /// Returns what to send with a call to the host at `addr`.
    pub(super) fn offer(&self, addr: SocketAddr, gateway: &Gateway) -> SuspectOffer {
        let sync = self.0.get(&addr).copied().unwrap_or_default();
        let Cursor { origin, version } = sync.received();
        let quarantine = gateway.quarantine.borrow();
        let changed = quarantine.changes_since(sync.acknowledged(), gateway.now());
        SuspectOffer {
            known: ListPosition { origin, version },
            suspects: changed.iter().map(to_wire).collect(),
            version: quarantine.version(),
        }
    }

    /// Records an answer to a call, which contained all of the other host's changes up to `mark`.
    pub(super) fn record_response(
        &mut self,
        addr: SocketAddr,
        offer: &SuspectOffer,
        mark: ListPosition,
    ) {
        let sync = self.0.entry(addr).or_default();
        sync.record_response(offer.version, cursor(mark));
    }

    /// Records that a call was not answered.
    pub(super) fn record_failure(&mut self, addr: SocketAddr) {
        self.0.entry(addr).or_default().reset();
    }
}

fn cursor(mark: ListPosition) -> Cursor {
    let ListPosition { origin, version } = mark;
    Cursor { origin, version }
}

/// Returns the changes of this host's suspects after the position `known`, up to which a polling
/// host knows them.
pub(super) fn update(gateway: &Gateway, known: ListPosition) -> SuspectUpdate {
    let origin = gateway.peers.list_origin(&gateway.settings.host);
    let since = cursor(known).known_version(origin);
    let quarantine = gateway.quarantine.borrow();
    let changed = quarantine.changes_since(since, gateway.now());
    SuspectUpdate {
        position: ListPosition {
            origin,
            version: quarantine.version(),
        },
        changed: changed.iter().map(to_wire).collect(),
    }
}

/// Merges the suspects that another host has reported.
pub(super) fn merge(gateway: &Gateway, suspects: &[Suspect]) {
    if !suspects.is_empty() {
        gateway.merge_suspect_reports(suspects.iter().map(from_wire).collect());
    }
}

fn to_wire(report: &SuspectReport) -> Suspect {
    let termination = |t: &Termination| EndpointTermination {
        endpoint: t.endpoint.to_string(),
        age_ms: millis(t.age),
    };
    let period = |p: QuarantinePeriod| RequestQuarantine {
        count: p.count,
        age_ms: millis(p.age),
        duration_ms: millis(p.duration),
    };
    Suspect {
        request: report.request.bytes(),
        terminations: report.terminations.iter().map(termination).collect(),
        answer_age_ms: report.answer_age.map(millis),
        quarantine: report.period.map(period),
    }
}

fn from_wire(suspect: &Suspect) -> SuspectReport {
    let termination = |t: &EndpointTermination| Termination {
        endpoint: t.endpoint.as_str().into(),
        age: Duration::from_millis(t.age_ms),
    };
    let period = |p: RequestQuarantine| QuarantinePeriod {
        count: p.count,
        age: Duration::from_millis(p.age_ms),
        duration: Duration::from_millis(p.duration_ms),
    };
    SuspectReport {
        request: Fingerprint::from(suspect.request),
        terminations: suspect.terminations.iter().map(termination).collect(),
        answer_age: suspect.answer_age_ms.map(Duration::from_millis),
        period: suspect.quarantine.map(period),
    }
}
