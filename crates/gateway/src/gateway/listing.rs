//! How what is heard of endpoints becomes what is known of them.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    endpoints::{Endpoint, PutOutcome},
    incarnations,
};

use super::Gateway;
use crate::{
    forward,
    ports::{EngineReport, EntryFault, UnusableEntry},
};

/// How long an entry that can't be used is remembered after it was read, so that it is told once.
const IGNORED: Duration = Duration::from_secs(600);

/// An entry that names no endpoint to use.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ignored {
    version: u64,
    fault: EntryFault,
    /// When it was last read.
    read_at: Duration,
}

impl Gateway {
    /// Takes an endpoint's entry.
    pub fn list_endpoint(self: &Rc<Self>, endpoint: Endpoint) {
        let (id, name) = (endpoint.id.clone(), endpoint.name.clone());
        let mut directory = self.directory.borrow_mut();
        let put = directory.put(endpoint, self.now());
        match &put {
            PutOutcome::Unchanged => return,
            PutOutcome::Outdated => {
                log::info!(target: "fleet", endpoint = &*id; "An entry of an endpoint that has ended is not taken.");
                return;
            }
            PutOutcome::Foreign => {
                drop(directory);
                self.ignore_entry(UnusableEntry {
                    name,
                    version: 0,
                    fault: EntryFault::Start,
                    why: "the start is missing that the endpoint always says".to_owned(),
                });
                return;
            }
            PutOutcome::Replaced(ended) => ended.iter().for_each(|e| self.ended(e, &id)),
            PutOutcome::Listed | PutOutcome::Relisted => {}
        }
        let Some(listed) = directory.get(&id) else {
            return;
        };
        log_listed(listed);
        if put == PutOutcome::Relisted {
            log::info!(target: "fleet", endpoint = &*id; "Endpoint is listed again and must answer first.");
            forward::prove(self, listed);
        }
    }

    /// An endpoint has ended, as another start has taken its place: what ran there is lost, and what is
    /// open to it.
    fn ended(&self, endpoint: &Endpoint, by: &str) {
        log::info!(target: "fleet", endpoint = &*endpoint.id, by = by; "Endpoint has ended: another start is in its place.");
        self.endpoint_over(&endpoint.id);
        self.loads.borrow_mut().forget(&endpoint.id);
        self.limits.borrow_mut().remove(&endpoint.id);
        self.idle.close_all(endpoint.addr);
        self.prober.changed();
        self.metrics.endpoint_restarts.inc();
    }

    /// An engine has told when it started: if that is later than its entry says, the entry's start is
    /// over, and the engine is what it reports.
    pub fn reported(self: &Rc<Self>, id: &str, report: &EngineReport) {
        let known = self.directory.borrow().get(id).cloned();
        let Some(known) =
            known.filter(|e| e.started_at.is_some() && report.started_at > e.started_at)
        else {
            return;
        };
        self.list_endpoint(Endpoint {
            id: incarnations::id(&known.name, report.started_at),
            started_at: report.started_at,
            layers: report.layers,
            draining: false,
            ..(*known).clone()
        });
    }

    /// An entry names no endpoint to use: what was listed under its name is not used any more. What is
    /// under way there goes on.
    pub fn ignore_entry(&self, entry: UnusableEntry) {
        let listed = self.directory.borrow().by_name(&entry.name).cloned();
        if let Some(endpoint) = &listed {
            self.forget_endpoint(&endpoint.id);
        }
        let UnusableEntry { version, fault, .. } = entry;
        let read_at = self.now();
        let mut ignored = self.ignored.borrow_mut();
        ignored.retain(|_, known| known.read_at + IGNORED > read_at);
        let read = Ignored {
            version,
            fault,
            read_at,
        };
        let before = ignored.insert(entry.name.clone(), read);
        if before.is_some_and(|known| known.version == version && known.fault == fault) {
            return;
        }
        let fault = fault.label();
        self.metrics
            .entries_ignored
            .with_label_values(&[fault])
            .inc();
        log::warn!(
            target: "fleet",
            endpoint = &*entry.name,
            fault = fault,
            used_before = listed.is_some(),
            why = entry.why.as_str();
            "An entry names no endpoint to use."
        );
    }

    /// Forgets an endpoint that is gone.
    pub fn forget_endpoint(&self, id: &str) {
        if self.directory.borrow_mut().remove(id).is_some() {
            log::info!(target: "fleet", endpoint = id; "Endpoint is gone.");
            self.loads.borrow_mut().forget(id);
        }
    }
}

fn log_listed(endpoint: &Endpoint) {
    let layers = endpoint.layers.map(|l| l.to_string());
    log::info!(
        target: "fleet",
        endpoint = &*endpoint.id,
        data_centre = &*endpoint.data_centre,
        accelerator = endpoint.accelerator.as_deref().unwrap_or("-"),
        layers = layers.as_deref().unwrap_or("-"),
        leaving = endpoint.draining;
        "Endpoint is listed."
    );
}
