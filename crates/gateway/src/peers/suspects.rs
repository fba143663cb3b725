//! Requests under which endpoints end, as hosts tell them to each other.
//!
//! Each call says what has changed since the last one between the two hosts, in both directions; the first
//! says all ([`delta_sync`](dragonflyrill_fleet::delta_sync)).

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use dragonflyrill_fleet::{
    delta_sync::{Cursor, DeltaSync},
    fingerprint::Fingerprint,
    quarantine::{QuarantinePeriod, SuspectReport, Termination},
};
use dragonflyrill_protocol::exchange::{
    EndpointEnd, ListMark, RequestHold, Suspect, SuspectNews, millis,
};

use crate::gateway::Gateway;

/// How far this host and those that it asks have told each other.
#[derive(Debug, Default)]
pub(super) struct PeerSyncs(HashMap<SocketAddr, DeltaSync>);

/// What goes with a call to a host.
pub(super) struct SuspectOffer {
    /// Up to where this host knows the other's.
    pub(super) known: ListMark,
    /// What the other one was not told yet.
    pub(super) suspects: Vec<Suspect>,
    /// Up to which version of this host's the other one knows with it.
    version: u64,
}

impl PeerSyncs {
    /// What goes with a call to a host.
    pub(super) fn offer(&self, addr: SocketAddr, gateway: &Gateway) -> SuspectOffer {
        let sync = self.0.get(&addr).copied().unwrap_or_default();
        let Cursor { origin, version } = sync.received();
        let quarantine = gateway.quarantine.borrow();
        let changed = quarantine.changes_since(sync.acknowledged(), gateway.now());
        SuspectOffer {
            known: ListMark { origin, version },
            suspects: changed.iter().map(to_wire).collect(),
            version: quarantine.version(),
        }
    }

    /// The call was answered, with all that the other host knows up to a mark of its own.
    pub(super) fn record_response(
        &mut self,
        addr: SocketAddr,
        offer: &SuspectOffer,
        mark: ListMark,
    ) {
        let sync = self.0.entry(addr).or_default();
        sync.record_response(offer.version, cursor(mark));
    }

    /// The call was not answered.
    pub(super) fn record_failure(&mut self, addr: SocketAddr) {
        self.0.entry(addr).or_default().reset();
    }
}

fn cursor(mark: ListMark) -> Cursor {
    let ListMark { origin, version } = mark;
    Cursor { origin, version }
}

/// What a host lacks that knows this one's suspects up to a mark.
pub(super) fn update(gateway: &Gateway, known: ListMark) -> SuspectNews {
    let origin = gateway.peers.list_origin(&gateway.settings.host);
    let since = cursor(known).known_version(origin);
    let quarantine = gateway.quarantine.borrow();
    let changed = quarantine.changes_since(since, gateway.now());
    SuspectNews {
        mark: ListMark {
            origin,
            version: quarantine.version(),
        },
        changed: changed.iter().map(to_wire).collect(),
    }
}

/// Takes what another host told.
pub(super) fn merge(gateway: &Gateway, suspects: &[Suspect]) {
    if !suspects.is_empty() {
        gateway.merge_suspect_reports(suspects.iter().map(from_wire).collect());
    }
}

fn to_wire(report: &SuspectReport) -> Suspect {
    let termination = |t: &Termination| EndpointEnd {
        endpoint: t.endpoint.to_string(),
        age_ms: millis(t.age),
    };
    let period = |p: QuarantinePeriod| RequestHold {
        times: p.count,
        age_ms: millis(p.age),
        lasts_ms: millis(p.duration),
    };
    Suspect {
        request: report.request.bytes(),
        ends: report.terminations.iter().map(termination).collect(),
        survived_ms: report.answer_age.map(millis),
        hold: report.period.map(period),
    }
}

fn from_wire(suspect: &Suspect) -> SuspectReport {
    let termination = |t: &EndpointEnd| Termination {
        endpoint: t.endpoint.as_str().into(),
        age: Duration::from_millis(t.age_ms),
    };
    let period = |p: RequestHold| QuarantinePeriod {
        count: p.times,
        age: Duration::from_millis(p.age_ms),
        duration: Duration::from_millis(p.lasts_ms),
    };
    SuspectReport {
        request: Fingerprint::from(suspect.request),
        terminations: suspect.ends.iter().map(termination).collect(),
        answer_age: suspect.survived_ms.map(Duration::from_millis),
        period: suspect.hold.map(period),
    }
}
