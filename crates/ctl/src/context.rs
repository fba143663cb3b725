//! What the commands share: clients of the platform.

use std::{net::SocketAddr, time::Duration};

use dragonflyrill_adapter::store::{Objects, Table};
use dragonflyrill_store::{
    catalogue_store::CatalogueStore,
    table::retry::{Retry, RetryPolicy},
};

use crate::{args::Args, error::CtlError};

/// Clients with the time limits of one run.
pub struct Context {
    platform: Result<SocketAddr, String>,
    /// The longest a call may take.
    pub call_limit: Duration,
}

impl Context {
    /// A context by the command line; the platform's address is looked at when it is needed.
    pub fn new(args: &Args) -> Self {
        Self {
            platform: args.platform(),
            call_limit: Duration::from_millis(args.call_ms),
        }
    }

    /// The catalogue's place in the table.
    ///
    /// # Errors
    /// [`CtlError::Usage`] without a platform.
    pub fn store(&self) -> Result<CatalogueStore<Table>, CtlError> {
        Ok(CatalogueStore::new(self.table()?, retry()))
    }

    /// The object store.
    ///
    /// # Errors
    /// [`CtlError::Usage`] without a platform.
    pub fn objects(&self) -> Result<Objects, CtlError> {
        Ok(Objects::new(self.platform()?, self.call_limit))
    }

    /// The table.
    ///
    /// # Errors
    /// [`CtlError::Usage`] without a platform.
    pub fn table(&self) -> Result<Table, CtlError> {
        Ok(Table::new(self.platform()?, self.call_limit))
    }

    fn platform(&self) -> Result<SocketAddr, CtlError> {
        self.platform.clone().map_err(CtlError::Usage)
    }
}

fn retry() -> Retry {
    let seed = uuid::Uuid::new_v4().as_u64_pair().0;
    Retry::new(RetryPolicy::default(), seed)
}
