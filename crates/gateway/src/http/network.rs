//! How connections to other processes are opened.

use std::{io, net::SocketAddr};

use futures_util::{FutureExt, future::LocalBoxFuture};
use tokio::net::TcpStream;

/// Opens TCP connections. Tests implement it to cut the paths of one host.
pub trait Network {
    /// Opens a connection to `addr`.
    fn connect(&self, addr: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>>;
}

/// The network of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemNetwork;

impl Network for SystemNetwork {
    fn connect(&self, addr: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>> {
        TcpStream::connect(addr).boxed_local()
    }
}
