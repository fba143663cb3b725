//! Two hosts that record calls under one key, the table, and the faults between them.

use std::{fmt, time::Duration};

use dragonflyrill_catalogue::Name;
use dragonflyrill_delivery::record::{
    Action, Config, Outcome, Permit, Record, RecordState, RecordTicket, Recorder, TxnId,
};
use dragonflyrill_protocol::{HostId, HostRef, found::CallAnswer};
use dragonflyrill_store::{
    PlatformError,
    table::{Condition, KeyRange, Op, Row, TableCall, Txn, TxnOutcome, memory::MemoryTable},
};

use super::explore::System;

const KEY: &str = "w/1";
const TERM: Duration = Duration::from_millis(10);
const BUCKET: Duration = Duration::from_secs(100);
/// Ticks that are due later than this are not simulated.
const MAX_TICK_WAIT: Duration = Duration::from_secs(60);

/// A check that is removed, to show that the search detects the violation that the check prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutant {
    None,
    /// Calls are dispatched even if their permit has expired.
    TermIgnored,
    /// Every existing record appears to be abandoned.
    BegunTakenOver,
    /// A transaction without an answer is treated as successful.
    UnknownIsDone,
    /// A transaction without an answer is treated as never sent.
    UnknownIsNotSent,
    /// Inserts have no conditions.
    NoConditions,
    /// Inserts check only their own bucket.
    OneBucket,
    /// Both hosts use the same write ids.
    SameWriteIds,
    /// The replacement of an abandoned record does not depend on the revision that was read.
    BlindTakeover,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Setup {
    /// The total number of times that the call arrives, at either host.
    pub(crate) calls: u32,
    pub(crate) faults: u32,
    /// The time by which the second host's wall clock is behind that of the first.
    pub(crate) skew: Duration,
    /// The number of times that time may pass beyond terms and buckets and old records are deleted.
    pub(crate) trims: u32,
    pub(crate) mutant: Mutant,
    /// Whether a call that is dispatched twice is the only violation to report.
    pub(crate) only_double_dispatch: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Choice {
    Call(usize),
    Tick(usize),
    /// The transaction takes effect and is answered.
    Run(usize),
    /// The transaction takes effect; its answer is lost.
    LoseAnswer(usize),
    /// There is no answer; the transaction may take effect later.
    Delay(usize),
    /// A delayed transaction takes effect.
    RunLate(usize),
    /// The transaction can't be sent.
    Fail(usize),
    Dispatch(usize, usize),
    Finish(usize, usize),
    Crash(usize),
    /// All hosts are paused beyond every term.
    PassTerm,
    /// All hosts are paused until all records are old, and the records are deleted.
    PassBuckets,
}

#[derive(Debug)]
enum CallState {
    Pending,
    Recorded(Option<Permit>),
    Running,
    /// Refused, answered, abandoned or already recorded.
    Ended,
}

#[derive(Debug)]
struct Call {
    ticket: RecordTicket,
    state: CallState,
    dispatched: bool,
    not_run: bool,
}

#[derive(Debug)]
struct Host {
    recorder: Recorder,
    incarnation: u64,
    calls: Vec<Call>,
}

#[derive(Debug)]
struct SentTxn {
    host: usize,
    incarnation: u64,
    id: TxnId,
    call: TableCall,
}

pub(crate) struct Records {
    setup: Setup,
    path: Vec<Choice>,
    calls: u32,
    faults: u32,
    trims: u32,
    now: Duration,
    hosts: Vec<Host>,
    table: MemoryTable,
    net: Vec<SentTxn>,
    delayed: Vec<TableCall>,
    /// The number of dispatches since the records were last deleted.
    dispatches: u32,
    ever_dispatched: bool,
    crashed: bool,
    violation: Option<&'static str>,
}

/// Permits can't be cloned, so a clone is made by applying the same steps again.
impl Clone for Records {
    fn clone(&self) -> Self {
        let mut copy = Self::new(self.setup);
        for choice in &self.path {
            copy.apply(*choice);
        }
        copy
    }
}

/// Leaves out the path to the state, which is not part of the state.
impl fmt::Debug for Records {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            setup: _,
            path: _,
            calls,
            faults,
            trims,
            now,
            hosts,
            table,
            net,
            delayed,
            dispatches,
            ever_dispatched,
            crashed,
            violation,
        } = self;
        write!(f, "{calls} {faults} {trims} {now:?} {hosts:?} {table:?} ")?;
        write!(
            f,
            "{net:?} {delayed:?} {dispatches} {ever_dispatched} {crashed} {violation:?}"
        )
    }
}

