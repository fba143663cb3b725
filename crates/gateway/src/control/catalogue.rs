//! Follows the catalogue in the store, and proves again and again that what is known is the newest.

use std::{rc::Rc, time::Duration};

use super::{Backoff, StoreCall};
use crate::{
    gateway::{Gateway, On},
    ports::{CatalogueNews, Mark},
    settings::Settings,
};
use dragonflyrill_store::PlatformError;

/// The part of the time for which a proof holds that a read waits for news at most: with it a proof
/// is at most twice as old, and two reads in a row may be lost before it runs out.
const PROOF_PART: f64 = 0.2;
/// The part of the time in which a change must be in force that a read waits for news at most: the
/// other hosts must notice that this one no longer hears of changes, and still be in time.
const APPLY_PART: f64 = 0.3;
/// How long the store may be silent to another host beyond the wait of its reads, as a part of the
/// time in which a change must be in force, before its news are no longer fresh.
const SILENT_PART: f64 = 0.2;
/// How much longer than it waits a read may take.
const SLACK: Duration = Duration::from_millis(900);

/// Follows the catalogue for as long as the process lives.
pub async fn follow(gateway: Rc<Gateway>) {
    let wait = wait(&gateway.settings);
    let mut mark = None;
    let mut backoff = Backoff::default();
    loop {
        if !gateway.reads_store() {
            mark = None;
            gateway.until_reading().await;
        }
        let sent_at = gateway.now();
        // While the store is away this is the one call that shows that it is back, so that it does
        // not wait for news.
        let wait = match gateway.store_away() {
            true => Duration::ZERO,
            false => wait,
        };
        let read = gateway.platform.store.catalogue(mark, wait);
        let read = StoreCall::Catalogue
            .made(&gateway, wait + SLACK, read)
            .await;
        match read {
            Ok(news) => {
                backoff.succeeded(&gateway);
                gateway.heard(On::Catalogue, gateway.now());
                mark = Some(take(&gateway, news, sent_at, mark));
            }
            Err(PlatformError::HistoryTrimmed) => {
                log::info!(target: "catalogue", "History is gone; the catalogue is read anew.");
                mark = None;
            }
            Err(e) => {
                log::warn!(target: "catalogue", why:% = e, fresh = gateway.fresh(); "No news of the catalogue.");
                if matches!(e, PlatformError::Malformed(_)) {
                    mark = None;
                }
                // The next turn to try may come before the pause is over.
                tokio::select! {
                    () = backoff.failed(&gateway) => {}
                    () = gateway.until_told() => {}
                }
            }
        }
    }
}

/// How long a read waits for news.
fn wait(settings: &Settings) -> Duration {
    let by_proof = settings.key_revocation.mul_f64(PROOF_PART);
    by_proof.min(settings.config_apply.mul_f64(APPLY_PART))
}

/// For how long a host that reads the store may have no answer before its news are no longer fresh.
pub(crate) fn longest_silence(settings: &Settings) -> Duration {
    wait(settings) + settings.config_apply.mul_f64(SILENT_PART)
}

/// Takes what a read has brought; gives where to go on.
fn take(gateway: &Gateway, news: CatalogueNews, sent_at: Duration, before: Option<Mark>) -> Mark {
    if let Some(new) = news.catalogue {
        gateway.adopt(new);
    }
    if gateway.catalogue.borrow().is_some() {
        gateway.proven(sent_at);
    }
    news.mark.max(before.unwrap_or(0))
}
