//! Suspensions of the machine that this host runs on.
//!
//! A host that wakes knows nothing of what happened meanwhile. What it may do by itself needs no handling: bounds, terms
//! and deadlines are compared with a clock that has gone on. But it can't serve before it knows the newest catalogue and
//! list of endpoints. So it gets both at once, from the host that it polls or, if it reads the store for others, from
//! the store, and requests wait for a moment rather than being refused.

use std::{rc::Rc, time::Duration};

use super::Gateway;

/// How often a host checks whether it was suspended, besides the checks that requests make.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum time that requests wait for news after a suspension: a call to another host and one to the store, or two
/// to other hosts if the first is not answered.
const MAX_NEWS_WAIT: Duration = Duration::from_millis(400);

impl Gateway {
    /// Checks whether the machine was suspended. If it was, does what became due meanwhile, and requests the news.
    pub fn check_suspension(self: &Rc<Self>) {
        let Some(suspended) = self.clock().check() else {
            return;
        };
        let proof_age = self.proof_age().map(|age| age.as_millis() as u64);
        log::warn!(target: "host", suspended_ms = suspended.as_millis() as u64, proof_age_ms:? = proof_age, open = self.open_requests.get(); "The machine was suspended.");
        self.metrics.suspensions.inc();
        self.metrics
            .suspended_seconds
            .inc_by(suspended.as_secs_f64());
        self.resumed_at.set(Some(self.now()));
        self.lacks_news.set(true);
        self.expire();
        self.idle.sweep();
        self.peers.poll_now();
    }

    /// Checks regularly whether the machine was suspended.
    pub async fn watch_suspensions(self: Rc<Self>) {
        loop {
            self.clock().sleep(CHECK_INTERVAL).await;
            self.check_suspension();
        }
    }

    /// Removes what has expired.
    pub(crate) fn expire(self: &Rc<Self>) {
        self.expire_limits();
        self.expire_availability();
        self.expire_paths();
        // An entry that had lapsed may have been written again during a suspension.
        if self.news_due().is_none() {
            self.expire_entries();
        }
    }

    /// Until when requests wait for the news that this host lacks since it was suspended; `None` if it lacks none.
    pub fn news_due(&self) -> Option<Duration> {
        if !self.lacks_news.get() {
            return None;
        }
        let resumed_at = self.resumed_at.get()?;
        let until = resumed_at + MAX_NEWS_WAIT;
        let now = self.now();
        let current = self.is_catalogue_fresh() && self.has_fresh_store_data();
        if !current && now < until {
            return Some(until);
        }
        self.lacks_news.set(false);
        let after = now.saturating_sub(resumed_at).as_millis() as u64;
        log::info!(target: "host", after_ms = after, current = current; "Requests no longer wait for the news since the suspension.");
        None
    }

    /// Waits until this host has the news that it lacks since it was suspended, or no longer expects them soon.
    pub(crate) async fn until_current(&self) {
        while let Some(until) = self.news_due() {
            let news = self.news.notified();
            // Whether they came or the time is over is checked above.
            let _ = self.clock().timeout_at(until, news).await;
        }
    }

    /// When the store gave the answer, which has just been read, to a call that was sent at `sent_at`. It may have waited
    /// while the machine was suspended; then it may be as old as the call.
    pub(crate) fn answered_at(self: &Rc<Self>, sent_at: Duration) -> Duration {
        self.check_suspension();
        match self.clock().resumed_since(sent_at) {
            true => sent_at,
            false => self.now(),
        }
    }

    /// The time for which this host has been running without a suspension since `at`: how long it can have waited for
    /// others in vain.
    pub(crate) fn running_since(&self, at: Duration) -> Duration {
        let resumed_at = self.resumed_at.get().unwrap_or_default();
        self.now().saturating_sub(at.max(resumed_at))
    }
}
