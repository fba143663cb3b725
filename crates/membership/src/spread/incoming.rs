//! Handling of poll results and of messages from other hosts.

use std::time::Duration;

use dragonflyrill_catalogue::{Catalogue, Change, state::FoldOutcome};
use dragonflyrill_protocol::{
    HostId, HostRef,
    spread::{Digest, Message, Part},
};
use dragonflyrill_store::catalogue_store::{Head, LoadedCatalogue};

use super::{
    Action, Alarm, Source, Spread, StoreRead,
    change_log::{self, ChangeLog, PullError},
    snapshot,
};

impl Spread {
    /// Applies the changes or the catalogue that a poll read from the store.
    pub fn receive_store_read(
        &mut self,
        now: Duration,
        read: StoreRead,
        actions: &mut Vec<Action>,
    ) {
        self.pending_polls.pop_front();
        match read {
            StoreRead::Changes(changes) => self.apply_store_changes(now, changes, actions),
            StoreRead::Loaded(loaded) => self.apply_store_catalogue(now, loaded, actions),
        }
    }

    /// Checks the head that a poll found when it read no changes.
    pub fn receive_store_head(&mut self, _now: Duration, head: &Head, actions: &mut Vec<Action>) {
        self.pending_polls.pop_front();
        let found = change_log::digest(head.revision, &head.change_id);
        self.verify_store(found, actions);
    }

    /// Records that a poll failed.
    pub fn receive_store_failure(&mut self, _now: Duration) {
        self.pending_polls.pop_front();
    }

    /// Handles a message from another host.
    pub fn receive(
        &mut self,
        now: Duration,
        from: &HostRef,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        if from.id == self.cfg.me.id {
            return;
        }
        self.peer_revision_received |= !matches!(message, Message::Pull(_));
        match message {
            Message::Digest(theirs) => self.receive_digest(now, &from.id, theirs, actions),
            Message::Pull(theirs) => self.answer_pull(now, &from.id, theirs, actions),
            Message::Changes(changes) => self.receive_peer_changes(now, &from.id, changes, actions),
            Message::Part(part) => self.receive_part(now, &from.id, part, actions),
        }
    }

    /// Whether the store, whose catalogue is or was `found`, may be followed. Emits an alarm if
    /// not.
    fn verify_store(&mut self, found: Digest, actions: &mut Vec<Action>) -> bool {
        let in_force = self.catalogue.revision();
        if !self.log.is_consistent_with(found) {
            self.store_suspected = true;
            actions.push(Action::Alarm(Alarm::StoreForked { in_force }));
            return false;
        }
        if found == self.digest() {
            self.store_suspected = false;
        }
        if found.revision < in_force {
            self.store_suspected = true;
            let found = found.revision;
            actions.push(Action::Alarm(Alarm::StoreOlder { in_force, found }));
            return false;
        }
        true
    }

    fn apply_store_changes(
        &mut self,
        now: Duration,
        changes: Vec<Change>,
        actions: &mut Vec<Action>,
    ) {
        let known = changes
            .iter()
            .take_while(|c| c.revision <= self.catalogue.revision());
        let forked = known
            .map(|c| change_log::digest(c.revision, &c.change_id))
            .find(|d| !self.log.is_consistent_with(*d));
        if let Some(found) = forked {
            self.verify_store(found, actions);
            return;
        }
        let own = self.digest();
        let is_own = |c: &Change| change_log::digest(c.revision, &c.change_id) == own;
        if changes.iter().any(is_own) {
            self.store_suspected = false;
        }
        if self.store_suspected {
            return;
        }
        self.apply_changes(now, changes, Source::Store, actions);
    }

    fn apply_store_catalogue(
        &mut self,
        now: Duration,
        loaded: LoadedCatalogue,
        actions: &mut Vec<Action>,
    ) {
        let found = change_log::digest(loaded.catalogue.revision(), &loaded.change_id);
        if !self.verify_store(found, actions) {
            return;
        }
        // A snapshot is loaded only if the store lacks the changes that follow the catalogue in
        // force. A restoration leaves such a gap, so its newer catalogue ends the suspicion of the
        // store.
        if found.revision <= self.catalogue.revision() && self.store_suspected {
            return;
        }
        self.store_suspected = false;
        self.replace_catalogue(
            now,
            loaded.catalogue,
            loaded.change_id,
            Source::Store,
            actions,
        );
    }

    /// Brings into force those changes that continue the catalogue in force.
    fn apply_changes(
        &mut self,
        now: Duration,
        changes: Vec<Change>,
        source: Source<'_>,
        actions: &mut Vec<Action>,
    ) {
        let mut applied = Vec::new();
        for change in changes {
            match self.catalogue.fold(&change) {
                FoldOutcome::AlreadyApplied => {}
                FoldOutcome::Gap => break,
                FoldOutcome::Applied => {
                    self.change_id.clone_from(&change.change_id);
                    let budget = &self.cfg.budget;
                    let (max_changes, max_bytes) = (budget.max_log_changes, budget.max_log_bytes);
                    self.log.push(change.clone(), max_changes, max_bytes);
                    applied.push(change);
                }
            }
        }
        if applied.is_empty() {
            return;
        }
        self.record_in_force(now, actions);
        self.push(applied, source, actions);
    }

