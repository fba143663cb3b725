//! Applies entries, engine reports and removals of endpoints to this host's state.

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

/// How long an ignored entry is remembered after it was last read, so that it is logged and counted
/// only once.
const IGNORED_ENTRY_TTL: Duration = Duration::from_secs(600);

/// An entry that describes no usable endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct IgnoredEntry {
    version: u64,
    fault: EntryFault,
    /// When the entry was last read.
    read_at: Duration,
}

impl Gateway {
    /// Applies an endpoint's entry to the directory.
    pub fn list_endpoint(self: &Rc<Self>, endpoint: Endpoint) {
        let (id, name) = (endpoint.id.clone(), endpoint.name.clone());
        let mut directory = self.directory.borrow_mut();
        let put = directory.put(endpoint, self.now());
        match &put {
            PutOutcome::Unchanged => return,
            PutOutcome::Outdated => {
                log::info!(target: "fleet", endpoint = &*id; "An entry of an endpoint that has ended is ignored.");
                return;
            }
            PutOutcome::Withheld => {
                log::info!(target: "fleet", endpoint = &*id; "An entry of an endpoint that was removed before the store was restored is not used yet.");
                return;
            }
            PutOutcome::Foreign => {
                drop(directory);
                self.ignore_entry(UnusableEntry {
                    name,
                    version: 0,
                    fault: EntryFault::Start,
                    why: "the entry lacks the start time that the endpoint always reports"
                        .to_owned(),
                });
                return;
            }
            PutOutcome::Replaced(ended) => ended.iter().for_each(|e| self.remove_replaced(e, &id)),
            PutOutcome::Listed | PutOutcome::Relisted => {}
        }
        let Some(listed) = directory.get(&id) else {
            return;
        };
        log_listed(listed);
        if put == PutOutcome::Relisted {
            log::info!(target: "fleet", endpoint = &*id; "Endpoint is listed again and must answer first.");
            forward::poll_relisted(self, listed);
        }
    }

    /// Removes the state of an endpoint that has ended, because the incarnation with id `by` has
    /// replaced it. Its runs and its connections are lost.
    fn remove_replaced(&self, endpoint: &Endpoint, by: &str) {
        log::info!(target: "fleet", endpoint = &*endpoint.id, by = by; "Endpoint has ended: another incarnation has replaced it.");
        self.confirm_termination(&endpoint.id);
        self.loads.borrow_mut().forget(&endpoint.id);
        self.limits.borrow_mut().remove(&endpoint.id);
        self.idle.close_all(endpoint.addr);
        self.prober.notify_failure();
        self.metrics.endpoint_restarts.inc();
    }

    /// Applies the report of an engine about itself. If the reported start time is later than that
    /// of the known entry, the known incarnation has ended, and the endpoint is listed as it is
    /// reported.
    pub fn apply_engine_report(self: &Rc<Self>, id: &str, report: &EngineReport) {
        let Some(known) = self.ended_incarnation(id, report) else {
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

    /// The known incarnation `id` of an engine, if the report is of a later one.
    fn ended_incarnation(&self, id: &str, report: &EngineReport) -> Option<Rc<Endpoint>> {
        let known = self.directory.borrow().get(id).cloned();
        known.filter(|e| e.started_at.is_some() && report.started_at > e.started_at)
    }

    /// The id of the incarnation that made a report when `id` was polled.
    pub(super) fn reporting_incarnation(&self, id: &Rc<str>, report: &EngineReport) -> Rc<str> {
        match self.ended_incarnation(id, report) {
            Some(ended) => incarnations::id(&ended.name, report.started_at),
            None => id.clone(),
        }
    }

    /// Ignores an entry that describes no usable endpoint, and removes the endpoint that was listed
    /// under the same name. Requests that run there go on.
    pub fn ignore_entry(&self, entry: UnusableEntry) {
        let listed = self.directory.borrow().by_name(&entry.name).cloned();
        if let Some(endpoint) = &listed {
            self.remove_endpoint(&endpoint.id);
        }
        let UnusableEntry { version, fault, .. } = entry;
        let read_at = self.now();
        let mut ignored = self.ignored_entries.borrow_mut();
        ignored.retain(|_, known| known.read_at + IGNORED_ENTRY_TTL > read_at);
        let read = IgnoredEntry {
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

    /// Removes an endpoint that is gone, and its load.
    pub fn remove_endpoint(&self, id: &str) {
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
