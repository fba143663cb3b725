//! Polling of engines, in tasks of their own so that the control task doesn't wait.

use std::{net::SocketAddr, time::Duration};

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::{CallError, EngineClient, wire};
use futures_util::{StreamExt, stream};
use tokio::sync::mpsc;

use crate::control::actor::Event;

/// The timeout of each of the calls by which an engine is polled.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How many engines are polled at the same time.
const MAX_CONCURRENT_POLLS: usize = 16;

/// An engine to poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollTarget {
    /// The engine.
    pub endpoint: EndpointId,
    /// The address at which it listens.
    pub addr: SocketAddr,
    /// The number of the last event of its prefix cache that is known.
    pub after: u64,
}

/// The answers of a polled engine.
#[derive(Debug)]
pub struct PollResponse {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its load.
    pub load: wire::LoadReport,
    /// Its state.
    pub state: wire::EngineState,
    /// Changes of its prefix cache.
    pub cache: wire::CacheEvents,
}

/// Polls all `targets`. Sends to `tx` an [`Event::EnginePolled`] for each engine that answers, and
/// [`Event::PollRoundDone`] last.
pub async fn poll_engines(
    http: awc::Client,
    targets: Vec<PollTarget>,
    tx: mpsc::UnboundedSender<Event>,
) {
    let polls = stream::iter(targets).for_each_concurrent(MAX_CONCURRENT_POLLS, |target| {
        let (http, tx) = (http.clone(), &tx);
        async move {
            let id = target.endpoint.clone();
            match poll_engine(http, target).await {
                // The channel is closed when the host is stopping.
                Ok(response) => drop(tx.send(Event::EnginePolled(response))),
                Err(e) => log::debug!("engines: {id} could not be polled: {e}."),
            }
        }
    });
    polls.await;
    let _ = tx.send(Event::PollRoundDone);
}

async fn poll_engine(http: awc::Client, target: PollTarget) -> Result<PollResponse, CallError> {
    let engine = EngineClient::new(http, target.addr);
    let state = engine.state(CALL_TIMEOUT).await?;
    let load = engine.load(CALL_TIMEOUT).await?;
    let cache = engine.cache_events(target.after, CALL_TIMEOUT).await?;
    Ok(PollResponse {
        endpoint: target.endpoint,
        load,
        state,
        cache,
    })
}
