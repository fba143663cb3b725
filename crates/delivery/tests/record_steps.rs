//! Single decisions of a recorder: batching, refusals, existing records, expired permits and
//! deletion of old records.

mod support;

use std::time::Duration;

use dragonflyrill_catalogue::Name;
use dragonflyrill_delivery::{
    error::NotRunKind,
    record::{Action, Config, Outcome, Permit, Record, RecordState, RecordTicket, Recorder},
};
use dragonflyrill_protocol::{HostId, HostRef, found::CallAnswer};
use dragonflyrill_store::{
    PlatformError,
    table::{MAX_TXN_ENTRIES, TableCall, Txn, memory::MemoryTable},
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn config(host: &str) -> Config {
    let id = HostId(Name::try_from(host).expect("a name"));
    let host = HostRef { id, incarnation: 1 };
    Config::new(host, Duration::from_secs(1_000_000))
}

/// Runs all transactions of `actions` and of the actions that follow from their results, and
/// returns the other actions.
fn run_transactions(
    recorder: &mut Recorder,
    table: &mut MemoryTable,
    now: Duration,
    actions: Vec<Action>,
) -> Vec<Action> {
    let mut queue = actions;
    let mut rest = Vec::new();
    while let Some(action) = queue.pop() {
        match action {
            Action::CallTable { id, call } => {
                recorder.on_table_result(now, id, Ok(table.call(&call)), &mut queue);
            }
            other => rest.push(other),
        }
    }
    rest
}

fn tick(recorder: &mut Recorder, table: &mut MemoryTable, now: Duration) -> Vec<Action> {
    let mut actions = Vec::new();
    recorder.tick(now, &mut actions);
    run_transactions(recorder, table, now, actions)
}

fn begin(recorder: &mut Recorder, now: Duration, key: &str) -> (RecordTicket, Vec<Action>) {
    let mut actions = Vec::new();
    let ticket = recorder.begin(now, key, 1, &mut actions);
    (ticket, actions)
}

fn only_txn(actions: Vec<Action>) -> (dragonflyrill_delivery::record::TxnId, Txn) {
    let mut txns = actions.into_iter().filter_map(|action| match action {
        Action::CallTable {
            id,
            call: TableCall::Write(txn),
        } => Some((id, txn)),
        _ => None,
    });
    txns.next().expect("a transaction")
}

fn permits(actions: Vec<Action>) -> Vec<Permit> {
    let permits = actions.into_iter().filter_map(|action| match action {
        Action::Recorded { permit, .. } => Some(permit),
        _ => None,
    });
    permits.collect()
}

fn answer() -> CallAnswer {
    CallAnswer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: b"no. 7".to_vec(),
    }
}

fn known(actions: &[Action]) -> Option<&Record> {
    actions.iter().find_map(|action| match action {
        Action::AlreadyRecorded { record, .. } => Some(record),
        _ => None,
    })
}

#[test]
fn one_existing_key_does_not_fail_the_others_of_its_transaction() {
    let mut table = MemoryTable::default();
    let mut first = Recorder::new(config("h0"));
    begin(&mut first, ms(0), "w/7");
    assert_eq!(permits(tick(&mut first, &mut table, ms(10))).len(), 1);
    let mut second = Recorder::new(config("h1"));
    let mut begun = Vec::new();
    for i in 0..20 {
        begun.extend(begin(&mut second, ms(0), &format!("w/{i}")).1);
    }
    let mut actions = run_transactions(&mut second, &mut table, ms(0), begun);
    actions.extend(tick(&mut second, &mut table, ms(10)));
    assert_eq!(known(&actions).map(|r| &r.state), Some(&RecordState::Begun));
    assert_eq!(permits(actions).len(), 19);
}

#[test]
fn inserts_wait_for_the_interval_and_share_one_transaction() {
    let mut recorder = Recorder::new(config("h0"));
    for i in 0..5 {
        assert_eq!(begin(&mut recorder, ms(i), &format!("w/{i}")).1, []);
    }
    assert_eq!(recorder.next_tick(), Some(ms(10)));
    let mut actions = Vec::new();
    recorder.tick(ms(10), &mut actions);
    let (_, txn) = only_txn(actions);
    assert_eq!(txn.ops.len(), 5);
}

#[test]
fn a_full_transaction_is_sent_at_once_and_within_its_size_limit() {
    let mut recorder = Recorder::new(config("h0"));
    let sent = (0..60).find_map(|i| {
        let (_, actions) = begin(&mut recorder, ms(0), &format!("w/{i}"));
        (!actions.is_empty()).then(|| only_txn(actions).1)
    });
    let txn = sent.expect("a full transaction is sent");
    assert!(txn.conditions.len() + txn.ops.len() <= MAX_TXN_ENTRIES);
    assert_eq!(txn.ops.len(), 20);
}

