//! One connection through the proxy: two directions, each of which passes, delays or loses bytes.

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
/// Chunks that are under way in one direction; a full queue stops the reading.
const QUEUE_CHUNKS: usize = 256;

/// The connection has to be cut.
struct Broken;

/// Bytes under way, or the end of the stream.
struct Chunk {
    due: Instant,
    bytes: Option<Bytes>,
}

/// Passes one connection on until an end closes it or it is cut.
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
    let forward = pass(&shared, Direction::Forward, client_read, server_write);
    let backward = pass(&shared, Direction::Backward, server_read, client_write);
    tokio::select! {
        _ = cuts.changed() => {}
        // Ends when one direction is broken, or both have come to their end.
        _ = async { tokio::try_join!(forward, backward) } => {}
    }
}

async fn pass(
    shared: &Shared,
    direction: Direction,
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
) -> Result<(), Broken> {
    let (queue, chunks) = mpsc::channel(QUEUE_CHUNKS);
    let reading = read(shared.faults(), direction, from, queue);
    let writing = write(shared, direction, chunks, to);
    tokio::try_join!(reading, writing)?;
    Ok(())
}

/// Reads chunks and gives each the time at which it is due.
async fn read(
    mut faults: watch::Receiver<ProxyFaults>,
    direction: Direction,
    mut from: OwnedReadHalf,
    queue: mpsc::Sender<Chunk>,
) -> Result<(), Broken> {
    loop {
        let mut buffer = BytesMut::with_capacity(CHUNK_MAX_BYTES);
        let Ok(length) = from.read_buf(&mut buffer).await else {
            // A reset vanishes like any other packet.
            until_passing(&mut faults, direction).await;
            return Err(Broken);
        };
        let delay = Duration::from_millis(faults.borrow().delay_ms);
        let chunk = Chunk {
            due: Instant::now() + delay,
            bytes: (length > 0).then(|| buffer.freeze()),
        };
        queue.send(chunk).await.map_err(|_closed| Broken)?;
        if length == 0 {
            return Ok(());
        }
    }
}

/// Writes chunks when they are due, or lets them vanish.
async fn write(
    shared: &Shared,
    direction: Direction,
    mut chunks: mpsc::Receiver<Chunk>,
    mut to: OwnedWriteHalf,
) -> Result<(), Broken> {
    let mut faults = shared.faults();
    let mut lossy = false;
    loop {
        let chunk = tokio::select! {
            chunk = chunks.recv() => chunk.ok_or(Broken)?,
            () = until_passing(&mut faults, direction), if lossy => return Err(Broken),
        };
        tokio::time::sleep_until(chunk.due).await;
        let drops = faults.borrow().drops(direction);
        match chunk.bytes {
            Some(bytes) if drops => {
                lossy = true;
                shared.count(direction, bytes.len(), true);
            }
            Some(_) if lossy => return Err(Broken),
            Some(bytes) => {
                to.write_all(&bytes).await.map_err(|_reset| Broken)?;
                shared.count(direction, bytes.len(), false);
            }
            None => return end(&mut faults, direction, lossy, to).await,
        }
    }
}

/// Passes the end of the stream on, once the direction passes.
async fn end(
    faults: &mut watch::Receiver<ProxyFaults>,
    direction: Direction,
    lossy: bool,
    mut to: OwnedWriteHalf,
) -> Result<(), Broken> {
    until_passing(faults, direction).await;
    if lossy {
        return Err(Broken);
    }
    to.shutdown().await.map_err(|_reset| Broken)
}

async fn until_passing(faults: &mut watch::Receiver<ProxyFaults>, direction: Direction) {
    // The sender lives as long as the proxy, so waiting cannot fail before the connection ends.
    let passing = faults.wait_for(|faults| !faults.drops(direction)).await;
    drop(passing);
}
