//! Work after each event: the session, the keys that are due, and messages to peers.

use std::{collections::BTreeMap, time::Duration};

use dragonflyrill_protocol::{
    HostRef,
    rights::{Demand, Grant, Message},
};

use xxhash_rust::xxh3;

use super::{HostLimiter, add_jitter};
use crate::{
    Action, key::KeyMessage, lender::LendingTerms, session::LendableParts, split::Fraction,
};

impl HostLimiter {
    pub(super) fn process_session(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some((to, seq)) = self.session.next_beat(now) {
            let revision = self.map_revision();
            let message = Message::Beat { seq, revision };
            actions.push(Action::Send { to, message });
        }
        let live = self.live_neighbours();
        if let Some((id, call)) = self.session.next_call(now, &live) {
            actions.push(Action::Table { id, call });
        }
    }

    pub(super) fn process_all_keys(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for i in 0..self.keys.len() {
            self.process_key(now, i, actions);
        }
        self.flush_messages(actions);
    }

    /// Sets the lender of key `i` to the parts of its shard that this host may lend now.
    pub(super) fn update_lender(&mut self, now: Duration, i: usize) {
        let key = &mut self.keys[i];
        let shard = key.id.shard();
        let held = self.session.lendable_parts(now, shard);
        let loan_wait = &mut self.loan_wait[shard];
        let usable = LendableParts {
            main: held.main && now >= loan_wait.main,
            floor: held.floor && now >= loan_wait.floor,
        };
        if key.update_lender(now, usable, &self.cfg.terms) && held == LendableParts::default() {
            // If this host gets the shard again, its present loans may still be valid.
            let until = now + self.cfg.terms.with_clock_margin(self.cfg.terms.loan_term);
            (loan_wait.main, loan_wait.floor) = (until, until);
        }
    }

    pub(super) fn process_key(&mut self, now: Duration, i: usize, actions: &mut Vec<Action>) {
        self.update_lender(now, i);
        let lending = LendingTerms {
            until: self.session.lend_until(now),
            terms: self.cfg.terms,
        };
        let from = actions.len();
        let key = &mut self.keys[i];
        if let Some(at) = key.due.take() {
            self.timers.remove(&(at, i));
        }
        key.process(now, &self.cfg.me, &lending, actions, &mut self.outgoing);
        if let Some(at) = key.due {
            // Work that could not be done now is not retried at the same instant.
            let at = at.max(now + Duration::from_millis(1));
            key.due = Some(at);
            self.timers.insert((at, i));
        }
        for action in &mut actions[from..] {
            if let Action::Refuse {
                ticket,
                retry_after,
                ..
            } = action
            {
                self.tickets.remove(ticket);
                let wait = *retry_after;
                *retry_after = add_jitter(&mut self.rng, wait);
            }
        }
    }

    pub(super) fn add_jitter(&mut self, wait: Duration) -> Duration {
        add_jitter(&mut self.rng, wait)
    }

    /// Groups the outgoing messages about keys by receiver and sends them.
    pub(super) fn flush_messages(&mut self, actions: &mut Vec<Action>) {
        let mut by_receiver: BTreeMap<HostRef, (Vec<Demand>, Vec<Grant>)> = BTreeMap::new();
        for outgoing in self.outgoing.drain(..) {
            match outgoing {
                KeyMessage::Demand(to, demand) => by_receiver.entry(to).or_default().0.push(demand),
                KeyMessage::Grant(to, grant) => by_receiver.entry(to).or_default().1.push(grant),
            }
        }
        for (to, (demands, grants)) in by_receiver {
            for message in [Message::Demand(demands), Message::Grant(grants)] {
                let empty = matches!(&message, Message::Demand(d) if d.is_empty())
                    || matches!(&message, Message::Grant(g) if g.is_empty());
                if !empty {
                    let to = to.clone();
                    actions.push(Action::Send { to, message });
                }
            }
        }
    }

    pub(super) fn update_lenders(&mut self) {
        for i in 0..self.keys.len() {
            self.keys[i].lenders = self.lenders(i);
        }
    }

    /// The hosts that may lend rights of key `i`: first the holders of this data centre, then those
    /// of the others in an order that differs from host to host.
    pub(super) fn lenders(&self, i: usize) -> Vec<HostRef> {
        let key = &self.keys[i];
        let shard = key.id.shard();
        let Some(limit) = &key.limit else {
            return Vec::new();
        };
        let mut lenders = Vec::new();
        let own = self.session.known_map().map(|k| (&self.cfg.data_centre, k));
        let seed = xxh3::xxh3_64(self.cfg.me.id.to_string().as_bytes());
        let mut others: Vec<_> = self.other_maps.iter().collect();
        others.sort_by_key(|(dc, _)| xxh3::xxh3_64_with_seed(dc.as_str().as_bytes(), seed));
        for (dc, known) in own.into_iter().chain(others) {
            if Fraction::of(limit, key.id, &key.data_centres, dc) == Fraction::None {
                continue;
            }
            for holders in [&known.map.main, &known.map.floor] {
                if let Some(Some(host)) = holders.get(shard)
                    && !lenders.contains(host)
                {
                    lenders.push(host.clone());
                }
            }
        }
        lenders
    }
}
