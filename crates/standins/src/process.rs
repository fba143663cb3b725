//! Logging setup and signal handling of the binaries.

use std::io;

use futures_util::future::{self, Either};

/// The log filter if `RUST_LOG` is not set.
const DEFAULT_FILTER: &str = "info,actix_server=warn";

/// Initializes logging to standard error, with the filter of `RUST_LOG`.
pub fn init_log() {
    let env = env_logger::Env::default().default_filter_or(DEFAULT_FILTER);
    env_logger::Builder::from_env(env).init();
}

/// Waits for SIGTERM or SIGINT.
pub async fn shutdown_signal() -> io::Result<()> {
    use actix_rt::signal::unix::{SignalKind, signal};
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    match future::select(Box::pin(term.recv()), Box::pin(int.recv())).await {
        Either::Left(_) | Either::Right(_) => Ok(()),
    }
}