fn recorder(setup: &Setup, host: usize, incarnation: u64) -> Recorder {
    let name = match setup.mutant {
        Mutant::SameWriteIds => "h0".to_owned(),
        _ => format!("h{host}"),
    };
    let id = HostId(Name::try_from(name).expect("a name"));
    let skew = setup.skew * u32::from(host == 0);
    Recorder::new(Config {
        prefix: String::new(),
        bucket_length: BUCKET,
        term: TERM,
        batch_interval: Duration::from_millis(1),
        answer_timeout: Duration::from_secs(10_000),
        max_insert_sends: 2,
        max_mark_attempts: 5,
        unavailable_backoff: Duration::ZERO,
        ..Config::new(HostRef { id, incarnation }, BUCKET * 10 + BUCKET / 2 + skew)
    })
}

impl Records {
    pub(crate) fn new(setup: Setup) -> Self {
        let hosts = (0..2).map(|host| Host {
            recorder: recorder(&setup, host, 1),
            incarnation: 1,
            calls: Vec::new(),
        });
        Self {
            setup,
            path: Vec::new(),
            calls: setup.calls,
            faults: setup.faults,
            trims: setup.trims,
            now: Duration::ZERO,
            hosts: hosts.collect(),
            table: MemoryTable::default(),
            net: Vec::new(),
            delayed: Vec::new(),
            dispatches: 0,
            ever_dispatched: false,
            crashed: false,
            violation: None,
        }
    }

    fn apply(&mut self, choice: Choice) {
        self.path.push(choice);
        match choice {
            Choice::Call(host) => {
                self.calls -= 1;
                self.call(host);
            }
            Choice::Tick(host) => {
                let due = self.hosts[host].recorder.next_tick().unwrap_or(self.now);
                self.now = self.now.max(due);
                let mut actions = Vec::new();
                self.hosts[host].recorder.tick(self.now, &mut actions);
                self.carry_out(host, actions);
            }
            Choice::Run(i) => {
                let sent = self.net.remove(i);
                let outcome = self.table.call(&sent.call);
                self.answer(sent, Ok(outcome));
            }
            Choice::LoseAnswer(i) => {
                self.faults -= 1;
                let sent = self.net.remove(i);
                self.table.call(&sent.call);
                self.answer_unknown(sent);
            }
            Choice::Delay(i) => {
                self.faults -= 1;
                let sent = self.net.remove(i);
                self.delayed.push(sent.call.clone());
                self.answer_unknown(sent);
            }
            Choice::RunLate(i) => {
                let call = self.delayed.remove(i);
                self.table.call(&call);
            }
            Choice::Fail(i) => {
                self.faults -= 1;
                let sent = self.net.remove(i);
                self.answer(sent, Err(PlatformError::NotSent("no connection".into())));
            }
            Choice::Dispatch(host, call) => self.dispatch(host, call),
            Choice::Finish(host, call) => self.finish(host, call),
            Choice::Crash(host) => {
                self.faults -= 1;
                self.crash(host);
            }
            Choice::PassTerm => {
                self.faults -= 1;
                self.now += TERM;
            }
            Choice::PassBuckets => {
                self.trims -= 1;
                self.now += BUCKET * 4;
                // A delayed transaction is assumed never to take effect this long after it was
                // sent.
                self.delayed.clear();
                let mut actions = Vec::new();
                self.hosts[1].recorder.trim(self.now, &mut actions);
                for action in actions {
                    if let Action::CallTable { call, .. } = action {
                        self.table.call(&call);
                    }
                }
                if self.table.keys().next().is_none() {
                    self.dispatches = 0;
                }
            }
        }
    }

