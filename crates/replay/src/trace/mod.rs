//! The trace: the requests to send, the faults to inject and the outcomes that must hold.
//!
//! [`raw`] defines the lines as they are in the file, [`checked`] the validated types they are
//! converted to. A [`Trace`] is parsed once; all other modules work on the checked types.

pub mod checked;
mod convert;
pub mod error;
pub mod raw;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

pub use checked::{Arrival, Fault, Header, Outcome, Work};
pub use error::{TraceError, TraceErrorKind};

/// A validated trace.
///
/// Invariants: `arrivals` and `faults` are ordered by time; ids are unique; each recovery outcome
/// names a fault of `faults`.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// The deployment and the model that the trace is for.
    pub header: Header,
    /// Requests and calls, ordered by time.
    pub arrivals: Vec<Arrival>,
    /// Faults, ordered by time.
    pub faults: Vec<Fault>,
    /// Stated outcomes, in the order of the file.
    pub outcomes: Vec<Outcome>,
}

impl Trace {
    /// Parses `text`. Errors name `file` as its source.
    pub fn parse(file: &str, text: &str) -> Result<Self, TraceError> {
        let fail = |line, kind| TraceError {
            file: file.to_owned(),
            line,
            kind,
        };
        let mut lines = (1..)
            .zip(text.lines())
            .filter(|(_, text)| !text.trim().is_empty());
        let (n, first) = lines.next().ok_or_else(|| fail(1, TraceErrorKind::Empty))?;
        let header = parse_header(first).map_err(|kind| fail(n, kind))?;
        let mut builder = Builder::new(header);
        for (n, line) in lines {
            builder.add(n, line).map_err(|kind| fail(n, kind))?;
        }
        builder.finish().map_err(|(n, kind)| fail(n, kind))
    }

    /// The time of the last arrival or fault since the start of the trace; zero if there is none.
    pub fn length(&self) -> Duration {
        let arrivals = self.arrivals.iter().map(|a| a.at);
        let faults = self.faults.iter().map(|f| f.at);
        arrivals.chain(faults).max().unwrap_or_default()
    }
}

fn parse_header(line: &str) -> Result<Header, TraceErrorKind> {
    let raw: raw::Header = from_json(line)?;
    Header::try_from(raw)
}

fn from_json<T: serde::de::DeserializeOwned>(line: &str) -> Result<T, TraceErrorKind> {
    serde_json::from_str(line).map_err(|e| TraceErrorKind::Json(e.to_string()))
}

/// Collects checked lines and applies the checks that compare lines with each other.
struct Builder {
    trace: Trace,
    ids: BTreeSet<String>,
    /// The index in `trace.arrivals` of the first arrival with each workspace and key.
    keys: BTreeMap<(String, String), usize>,
    /// The line number of each outcome, parallel to `trace.outcomes`.
    outcome_lines: Vec<usize>,
}

impl Builder {
    fn new(header: Header) -> Self {
        let trace = Trace {
            header,
            arrivals: Vec::new(),
            faults: Vec::new(),
            outcomes: Vec::new(),
        };
        Self {
            trace,
            ids: BTreeSet::new(),
            keys: BTreeMap::new(),
            outcome_lines: Vec::new(),
        }
    }

    fn add(&mut self, n: usize, line: &str) -> Result<(), TraceErrorKind> {
        match from_json(line)? {
            raw::Line::Request(raw) => {
                let arrival = Arrival::from_request(raw, &self.trace.header)?;
                self.add_arrival(arrival)
            }
            raw::Line::Call(raw) => self.add_arrival(Arrival::try_from(raw)?),
            raw::Line::Fault(raw) => {
                let fault = Fault::try_from(raw)?;
                self.register_id(&fault.id)?;
                self.trace.faults.push(fault);
                Ok(())
            }
            raw::Line::Outcome(raw) => {
                self.trace.outcomes.push(Outcome::try_from(raw)?);
                self.outcome_lines.push(n);
                Ok(())
            }
        }
    }

    fn add_arrival(&mut self, arrival: Arrival) -> Result<(), TraceErrorKind> {
        self.register_id(&arrival.id)?;
        let identity = (arrival.workspace.to_string(), arrival.key.clone());
        let next = self.trace.arrivals.len();
        let first = *self.keys.entry(identity).or_insert(next);
        if let Some(earlier) = self.trace.arrivals.get(first) {
            let same = earlier.work == arrival.work && earlier.repeatable == arrival.repeatable;
            if !same {
                return Err(TraceErrorKind::KeyReused(arrival.key));
            }
        }
        self.trace.arrivals.push(arrival);
        Ok(())
    }

    fn register_id(&mut self, id: &str) -> Result<(), TraceErrorKind> {
        if self.ids.insert(id.to_owned()) {
            return Ok(());
        }
        Err(TraceErrorKind::DuplicateId(id.to_owned()))
    }

    fn finish(mut self) -> Result<Trace, (usize, TraceErrorKind)> {
        for (outcome, n) in self.trace.outcomes.iter().zip(&self.outcome_lines) {
            let Outcome::Recovery(recovery) = outcome else {
                continue;
            };
            if !self.trace.faults.iter().any(|f| f.id == recovery.fault) {
                return Err((*n, TraceErrorKind::UnknownFault(recovery.fault.clone())));
            }
        }
        self.trace.arrivals.sort_by_key(|a| a.at);
        self.trace.faults.sort_by_key(|f| f.at);
        Ok(self.trace)
    }
}
