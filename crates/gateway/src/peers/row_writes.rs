//! Writes the rows of several hosts to the store with one call.
//!
//! Each host renews its row, and all hosts write theirs whenever one joins. With a call for each row, the calls grow
//! with the number of hosts, and the part of the table takes some 200 of them a second. So a host hands a write that is
//! not urgent to the host that it polls, which gathers the rows of its data centre for a while.
//!
//! The rows and their conditions are the same as if each host wrote its own. A host that gets no answer writes its row
//! itself; whichever write comes second does not find the expected version.

use std::{cell::RefCell, rc::Rc, time::Duration};

use dragonflyrill_clock::awake;
use dragonflyrill_fleet::{
    share::MAX_SUBMISSION_DELAY,
    write_batch::{PendingWrite, WriteBatch},
};
use dragonflyrill_protocol::exchange::{RowWriteRequest, RowWriteResponse};
use dragonflyrill_store::PlatformError;
use tarpc::context;
use tokio::sync::oneshot;

use super::follow;
use crate::{
    control::host_row,
    gateway::Gateway,
    ports::{MAX_ROWS_PER_WRITE, RowWrite, RowsWriteOutcome},
};

/// How long rows are gathered before they are written.
const GATHER_TIME: Duration = Duration::from_millis(1500);
/// How long a host waits for the outcome: the gathering and a call to the store.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// A row that is to be written, and who waits for the outcome.
struct SubmittedRow {
    key: String,
    value: String,
    answer: oneshot::Sender<RowWriteResponse>,
}

/// The rows of other hosts that wait to be written.
pub(super) struct RowWrites(RefCell<WriteBatch<SubmittedRow>>);

impl Default for RowWrites {
    fn default() -> Self {
        Self(RefCell::new(WriteBatch::new(MAX_ROWS_PER_WRITE)))
    }
}

/// Writes another host's row together with others, and returns the outcome.
pub(super) async fn submit(gateway: Rc<Gateway>, request: RowWriteRequest) -> RowWriteResponse {
    if gateway.store_unavailable() || gateway.is_shutting_down() {
        return RowWriteResponse::NotWritten;
    }
    let (answer, outcome) = oneshot::channel();
    let row = SubmittedRow {
        key: host_row::row_key(&request.host),
        value: request.value,
        answer,
    };
    let first = gateway.peers.row_writes.0.borrow_mut().add(PendingWrite {
        expected: request.expected,
        not_after: Duration::from_millis(request.not_after_ms),
        row,
    });
    let full = gateway.peers.row_writes.0.borrow().is_full();
    if first {
        actix_rt::spawn(write_gathered(gateway.clone()));
    } else if full {
        actix_rt::spawn(write_all(gateway.clone()));
    }
    // The sender is dropped only if this process ends.
    outcome.await.unwrap_or(RowWriteResponse::Unknown)
}

async fn write_gathered(gateway: Rc<Gateway>) {
    awake::sleep(GATHER_TIME).await;
    write_all(gateway).await;
}

/// Writes the waiting rows, and those of a call that are submitted once more because of a conflict.
async fn write_all(gateway: Rc<Gateway>) {
    while !gateway.peers.row_writes.0.borrow().is_empty() {
        write_one_call(&gateway).await;
    }
}

/// Writes as many of the waiting rows as one call takes.
async fn write_one_call(gateway: &Gateway) {
    let batch = &gateway.peers.row_writes.0;
    let now = gateway.now();
    // Without the store's clock it is unknown whether a row is still to be written.
    let clock = gateway.bounds.store_clock(now).unwrap_or(Duration::MAX);
    let next = batch.borrow_mut().next_call(clock);
    for row in next.expired {
        respond(row, RowWriteResponse::NotWritten);
    }
    if next.writes.is_empty() {
        return;
    }
    let rows = next.writes.iter().map(|write| RowWrite {
        key: write.row.key.clone(),
        value: write.row.value.clone(),
        expected: write.expected,
    });
    match host_row::write_rows(gateway, rows.collect()).await {
        Ok(RowsWriteOutcome::Done(version)) => {
            respond_all(next.writes, &RowWriteResponse::Done(version));
        }
        Ok(RowsWriteOutcome::Conflict(existing)) => {
            let current = |row: &SubmittedRow| {
                let existing = existing.iter().find(|e| e.key == row.key);
                existing.map_or(0, |e| e.version)
            };
            let conflicts = batch.borrow_mut().record_conflict(next.writes, current);
            for conflict in conflicts {
                respond(conflict.row, RowWriteResponse::Conflict(conflict.version));
            }
        }
        Err(PlatformError::Unknown(_)) => respond_all(next.writes, &RowWriteResponse::Unknown),
        Err(_) => respond_all(next.writes, &RowWriteResponse::NotWritten),
    }
}

fn respond_all(writes: Vec<PendingWrite<SubmittedRow>>, response: &RowWriteResponse) {
    for write in writes {
        respond(write.row, response.clone());
    }
}

fn respond(row: SubmittedRow, response: RowWriteResponse) {
    // The host may no longer wait, and has written its row itself.
    let _ = row.answer.send(response);
}

/// Has this host's row written by the host that it polls. `None` if there is no such host, or if it has not answered:
/// this host then writes the row itself.
pub(crate) async fn write_by_polled_host(
    gateway: &Gateway,
    value: &str,
    expected: u64,
) -> Option<RowWriteResponse> {
    let now = gateway.now();
    let settings = &gateway.settings;
    let me = Some(settings.host.as_str());
    let host = gateway
        .peers
        .first_available(&settings.data_centre, me, now)?;
    let not_after = gateway.bounds.store_clock(now)? + MAX_SUBMISSION_DELAY;
    let request = RowWriteRequest {
        host: settings.host.clone(),
        value: value.to_owned(),
        expected,
        not_after_ms: not_after.as_millis() as u64,
    };
    let answer = async {
        // The answers to polls, which are made meanwhile over another connection, must not wait for this one.
        let client = follow::connect(host.addr).await?;
        let mut cx = context::current();
        cx.deadline = (awake::Instant::now() + ANSWER_TIMEOUT).into_std();
        client.write_row(cx, request).await.ok()
    };
    awake::timeout(ANSWER_TIMEOUT, answer).await.ok()?
}
