//! Records which host runs each request whose home is this host.

use std::time::Duration;

use dragonflyrill_protocol::{
    HostRef,
    found::{Claim, Claimed, Intent},
};
use rustc_hash::FxHashMap;

use crate::requests::RequestKey;

/// The maximum number of claims kept. At this number expired claims are dropped, and all claims if
/// that isn't enough: a claim avoids a second run of a request, but nothing relies on it.
const MAX_CLAIMS: usize = 100_000;

#[derive(Debug)]
struct ClaimRecord {
    /// The host that holds the claim.
    by: HostRef,
    /// When the claim expires, by the host's clock.
    until: Duration,
    /// The number of times the request was assigned to a host. At least 1.
    runs: u32,
    /// Whether the claim is released, because its holder is dead or did not run the request.
    released: bool,
}

/// The claims whose home this host is.
#[derive(Debug, Default)]
pub struct Claims {
    records: FxHashMap<RequestKey, ClaimRecord>,
    /// When expired claims are next removed, by the host's clock.
    next_sweep: Duration,
}

impl Claims {
    /// Answers `claim`. A granted claim is kept for `keep`; the term starts again each time its
    /// holder claims the request.
    pub fn claim(&mut self, now: Duration, keep: Duration, claim: Claim) -> Claimed {
        self.drop_expired(now, keep);
        let key = RequestKey {
            workspace: claim.workspace,
            id: claim.id,
        };
        if claim.intent == Intent::GiveBack {
            self.release(&key, &claim.by);
            return Claimed::Free { runs: 0 };
        }
        let record = self.records.get(&key).filter(|record| record.until > now);
        if let Some(record) = record
            // A restarted host doesn't know the claims of its earlier incarnation, so the id
            // decides.
            && record.by.id != claim.by.id
            && !record.released
        {
            return Claimed::Taken(record.by.clone());
        }
        let runs = record.map_or(0, |record| record.runs);
        if claim.intent == Intent::Take {
            let (by, until) = (claim.by, now + keep);
            self.records.insert(
                key,
                ClaimRecord {
                    by,
                    until,
                    runs: runs + 1,
                    released: false,
                },
            );
        }
        Claimed::Free { runs }
    }

    /// Releases the claim of `by`, which did not run the request, so this assignment doesn't count.
    fn release(&mut self, key: &RequestKey, by: &HostRef) {
        let Some(record) = self.records.get_mut(key).filter(|record| record.by == *by) else {
            return;
        };
        record.runs -= 1;
        record.released = true;
        if record.runs == 0 {
            self.records.remove(key);
        }
    }

    /// Releases all claims of a dead holder, so that the next host that claims a request gets it.
    pub fn release_claims_of(&mut self, holder: &HostRef) {
        let theirs = self
            .records
            .values_mut()
            .filter(|record| record.by == *holder);
        theirs.for_each(|record| record.released = true);
    }

    fn drop_expired(&mut self, now: Duration, keep: Duration) {
        if now < self.next_sweep && self.records.len() < MAX_CLAIMS {
            return;
        }
        self.next_sweep = now + keep / 4;
        self.records.retain(|_, record| record.until > now);
        if self.records.len() >= MAX_CLAIMS {
            self.records.clear();
        }
    }
}
