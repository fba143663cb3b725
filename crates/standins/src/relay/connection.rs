//! One relayed connection: two directions, each a reader and a writer with a queue between them,
//! so that a delay does not bound the throughput.

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
    link::{Blow, Link},
};

/// The most that one read takes.
const READ_BYTES: usize = 64 * 1024;
/// Reads under way in one direction.
const QUEUE: usize = 256;

/// Bytes under way; none at the end of the direction.
struct Piece {
    due: Instant,
    bytes: Bytes,
}

/// Relays one connection until it ends, loses bytes for good, is struck, or the relay stops.
pub(super) async fn relay(
    link: Arc<Link>,
    mut near: TcpStream,
    mut far: TcpStream,
) -> io::Result<()> {
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let mut blows = link.blows.subscribe();
    let blow = {
        let (near_rx, near_tx) = near.split();
        let (far_rx, far_tx) = far.split();
        let there = direction(&link, Direction::There, near_rx, far_tx);
        let back = direction(&link, Direction::Back, far_rx, near_tx);
        let relayed = Box::pin(future::try_join(there, back));
        let struck = Box::pin(blows.changed());
        match future::select(relayed, struck).await {
            Either::Left((ended, _)) => return ended.map(drop),
            Either::Right(_) => *link.blows.borrow(),
        }
    };
    match blow {
        Some(Blow::Silence) => future::pending().await,
        Some(Blow::Reset) | None => {
            // A close without lingering is a reset.
            for socket in [&near, &far] {
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
    let (tx, rx) = mpsc::channel(QUEUE);
    future::try_join(read(link, from, tx), write(link, direction, to, rx)).await?;
    Ok(())
}

async fn read(
    link: &Link,
    mut from: impl AsyncRead + Unpin,
    tx: mpsc::Sender<Piece>,
) -> io::Result<()> {
    let mut buf = vec![0; READ_BYTES];
    loop {
        let count = from.read(&mut buf).await?;
        let delay_ms = link.faults.borrow().delay_ms;
        let due = Instant::now() + Duration::from_millis(delay_ms);
        let bytes = Bytes::copy_from_slice(&buf[..count]);
        let sent = tx.send(Piece { due, bytes }).await;
        if count == 0 || sent.is_err() {
            return Ok(());
        }
    }
}

async fn write(
    link: &Link,
    direction: Direction,
    mut to: impl AsyncWrite + Unpin,
    mut rx: mpsc::Receiver<Piece>,
) -> io::Result<()> {
    let mut faults = link.faults.subscribe();
    while let Some(Piece { due, bytes }) = rx.recv().await {
        tokio::time::sleep_until(due).await;
        if faults.borrow_and_update().mode.drops(direction) {
            link.counters.dropped.fetch_add(bytes.len() as u64, Relaxed);
            return drain(link, direction, faults, rx).await;
        }
        if bytes.is_empty() {
            return to.shutdown().await;
        }
        to.write_all(&bytes).await?;
        link.counters.carried.fetch_add(bytes.len() as u64, Relaxed);
    }
    Ok(())
}

/// Drops what comes until the link is whole again, then fails, which closes the connection.
async fn drain(
    link: &Link,
    direction: Direction,
    mut faults: watch::Receiver<LinkFaults>,
    mut rx: mpsc::Receiver<Piece>,
) -> io::Result<()> {
    let dropping = async {
        while let Some(Piece { bytes, .. }) = rx.recv().await {
            link.counters.dropped.fetch_add(bytes.len() as u64, Relaxed);
        }
        future::pending::<()>().await;
    };
    let whole = faults.wait_for(|faults| !faults.mode.drops(direction));
    future::select(Box::pin(whole), Box::pin(dropping)).await;
    Err(io::Error::new(
        io::ErrorKind::ConnectionReset,
        "bytes were lost",
    ))
}
