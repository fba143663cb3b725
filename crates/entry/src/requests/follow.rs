//! Follows a request that another host runs: copies its answer as it grows.
//!
//! The home of a request is a host that all hosts compute from the request's key alike. It records
//! which host runs the request.

use std::{rc::Rc, time::Duration};

use dragonflyrill_clock::awake;
use dragonflyrill_delivery::{ErrorKind, dedup};
use dragonflyrill_protocol::{
    HostRef,
    found::{Answer, Claim, Claimed, Found, Intent, Query, State},
};

use crate::{
    host::{Host, PeerInfo},
    requests::{CallAnswer, Failure, RequestEnd, RequestKey, Slot},
};

/// How long the peer that runs a request may wait for new tokens or the end before it answers a
/// query, in milliseconds.
const MAX_WAIT_MS: u32 = 1000;

/// The host that is to run a request.
#[derive(Debug)]
pub enum Runner {
    /// This host.
    ThisHost {
        /// The number of runs that other hosts have started before, as far as is known.
        runs: u32,
        /// Whether the home of the request answered the claim.
        home_answered: bool,
    },
    /// Another host, whose answer is to be followed.
    Peer(PeerInfo),
}

/// How following a request ended.
#[derive(Debug)]
pub enum FollowResult {
    /// The request ended at the other host with this end; the slot holds its tokens.
    Ended(RequestEnd),
    /// The other host doesn't know the request or can't be reached.
    Lost,
}

/// Sends a claim of `intent` to the home of `key` and returns the host that is to run the request.
///
/// If the home doesn't answer, this host runs it: a claim avoids most second runs, but doesn't
/// guarantee that there is none.
pub async fn find_runner(host: &Host, key: &RequestKey, intent: Intent) -> Runner {
    let Some(home) = home(host, key) else {
        return claim_locally(host, key, intent);
    };
    let claim = new_claim(host, key, intent);
    match host.outbox.claim(&home.host.id, home.addr, claim).await {
        Some(Claimed::Taken(by)) => runner_from_holder(host, &by),
        Some(Claimed::Free { runs }) => Runner::ThisHost {
            runs,
            home_answered: true,
        },
        None => Runner::ThisHost {
            runs: 0,
            home_answered: false,
        },
    }
}

/// Reports to the home of `key` that this host did not run the request and never will.
pub async fn release_claim(host: &Host, key: &RequestKey) {
    // A home that doesn't receive the report still counts the run. Then a refusal of a later run
    // can't say that the request was not run.
    find_runner(host, key, Intent::GiveBack).await;
}

fn new_claim(host: &Host, key: &RequestKey, intent: Intent) -> Claim {
    let (workspace, id) = (key.workspace.clone(), key.id.clone());
    Claim {
        workspace,
        id,
        by: host.me.clone(),
        intent,
    }
}

/// Claims `key`, whose home is this host.
fn claim_locally(host: &Host, key: &RequestKey, intent: Intent) -> Runner {
    match host.claim(new_claim(host, key, intent)) {
        Claimed::Taken(by) => runner_from_holder(host, &by),
        Claimed::Free { runs } => Runner::ThisHost {
            runs,
            home_answered: true,
        },
    }
}

/// The home of `key`, if it is another host.
fn home(host: &Host, key: &RequestKey) -> Option<PeerInfo> {
    let peers = host.peers();
    let name = format!("{}/{}", key.workspace, key.id);
    let all_hosts = peers.iter().map(|p| &p.host).chain([&host.me]);
    let home = dedup::home(&name, all_hosts)?;
    peers.iter().find(|p| p.host == *home).cloned()
}

fn runner_from_holder(host: &Host, by: &HostRef) -> Runner {
    match host.peers().iter().find(|p| p.host.id == by.id) {
        Some(peer) => Runner::Peer(peer.clone()),
        // The holder is dead, or not yet in this host's list of live hosts.
        None => Runner::ThisHost {
            runs: 1,
            home_answered: true,
        },
    }
}

