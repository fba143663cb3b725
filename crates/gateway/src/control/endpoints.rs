//! Follows the list of endpoints in the store.

use std::{rc::Rc, time::Duration};

use dragonflyrill_store::PlatformError;
use tokio::time;

use super::{Backoff, StoreCall, WholeRead};
use crate::{
    gateway::{Gateway, On},
    ports::{EndpointNews, Mark},
};

/// The part of the time after which a leaving endpoint may get nothing more that lies between two
/// reads at least. Entries change all the time, so that reads are paced and not held open.
const PACE_PART: f64 = 0.25;
/// The longest that a read waits for news.
const WAIT: Duration = Duration::from_millis(500);
/// How much longer than it waits a read may take.
const SLACK: Duration = Duration::from_millis(900);
/// For how long after the store's return an entry that was removed may come back: entries lapse
/// while endpoints can't reach the store, and are written anew within this time when they can.
const DOUBT: Duration = Duration::from_secs(2);

struct Follower {
    gateway: Rc<Gateway>,
    mark: Option<Mark>,
    whole: WholeRead,
}

/// Follows the endpoints for as long as the process lives.
pub async fn follow(gateway: Rc<Gateway>) {
    let pace = gateway.settings.endpoint_drain.mul_f64(PACE_PART);
    let mut follower = Follower {
        gateway,
        mark: None,
        whole: WholeRead::default(),
    };
    let mut backoff = Backoff::default();
    loop {
        if !follower.gateway.reads_store() {
            follower.mark = None;
        }
        follower.gateway.until_store_answers().await;
        let began = time::Instant::now();
        match follower.read().await {
            Ok(()) => backoff.succeeded(&follower.gateway),
            Err(e) => {
                log::warn!(target: "fleet", why:% = e; "No news of the endpoints.");
                backoff.failed(&follower.gateway).await;
            }
        }
        follower.drop_doubted();
        time::sleep_until(began + pace).await;
    }
}

impl Follower {
    async fn read(&mut self) -> Result<(), PlatformError> {
        let read = self.gateway.platform.store.endpoints(self.mark, WAIT);
        let sent_at = self.gateway.now();
        let limit = self.whole.limit(self.mark.is_none(), WAIT + SLACK);
        let read = StoreCall::List.made(&self.gateway, limit, read).await;
        self.whole.ended(&read);
        match read {
            Ok(news) => {
                self.gateway.list_known(sent_at);
                self.take(news);
                Ok(())
            }
            Err(PlatformError::HistoryTrimmed) => {
                self.mark = None;
                Ok(())
            }
            Err(e) => {
                self.gateway.store_troubled();
                Err(e)
            }
        }
    }

    fn take(&mut self, news: EndpointNews) {
        let now = self.gateway.now();
        self.mark = Some(news.mark);
        self.gateway.heard(On::List, now);
        let known = self.gateway.list_mark.get();
        self.gateway.list_mark.set(known.max(news.mark));
        let mut gone = self.named(&news.removed);
        for fault in news.unusable {
            self.gateway.ignore_entry(fault);
        }
        if news.whole {
            let listed = news.changed.iter().map(|e| &*e.name);
            gone.extend(self.gateway.directory.borrow().ids_except(listed));
            self.gateway.endpoints_known.set(true);
        }
        for endpoint in news.changed {
            self.gateway.doubted.borrow_mut().remove(&endpoint.id);
            self.gateway.list_endpoint(endpoint);
        }
        // Entries lapse while the store is away, whether or not a read of the list has met that. When it was
        // back counts, and not when this host reads again: what is removed later is gone.
        let returned_at = self.gateway.outage.borrow().recovered_at();
        let until = returned_at.map(|at| at + DOUBT).filter(|t| *t > now);
        for id in gone {
            match until {
                Some(until) => {
                    let mut doubted = self.gateway.doubted.borrow_mut();
                    doubted.entry(id).or_insert(until);
                }
                None => self.gateway.forget_endpoint(&id),
            }
        }
        self.gateway
            .directory
            .borrow_mut()
            .record_revision(self.gateway.list_mark.get());
    }

    /// The ids of the starts that are listed under names.
    fn named(&self, names: &[Rc<str>]) -> Vec<Rc<str>> {
        let directory = self.gateway.directory.borrow();
        let listed = names.iter().filter_map(|name| directory.by_name(name));
        listed.map(|e| e.id.clone()).collect()
    }

    /// Forgets endpoints whose entries have not come back in time.
    fn drop_doubted(&self) {
        let now = self.gateway.now();
        let mut doubted = self.gateway.doubted.borrow_mut();
        for (id, _) in doubted.extract_if(|_, until| *until <= now) {
            self.gateway.forget_endpoint(&id);
        }
    }
}
