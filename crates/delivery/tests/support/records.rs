//! Two hosts that record calls under one key, the table, and what gets lost between them.

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
/// Ticks further away are never waited for.
const SOON: Duration = Duration::from_secs(60);

/// A check that is taken away, to show that the search finds what it prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutant {
    None,
    /// Calls are dispatched whether or not their permit is still good.
    TermIgnored,
    /// A record begun by another seems abandoned.
    BegunTakenOver,
    /// A write without an answer counts as done.
    UnknownIsDone,
    /// A write without an answer counts as never sent.
    UnknownIsNotSent,
    /// Inserts have no conditions.
    NoConditions,
    /// Inserts look into their own bucket only.
    OneBucket,
    /// Both hosts name their writes alike.
    SameWriteIds,
    /// Taking over a record does not depend on the version that was read.
    BlindTakeover,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Setup {
    /// How many times the call comes, at either host.
    pub(crate) calls: u32,
    pub(crate) faults: u32,
    /// By how much the second host's wall clock is behind.
    pub(crate) skew: Duration,
    /// Whether time may pass beyond terms and buckets, and records be trimmed.
    pub(crate) trims: u32,
    pub(crate) mutant: Mutant,
    /// Only a call that is dispatched twice counts as broken.
    pub(crate) twice_only: bool,
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
    /// All hosts are paused until the present records are old, and the records are trimmed.
    PassBuckets,
}

#[derive(Debug)]
enum Stand {
    Asked,
    Recorded(Option<Permit>),
    Running,
    /// Refused, answered or forgotten.
    Over,
}

