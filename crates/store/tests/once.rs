//! Guards against writes that take effect twice, or whose reported outcome is wrong, when the
//! table loses the responses to them.

mod common;

use common::{FakeTable, Faults, retry};
use dragonflyrill_store::{
    PlatformError,
    table::{
        TableApi,
        once::{
            CreateOutcome, KeyedWrite, MAX_WRITES_PER_TXN, StoredValue, create_all, create_once,
        },
        retry::RetryPolicy,
    },
};
use proptest::prelude::*;

async fn stored(table: &FakeTable, key: &str) -> Option<StoredValue> {
    table.set_faults(Faults::default());
    let row = table.get(key).await.expect("no fault")?;
    Some(StoredValue::decode(&row.value).expect("written by create_all or create_once"))
}

fn write(key: &str, write_id: &str) -> KeyedWrite {
    KeyedWrite {
        key: key.to_owned(),
        stored: StoredValue {
            write_id: write_id.to_owned(),
            value: write_id.as_bytes().to_vec(),
        },
    }
}

#[actix_rt::test]
async fn the_first_write_wins_and_the_second_gets_its_value() {
    let table = FakeTable::new(1, Faults::default());
    let retry = retry(1);
    let first = create_once(&table, "k", b"one", "w1", &retry).await;
    let second = create_once(&table, "k", b"two", "w2", &retry).await;
    let again = create_once(&table, "k", b"one", "w1", &retry).await;
    let winner = StoredValue {
        write_id: "w1".to_owned(),
        value: b"one".to_vec(),
    };
    assert_eq!(first, CreateOutcome::Created);
    assert_eq!(second, CreateOutcome::Exists(winner));
    assert_eq!(again, CreateOutcome::Created);
}

#[actix_rt::test]
async fn a_write_whose_response_was_lost_is_recognised_by_its_id() {
    let faults = Faults {
        lost_after: 100,
        ..Faults::default()
    };
    let table = FakeTable::new(1, faults);
    // All responses are lost, so the outcome is unknown.
    let created = create_once(&table, "k", b"one", "w1", &retry(3)).await;
    assert!(matches!(created, CreateOutcome::Unknown(_)), "{created:?}");
    table.set_faults(Faults::default());
    let created = create_once(&table, "k", b"one", "w1", &retry(1)).await;
    assert_eq!(created, CreateOutcome::Created);
}

#[actix_rt::test]
async fn a_write_that_was_never_sent_is_not_applied() {
    let faults = Faults {
        not_sent: 100,
        ..Faults::default()
    };
    let table = FakeTable::new(1, faults);
    let created = create_once(&table, "k", b"one", "w1", &retry(3)).await;
    assert!(
        matches!(
            created,
            CreateOutcome::NotApplied(PlatformError::NotSent(_))
        ),
        "{created:?}"
    );
    assert_eq!(table.counts().not_sent, 3);
}

#[actix_rt::test]
async fn one_existing_key_does_not_block_a_batch() {
    let table = FakeTable::new(1, Faults::default());
    let retry = retry(1);
    let first = create_all(&table, &[write("b", "w0")], &retry).await;
    assert_eq!(first, [CreateOutcome::Created]);
    let batch = [
        write("a", "w1"),
        write("b", "w2"),
        write("c", "w3"),
        write("c", "w4"),
    ];
    let outcomes = create_all(&table, &batch, &retry).await;
    assert_eq!(outcomes[0], CreateOutcome::Created);
    assert_eq!(outcomes[1], CreateOutcome::Exists(write("b", "w0").stored));
    assert_eq!(outcomes[2], CreateOutcome::Created);
    assert_eq!(outcomes[3], CreateOutcome::Exists(write("c", "w3").stored));
}

#[actix_rt::test]
async fn a_long_batch_is_split() {
    let table = FakeTable::new(1, Faults::default());
    let writes: Vec<KeyedWrite> = (0..MAX_WRITES_PER_TXN * 2 + 1)
        .map(|i| write(&format!("k{i}"), &format!("w{i}")))
        .collect();
    let outcomes = create_all(&table, &writes, &retry(1)).await;
    assert_eq!(outcomes, vec![CreateOutcome::Created; writes.len()]);
    assert_eq!(table.keys().len(), writes.len());
}

#[test]
fn backoff_grows_to_its_maximum_and_respects_retry_after() {
    let policy = RetryPolicy::default();
    let retry = dragonflyrill_store::table::retry::Retry::new(policy, 3);
    let lost = PlatformError::Unknown(String::new());
    for failed_attempts in 1..policy.max_attempts {
        let mean = (policy.initial_backoff * 2u32.pow(failed_attempts - 1)).min(policy.max_backoff);
        let wait = retry
            .backoff_after(failed_attempts, &lost)
            .expect("a further attempt");
        assert!(
            wait >= mean / 2 && wait < mean * 3 / 2,
            "{failed_attempts}: {wait:?}"
        );
    }
    assert_eq!(retry.backoff_after(policy.max_attempts, &lost), None);
    let retry_after = policy.max_backoff * 10;
    let refused = PlatformError::RateLimited { retry_after };
    assert_eq!(retry.backoff_after(1, &refused), Some(retry_after));
    let wrong = PlatformError::Malformed(String::new());
    assert_eq!(retry.backoff_after(1, &wrong), None);
}

proptest! {
    /// Several writers write the same few keys while every kind of fault occurs. The outcome that
    /// each of them gets must match the table, also after all delayed writes have arrived.
    #[test]
    fn the_outcome_that_a_writer_gets_is_true(seed in any::<u64>(), batches in prop::collection::vec(
        prop::collection::vec(0..5u8, 1..4), 1..5,
    )) {
        let faults = Faults { not_sent: 8, refused: 4, lost_before: 8, lost_after: 12, delayed: 12 };
        let table = FakeTable::new(seed, faults);
        let outcomes = actix_rt::System::new().block_on(race(&table, &batches));
        table.deliver_delayed();
        actix_rt::System::new().block_on(async {
            for (write, created) in outcomes {
                let stored = stored(&table, &write.key).await;
                let own = stored.as_ref() == Some(&write.stored);
                match created {
                    CreateOutcome::Created => assert!(own, "{write:?} is lost"),
                    CreateOutcome::Exists(other) => assert_eq!(stored, Some(other)),
                    CreateOutcome::NotApplied(e) => assert!(!own, "{write:?} took effect in spite of {e}"),
                    CreateOutcome::Unknown(_) => {}
                }
            }
        });
    }
}

async fn race(table: &FakeTable, batches: &[Vec<u8>]) -> Vec<(KeyedWrite, CreateOutcome)> {
    let writers = batches.iter().enumerate().map(|(writer, keys)| {
        let keys = keys.iter().enumerate();
        let writes: Vec<KeyedWrite> = keys
            .map(|(i, key)| write(&format!("k{key}"), &format!("w{writer}-{i}")))
            .collect();
        let table = table.clone();
        actix_rt::spawn(async move {
            let outcomes = create_all(&table, &writes, &retry(3)).await;
            writes.into_iter().zip(outcomes).collect::<Vec<_>>()
        })
    });
    let mut outcomes = Vec::new();
    for writer in writers.collect::<Vec<_>>() {
        outcomes.extend(writer.await.expect("the writer's task ended normally"));
    }
    outcomes
}
