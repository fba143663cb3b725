//! One relayed connection. Each of its two directions has a reader and a writer with a queue between
//! them, so that a delay does not limit the throughput.

use std::{
    io,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::{self, Either};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::TcpStream,
    sync::{mpsc, watch},
    time::Instant,
};

use super::{
    Direction, LinkFaults,
    link::{ConnectionFault, Link},
};

/// The size of the read buffer.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// The maximum number of chunks queued in one direction.
const QUEUE_CHUNKS: usize = 256;

/// Bytes in transit and the time at which to forward them. Empty bytes mark the end of the direction.
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Relays one connection until it ends, or until it has lost bytes and the link carries bytes again.
///
/// The connection fault [`ConnectionFault::Reset`] resets it, and so does a reset of one of its sides. After [`ConnectionFault::Silence`] the
/// future keeps both sockets open and never completes.
pub(super) async fn relay(
    link: Arc<Link>,
    mut client: TcpStream,
    mut target: TcpStream,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let mut connection_faults = link.connection_faults.subscribe();
    let fault = {
        let (client_rx, client_tx) = client.split();
        let (target_rx, target_tx) = target.split();
        let upstream = direction(&link, Direction::Upstream, client_rx, target_tx);
        let downstream = direction(&link, Direction::Downstream, target_rx, client_tx);
        let relaying = Box::pin(future::try_join(upstream, downstream));
        let fault_injected = Box::pin(connection_faults.changed());
        match future::select(relaying, fault_injected).await {
            Either::Left((Ok(_), _)) => return Ok(()),
            // A reset of one side is passed on to the other, which must not take it for a regular end.
            Either::Left((Err(_), _)) => Some(ConnectionFault::Reset),
            Either::Right(_) => *link.connection_faults.borrow(),
        }
    };
    match fault {
        Some(ConnectionFault::Silence) => future::pending().await,
        Some(ConnectionFault::Reset) | None => {
            // Closing a socket with a linger time of 0 sends a TCP reset.
            for socket in [&client, &target] {
                SockRef::from(socket).set_linger(Some(Duration::ZERO))?;
            }
            Ok(())
        }
    }
}

async fn direction(
    link: &Link,
    direction: Direction,
    from: impl AsyncRead + Unpin,
    to: impl AsyncWrite + Unpin,
) -> io::Result<()> {
    let (tx, rx) = mpsc::channel(QUEUE_CHUNKS);
    future::try_join(read(link, from, tx), write(link, direction, to, rx)).await?;
    Ok(())
}

async fn read(
    link: &Link,
    mut from: impl AsyncRead + Unpin,
    tx: mpsc::Sender<Chunk>,
) -> io::Result<()> {
    let mut buf = vec![0; READ_BUFFER_BYTES];
    loop {
        let count = from.read(&mut buf).await?;
        let delay_ms = link.faults.borrow().delay_ms;
        let due = Instant::now() + Duration::from_millis(delay_ms);
        let bytes = Bytes::copy_from_slice(&buf[..count]);
        let sent = tx.send(Chunk { due, bytes }).await;
        if count == 0 || sent.is_err() {
            return Ok(());
        }
    }
}

async fn write(
    link: &Link,
    direction: Direction,
    mut to: impl AsyncWrite + Unpin,
    mut rx: mpsc::Receiver<Chunk>,
) -> io::Result<()> {
    let mut faults = link.faults.subscribe();
    while let Some(Chunk { due, bytes }) = rx.recv().await {
        tokio::time::sleep_until(due).await;
        if faults.borrow_and_update().mode.drops(direction) {
            link.counters.dropped.fetch_add(bytes.len() as u64, Relaxed);
            return discard(link, direction, faults, rx).await;
        }
        if bytes.is_empty() {
            return to.shutdown().await;
        }
        to.write_all(&bytes).await?;
        link.counters.carried.fetch_add(bytes.len() as u64, Relaxed);
    }
    Ok(())
}

/// Drops received bytes until the link carries this direction again, then fails, which closes the
/// connection.
async fn discard(
    link: &Link,
    direction: Direction,
    mut faults: watch::Receiver<LinkFaults>,
    mut rx: mpsc::Receiver<Chunk>,
) -> io::Result<()> {
    let dropping = async {
        while let Some(Chunk { bytes, .. }) = rx.recv().await {
            link.counters.dropped.fetch_add(bytes.len() as u64, Relaxed);
        }
        future::pending::<()>().await;
    };
    let restored = faults.wait_for(|faults| !faults.mode.drops(direction));
    future::select(Box::pin(restored), Box::pin(dropping)).await;
    Err(io::Error::new(
        io::ErrorKind::ConnectionReset,
        "bytes were lost",
    ))
}