    /// Brings a whole catalogue into force if it is newer.
    fn replace_catalogue(
        &mut self,
        now: Duration,
        catalogue: Catalogue,
        change_id: String,
        source: Source<'_>,
        actions: &mut Vec<Action>,
    ) {
        if catalogue.revision() <= self.catalogue.revision() {
            return;
        }
        self.catalogue = catalogue;
        self.change_id = change_id;
        self.log = ChangeLog::starting_after(self.digest());
        self.record_in_force(now, actions);
        self.push(Vec::new(), source, actions);
    }

    fn record_in_force(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let revision = self.catalogue.revision();
        self.in_force_since = now;
        self.pull_sent = None;
        self.assembly = None;
        log::info!("catalogue: Revision {} is in force.", revision.0);
        actions.push(Action::InForce(revision));
    }

    fn receive_digest(
        &mut self,
        now: Duration,
        from: &HostId,
        theirs: Digest,
        actions: &mut Vec<Action>,
    ) {
        let own = self.digest();
        if !self.log.is_consistent_with(theirs) {
            self.raise_peer_forked(from, actions);
        } else if theirs.revision > own.revision {
            self.send_pull(now, from, actions);
        } else if theirs.revision < own.revision {
            self.send_to(from, Message::Digest(own), actions);
        }
    }

    fn send_pull(&mut self, now: Duration, from: &HostId, actions: &mut Vec<Action>) {
        let recent = |sent: Duration| now.saturating_sub(sent) < self.cfg.budget.pull_interval;
        if self.pull_sent.is_some_and(recent) {
            return;
        }
        self.pull_sent = Some(now);
        self.send_to(from, Message::Pull(self.digest()), actions);
    }

    /// Answers a pull.
    fn answer_pull(
        &mut self,
        now: Duration,
        to: &HostId,
        theirs: Digest,
        actions: &mut Vec<Action>,
    ) {
        if theirs.revision >= self.catalogue.revision() {
            return;
        }
        let max = self.cfg.budget.target_part_bytes;
        match self.log.changes_after(theirs, max) {
            Ok(parts) => {
                for changes in parts {
                    self.send_to(to, Message::Changes(changes), actions);
                }
            }
            Err(PullError::Forked) => self.raise_peer_forked(to, actions),
            Err(PullError::Unavailable) => self.send_snapshot(now, to, actions),
        }
    }

    fn send_snapshot(&mut self, now: Duration, to: &HostId, actions: &mut Vec<Action>) {
        let recent = |sent: &Duration| now.saturating_sub(*sent) < self.cfg.budget.pull_interval;
        if self.snapshots_sent.get(to).is_some_and(recent) {
            return;
        }
        self.snapshots_sent.insert(to.clone(), now);
        let max = self.cfg.budget.target_part_bytes;
        for part in snapshot::split(&self.catalogue, &self.change_id, max) {
            self.send_to(to, Message::Part(part), actions);
        }
    }

    fn receive_peer_changes(
        &mut self,
        now: Duration,
        from: &HostId,
        changes: Vec<Change>,
        actions: &mut Vec<Action>,
    ) {
        let forked = changes.iter().any(|c| {
            !self
                .log
                .is_consistent_with(change_log::digest(c.revision, &c.change_id))
        });
        if forked {
            self.raise_peer_forked(from, actions);
            return;
        }
        let gap = changes
            .first()
            .is_some_and(|c| c.revision > self.catalogue.revision().next());
        if gap {
            self.send_pull(now, from, actions);
            return;
        }
        self.apply_changes(now, changes, Source::Host(from), actions);
    }

    fn receive_part(
        &mut self,
        now: Duration,
        from: &HostId,
        part: Part,
        actions: &mut Vec<Action>,
    ) {
        if part.revision <= self.catalogue.revision() {
            return;
        }
        // The remaining parts are still to come: this delays the next pull.
        self.pull_sent = Some(now);
        match self.assembly.as_mut().filter(|a| a.accepts(from, &part)) {
            Some(assembly) => assembly.add(part),
            None => self.assembly = snapshot::Assembly::start(from, part),
        }
        if self.assembly.as_ref().is_some_and(|a| a.is_complete())
            && let Some(assembly) = self.assembly.take()
        {
            let (catalogue, change_id) = assembly.finish();
            self.replace_catalogue(now, catalogue, change_id, Source::Host(from), actions);
        }
    }

    fn raise_peer_forked(&self, peer: &HostId, actions: &mut Vec<Action>) {
        actions.push(Action::Alarm(Alarm::PeerForked {
            peer: peer.clone(),
            in_force: self.catalogue.revision(),
        }));
    }
}
