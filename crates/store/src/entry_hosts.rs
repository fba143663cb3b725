//! The rows by which entry hosts make themselves known in the table.
//!
//! Nothing expires in the table: the row of a host that died stays until a host of the same id
//! writes it anew. Who is alive is told by the hosts themselves; this list is where to ask.

use std::net::SocketAddr;

use dragonflyrill_catalogue::name::{DataCentre, EndpointId};
use serde::{Deserialize, Serialize};

use crate::{
    error::PlatformError,
    table::{KeyRange, Op, TableApi, Txn},
};

/// Before the ids of hosts in their keys.
const PREFIX: &str = "hosts/";

/// One entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryHost {
    /// Its id.
    pub id: EndpointId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other hosts connect.
    pub peers: SocketAddr,
    /// Where it is.
    pub data_centre: DataCentre,
    /// Whether it is to get no new work.
    pub leaving: bool,
}

/// A host as its row says it, not checked yet.
#[derive(Serialize, Deserialize)]
struct StoredHost {
    callers: SocketAddr,
    peers: SocketAddr,
    data_centre: String,
    #[serde(default)]
    leaving: bool,
}

/// Writes a host's row.
///
/// # Errors
/// [`PlatformError`]; writing again is safe.
pub async fn announce(table: &impl TableApi, host: &EntryHost) -> Result<(), PlatformError> {
    let stored = StoredHost {
        callers: host.callers,
        peers: host.peers,
        data_centre: host.data_centre.to_string(),
        leaving: host.leaving,
    };
    let value = serde_json::to_vec(&stored);
    let put = Op::Put {
        key: key(&host.id),
        value: value.map_err(|e| PlatformError::Malformed(e.to_string()))?,
    };
    table.txn(&Txn::unconditional(vec![put])).await.map(drop)
}

/// Removes a host's row.
///
/// # Errors
/// [`PlatformError`]; removing again is safe.
pub async fn withdraw(table: &impl TableApi, id: &EndpointId) -> Result<(), PlatformError> {
    let remove = Op::Remove(key(id));
    table.txn(&Txn::unconditional(vec![remove])).await.map(drop)
}

/// Reads all hosts. A row that can't be used is left out, with a line in the log.
///
/// # Errors
/// [`PlatformError`] if the table can't be read.
pub async fn list(table: &impl TableApi) -> Result<Vec<EntryHost>, PlatformError> {
    let found = table.range(&KeyRange::prefix(PREFIX), 0).await?;
    let mut hosts = Vec::new();
    for row in found.rows {
        match decode(&row.key, &row.value) {
            Ok(host) => hosts.push(host),
            Err(why) => log::warn!("hosts: Row {} can't be used: {why}.", row.key),
        }
    }
    Ok(hosts)
}

fn key(id: &EndpointId) -> String {
    format!("{PREFIX}{id}")
}

fn decode(key: &str, value: &[u8]) -> Result<EntryHost, String> {
    let id = key.strip_prefix(PREFIX).unwrap_or(key);
    let stored: StoredHost = serde_json::from_slice(value).map_err(|e| e.to_string())?;
    let data_centre = DataCentre::try_from(stored.data_centre.as_str());
    Ok(EntryHost {
        id: EndpointId::try_from(id).map_err(|e| e.to_string())?,
        callers: stored.callers,
        peers: stored.peers,
        data_centre: data_centre.map_err(|e| e.to_string())?,
        leaving: stored.leaving,
    })
}
