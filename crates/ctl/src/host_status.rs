//! The status that entry hosts report at `GET /status`.

use std::{collections::BTreeSet, fmt, net::SocketAddr, time::Duration};

use actix_rt::time;
use dragonflyrill_catalogue::state::Revision;
use dragonflyrill_store::entry_hosts;
use serde::{Deserialize, Serialize};

use crate::{context::Context, error::CtlError};

/// The JSON body of a host's response to `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host's id.
    pub host: String,
    /// Its data centre.
    pub data_centre: String,
    /// The revision in force on the host.
    pub revision: Revision,
    /// How long that revision has been in force, in milliseconds.
    pub since_ms: u64,
    /// The incarnation of the host's process.
    pub incarnation: u64,
    /// Whether the host accepts requests.
    pub ready: bool,
    /// How many other hosts it receives updates from.
    pub peers: u32,
}

/// The outcome of a status query to an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InForce {
    /// The host responded with its status.
    Known(HostStatus),
    /// The query failed; the text is the cause.
    Unreachable(String),
}

/// An entry host and the outcome of its status query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryHost {
    /// The host's id in the platform's list. For a host given by address: the id that it reports,
    /// or the address if the query failed.
    pub id: String,
    /// The host's data centre; empty if neither the list nor the host reported it.
    pub data_centre: String,
    /// The address at which the host was queried.
    pub addr: SocketAddr,
    /// Whether the platform's list marks the host as shutting down.
    pub leaving: bool,
    /// The outcome of the status query.
    pub in_force: InForce,
}

/// Why a host does not have the wanted revision in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LagCause {
    /// The status query failed; the text is the cause.
    Unreachable(String),
    /// The host responded and has a lower revision in force.
    Behind {
        /// The revision in force on the host.
        revision: Revision,
        /// How long that revision has been in force, in milliseconds.
        since_ms: u64,
        /// Whether the host accepts requests.
        ready: bool,
        /// How many other hosts it receives updates from. With 0, only the platform can bring it up
        /// to date.
        peers: u32,
    },
}

impl EntryHost {
    /// Why `wanted` is not in force on this host, or `None` if it or a higher revision is.
    pub fn lag(&self, wanted: Revision) -> Option<LagCause> {
        match &self.in_force {
            InForce::Unreachable(why) => Some(LagCause::Unreachable(why.clone())),
            InForce::Known(s) if s.revision >= wanted => None,
            InForce::Known(s) => Some(LagCause::Behind {
                revision: s.revision,
                since_ms: s.since_ms,
                ready: s.ready,
                peers: s.peers,
            }),
        }
    }

    /// The revision in force on this host, or `None` if the status query failed.
    pub fn revision(&self) -> Option<Revision> {
        match &self.in_force {
            InForce::Known(s) => Some(s.revision),
            InForce::Unreachable(_) => None,
        }
    }
}

impl fmt::Display for LagCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "does not answer: {why}"),
            Self::Behind {
                revision,
                since_ms,
                ready,
                peers,
            } => {
                write!(f, "at revision {} for {since_ms} ms", revision.0)?;
                if !ready {
                    f.write_str(", not ready")?;
                }
                if *peers == 0 {
                    f.write_str(", hears of no other host")?;
                }
                Ok(())
            }
        }
    }
}

/// Queries the status of all entry hosts that the platform lists.
///
/// # Errors
/// [`CtlError`] when the list can't be read. A host that does not answer is no error: it is
/// returned as [`InForce::Unreachable`].
pub async fn query_listed(cx: &Context) -> Result<Vec<EntryHost>, CtlError> {
    let listed = entry_hosts::list(&cx.table()?).await?;
    let hosts = listed.into_iter().map(|host| EntryHost {
        id: host.id.to_string(),
        data_centre: host.data_centre.to_string(),
        addr: host.callers,
        leaving: host.shutting_down,
        in_force: InForce::Unreachable(String::new()),
    });
    Ok(query_all(cx, hosts.collect()).await)
}

/// Queries the status of the hosts at `addrs`.
pub async fn query_at(cx: &Context, addrs: &BTreeSet<SocketAddr>) -> Vec<EntryHost> {
    let hosts = addrs.iter().map(|addr| EntryHost {
        id: addr.to_string(),
        data_centre: String::new(),
        addr: *addr,
        leaving: false,
        in_force: InForce::Unreachable(String::new()),
    });
    query_all(cx, hosts.collect()).await
}

/// Queries all hosts concurrently and returns them sorted by data centre and id.
async fn query_all(cx: &Context, hosts: Vec<EntryHost>) -> Vec<EntryHost> {
    let client = awc::Client::builder().disable_redirects().finish();
    let call_timeout = cx.call_timeout;
    let queries: Vec<_> = hosts
        .into_iter()
        .map(|host| actix_rt::spawn(query_one(client.clone(), call_timeout, host)))
        .collect();
    let mut queried = Vec::new();
    for query in queries {
        match query.await {
            Ok(host) => queried.push(host),
            Err(e) => log::error!("ctl: the status query of a host failed: {e}"),
        }
    }
    queried.sort_by(|a, b| (&a.data_centre, &a.id).cmp(&(&b.data_centre, &b.id)));
    queried
}

async fn query_one(client: awc::Client, call_timeout: Duration, mut host: EntryHost) -> EntryHost {
    let answer = match time::timeout(call_timeout, fetch_status(&client, host.addr)).await {
        Ok(answer) => answer,
        Err(_) => Err(format!("no answer within {} ms", call_timeout.as_millis())),
    };
    host.in_force = match answer {
        Ok(status) => {
            if host.data_centre.is_empty() {
                host.id.clone_from(&status.host);
                host.data_centre.clone_from(&status.data_centre);
            }
            InForce::Known(status)
        }
        Err(why) => InForce::Unreachable(why),
    };
    host
}

async fn fetch_status(client: &awc::Client, addr: SocketAddr) -> Result<HostStatus, String> {
    let req = client.get(format!("http://{addr}/status"));
    let mut resp = req.send().await.map_err(|e| e.to_string())?;
    if !resp.status().is_success() {
        return Err(format!("status {}", resp.status()));
    }
    let body = resp.body().await.map_err(|e| e.to_string())?;
    serde_json::from_slice(&body).map_err(|e| format!("not a host's status: {e}"))
}
