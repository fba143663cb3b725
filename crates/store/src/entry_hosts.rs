//! The table rows by which entry hosts discover each other.
//!
//! Rows do not expire: the row of a host that crashed stays until a host with the same id
//! overwrites it. This list only says which hosts to contact; whether a host is alive follows
//! from the membership protocol between the hosts.

use std::net::SocketAddr;

use dragonflyrill_catalogue::name::{DataCentre, EndpointId};
use serde::{Deserialize, Serialize};

use crate::{
    error::PlatformError,
    table::{KeyRange, Op, TableApi, Txn},
};

/// The prefix of a host row's key; the host id follows.
const PREFIX: &str = "hosts/";

/// One entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryHost {
    /// The host's id.
    pub id: EndpointId,
    /// The address to which callers connect.
    pub callers: SocketAddr,
    /// The address to which other hosts connect.
    pub peers: SocketAddr,
    /// The data centre that the host is in.
    pub data_centre: DataCentre,
    /// Whether the host is shutting down and must get no new work.
    pub shutting_down: bool,
}

/// The stored form of a host row, before validation.
#[derive(Serialize, Deserialize)]
struct StoredHost {
    callers: SocketAddr,
    peers: SocketAddr,
    data_centre: String,
    #[serde(default)]
    leaving: bool,
}

/// Writes the row of `host`.
///
/// # Errors
/// [`PlatformError`]. Writing is idempotent, so a retry is safe.
pub async fn register(table: &impl TableApi, host: &EntryHost) -> Result<(), PlatformError> {
    let stored = StoredHost {
        callers: host.callers,
        peers: host.peers,
        data_centre: host.data_centre.to_string(),
        leaving: host.shutting_down,
    };
    let value = serde_json::to_vec(&stored);
    let put = Op::Put {
        key: key(&host.id),
        value: value.map_err(|e| PlatformError::Malformed(e.to_string()))?,
    };
    table.txn(&Txn::unconditional(vec![put])).await.map(drop)
}

/// Removes the row of the host `id`.
///
/// # Errors
/// [`PlatformError`]. Removal is idempotent, so a retry is safe.
pub async fn deregister(table: &impl TableApi, id: &EndpointId) -> Result<(), PlatformError> {
    let remove = Op::Remove(key(id));
    table.txn(&Txn::unconditional(vec![remove])).await.map(drop)
}

/// Reads the rows of all hosts. Skips a row that cannot be decoded and logs a warning.
///
/// # Errors
/// [`PlatformError`] if the table cannot be read.
pub async fn list(table: &impl TableApi) -> Result<Vec<EntryHost>, PlatformError> {
    let found = table.range(&KeyRange::prefix(PREFIX), 0).await?;
    let mut hosts = Vec::new();
    for row in found.rows {
        match decode(&row.key, &row.value) {
            Ok(host) => hosts.push(host),
            Err(why) => log::warn!(
                "hosts: Skipped row {}, which cannot be decoded: {why}.",
                row.key
            ),
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
        shutting_down: stored.leaving,
    })
}
