//! What entry hosts say of themselves: `GET /status`.

use std::{collections::BTreeSet, fmt, net::SocketAddr, time::Duration};

use actix_rt::time;
use dragonflyrill_catalogue::state::Revision;
use dragonflyrill_store::entry_hosts;
use serde::{Deserialize, Serialize};

use crate::{context::Context, error::CtlError};

/// A host's own word, as it stands on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host's id.
    pub host: String,
    /// Its data centre.
    pub data_centre: String,
    /// The revision in force there.
    pub revision: Revision,
    /// For how many milliseconds it has been in force.
    pub since_ms: u64,
    /// Which start of the host this is.
    pub incarnation: u64,
    /// Whether it takes requests.
    pub ready: bool,
    /// How many other hosts it hears of.
    pub peers: u32,
}

/// What an entry host has in force, as far as can be told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InForce {
    /// It answered.
    Known(HostStatus),
    /// It didn't, for this reason.
    Unreachable(String),
}

/// One entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryHost {
    /// Its id in the list, or its address where it was asked for by that.
    pub id: String,
    /// Its data centre; empty where nobody said.
    pub data_centre: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
    /// What it says.
    pub in_force: InForce,
}

/// Why a host does not have a revision in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Lag {
    /// It did not answer.
    Unreachable(String),
    /// It answered and is behind.
    Behind {
        /// What it has in force.
        revision: Revision,
        /// For how long, in milliseconds.
        since_ms: u64,
        /// Whether it takes requests.
        ready: bool,
        /// How many other hosts it hears of; without one, it depends on the platform alone.
        peers: u32,
    },
}

impl EntryHost {
    /// Why `wanted` is not in force here, or `None` if it is.
    pub fn lag(&self, wanted: Revision) -> Option<Lag> {
        match &self.in_force {
            InForce::Unreachable(why) => Some(Lag::Unreachable(why.clone())),
            InForce::Known(s) if s.revision >= wanted => None,
            InForce::Known(s) => Some(Lag::Behind {
                revision: s.revision,
                since_ms: s.since_ms,
                ready: s.ready,
                peers: s.peers,
            }),
        }
    }

    /// The revision in force here, where it is known.
    pub fn revision(&self) -> Option<Revision> {
        match &self.in_force {
            InForce::Known(s) => Some(s.revision),
            InForce::Unreachable(_) => None,
        }
    }
}

impl fmt::Display for Lag {
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

/// Asks all entry hosts that the platform lists.
///
/// # Errors
/// [`CtlError`] when the list can't be read; a host that does not answer is not an error.
pub async fn listed(cx: &Context) -> Result<Vec<EntryHost>, CtlError> {
    let listed = entry_hosts::list(&cx.table()?).await?;
    let asked = listed.into_iter().map(|host| EntryHost {
        id: host.id.to_string(),
        data_centre: host.data_centre.to_string(),
        addr: host.callers,
        leaving: host.shutting_down,
        in_force: InForce::Unreachable(String::new()),
    });
    Ok(ask(cx, asked.collect()).await)
}

/// Asks the hosts at `addrs`.
pub async fn at(cx: &Context, addrs: &BTreeSet<SocketAddr>) -> Vec<EntryHost> {
    let asked = addrs.iter().map(|addr| EntryHost {
        id: addr.to_string(),
        data_centre: String::new(),
        addr: *addr,
        leaving: false,
        in_force: InForce::Unreachable(String::new()),
    });
    ask(cx, asked.collect()).await
}

/// Asks all hosts at once; the answers are in the order of `hosts`.
async fn ask(cx: &Context, hosts: Vec<EntryHost>) -> Vec<EntryHost> {
    let client = awc::Client::builder().disable_redirects().finish();
    let limit = cx.call_limit;
    let asked: Vec<_> = hosts
        .into_iter()
        .map(|host| actix_rt::spawn(ask_one(client.clone(), limit, host)))
        .collect();
    let mut answered = Vec::new();
    for host in asked {
        match host.await {
            Ok(host) => answered.push(host),
            Err(e) => log::error!("ctl: a host could not be asked: {e}"),
        }
    }
    answered.sort_by(|a, b| (&a.data_centre, &a.id).cmp(&(&b.data_centre, &b.id)));
    answered
}

async fn ask_one(client: awc::Client, limit: Duration, mut host: EntryHost) -> EntryHost {
    let answer = match time::timeout(limit, get(&client, host.addr)).await {
        Ok(answer) => answer,
        Err(_) => Err(format!("no answer within {} ms", limit.as_millis())),
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

async fn get(client: &awc::Client, addr: SocketAddr) -> Result<HostStatus, String> {
    let req = client.get(format!("http://{addr}/status"));
    let mut resp = req.send().await.map_err(|e| e.to_string())?;
    if !resp.status().is_success() {
        return Err(format!("status {}", resp.status()));
    }
    let body = resp.body().await.map_err(|e| e.to_string())?;
    serde_json::from_slice(&body).map_err(|e| format!("not a host's status: {e}"))
}