    fn call(&mut self, host: usize) {
        let mut actions = Vec::new();
        let recorder = &mut self.hosts[host].recorder;
        let ticket = recorder.begin(self.now, KEY, 1, &mut actions);
        self.hosts[host].calls.push(Call {
            ticket,
            state: CallState::Pending,
            dispatched: false,
            not_run: false,
        });
        self.carry_out(host, actions);
    }

    fn carry_out(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::CallTable { id, call } => self.send(host, id, call),
                Action::Recorded { ticket, permit } => {
                    let call = self.pending_call(host, ticket);
                    call.state = CallState::Recorded(Some(permit));
                }
                Action::Refused { ticket, .. } => {
                    let call = self.pending_call(host, ticket);
                    call.state = CallState::Ended;
                    call.not_run = true;
                }
                Action::AlreadyRecorded { ticket, record } => {
                    let ran = matches!(record.state, RecordState::Done { .. });
                    if ran && !self.ever_dispatched {
                        self.violation = Some("a call that never ran has an answer");
                    }
                    if record.state == RecordState::Abandoned {
                        self.violation = Some("an abandoned record is returned to a caller");
                    }
                    self.pending_call(host, ticket).state = CallState::Ended;
                }
            }
        }
    }

    fn pending_call(&mut self, host: usize, ticket: RecordTicket) -> &mut Call {
        let calls = &mut self.hosts[host].calls;
        let at = calls.iter().position(|c| c.ticket == ticket);
        let call = &mut calls[at.expect("the ticket of a call")];
        if !matches!(call.state, CallState::Pending) {
            self.violation = Some("a call got two results");
        }
        call
    }

    fn send(&mut self, host: usize, id: TxnId, mut call: TableCall) {
        if let TableCall::Write(txn) = &mut call {
            self.mutate(txn);
        }
        let incarnation = self.hosts[host].incarnation;
        self.net.push(SentTxn {
            host,
            incarnation,
            id,
            call,
        });
    }

    fn mutate(&self, txn: &mut Txn) {
        match self.setup.mutant {
            Mutant::NoConditions => txn.conditions.clear(),
            Mutant::OneBucket => {
                let puts = txn.ops.iter().filter_map(|op| match op {
                    Op::Put { key, .. } => Some(key.clone()),
                    _ => None,
                });
                let puts: Vec<String> = puts.collect();
                txn.conditions.retain(|condition| match condition {
                    Condition::Absent(key) => puts.contains(key),
                    Condition::Unchanged { .. } => true,
                });
            }
            Mutant::BlindTakeover => txn
                .conditions
                .retain(|condition| matches!(condition, Condition::Absent(_))),
            _ => {}
        }
    }

    fn answer(&mut self, sent: SentTxn, mut result: Result<TxnOutcome, PlatformError>) {
        let host = &mut self.hosts[sent.host];
        if host.incarnation != sent.incarnation {
            return;
        }
        if let (Mutant::BegunTakenOver, Ok(outcome)) = (self.setup.mutant, &mut result) {
            outcome.rows.iter_mut().flatten().for_each(set_abandoned);
        }
        let mut actions = Vec::new();
        host.recorder
            .on_table_result(self.now, sent.id, result, &mut actions);
        self.carry_out(sent.host, actions);
    }

    fn answer_unknown(&mut self, sent: SentTxn) {
        let result = match self.setup.mutant {
            Mutant::UnknownIsDone => Ok(TxnOutcome {
                succeeded: true,
                ..TxnOutcome::default()
            }),
            Mutant::UnknownIsNotSent => Err(PlatformError::NotSent("no connection".into())),
            _ => Err(PlatformError::Unknown("no answer".into())),
        };
        self.answer(sent, result);
    }

    fn dispatch(&mut self, host: usize, i: usize) {
        let (now, mutant) = (self.now, self.setup.mutant);
        let host = &mut self.hosts[host];
        let call = &mut host.calls[i];
        let CallState::Recorded(permit) = &mut call.state else {
            return;
        };
        let checked = permit.take().map(|permit| permit.consume(now));
        match checked {
            Some(Err(expired)) if mutant != Mutant::TermIgnored => {
                host.recorder.abandon(now, expired);
                call.state = CallState::Ended;
                call.not_run = true;
            }
            _ => {
                call.state = CallState::Running;
                call.dispatched = true;
                self.dispatches += 1;
                self.ever_dispatched = true;
            }
        }
    }

    fn finish(&mut self, host: usize, i: usize) {
        let host = &mut self.hosts[host];
        host.calls[i].state = CallState::Ended;
        let answer = CallAnswer {
            status: 200,
            content_type: String::new(),
            body: Vec::new(),
        };
        let ticket = host.calls[i].ticket;
        host.recorder
            .finish(self.now, ticket, Outcome::Answered(answer));
    }

    fn crash(&mut self, host: usize) {
        self.crashed = true;
        let incarnation = self.hosts[host].incarnation + 1;
        self.hosts[host] = Host {
            recorder: recorder(&self.setup, host, incarnation),
            incarnation,
            calls: Vec::new(),
        };
    }

    fn choices(&self) -> Vec<Choice> {
        let mut all = Vec::new();
        for i in 0..self.net.len() {
            all.push(Choice::Run(i));
            if self.faults > 0 {
                all.extend([Choice::LoseAnswer(i), Choice::Delay(i), Choice::Fail(i)]);
            }
        }
        all.extend((0..self.delayed.len()).map(Choice::RunLate));
        for (h, host) in self.hosts.iter().enumerate() {
            if self.calls > 0 {
                all.push(Choice::Call(h));
            }
            let due = host.recorder.next_tick();
            if due.is_some_and(|due| due <= self.now + MAX_TICK_WAIT) {
                all.push(Choice::Tick(h));
            }
            for (i, call) in host.calls.iter().enumerate() {
                match call.state {
                    CallState::Recorded(_) => all.push(Choice::Dispatch(h, i)),
                    CallState::Running => all.push(Choice::Finish(h, i)),
                    CallState::Pending | CallState::Ended => {}
                }
            }
            if self.faults > 0 && !host.calls.is_empty() {
                all.push(Choice::Crash(h));
            }
        }
        if self.faults > 0 {
            all.push(Choice::PassTerm);
        }
        if self.trims > 0 {
            all.push(Choice::PassBuckets);
        }
        all
    }
}