#[derive(Debug)]
struct Call {
    ticket: RecordTicket,
    stand: Stand,
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
struct Sent {
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
    net: Vec<Sent>,
    late: Vec<TableCall>,
    /// Dispatches since the record was last trimmed.
    dispatches: u32,
    ever_dispatched: bool,
    crashed: bool,
    fault: Option<&'static str>,
}

/// Permits can't be copied, so a copy of the world takes the same way again.
impl Clone for Records {
    fn clone(&self) -> Self {
        let mut copy = Self::new(self.setup);
        for choice in &self.path {
            copy.take(*choice);
        }
        copy
    }
}

/// The way to a state is not part of it.
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
            late,
            dispatches,
            ever_dispatched,
            crashed,
            fault,
        } = self;
        write!(f, "{calls} {faults} {trims} {now:?} {hosts:?} {table:?} ")?;
        write!(
            f,
            "{net:?} {late:?} {dispatches} {ever_dispatched} {crashed} {fault:?}"
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
            late: Vec::new(),
            dispatches: 0,
            ever_dispatched: false,
            crashed: false,
            fault: None,
        }
    }

    fn take(&mut self, choice: Choice) {
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
                self.unknown(sent);
            }
            Choice::Delay(i) => {
                self.faults -= 1;
                let sent = self.net.remove(i);
                self.late.push(sent.call.clone());
                self.unknown(sent);
            }
            Choice::RunLate(i) => {
                let call = self.late.remove(i);
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
                // The bound on lost writes: none takes effect buckets later.
                self.late.clear();
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
            stand: Stand::Asked,
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
                    let call = self.asked(host, ticket);
                    call.stand = Stand::Recorded(Some(permit));
                }
                Action::Refused { ticket, .. } => {
                    let call = self.asked(host, ticket);
                    call.stand = Stand::Over;
                    call.not_run = true;
                }
                Action::AlreadyRecorded { ticket, record } => {
                    let ran = matches!(record.state, RecordState::Done { .. });
                    if ran && !self.ever_dispatched {
                        self.fault = Some("an answer is known of a call that never ran");
                    }
                    if record.state == RecordState::Abandoned {
                        self.fault = Some("an abandoned record is shown to a caller");
                    }
                    self.asked(host, ticket).stand = Stand::Over;
                }
            }
        }
    }

    fn asked(&mut self, host: usize, ticket: RecordTicket) -> &mut Call {
        let calls = &mut self.hosts[host].calls;
        let at = calls.iter().position(|c| c.ticket == ticket);
        let call = &mut calls[at.expect("the ticket of a call")];
        if !matches!(call.stand, Stand::Asked) {
            self.fault = Some("a call got two verdicts");
        }
        call
    }

    fn send(&mut self, host: usize, id: TxnId, mut call: TableCall) {
        if let TableCall::Write(txn) = &mut call {
            self.mutate(txn);
        }
        let incarnation = self.hosts[host].incarnation;
        self.net.push(Sent {
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

    fn answer(&mut self, sent: Sent, mut result: Result<TxnOutcome, PlatformError>) {
        let host = &mut self.hosts[sent.host];
        if host.incarnation != sent.incarnation {
            return;
        }
        if let (Mutant::BegunTakenOver, Ok(outcome)) = (self.setup.mutant, &mut result) {
            outcome.rows.iter_mut().flatten().for_each(seems_abandoned);
        }
        let mut actions = Vec::new();
        host.recorder
            .on_table_result(self.now, sent.id, result, &mut actions);
        self.carry_out(sent.host, actions);
    }

    fn unknown(&mut self, sent: Sent) {
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
        let Stand::Recorded(permit) = &mut call.stand else {
            return;
        };
        let checked = permit.take().map(|permit| permit.consume(now));
        match checked {
            Some(Err(expired)) if mutant != Mutant::TermIgnored => {
                host.recorder.abandon(now, expired);
                call.stand = Stand::Over;
                call.not_run = true;
            }
            _ => {
                call.stand = Stand::Running;
                call.dispatched = true;
                self.dispatches += 1;
                self.ever_dispatched = true;
            }
        }
    }

    fn finish(&mut self, host: usize, i: usize) {
        let host = &mut self.hosts[host];
        host.calls[i].stand = Stand::Over;
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
        all.extend((0..self.late.len()).map(Choice::RunLate));
        for (h, host) in self.hosts.iter().enumerate() {
            if self.calls > 0 {
                all.push(Choice::Call(h));
            }
            let due = host.recorder.next_tick();
            if due.is_some_and(|due| due <= self.now + SOON) {
                all.push(Choice::Tick(h));
            }
            for (i, call) in host.calls.iter().enumerate() {
                match call.stand {
                    Stand::Recorded(_) => all.push(Choice::Dispatch(h, i)),
                    Stand::Running => all.push(Choice::Finish(h, i)),
                    Stand::Asked | Stand::Over => {}
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

fn seems_abandoned(row: &mut Row) {
    if let Ok(record) = serde_json::from_slice::<Record>(&row.value) {
        let state = RecordState::Abandoned;
        let record = Record { state, ..record };
        row.value = serde_json::to_vec(&record).expect("a record");
    }
}

impl System for Records {
    fn next(&self) -> Vec<(String, Self)> {
        let choices = self.choices().into_iter();
        let next = choices.map(|choice| {
            let mut world = self.clone();
            world.take(choice);
            (format!("{choice:?}"), world)
        });
        next.collect()
    }

    fn broken(&self) -> Option<String> {
        if self.dispatches > 1 {
            return Some("a call is dispatched twice".to_owned());
        }
        if self.setup.twice_only {
            return None;
        }
        if let Some(fault) = self.fault {
            return Some(fault.to_owned());
        }
        let calls: Vec<&Call> = self.hosts.iter().flat_map(|host| &host.calls).collect();
        if calls.iter().any(|call| call.not_run && call.dispatched) {
            return Some("not run is said of a dispatched call".to_owned());
        }
        let over = calls.iter().all(|call| matches!(call.stand, Stand::Over));
        let asked = calls.iter().any(|call| matches!(call.stand, Stand::Asked));
        let due = |host: &Host| {
            host.recorder
                .next_tick()
                .is_some_and(|t| t <= self.now + SOON)
        };
        let idle = self.net.is_empty() && self.late.is_empty() && !self.hosts.iter().any(due);
        let begun = self
            .table
            .range(&KeyRange::prefix("0"), 0)
            .rows
            .iter()
            .any(|row| {
                let record = serde_json::from_slice::<Record>(&row.value);
                record.is_ok_and(|record| record.state == RecordState::Begun)
            });
        if idle && over && begun && !self.crashed {
            return Some("a key stays begun though its writer lives".to_owned());
        }
        if idle && asked {
            return Some("a call waits for ever".to_owned());
        }
        None
    }
}
