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

/// A fault of the connections that are open when it is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionFault {
    /// The connections are reset.
    Reset,
    /// The connections stay open and carry no more bytes.
    Silence,
}

#[derive(Debug)]
pub(super) struct Link {
    pub(super) cfg: LinkConfig,
    pub(super) faults: watch::Sender<LinkFaults>,
    /// The newest connection fault; each connection watches for faults after it was opened.
    pub(super) connection_faults: watch::Sender<Option<ConnectionFault>>,
    pub(super) counters: Counters,
}

impl Link {
    pub(super) fn new(cfg: LinkConfig) -> Self {
        let faults = watch::Sender::new(LinkFaults::default());
        Self {
            cfg,
            faults,
            connection_faults: watch::Sender::new(None),
            counters: Counters::default(),
        }
    }

    pub(super) fn set_faults(&self, faults: LinkFaults) {
        log::info!("relay {}: faults are now {faults:?}.", self.cfg.name);
        self.faults.send_replace(faults);
    }

    pub(super) fn inject(&self, fault: ConnectionFault) {
        log::info!("relay {}: {fault:?}.", self.cfg.name);
        self.connection_faults.send_replace(Some(fault));
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