/// Copies the answer of the request's run at `peer` into `slot` while it grows, until the request
/// ends or `peer` is lost.
pub async fn follow(host: &Host, slot: &Slot, peer: &PeerInfo) -> FollowResult {
    loop {
        let query = Query {
            workspace: slot.key.workspace.clone(),
            id: slot.key.id.clone(),
            from: slot.progress().tokens.len() as u32,
            wait_ms: MAX_WAIT_MS,
        };
        let found = host.outbox.find(&peer.host.id, peer.addr, query).await;
        let Some(Found::Known(answer)) = found else {
            return FollowResult::Lost;
        };
        if answer.fingerprint != slot.fingerprint {
            return FollowResult::Ended(RequestEnd::Failed(key_reused()));
        }
        if let Some(end) = apply_answer(slot, answer) {
            return FollowResult::Ended(end);
        }
    }
}

/// The fingerprint of the request `key`, as `peer` knows it; `None` if `peer` doesn't know the
/// request or doesn't answer.
pub async fn fingerprint(host: &Host, key: &RequestKey, peer: &PeerInfo) -> Option<u64> {
    let (workspace, id) = (key.workspace.clone(), key.id.clone());
    let query = Query {
        workspace,
        id,
        from: u32::MAX,
        wait_ms: 0,
    };
    match host.outbox.find(&peer.host.id, peer.addr, query).await? {
        Found::Known(answer) => Some(answer.fingerprint),
        Found::Unknown => None,
    }
}

fn key_reused() -> Failure {
    let message = "the idempotency key was used with another request at another host";
    Failure::new(ErrorKind::KeyReused, message)
}

/// Appends the new tokens to `slot`; returns the end if the request has ended.
fn apply_answer(slot: &Slot, answer: Answer) -> Option<RequestEnd> {
    slot.record_attempt(answer.attempt);
    for token in answer.tokens {
        slot.push_token(token);
    }
    match answer.state {
        State::Running => None,
        State::Whole => Some(match answer.call {
            Some(call) => RequestEnd::ServiceAnswered(CallAnswer {
                status: call.status,
                content_type: call.content_type,
                body: call.body.into(),
            }),
            None => RequestEnd::Complete,
        }),
        State::Failed {
            code,
            message,
            retry_after_ms,
        } => {
            let kind = ErrorKind::ALL.iter().find(|k| k.answer().code == code);
            let kind = kind.copied().unwrap_or(ErrorKind::EndpointFailed);
            let retry_after = retry_after_ms.map(Duration::from_millis);
            Some(RequestEnd::Failed(Failure {
                kind,
                message,
                retry_after,
            }))
        }
    }
}

/// Answers a query of a peer that follows a request of this host. Waits up to the query's `wait_ms`
/// for new tokens or the end.
pub async fn answer_query(host: Rc<Host>, query: Query) -> Found {
    let key = RequestKey {
        workspace: query.workspace,
        id: query.id,
    };
    let Some(slot) = host.requests.borrow().get(&key) else {
        return Found::Unknown;
    };
    let from = query.from as usize;
    let wait = Duration::from_millis(query.wait_ms.into());
    // After a timeout the answer holds no new tokens and no end.
    let _ = awake::timeout(wait, slot.wait_for_more(from)).await;
    Found::Known(answer_from(&slot, from))
}

fn answer_from(slot: &Slot, from: usize) -> Answer {
    let progress = slot.progress();
    let (state, call) = match &progress.end {
        None => (State::Running, None),
        Some(RequestEnd::Complete) => (State::Whole, None),
        Some(RequestEnd::ServiceAnswered(call)) => (State::Whole, Some(to_wire_call(call))),
        Some(RequestEnd::Failed(failure)) => (failed_state(failure), None),
    };
    let tokens = progress.tokens.get(from..).unwrap_or_default().to_vec();
    Answer {
        fingerprint: slot.fingerprint,
        attempt: slot.attempt(),
        tokens,
        call,
        state,
    }
}

fn to_wire_call(call: &CallAnswer) -> dragonflyrill_protocol::found::CallAnswer {
    dragonflyrill_protocol::found::CallAnswer {
        status: call.status,
        content_type: call.content_type.clone(),
        body: call.body.to_vec(),
    }
}

fn failed_state(failure: &Failure) -> State {
    State::Failed {
        code: failure.kind.answer().code.to_owned(),
        message: failure.message.clone(),
        retry_after_ms: failure.retry_after.map(|d| d.as_millis() as u64),
    }
}
