//! Discrete event simulation of hosts, engines and links, in simulated microseconds.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire;
use dragonflyrill_routing::{ChainQuery, Outcome, StepSize, baseline::Policy};
use hdrhistogram::Histogram;

use crate::{
    engine::{Engine, Fault, Step},
    fleet,
};

const SECOND_US: u64 = 1_000_000;
/// Interval at which engines report load and cache events, and the delay until the reports reach
/// the hosts.
const REPORT_PERIOD_US: u64 = SECOND_US;
const REPORT_LAG_US: u64 = SECOND_US / 2;
const STEP_TIMEOUT_US: u64 = 2 * SECOND_US;
const MAX_RETRIES: u32 = 3;
/// A request counts as good if its first token and its end come within these times.
const MAX_FIRST_TOKEN_US: u64 = 2 * SECOND_US;
const MAX_REQUEST_US: u64 = 20 * SECOND_US;

/// A request as it arrives at a host.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at: u64,
    pub(crate) host: usize,
    pub(crate) prompt: u32,
    pub(crate) tokens: u32,
    pub(crate) prefix: Vec<u64>,
}

/// A fault of one engine from `from` to `until`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultWindow {
    pub(crate) engine: usize,
    pub(crate) fault: Fault,
    pub(crate) from: u64,
    pub(crate) until: u64,
}

struct Hop {
    engine: usize,
    layers: wire::Layers,
    /// Whether the engine has no state of the request yet and must process the whole prompt.
    needs_prefill: bool,
}

struct Request {
    arrival: Arrival,
    hops: Vec<Hop>,
    hop_index: usize,
    attempt: u32,
    generated: u32,
    retries: u32,
    sent: u64,
    last_token: u64,
    first_token_us: u64,
    avoid: Vec<EndpointId>,
    done: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    ArriveAtEngine {
        engine: usize,
        request: usize,
        attempt: u32,
    },
    BatchDone {
        engine: usize,
        incarnation: u64,
    },
    Answer {
        request: usize,
        attempt: u32,
        end: StepEnd,
    },
    Timeout {
        request: usize,
        attempt: u32,
        sent: u64,
    },
    CollectReports,
    DeliverReports(usize),
    FaultStart(usize),
    FaultEnd(usize),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StepEnd {
    Done,
    Busy,
    Failed,
}

/// The results of a run: counts of requests by end, and latencies in microseconds.
pub(crate) struct RunResults {
    pub(crate) good: u64,
    pub(crate) late: u64,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
    pub(crate) retries: u64,
    pub(crate) first_token: Histogram<u64>,
    pub(crate) between_tokens: Histogram<u64>,
}

pub(crate) struct Simulation {
    hosts: Vec<Box<dyn Policy>>,
    sites: Vec<usize>,
    engines: Vec<Engine>,
    by_id: BTreeMap<EndpointId, usize>,
    links: BTreeMap<(usize, usize), (u64, f64)>,
    requests: Vec<Request>,
    fault_windows: Vec<FaultWindow>,
    reports: Vec<Vec<(wire::LoadReport, wire::CacheEvents)>>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    seq: u64,
    now: u64,
    results: RunResults,
}

impl Simulation {
    /// Creates a simulation in which `hosts[i]` is in data centre `sites[i]`.
    pub(crate) fn new(
        hosts: Vec<Box<dyn Policy>>,
        sites: Vec<usize>,
        data_centres: usize,
        engines: Vec<Engine>,
    ) -> Self {
        let by_id = engines
            .iter()
            .enumerate()
            .map(|(i, e)| (e.listed.id.clone(), i))
            .collect();
        let mut links = BTreeMap::new();
        for (i, link) in fleet::links(data_centres).iter().enumerate() {
            let pairs = (0..data_centres).flat_map(|a| (a + 1..data_centres).map(move |b| (a, b)));
            let (a, b) = pairs
                .clone()
                .nth(i)
                .expect("links are in the order of pairs");
            let cost = (
                u64::from(link.latency_us),
                8.0 / f64::from(link.mbit_per_second),
            );
            links.insert((a, b), cost);
            links.insert((b, a), cost);
        }
        let histogram = || Histogram::new_with_max(600 * SECOND_US, 3).expect("three digits");
        Self {
            hosts,
            sites,
            engines,
            by_id,
            links,
            requests: Vec::new(),
            fault_windows: Vec::new(),
            reports: Vec::new(),
            queue: BinaryHeap::new(),
            seq: 0,
            now: 0,
            results: RunResults {
                good: 0,
                late: 0,
                refused: 0,
                failed: 0,
                retries: 0,
                first_token: histogram(),
                between_tokens: histogram(),
            },
        }
    }

