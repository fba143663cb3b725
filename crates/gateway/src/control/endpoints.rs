//! Follows the list of endpoints in the store.

use std::{rc::Rc, time::Duration};

use dragonflyrill_store::PlatformError;

use super::{Backoff, ReadLimit, StoreCall, continues};
use crate::{
    gateway::{Gateway, StoreRead},
    ports::{EndpointUpdate, StoreRevision},
};

/// The minimum interval between reads, as a fraction of the time after which a draining endpoint must receive no more
/// requests. Entries change constantly, so that reads are paced rather than held open.
const READ_INTERVAL_FRACTION: f64 = 0.25;
/// The maximum time that a read waits for changes.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// How much longer than its wait for changes a read may take.
const READ_MARGIN: Duration = Duration::from_millis(900);
/// How long after the store has become available again a removed entry may reappear before its endpoint is forgotten.
/// Entries lapse while endpoints can't reach the store; the endpoints write them again within this time once they can.
const LAPSED_ENTRY_GRACE: Duration = Duration::from_secs(2);

struct Follower {
    gateway: Rc<Gateway>,
    revision: Option<StoreRevision>,
    read_limit: ReadLimit,
}

/// Follows the list of endpoints until the process exits.
pub async fn follow(gateway: Rc<Gateway>) {
    let interval = gateway
        .settings
        .endpoint_drain
        .mul_f64(READ_INTERVAL_FRACTION);
    let mut follower = Follower {
        gateway,
        revision: None,
        read_limit: ReadLimit::default(),
    };
    let mut backoff = Backoff::default();
    loop {
        if !follower.gateway.reads_store() {
            follower.revision = None;
        }
        follower.gateway.wait_until_store_readable().await;
        let gateway = follower.gateway.clone();
        let started_at = gateway.now();
        let read = tokio::select! {
            biased;
            read = follower.read() => read,
            // The answer may have been sent before the suspension.
            () = gateway.clock().resumed() => continue,
        };
        match read {
            Ok(()) => backoff.reset(&gateway),
            Err(e) => {
                log::warn!(target: "fleet", why:% = e; "The list of endpoints could not be read.");
                backoff.pause(&gateway).await;
            }
        }
        gateway.expire_entries();
        tokio::select! {
            () = gateway.clock().sleep_until(started_at + interval) => {}
            () = gateway.clock().resumed() => {}
        }
    }
}

impl Follower {
    async fn read(&mut self) -> Result<(), PlatformError> {
        // Requests wait for the first list after a suspension.
        let wait = match self.gateway.news_due() {
            Some(_) => Duration::ZERO,
            None => MAX_WAIT,
        };
        let read = self.gateway.platform.store.endpoints(self.revision, wait);
        let sent_at = self.gateway.now();
        let limit = self
            .read_limit
            .limit(self.revision.is_none(), wait + READ_MARGIN);
        let read = StoreCall::List.run(&self.gateway, limit, read).await;
        self.read_limit.record(&read);
        match read {
            Ok(update) if !continues(&self.gateway, self.revision, update.revision) => {
                log::info!(target: "fleet", after:? = self.revision, answer:? = update.revision; "The answer does not continue from the last one; the list of endpoints is read in full.");
                let was_complete = self.revision.take().is_none();
                match was_complete {
                    true => Ok(()),
                    false => Box::pin(self.read()).await,
                }
            }
            Ok(update) => {
                self.gateway.record_list_as_of(sent_at);
                let answered_at = self.gateway.answered_at(sent_at);
                self.apply_update(update, answered_at);
                Ok(())
            }
            Err(PlatformError::HistoryTrimmed) => {
                self.revision = None;
                Ok(())
            }
            Err(e) => {
                self.gateway.record_store_failure();
                Err(e)
            }
        }
    }

    fn apply_update(&mut self, update: EndpointUpdate, answered_at: Duration) {
        self.revision = Some(update.revision);
        self.gateway
            .record_store_answer(StoreRead::List, answered_at);
        let known = self.gateway.list_revision.get();
        self.gateway.list_revision.set(known.max(update.revision));
        let mut removed = self.ids_of(&update.removed);
        for fault in update.unusable {
            self.gateway.ignore_entry(fault);
        }
        if update.complete {
            let listed = update.changed.iter().map(|e| &*e.name);
            removed.extend(self.gateway.directory.borrow().ids_except(listed));
            self.gateway.endpoints_known.set(true);
        }
        for endpoint in update.changed {
            if !update.complete {
                let mut directory = self.gateway.directory.borrow_mut();
                directory.record_entry_written(&endpoint.id);
            }
            self.gateway
                .lapsed_endpoints
                .borrow_mut()
                .remove(&endpoint.id);
            self.gateway.list_endpoint(endpoint);
        }
        for id in removed {
            remove_unless_lapsed(&self.gateway, &id);
        }
        self.gateway
            .directory
            .borrow_mut()
            .record_revision(self.gateway.list_revision.get());
    }

    /// The ids of the incarnations that are listed under these names.
    fn ids_of(&self, names: &[Rc<str>]) -> Vec<Rc<str>> {
        let directory = self.gateway.directory.borrow();
        let listed = names.iter().filter_map(|name| directory.by_name(name));
        let listed = listed.map(|e| e.id.clone());
        let withheld = names
            .iter()
            .filter_map(|name| directory.withheld_by_name(name));
        listed.chain(withheld.cloned()).collect()
    }
}

/// Removes an endpoint whose entry is missing, unless the entry may have lapsed: then the endpoint is kept for a while.
///
/// Entries lapse while the store is unavailable, whether or not a read of the list failed meanwhile, and those written
/// last are missing in a store that was restored from a copy. The grace time starts when the store is available again,
/// not when this host reads the list again: an entry that is removed after the grace time belongs to an endpoint that has
/// ended.
pub(crate) fn remove_unless_lapsed(gateway: &Gateway, id: &Rc<str>) {
    let recovered_at = gateway.outage.borrow().recovered_at();
    let until = recovered_at.map(|at| at + LAPSED_ENTRY_GRACE);
    match until.filter(|t| *t > gateway.now()) {
        Some(until) if gateway.directory.borrow().get(id).is_some() => {
            let mut lapsed = gateway.lapsed_endpoints.borrow_mut();
            lapsed.entry(id.clone()).or_insert(until);
        }
        _ => gateway.remove_endpoint(id),
    }
}
