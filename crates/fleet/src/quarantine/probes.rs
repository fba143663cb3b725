//! Requests that are sent although parts of their prompts are quarantined, to find out which of the parts are the cause.
//!
//! Whatever loses many endpoints may have parts quarantined that many sound requests share, above all at hosts that have
//! just started and know of no answer. So the host that has quarantined a part sends one request with it later on. An
//! answer exonerates all parts of that request. If the endpoint terminates, the cause is among them; once only one of
//! them is still quarantined, that part is it.

use std::time::Duration;

use crate::fingerprint::Fingerprint;

/// Time from the beginning of a quarantine to the probe, at a host that has known answers for too short a time to tell
/// which parts are answered regularly. Within that time others that know of an answer report it, and runs that are under
/// way get on.
const DELAY_WITHOUT_KNOWLEDGE: Duration = Duration::from_secs(1);
/// The same at other hosts. Their quarantines are seldom mistaken, and a probe may cost one more endpoint.
const DELAY: Duration = Duration::from_secs(60);
/// How long after the first answer on any part a host knows those that are answered regularly.
const KNOWLEDGE_TIME: Duration = Duration::from_secs(10);
/// Maximum number of probes with a part in a quarantine period, as callers may leave before their result is known.
pub(super) const MAX_PROBES: u8 = 3;
/// Maximum number of failed probes that are remembered.
const MAX_FAILED: usize = 32;

/// The delay of the probe of a part that a host quarantines which has known answers for `known_for`; `None` if it knows of
/// none.
pub(super) fn delay(known_for: Option<Duration>) -> Duration {
    match known_for {
        Some(known_for) if known_for >= KNOWLEDGE_TIME => DELAY,
        _ => DELAY_WITHOUT_KNOWLEDGE,
    }
}

/// A request that is sent as a probe.
#[derive(Debug)]
struct Probe {
    request: Fingerprint,
    /// The quarantined parts of its prompt.
    parts: Vec<Fingerprint>,
}

/// The probe under way, and what probes have shown.
#[derive(Debug, Default)]
pub(super) struct Probes {
    /// There is one probe at a time.
    under_way: Option<Probe>,
    /// The parts of failed probes: one of each set is the cause.
    failed: Vec<Vec<Fingerprint>>,
}

impl Probes {
    /// Begins a probe with a request that has these quarantined parts; returns whether it may be sent. One that contains
    /// all parts of a failed one would fail as well.
    pub(super) fn begin(&mut self, request: Fingerprint, parts: Vec<Fingerprint>) -> bool {
        let contains = |failed: &Vec<Fingerprint>| failed.iter().all(|part| parts.contains(part));
        let fails = self.failed.iter().any(contains);
        if self.under_way.is_some() || fails {
            return false;
        }
        self.under_way = Some(Probe { request, parts });
        true
    }

    /// The quarantined parts of the probe under way.
    pub(super) fn parts_under_way(&self) -> &[Fingerprint] {
        let probe = self.under_way.as_ref();
        probe.map_or(&[], |probe| &probe.parts)
    }

    /// Ends the probe under way.
    pub(super) fn end(&mut self) {
        self.under_way = None;
    }

    /// Records that the endpoint terminated during a run of a request at the beginning of its answer.
    pub(super) fn record_termination(&mut self, request: &Fingerprint) {
        let is_probe = |probe: &mut Probe| probe.request == *request;
        let Some(probe) = self.under_way.take_if(is_probe) else {
            return;
        };
        if self.failed.len() >= MAX_FAILED {
            self.failed.remove(0);
        }
        self.failed.push(probe.parts);
    }

    /// Removes the parts that are no longer suspected from the failed probes, and returns those that must be the cause,
    /// as they are left alone.
    pub(super) fn causes(
        &mut self,
        is_suspected: impl Fn(&Fingerprint) -> bool,
    ) -> Vec<Fingerprint> {
        self.failed
            .iter_mut()
            .for_each(|parts| parts.retain(&is_suspected));
        let (alone, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.failed)
            .into_iter()
            .partition(|parts| parts.len() <= 1);
        self.failed = others;
        let mut causes: Vec<Fingerprint> = alone.into_iter().flatten().collect();
        causes.sort();
        causes.dedup();
        causes
    }
}
