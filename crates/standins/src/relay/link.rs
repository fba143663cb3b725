//! One link: its settings, its faults and its counters.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use tokio::sync::watch;

use super::{LinkConfig, LinkFaults, LinkStats};

#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) accepted: AtomicU64,
    pub(super) refused: AtomicU64,
    pub(super) carried: AtomicU64,
    pub(super) dropped: AtomicU64,
}

/// What befalls the connections that are open when it happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Blow {
    /// They are reset.
    Reset,
    /// They stay open and carry nothing more.
    Silence,
}

#[derive(Debug)]
pub(super) struct Link {
    pub(super) cfg: LinkConfig,
    pub(super) faults: watch::Sender<LinkFaults>,
    /// The newest blow; connections see those that come after they were opened.
    pub(super) blows: watch::Sender<Option<Blow>>,
    pub(super) counters: Counters,
}

impl Link {
    pub(super) fn new(cfg: LinkConfig) -> Self {
        let faults = watch::Sender::new(LinkFaults::default());
        Self {
            cfg,
            faults,
            blows: watch::Sender::new(None),
            counters: Counters::default(),
        }
    }

    pub(super) fn set_faults(&self, faults: LinkFaults) {
        log::info!("relay {}: faults are now {faults:?}.", self.cfg.name);
        self.faults.send_replace(faults);
    }

    pub(super) fn strike(&self, blow: Blow) {
        log::info!("relay {}: {blow:?}.", self.cfg.name);
        self.blows.send_replace(Some(blow));
    }

    pub(super) fn stats(&self) -> LinkStats {
        LinkStats {
            name: self.cfg.name.clone(),
            accepted: self.counters.accepted.load(Relaxed),
            refused: self.counters.refused.load(Relaxed),
            carried: self.counters.carried.load(Relaxed),
            dropped: self.counters.dropped.load(Relaxed),
        }
    }
}