#[test]
fn calls_are_refused_at_once_while_the_table_is_unavailable() {
    let mut recorder = Recorder::new(config("h0"));
    begin(&mut recorder, ms(0), "w/1");
    let mut actions = Vec::new();
    recorder.tick(ms(10), &mut actions);
    let (id, _) = only_txn(actions);
    let mut actions = Vec::new();
    let error = PlatformError::NotSent("no connection".into());
    recorder.on_table_result(ms(11), id, Err(error), &mut actions);
    assert!(matches!(
        actions[..],
        [Action::Refused {
            kind: NotRunKind::RecordUnavailable,
            retry_after: Some(_),
            ..
        }]
    ));
    let (_, actions) = begin(&mut recorder, ms(12), "w/2");
    assert!(matches!(actions[..], [Action::Refused { .. }]));
    let (_, actions) = begin(&mut recorder, ms(600), "w/3");
    assert_eq!(actions, [], "the table is used again after the backoff");
}

#[test]
fn calls_are_refused_within_their_term_if_the_table_does_not_answer() {
    let mut recorder = Recorder::new(config("h0"));
    let (ticket, mut actions) = begin(&mut recorder, ms(0), "w/1");
    while !actions.iter().any(|a| matches!(a, Action::Refused { .. })) {
        let now = recorder.next_tick().expect("a time");
        assert!(now < ms(2000), "refused within the term");
        recorder.tick(now, &mut actions);
    }
    let refused = actions.iter().any(
        |a| matches!(a, Action::Refused { ticket: t, kind: NotRunKind::RecordUnavailable, .. } if *t == ticket),
    );
    assert!(refused);
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut table = MemoryTable::default();
    let mut first = Recorder::new(config("h0"));
    begin(&mut first, ms(0), "w/1");
    tick(&mut first, &mut table, ms(10));
    let mut second = Recorder::new(config("h1"));
    second.begin(ms(0), "w/1", 2, &mut Vec::new());
    let actions = tick(&mut second, &mut table, ms(10));
    assert!(matches!(
        actions[..],
        [Action::Refused {
            kind: NotRunKind::KeyReused,
            ..
        }]
    ));
}

#[test]
fn other_hosts_find_the_answer_in_the_record() {
    let mut table = MemoryTable::default();
    let mut first = Recorder::new(config("h0"));
    let (ticket, _) = begin(&mut first, ms(0), "w/1");
    let permit = permits(tick(&mut first, &mut table, ms(10))).remove(0);
    assert_eq!(permit.consume(ms(20)), Ok(()));
    first.finish(ms(30), ticket, Outcome::Answered(answer()));
    tick(&mut first, &mut table, ms(50));
    let mut second = Recorder::new(config("h1"));
    begin(&mut second, ms(60), "w/1");
    let actions = tick(&mut second, &mut table, ms(100));
    let state = &known(&actions).expect("known").state;
    assert_eq!(
        *state,
        RecordState::Done {
            answer: Some(answer())
        }
    );
}

#[test]
fn an_expired_permit_frees_the_key_for_another_host() {
    let mut table = MemoryTable::default();
    let mut first = Recorder::new(config("h0"));
    begin(&mut first, ms(0), "w/1");
    let permit = permits(tick(&mut first, &mut table, ms(10))).remove(0);
    let expired = permit.consume(ms(2000)).expect_err("the term is over");
    first.abandon(ms(2000), expired);
    tick(&mut first, &mut table, ms(2000));
    tick(&mut first, &mut table, ms(2000));
    let mut second = Recorder::new(config("h1"));
    begin(&mut second, ms(2010), "w/1");
    assert_eq!(permits(tick(&mut second, &mut table, ms(2050))).len(), 1);
}

#[test]
fn old_records_are_trimmed_with_one_call() {
    let mut table = MemoryTable::default();
    let mut recorder = Recorder::new(config("h0"));
    begin(&mut recorder, ms(0), "w/1");
    tick(&mut recorder, &mut table, ms(10));
    let day = Duration::from_secs(24 * 3600);
    for (days, left) in [(1, 1), (2, 1), (3, 0)] {
        let mut actions = Vec::new();
        recorder.trim(day * days, &mut actions);
        run_transactions(&mut recorder, &mut table, day * days, actions);
        assert_eq!(table.keys().count(), left, "after {days} days");
    }
}

#[test]
fn the_end_of_a_call_is_sent_again_after_a_conflict_in_its_transaction() {
    let mut table = MemoryTable::default();
    let mut first = Recorder::new(config("h0"));
    begin(&mut first, ms(0), "w/existing");
    tick(&mut first, &mut table, ms(10));
    let mut second = Recorder::new(config("h1"));
    let (ended, _) = begin(&mut second, ms(0), "w/1");
    tick(&mut second, &mut table, ms(10));
    second.finish(ms(20), ended, Outcome::Answered(answer()));
    begin(&mut second, ms(20), "w/existing");
    tick(&mut second, &mut table, ms(30));
    tick(&mut second, &mut table, ms(40));
    let mut third = Recorder::new(config("h2"));
    begin(&mut third, ms(40), "w/1");
    let actions = tick(&mut third, &mut table, ms(50));
    let state = &known(&actions).expect("known").state;
    let done = RecordState::Done {
        answer: Some(answer()),
    };
    assert_eq!(*state, done);
}
