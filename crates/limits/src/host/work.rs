//! What is done after each event: the session, the keys that are due, and messages to peers.

use std::{collections::BTreeMap, time::Duration};

use dragonflyrill_protocol::{
    HostRef,
    rights::{Demand, Grant, Message},
};

use xxhash_rust::xxh3;

use super::{HostLimiter, spread};
use crate::{Action, key::Out, lender::Lending, session::Held, split::Fraction};

impl HostLimiter {
    pub(super) fn work_session(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some((to, seq)) = self.session.beat(now) {
            let revision = self.map_revision();
            let message = Message::Beat { seq, revision };
            actions.push(Action::Send { to, message });
        }
        let live = self.live();
        if let Some((id, call)) = self.session.call(now, &live) {
            actions.push(Action::Table { id, call });
        }
    }

    pub(super) fn work_all(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for i in 0..self.keys.len() {
            self.work(now, i, actions);
        }
        self.flush(actions);
    }

    /// Lends what this host holds of key `i`'s shard now.
    pub(super) fn hold(&mut self, now: Duration, i: usize) {
        let key = &mut self.keys[i];
        let shard = key.id.shard();
        let held = self.session.held(now, shard);
        let blind = &mut self.blind[shard];
        let usable = Held {
            main: held.main && now >= blind.main,
            floor: held.floor && now >= blind.floor,
        };
        if key.hold(now, usable, &self.cfg.terms) && held == Held::default() {
            // Should it hold the shard again, its loans of now may still last.
            let until = now + self.cfg.terms.with_clock_margin(self.cfg.terms.loan_term);
            (blind.main, blind.floor) = (until, until);
        }
    }

    pub(super) fn work(&mut self, now: Duration, i: usize, actions: &mut Vec<Action>) {
        self.hold(now, i);
        let lending = Lending {
            until: self.session.until(now),
            terms: self.cfg.terms,
        };
        let from = actions.len();
        let key = &mut self.keys[i];
        if let Some(at) = key.due.take() {
            self.timers.remove(&(at, i));
        }
        key.work(now, &self.cfg.me, &lending, actions, &mut self.out);
        if let Some(at) = key.due {
            // Work that could not be done now is not tried again in the same instant.
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
                *retry_after = spread(&mut self.rng, wait);
            }
        }
    }

    pub(super) fn spread(&mut self, wait: Duration) -> Duration {
        spread(&mut self.rng, wait)
    }

    /// Gathers the messages about keys by receiver.
    pub(super) fn flush(&mut self, actions: &mut Vec<Action>) {
        let mut gathered: BTreeMap<HostRef, (Vec<Demand>, Vec<Grant>)> = BTreeMap::new();
        for out in self.out.drain(..) {
            match out {
                Out::Demand(to, demand) => gathered.entry(to).or_default().0.push(demand),
                Out::Grant(to, grant) => gathered.entry(to).or_default().1.push(grant),
            }
        }
        for (to, (demands, grants)) in gathered {
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

    pub(super) fn find_lenders(&mut self) {
        for i in 0..self.keys.len() {
            self.keys[i].lenders = self.lenders(i);
        }
    }

    /// Who may lend rights of key `i`: this data centre's holders first, then the others' in an
    /// order that differs from host to host.
    pub(super) fn lenders(&self, i: usize) -> Vec<HostRef> {
        let key = &self.keys[i];
        let shard = key.id.shard();
        let Some(limit) = &key.limit else {
            return Vec::new();
        };
        let mut lenders = Vec::new();
        let own = self.session.known().map(|k| (&self.cfg.data_centre, k));
        let seed = xxh3::xxh3_64(self.cfg.me.id.to_string().as_bytes());
        let mut others: Vec<_> = self.maps.iter().collect();
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
