//! The platform clients that the commands share.

use std::{net::SocketAddr, time::Duration};

use dragonflyrill_adapter::store::{Objects, Table};
use dragonflyrill_store::{
    catalogue_store::CatalogueStore,
    table::retry::{Retry, RetryPolicy},
};

use crate::{args::Args, error::CtlError};

/// Creates platform clients with the address and timeout of the command line.
pub struct Context {
    platform: Result<SocketAddr, String>,
    /// The timeout of a call to the platform or to a host.
    pub call_timeout: Duration,
}

impl Context {
    /// Creates a context from the command line. A missing or invalid platform address is reported
    /// only when a client is requested.
    pub fn new(args: &Args) -> Self {
        Self {
            platform: args.platform_addr(),
            call_timeout: Duration::from_millis(args.call_ms),
        }
    }

    /// Returns a client of the catalogue store.
    ///
    /// # Errors
    /// [`CtlError::Usage`] if the platform address is missing or invalid.
    pub fn store(&self) -> Result<CatalogueStore<Table>, CtlError> {
        Ok(CatalogueStore::new(self.table()?, table_retry()))
    }

    /// Returns a client of the object store.
    ///
    /// # Errors
    /// [`CtlError::Usage`] if the platform address is missing or invalid.
    pub fn objects(&self) -> Result<Objects, CtlError> {
        Ok(Objects::new(self.platform_addr()?, self.call_timeout))
    }

    /// Returns a client of the table.
    ///
    /// # Errors
    /// [`CtlError::Usage`] if the platform address is missing or invalid.
    pub fn table(&self) -> Result<Table, CtlError> {
        Ok(Table::new(self.platform_addr()?, self.call_timeout))
    }

    fn platform_addr(&self) -> Result<SocketAddr, CtlError> {
        self.platform.clone().map_err(CtlError::Usage)
    }
}

fn table_retry() -> Retry {
    let seed = uuid::Uuid::new_v4().as_u64_pair().0;
    Retry::new(RetryPolicy::default(), seed)
}