fn set_abandoned(row: &mut Row) {
    if let Ok(record) = serde_json::from_slice::<Record>(&row.value) {
        let state = RecordState::Abandoned;
        let record = Record { state, ..record };
        row.value = serde_json::to_vec(&record).expect("a record");
    }
}

impl System for Records {
    fn next_steps(&self) -> Vec<(String, Self)> {
        let choices = self.choices().into_iter();
        let next = choices.map(|choice| {
            let mut world = self.clone();
            world.apply(choice);
            (format!("{choice:?}"), world)
        });
        next.collect()
    }

    fn violation(&self) -> Option<String> {
        if self.dispatches > 1 {
            return Some("a call is dispatched twice".to_owned());
        }
        if self.setup.only_double_dispatch {
            return None;
        }
        if let Some(violation) = self.violation {
            return Some(violation.to_owned());
        }
        let calls: Vec<&Call> = self.hosts.iter().flat_map(|host| &host.calls).collect();
        if calls.iter().any(|call| call.not_run && call.dispatched) {
            return Some("a dispatched call is reported as not run".to_owned());
        }
        let ended = calls
            .iter()
            .all(|call| matches!(call.state, CallState::Ended));
        let waiting = calls
            .iter()
            .any(|call| matches!(call.state, CallState::Pending));
        let due = |host: &Host| {
            host.recorder
                .next_tick()
                .is_some_and(|t| t <= self.now + MAX_TICK_WAIT)
        };
        let idle = self.net.is_empty() && self.delayed.is_empty() && !self.hosts.iter().any(due);
        let begun = self
            .table
            .range(&KeyRange::prefix("0"), 0)
            .rows
            .iter()
            .any(|row| {
                let record = serde_json::from_slice::<Record>(&row.value);
                record.is_ok_and(|record| record.state == RecordState::Begun)
            });
        if idle && ended && begun && !self.crashed {
            return Some("a key stays in state begun although its writer did not crash".to_owned());
        }
        if idle && waiting {
            return Some("a call is never resolved".to_owned());
        }
        None
    }
}
