//! One limit on one host: what the host uses, and what it lends if it holds the key's shard.

use std::time::Duration;

use dragonflyrill_catalogue::{DataCentre, entry::LimitEntry};
use dragonflyrill_protocol::{
    HostRef,
    rights::{Demand, Grant, KeyId},
};

use crate::{
    Action,
    config::Terms,
    holder::Holder,
    lender::{Lender, LendingTerms},
    session,
    split::{Fraction, Share},
};

/// The most rounds of demands and grants that a host's own holder and lender of a key exchange in
/// one step.
const MAX_LOCAL_ROUNDS: usize = 4;

/// A message about one key to another host.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum KeyMessage {
    Demand(HostRef, Demand),
    Grant(HostRef, Grant),
}

/// One limit on one host.
#[derive(Debug, Clone)]
pub(crate) struct KeyState {
    pub(crate) id: KeyId,
    /// `None` once the limit is no longer declared.
    pub(crate) limit: Option<LimitEntry>,
    /// The fractions of the limit that the data centre has held, one for each declaration that
    /// changed it. It lends the smallest of them, because another host may still apply an earlier
    /// declaration until a later one is known to be in force everywhere.
    fractions: Vec<Fraction>,
    /// All data centres of the last declaration.
    pub(crate) data_centres: Vec<DataCentre>,
    pub(crate) holder: Holder,
    pub(crate) lender: Option<Lender>,
    /// The hosts that may lend, most preferred first.
    pub(crate) lenders: Vec<HostRef>,
    /// When [`Self::process`] has to be called next.
    pub(crate) due: Option<Duration>,
}

impl KeyState {
    pub(crate) fn new(id: KeyId) -> Self {
        Self {
            id,
            limit: None,
            fractions: Vec::new(),
            data_centres: Vec::new(),
            holder: Holder::new(id),
            lender: None,
            lenders: Vec::new(),
            due: None,
        }
    }

    /// Applies a declaration.
    pub(crate) fn declare(&mut self, limit: &LimitEntry, all: &[DataCentre], fraction: Fraction) {
        self.data_centres = all.to_vec();
        self.limit = Some(limit.clone());
        if self.fractions.last() != Some(&fraction) {
            self.fractions.push(fraction);
        }
    }

    /// The share of a lender that holds the whole limit.
    pub(crate) fn full_share(&self) -> Share {
        self.limit.as_ref().map(Share::full).unwrap_or_default()
    }

    /// The share of the limit that the data centre may lend.
    fn share(&self) -> Share {
        let full = self.full_share();
        let shares = self.fractions.iter().map(|f| f.share(&full));
        shares.reduce(Share::min).unwrap_or_default()
    }

    /// Sets the lender's share to the parts of the key's shard that this host may lend. Returns
    /// true if the host lent before and no longer does.
    pub(crate) fn update_lender(
        &mut self,
        now: Duration,
        lendable: session::LendableParts,
        terms: &Terms,
    ) -> bool {
        let (main, floor) = self.share().split_floor(terms.floor_fraction);
        let share = match (lendable.main, lendable.floor) {
            (true, true) => main.plus(floor),
            (true, false) => main,
            (false, true) => floor,
            (false, false) => return self.lender.take().is_some(),
        };
        let id = self.id;
        let lender = self.lender.get_or_insert_with(|| Lender::new(now, id));
        lender.set_share(now, share, !lendable.main);
        lender.close_idle(now, terms);
        false
    }

    /// Updates the holder, sends its demands, and answers the demands at this host's lender.
    pub(crate) fn process(
        &mut self,
        now: Duration,
        me: &HostRef,
        lending: &LendingTerms,
        actions: &mut Vec<Action>,
        outgoing: &mut Vec<KeyMessage>,
    ) {
        let terms = &lending.terms;
        for _ in 0..MAX_LOCAL_ROUNDS {
            self.holder.update(now, actions);
            let mut demands = Vec::new();
            self.holder.demands(now, &self.lenders, terms, &mut demands);
            for (to, demand) in demands {
                match &mut self.lender {
                    Some(lender) if to == *me => lender.receive_demand(now, me, true, &demand),
                    _ if to == *me => {}
                    _ => outgoing.push(KeyMessage::Demand(to, demand)),
                }
            }
            if !self.serve(now, me, lending, outgoing) {
                break;
            }
        }
        self.due = self.next_due(now);
    }

    /// Answers waiting demands at this host's lender. Returns true if a grant went to this host.
    fn serve(
        &mut self,
        now: Duration,
        me: &HostRef,
        lending: &LendingTerms,
        outgoing: &mut Vec<KeyMessage>,
    ) -> bool {
        let Some(lender) = &mut self.lender else {
            return false;
        };
        let mut grants = Vec::new();
        lender.serve(now, lending, &mut grants);
        let mut served_local = false;
        for (to, grant) in grants {
            if to == *me {
                self.holder.receive_grant(now, me, &grant, &lending.terms);
                served_local = true;
            } else {
                outgoing.push(KeyMessage::Grant(to, grant));
            }
        }
        served_local
    }

    fn next_due(&mut self, now: Duration) -> Option<Duration> {
        let lender = self.lender.as_mut().and_then(|l| l.next_due(now));
        let holder = self.holder.next_due(now);
        lender.into_iter().chain(holder).min()
    }
}