    /// Runs until all requests have ended.
    pub(crate) fn run(mut self, arrivals: &[Arrival], fault_windows: &[FaultWindow]) -> RunResults {
        self.fault_windows = fault_windows.to_vec();
        for (i, fault_window) in fault_windows.iter().enumerate() {
            self.push(fault_window.from, Event::FaultStart(i));
            self.push(fault_window.until, Event::FaultEnd(i));
        }
        for (i, arrival) in arrivals.iter().enumerate() {
            self.push(arrival.at, Event::Arrive(i));
        }
        let last = arrivals.last().map_or(0, |a| a.at) + MAX_REQUEST_US;
        (0..last / REPORT_PERIOD_US)
            .for_each(|i| self.push(i * REPORT_PERIOD_US, Event::CollectReports));
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            self.now = at;
            self.handle(event, arrivals);
        }
        self.results
    }

    fn push(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq, event)));
    }

    fn time(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    fn handle(&mut self, event: Event, arrivals: &[Arrival]) {
        match event {
            Event::Arrive(i) => self.arrive(arrivals[i].clone()),
            Event::ArriveAtEngine {
                engine,
                request,
                attempt,
            } => self.arrive_at_engine(engine, request, attempt),
            Event::BatchDone {
                engine,
                incarnation,
            } => self.batch_done(engine, incarnation),
            Event::Answer {
                request,
                attempt,
                end,
            } => self.answer(request, attempt, end),
            Event::Timeout {
                request,
                attempt,
                sent,
            } => {
                let r = &self.requests[request];
                if !r.done && r.attempt == attempt && r.sent == sent {
                    self.answer(request, attempt, StepEnd::Failed);
                }
            }
            Event::CollectReports => self.collect_reports(),
            Event::DeliverReports(i) => self.deliver_reports(i),
            Event::FaultStart(i) => self.start_fault(i),
            Event::FaultEnd(i) => {
                self.engines[self.fault_windows[i].engine].fault = Fault::None;
                self.start_batch(self.fault_windows[i].engine);
            }
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let layers = wire::Layers {
            first: 0,
            end: fleet::LAYERS,
        };
        let request = Request {
            hops: Vec::new(),
            hop_index: 0,
            attempt: 0,
            generated: 0,
            retries: 0,
            sent: 0,
            last_token: arrival.at,
            first_token_us: 0,
            avoid: Vec::new(),
            done: false,
            arrival,
        };
        self.requests.push(request);
        let id = self.requests.len() - 1;
        match self.choose(id, layers) {
            Some(hops) => {
                self.requests[id].hops = hops;
                self.dispatch(id);
            }
            None => {
                self.requests[id].done = true;
                self.results.refused += 1;
            }
        }
    }

    fn choose(&mut self, id: usize, layers: wire::Layers) -> Option<Vec<Hop>> {
        let (now, model) = (self.time(), fleet::model());
        let r = &self.requests[id];
        let query = ChainQuery {
            model: &model,
            layers,
            prompt_tokens: r.arrival.prompt + r.generated,
            max_tokens: r.arrival.tokens - r.generated,
            prefix: &r.arrival.prefix,
            avoid: &r.avoid,
        };
        let hops = self.hosts[r.arrival.host].choose(now, &query).ok()?;
        let hops = hops.into_iter().map(|h| Hop {
            engine: self.by_id[&h.endpoint],
            layers: h.layers,
            needs_prefill: true,
        });
        Some(hops.collect())
    }

    /// Returns the time in microseconds of a transfer between a host and an engine, in either
    /// direction.
    fn link_us(&self, host: usize, engine: usize, bytes: f64) -> u64 {
        let from = self.sites[host];
        let at = (0..).find(|i| fleet::data_centre(*i) == self.engines[engine].listed.data_centre);
        let (latency, us_per_byte) = match at {
            Some(to) if to != from => self.links[&(from, to)],
            _ => (50, 8.0 / 10_000.0),
        };
        latency + (bytes * us_per_byte) as u64
    }

    fn dispatch(&mut self, id: usize) {
        let now = self.time();
        let r = &mut self.requests[id];
        r.sent = self.now;
        let hop = &r.hops[r.hop_index];
        let (host, engine, attempt) = (r.arrival.host, hop.engine, r.attempt);
        let endpoint = self.engines[engine].listed.id.clone();
        self.hosts[host].sent(now, &endpoint);
        let bytes = f64::from(self.positions(id)) * 8192.0;
        let bytes_in = if self.requests[id].hop_index > 0 {
            bytes
        } else {
            0.0
        };
        let at = self.now + self.link_us(host, engine, bytes_in);
        self.push(
            at,
            Event::ArriveAtEngine {
                engine,
                request: id,
                attempt,
            },
        );
        let sent = self.now;
        self.push(
            self.now + STEP_TIMEOUT_US,
            Event::Timeout {
                request: id,
                attempt,
                sent,
            },
        );
    }

    fn positions(&self, id: usize) -> u32 {
        let r = &self.requests[id];
        match r.hops[r.hop_index].needs_prefill {
            true => r.arrival.prompt + r.generated,
            false => 1,
        }
    }

    fn arrive_at_engine(&mut self, engine: usize, id: usize, attempt: u32) {
        let r = &self.requests[id];
        if r.done || r.attempt != attempt {
            return;
        }
        let hop = &r.hops[r.hop_index];
        let step = Step {
            request: id,
            attempt,
            layers: hop.layers.end - hop.layers.first,
            positions: self.positions(id),
            prefix: match hop.needs_prefill {
                true => r.arrival.prefix.clone(),
                false => Vec::new(),
            },
        };
        let host = r.arrival.host;
        let back = self.now + self.link_us(host, engine, 0.0);
        if self.engines[engine].fault == Fault::Crashed {
            self.push(
                back,
                Event::Answer {
                    request: id,
                    attempt,
                    end: StepEnd::Failed,
                },
            );
        } else if self.engines[engine].accept(step) {
            self.start_batch(engine);
        } else {
            self.push(
                back,
                Event::Answer {
                    request: id,
                    attempt,
                    end: StepEnd::Busy,
                },
            );
        }
    }

    fn start_batch(&mut self, engine: usize) {
        if let Some(us) = self.engines[engine].start_batch() {
            let incarnation = self.engines[engine].incarnation;
            self.push(
                self.now + us.max(1),
                Event::BatchDone {
                    engine,
                    incarnation,
                },
            );
        }
    }

    fn batch_done(&mut self, engine: usize, incarnation: u64) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        if self.engines[engine].fault == Fault::Frozen {
            // A frozen engine returns its finished steps when the fault ends.
            let unfrozen_at = self
                .fault_windows
                .iter()
                .find(|t| t.engine == engine)
                .map_or(0, |t| t.until);
            self.push(
                unfrozen_at + 1,
                Event::BatchDone {
                    engine,
                    incarnation,
                },
            );
            return;
        }
        for step in std::mem::take(&mut self.engines[engine].running) {
            let r = &self.requests[step.request];
            let is_relayed = r.hop_index + 1 < r.hops.len();
            let bytes = if is_relayed {
                f64::from(step.positions) * 8192.0
            } else {
                0.0
            };
            let at = self.now + self.link_us(r.arrival.host, engine, bytes);
            let (request, attempt) = (step.request, step.attempt);
            self.push(
                at,
                Event::Answer {
                    request,
                    attempt,
                    end: StepEnd::Done,
                },
            );
        }
        self.start_batch(engine);
    }

    fn answer(&mut self, id: usize, attempt: u32, end: StepEnd) {
        let r = &self.requests[id];
        if r.done || r.attempt != attempt {
            return;
        }
        let hop = &r.hops[r.hop_index];
        let endpoint = self.engines[hop.engine].listed.id.clone();
        let work = StepSize {
            layers: hop.layers,
            positions: self.positions(id),
        };
        let outcome = match end {
            StepEnd::Done => Outcome::Ok {
                latency: Duration::from_micros(self.now - r.sent),
            },
            StepEnd::Busy => Outcome::Busy,
            StepEnd::Failed => Outcome::Failed,
        };
        let (host, now) = (r.arrival.host, self.time());
        self.hosts[host].ended(now, &endpoint, outcome, work);
        match end {
            StepEnd::Done => self.advance(id),
            StepEnd::Busy | StepEnd::Failed => self.replace_engine(id),
        }
    }

    fn advance(&mut self, id: usize) {
        let r = &mut self.requests[id];
        let hop_index = r.hop_index;
        r.hops[hop_index].needs_prefill = false;
        r.hop_index += 1;
        if r.hop_index < r.hops.len() {
            return self.dispatch(id);
        }
        r.hop_index = 0;
        let waited = self.now - r.last_token;
        match r.generated {
            0 => {
                r.first_token_us = waited;
                self.results.first_token.saturating_record(waited);
            }
            _ => self.results.between_tokens.saturating_record(waited),
        }
        r.last_token = self.now;
        r.generated += 1;
        match r.generated == r.arrival.tokens {
            true => self.finish(id),
            false => self.dispatch(id),
        }
    }

    fn finish(&mut self, id: usize) {
        let r = &mut self.requests[id];
        r.done = true;
        let in_time =
            r.first_token_us <= MAX_FIRST_TOKEN_US && self.now - r.arrival.at <= MAX_REQUEST_US;
        match in_time {
            true => self.results.good += 1,
            false => self.results.late += 1,
        }
        self.end_session(id);
    }

    fn end_session(&mut self, id: usize) {
        let now = self.time();
        let r = &self.requests[id];
        for hop in &r.hops {
            self.engines[hop.engine].end_session(id);
            let endpoint = self.engines[hop.engine].listed.id.clone();
            self.hosts[r.arrival.host].released(now, &endpoint);
        }
    }

    /// Replaces the engine of the current hop by newly chosen ones, or fails the request.
    fn replace_engine(&mut self, id: usize) {
        let now = self.time();
        let r = &mut self.requests[id];
        r.retries += 1;
        r.attempt += 1;
        self.results.retries += 1;
        let hop = &r.hops[r.hop_index];
        let (layers, engine, host) = (hop.layers, hop.engine, r.arrival.host);
        let failed_endpoint = self.engines[engine].listed.id.clone();
        r.avoid.push(failed_endpoint.clone());
        let found = match r.retries <= MAX_RETRIES {
            true => self.choose(id, layers),
            false => None,
        };
        self.engines[engine].end_session(id);
        match found {
            Some(hops) => {
                self.hosts[host].released(now, &failed_endpoint);
                let r = &mut self.requests[id];
                r.hops.splice(r.hop_index..=r.hop_index, hops);
                self.dispatch(id);
            }
            None => {
                self.requests[id].done = true;
                self.results.failed += 1;
                self.end_session(id);
            }
        }
    }

    fn collect_reports(&mut self) {
        let live = self
            .engines
            .iter_mut()
            .filter(|e| matches!(e.fault, Fault::None | Fault::Slow));
        let reports = live.map(|e| (e.report(), e.take_events())).collect();
        self.reports.push(reports);
        self.push(
            self.now + REPORT_LAG_US,
            Event::DeliverReports(self.reports.len() - 1),
        );
    }

    fn deliver_reports(&mut self, i: usize) {
        let now = self.time();
        for (report, events) in std::mem::take(&mut self.reports[i]) {
            let report = wire::LoadReport {
                age_ms: (REPORT_LAG_US / 1_000) as u32,
                ..report
            };
            let endpoint = EndpointId::try_from(report.endpoint.as_str()).expect("a name");
            for host in &mut self.hosts {
                host.apply_load_report(now, &report);
                host.apply_cache_events(now, &endpoint, &events);
            }
        }
    }

    fn start_fault(&mut self, i: usize) {
        let FaultWindow { engine, fault, .. } = self.fault_windows[i];
        if fault != Fault::Crashed {
            self.engines[engine].fault = fault;
            return;
        }
        for step in self.engines[engine].crash() {
            let (request, attempt) = (step.request, step.attempt);
            self.push(
                self.now + 500,
                Event::Answer {
                    request,
                    attempt,
                    end: StepEnd::Failed,
                },
            );
        }
    }
}
