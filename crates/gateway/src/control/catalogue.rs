//! Follows the catalogue in the store, and renews the freshness proof: that the known catalogue is the newest one.

use std::{rc::Rc, time::Duration};

use super::{Backoff, StoreCall, continues};
use crate::{
    gateway::{Gateway, StoreRead},
    ports::{CatalogueUpdate, StoreRevision},
    settings::Settings,
};
use dragonflyrill_store::PlatformError;

/// The maximum time that a read waits for a change, as a fraction of the validity of a freshness proof. With it a proof
/// is at most twice this fraction old while no read fails, and two reads in a row may fail before it expires.
const PROOF_WAIT_FRACTION: f64 = 0.2;
/// The maximum time that a read waits for a change, as a fraction of the time within which a change must be in force.
/// The remainder lets other hosts notice that this host receives no changes any more, and still apply them in time.
const APPLY_WAIT_FRACTION: f64 = 0.3;
/// The maximum time without an answer of the store, beyond the wait of a read, before the data of a host count as stale,
/// as a fraction of the time within which a change must be in force.
const SILENCE_FRACTION: f64 = 0.2;
/// How much longer than its wait for a change a read may take.
const READ_MARGIN: Duration = Duration::from_millis(900);

/// Follows the catalogue until the process exits.
pub async fn follow(gateway: Rc<Gateway>) {
    let wait = read_wait(&gateway.settings);
    let mut revision = None;
    let mut backoff = Backoff::default();
    loop {
        if !gateway.reads_store() {
            revision = None;
            gateway.wait_until_reading().await;
        }
        let sent_at = gateway.now();
        // While the store is unavailable, this is the only call that shows that it is available again, so that it does
        // not wait for a change. Neither does the first call after a suspension, for whose proof requests wait.
        let wait = match gateway.store_unavailable() || gateway.news_due().is_some() {
            true => Duration::ZERO,
            false => wait,
        };
        let read = gateway.platform.store.catalogue(revision, wait);
        let read = StoreCall::Catalogue.run(&gateway, wait + READ_MARGIN, read);
        let read = tokio::select! {
            biased;
            read = read => read,
            // The proof of a call that was made before the suspension is as old as the call.
            () = gateway.clock().resumed() => continue,
        };
        match read {
            Ok(update) if !continues(&gateway, revision, update.revision) => {
                log::info!(target: "catalogue", after:? = revision, answer:? = update.revision; "The answer does not continue from the last one; the catalogue is read in full.");
                // An outdated answer to a read in full must not be requested again at once.
                if revision.take().is_none() {
                    backoff.pause(&gateway).await;
                }
            }
            Ok(update) => {
                backoff.reset(&gateway);
                let answered_at = gateway.answered_at(sent_at);
                gateway.record_store_answer(StoreRead::Catalogue, answered_at);
                revision = Some(apply_update(&gateway, update, sent_at));
            }
            Err(PlatformError::HistoryTrimmed) => {
                log::info!(target: "catalogue", "The store's history is truncated; the catalogue is read in full.");
                revision = None;
            }
            Err(e) => {
                log::warn!(target: "catalogue", why:% = e, fresh = gateway.is_catalogue_fresh(); "The catalogue could not be read.");
                if matches!(e, PlatformError::Malformed(_)) {
                    revision = None;
                }
                // This host may be granted the store probe slot before the pause is over.
                tokio::select! {
                    () = backoff.pause(&gateway) => {}
                    () = gateway.wait_until_not_reading() => {}
                    () = gateway.clock().resumed() => {}
                }
            }
        }
    }
}

/// The maximum time that a read waits for a change.
fn read_wait(settings: &Settings) -> Duration {
    let by_proof = settings.key_revocation.mul_f64(PROOF_WAIT_FRACTION);
    by_proof.min(settings.config_apply.mul_f64(APPLY_WAIT_FRACTION))
}

/// How long a host that reads the store may have no answer before its data count as stale.
pub(crate) fn max_store_silence(settings: &Settings) -> Duration {
    read_wait(settings) + settings.config_apply.mul_f64(SILENCE_FRACTION)
}

/// Applies the result of a read; returns the revision from which the next read continues.
fn apply_update(gateway: &Gateway, update: CatalogueUpdate, sent_at: Duration) -> StoreRevision {
    if let Some(new) = update.catalogue {
        gateway.adopt_catalogue(new);
    }
    if gateway.catalogue.borrow().is_some() && !gateway.peers.has_newer_catalogue(gateway) {
        gateway.record_proof(sent_at);
    }
    update.revision
}
