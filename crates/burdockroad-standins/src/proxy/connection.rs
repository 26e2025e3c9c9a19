//! A proxied connection: each direction forwards, delays or drops its bytes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::Instant,
};

use crate::proxy::faults::{Direction, ProxyFaults, Shared};

const CHUNK_MAX_BYTES: usize = 16 << 10;
/// Maximum number of chunks in flight in one direction; a full queue stops reading.
const QUEUE_CHUNKS: usize = 256;

/// Error that cuts the connection in both directions.
struct ConnectionBroken;

/// Bytes in flight, or the end of the stream.
struct Chunk {
    due: Instant,
    /// `None` at the end of the stream.
    bytes: Option<Bytes>,
}

/// Forwards a connection until both directions have ended or it is cut.
pub(crate) async fn run(shared: Arc<Shared>, client: TcpStream, target: SocketAddr) {
    let mut cuts = shared.cuts();
    if !shared.admit() {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    drop(server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = relay(&shared, Direction::Forward, client_read, server_write);
    let backward = relay(&shared, Direction::Backward, server_read, client_write);
    tokio::select! {
        _ = cuts.changed() => {}
        // Completes when one direction is broken, or both have ended.
        _ = async { tokio::try_join!(forward, backward) } => {}
    }
}

async fn relay(
    shared: &Shared,
    direction: Direction,
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
) -> Result<(), ConnectionBroken> {
    let (queue, chunks) = mpsc::channel(QUEUE_CHUNKS);
    let reading = read(shared.faults(), direction, from, queue);
    let writing = write(shared, direction, chunks, to);
    tokio::try_join!(reading, writing)?;
    Ok(())
}

/// Reads chunks and queues each with the time at which it is due at the other end.
async fn read(
    mut faults: watch::Receiver<ProxyFaults>,
    direction: Direction,
    mut from: OwnedReadHalf,
    queue: mpsc::Sender<Chunk>,
) -> Result<(), ConnectionBroken> {
    loop {
        let mut buffer = BytesMut::with_capacity(CHUNK_MAX_BYTES);
        let Ok(length) = from.read_buf(&mut buffer).await else {
            // While the direction drops, a reset is withheld too, because a lossy network loses any packet.
            wait_until_forwarding(&mut faults, direction).await;
            return Err(ConnectionBroken);
        };
        let delay = Duration::from_millis(faults.borrow().delay_ms);
        let chunk = Chunk {
            due: Instant::now() + delay,
            bytes: (length > 0).then(|| buffer.freeze()),
        };
        queue.send(chunk).await.map_err(|_closed| ConnectionBroken)?;
        if length == 0 {
            return Ok(());
        }
    }
}

/// Writes each chunk when it is due, or drops it if the direction drops bytes at that time.
async fn write(
    shared: &Shared,
    direction: Direction,
    mut chunks: mpsc::Receiver<Chunk>,
    mut to: OwnedWriteHalf,
) -> Result<(), ConnectionBroken> {
    let mut faults = shared.faults();
    let mut bytes_lost = false;
    loop {
        let chunk = tokio::select! {
            chunk = chunks.recv() => chunk.ok_or(ConnectionBroken)?,
            () = wait_until_forwarding(&mut faults, direction), if bytes_lost => return Err(ConnectionBroken),
        };
        tokio::time::sleep_until(chunk.due).await;
        let drops = faults.borrow().drops(direction);
        match chunk.bytes {
            Some(bytes) if drops => {
                bytes_lost = true;
                shared.count(direction, bytes.len(), true);
            }
            Some(_) if bytes_lost => return Err(ConnectionBroken),
            Some(bytes) => {
                to.write_all(&bytes).await.map_err(|_reset| ConnectionBroken)?;
                shared.count(direction, bytes.len(), false);
            }
            None => return relay_end_of_stream(&mut faults, direction, bytes_lost, to).await,
        }
    }
}

/// Waits until the direction forwards, then forwards the end of the stream, or fails if bytes were lost.
async fn relay_end_of_stream(
    faults: &mut watch::Receiver<ProxyFaults>,
    direction: Direction,
    bytes_lost: bool,
    mut to: OwnedWriteHalf,
) -> Result<(), ConnectionBroken> {
    wait_until_forwarding(faults, direction).await;
    if bytes_lost {
        return Err(ConnectionBroken);
    }
    to.shutdown().await.map_err(|_reset| ConnectionBroken)
}

async fn wait_until_forwarding(faults: &mut watch::Receiver<ProxyFaults>, direction: Direction) {
    // The shared state owns the sender and outlives the connection, so waiting cannot fail.
    let forwarding = faults.wait_for(|faults| !faults.drops(direction)).await;
    drop(forwarding);
}
