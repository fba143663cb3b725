//! Group commit over a simulated table: transactions used and latency added, by batch interval and
//! call rate.
//!
//! Time is simulated and the random generator is seeded, so the figures are the same in every run.
//! The table is a queue that processes [`TABLE_TXNS_PER_SECOND`] transactions a second, behind a
//! fixed round trip. Calls arrive at one host with exponentially distributed gaps. Each call ends a
//! fixed time after its permit, and its end update shares a transaction with later inserts.

use std::{collections::BTreeMap, time::Duration};

use dragonflyrill_catalogue::Name;
use dragonflyrill_delivery::record::{Action, Config, Outcome, RecordTicket, Recorder, TxnId};
use dragonflyrill_protocol::{HostId, HostRef, found::CallAnswer};
use dragonflyrill_store::table::{Op, TableCall, TxnOutcome};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// The number of transactions that the table processes per second.
const TABLE_TXNS_PER_SECOND: u32 = 400;
/// The round-trip time to the table, without the time in its queue.
const ROUND_TRIP: Duration = Duration::from_millis(1);
/// The time from the permit of a call to its end.
const CALL_DURATION: Duration = Duration::from_millis(20);
/// The simulated duration of a run.
const RUN_DURATION: Duration = Duration::from_secs(30);

#[derive(Debug)]
enum TimedEvent {
    Call,
    Table(TxnId),
    End(RecordTicket),
}

struct Sim {
    recorder: Recorder,
    rng: Pcg64,
    rate: f64,
    /// The scheduled events, by time and insertion order.
    events: BTreeMap<(Duration, u64), TimedEvent>,
    seq: u64,
    table_free_at: Duration,
    started_at: BTreeMap<RecordTicket, Duration>,
    latency: Histogram<u64>,
    calls: u64,
    recorded: u64,
    refused: u64,
    txns: u64,
    puts: u64,
}

impl Sim {
    fn new(rate: u32, batch_interval: Duration) -> Self {
        let id = HostId(Name::try_from("host").expect("a name"));
        let host = HostRef { id, incarnation: 1 };
        let cfg = Config {
            batch_interval,
            ..Config::new(host, Duration::from_secs(1_000_000))
        };
        Self {
            recorder: Recorder::new(cfg),
            rng: Pcg64::seed_from_u64(4),
            rate: f64::from(rate),
            events: BTreeMap::new(),
            seq: 0,
            table_free_at: Duration::ZERO,
            started_at: BTreeMap::new(),
            latency: Histogram::new(3).expect("a histogram"),
            calls: 0,
            recorded: 0,
            refused: 0,
            txns: 0,
            puts: 0,
        }
    }

    fn schedule(&mut self, time: Duration, event: TimedEvent) {
        self.events.insert((time, self.seq), event);
        self.seq += 1;
    }

    fn next_call(&mut self, now: Duration) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate;
        self.schedule(now + Duration::from_secs_f64(gap), TimedEvent::Call);
    }

    fn run(&mut self) {
        self.next_call(Duration::ZERO);
        loop {
            let tick = self.recorder.next_tick();
            let next = self.events.first_key_value().map(|((time, _), _)| *time);
            let Some(next) = next else { return };
            let mut actions = Vec::new();
            let now = match tick.filter(|tick| *tick <= next) {
                Some(tick) => {
                    self.recorder.tick(tick, &mut actions);
                    tick
                }
                None => {
                    self.handle_next(&mut actions);
                    next
                }
            };
            if now > RUN_DURATION {
                return;
            }
            self.carry_out(now, actions);
        }
    }

    fn handle_next(&mut self, actions: &mut Vec<Action>) {
        let Some(((now, _), event)) = self.events.pop_first() else {
            return;
        };
        match event {
            TimedEvent::Call => {
                let key = format!("workspace/{:016x}", self.calls);
                let ticket = self.recorder.begin(now, &key, 1, actions);
                self.calls += 1;
                self.started_at.insert(ticket, now);
                self.next_call(now);
            }
            TimedEvent::Table(id) => {
                self.recorder
                    .on_table_result(now, id, Ok(TxnOutcome::done(0)), actions);
            }
            TimedEvent::End(ticket) => {
                let answer = CallAnswer {
                    status: 200,
                    content_type: "application/json".to_owned(),
                    body: b"{}".to_vec(),
                };
                self.recorder.finish(now, ticket, Outcome::Answered(answer));
            }
        }
    }

    fn carry_out(&mut self, now: Duration, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::CallTable { id, call } => {
                    self.txns += 1;
                    let is_put = |op: &&Op| matches!(op, Op::Put { .. });
                    if let TableCall::Write(txn) = &call {
                        self.puts += txn.ops.iter().filter(is_put).count() as u64;
                    }
                    self.table_free_at = self.table_free_at.max(now)
                        + Duration::from_secs(1) / TABLE_TXNS_PER_SECOND;
                    self.schedule(self.table_free_at + ROUND_TRIP, TimedEvent::Table(id));
                }
                Action::Recorded { ticket, .. } => {
                    let started_at = self.started_at.remove(&ticket).unwrap_or(now);
                    let micros = (now - started_at).as_micros() as u64;
                    self.latency
                        .record(micros)
                        .expect("the histogram resizes itself");
                    self.recorded += 1;
                    self.schedule(now + CALL_DURATION, TimedEvent::End(ticket));
                }
                Action::Refused { .. } => self.refused += 1,
                Action::AlreadyRecorded { .. } => {}
            }
        }
    }

    fn print_row(&self, rate: u32, interval: Duration) {
        let seconds = RUN_DURATION.as_secs_f64();
        let ms = |q| self.latency.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "| {rate} | {} | {:.0} | {:.1} | {:.0} | {:.1} | {:.1} | {:.1} |",
            interval.as_millis(),
            self.txns as f64 / seconds,
            self.puts as f64 / self.txns as f64,
            self.recorded as f64 / seconds,
            ms(0.5),
            ms(0.99),
            100.0 * self.refused as f64 / self.calls as f64,
        );
    }
}

fn main() {
    println!(
        "| calls/s | interval ms | txns/s | puts/txn | recorded/s | p50 ms | p99 ms | refused % |"
    );
    println!("|--:|--:|--:|--:|--:|--:|--:|--:|");
    for rate in [50, 200, 500, 1000, 2000, 4000, 8000] {
        for interval in [0, 2, 5, 10, 20, 50] {
            let interval = Duration::from_millis(interval);
            let mut sim = Sim::new(rate, interval);
            sim.run();
            sim.print_row(rate, interval);
        }
    }
}
