//! Log of turns on a disk.
//!
//! Turns are appended to segment files by one thread, which syncs all turns that arrived during the previous
//! sync together. A turn counts as stored only after the sync. Whole segments are removed when all of their
//! turns have expired. A segment is never appended to after a failed write or a restart, so a torn record is
//! always the last one of its segment and was never reported as stored.

mod recovery;
mod segment;
mod writer;

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc},
};

use burdockroad::{
    AccountId,
    gateway::{IndexPage, Turn, TurnCopy, TurnId, TurnIndex, TurnKey},
};
use tokio::{sync::oneshot, task::spawn_blocking};

pub use self::recovery::RecoveredSegment;
use self::{
    segment::{RecordLocation, SegmentNumber, read_record, segment_path},
    writer::{AppendJob, run_writer},
};

/// Longest chain that is read in one call.
const CHAIN_MAX_TURNS: usize = 4096;

/// Contents of one response at which no further turn is added, in bytes.
const READ_MAX_BYTES: usize = 512 << 10;

/// Log of turns in a folder. Clones share it.
///
/// # Example
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// use burdockroad::gateway::{Turn, TurnKey};
/// use burdockroad_gateway::TurnLog;
///
/// let folder = tempfile::tempdir()?;
/// let (log, _recovered) = TurnLog::open(folder.path())?;
/// let key = TurnKey { account: "account".to_owned(), turn: "1".to_owned() };
/// log.append(vec![Turn {
///     key: key.clone(),
///     previous: None,
///     root: "1".to_owned(),
///     home_domain: "a".to_owned(),
///     expires_unix_ms: 1000,
///     stored_until_unix_ms: 2000,
///     allowed_regions: None,
///     input: "question".into(),
///     output: "answer\n".into(),
/// }])
/// .await?;
/// let chain = log.read_chain(key).await?;
/// assert_eq!(chain[0].output, "answer\n");
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct TurnLog {
    inner: Arc<LogInner>,
    jobs: mpsc::Sender<AppendJob>,
}

#[derive(Debug)]
struct LogInner {
    folder: PathBuf,
    state: Mutex<LogState>,
}

/// Index of the log's turns, and its segments.
#[derive(Debug, Default)]
struct LogState {
    index: TurnIndex<RecordLocation>,
    /// Latest expiry of the turns of each segment, in Unix milliseconds.
    segments: BTreeMap<SegmentNumber, u64>,
}

impl TurnLog {
    /// Opens the log in `folder`, which is created if it does not exist. Also returns what was read.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be created or listed. A segment that cannot be read is left out.
    pub fn open(folder: &Path) -> io::Result<(Self, Vec<RecoveredSegment>)> {
        fs::create_dir_all(folder)?;
        let mut state = LogState::default();
        let recovered = recovery::recover(folder, &mut state)?;
        let next_segment = state.segments.keys().next_back().map_or(0, |last| last + 1);
        let inner = Arc::new(LogInner {
            folder: folder.to_owned(),
            state: Mutex::new(state),
        });
        let (jobs, received_jobs) = mpsc::channel();
        let writer_inner = Arc::clone(&inner);
        std::thread::spawn(move || run_writer(&writer_inner, next_segment, &received_jobs));
        Ok((Self { inner, jobs }, recovered))
    }

    /// Appends turns, and returns when they are on the disk.
    ///
    /// # Errors
    ///
    /// Fails when the turns may not be on the disk.
    pub async fn append(&self, turns: Vec<Turn>) -> io::Result<()> {
        let (done, result) = oneshot::channel();
        let job = AppendJob { turns, done };
        self.jobs.send(job).map_err(|_stopped| writer_stopped())?;
        result.await.map_err(|_stopped| writer_stopped())?
    }

    /// Reads the newest turns of the chain that ends with a turn, newest turn first, up to the first one that
    /// is not in the log. Empty when the turn is not in the log.
    ///
    /// Turns that can no longer be continued by themselves are read, too, as long as they are stored: they may be
    /// ancestors of the turn that a call continues.
    ///
    /// # Errors
    ///
    /// Fails when a record cannot be read.
    pub async fn read_chain(&self, key: TurnKey) -> io::Result<Vec<Turn>> {
        let inner = Arc::clone(&self.inner);
        blocking(move || inner.read_chain(key)).await
    }

    /// Reads single turns. Turns that are not in the log, or that do not fit into one response, are left out.
    ///
    /// # Errors
    ///
    /// Fails when a record cannot be read.
    pub async fn read(&self, keys: Vec<TurnKey>) -> io::Result<Vec<Turn>> {
        let inner = Arc::clone(&self.inner);
        blocking(move || inner.read(&keys)).await
    }

    /// Returns whether the log has a turn.
    pub fn contains(&self, key: &TurnKey) -> bool {
        self.lock().index.contains(key)
    }

    /// Returns whether the log has a turn for at least as long as another host's copy is stored.
    pub fn outlasts(&self, copy: &TurnCopy) -> bool {
        self.lock().index.outlasts(copy)
    }

    /// Returns the ids of the turns of an account.
    pub fn turns_of(&self, account: &AccountId) -> Vec<TurnId> {
        self.lock().index.turns_of(account)
    }

    /// Returns at most `page_max` turns of the index from position `from`.
    pub fn page(&self, from: u64, page_max: usize) -> IndexPage {
        self.lock().index.page(from, page_max)
    }

    /// Returns whether the log has no turns.
    pub fn is_empty(&self) -> bool {
        self.lock().index.is_empty()
    }

    /// Removes expired turns, and the segments that contain no others. The segment with the highest number is
    /// retained, because turns may be appended to it.
    ///
    /// # Errors
    ///
    /// Fails when a segment cannot be removed.
    pub async fn remove_expired(&self, now_unix_ms: u64) -> io::Result<()> {
        let expired = self.inner.lock().take_expired(now_unix_ms);
        if expired.is_empty() {
            return Ok(());
        }
        let folder = self.inner.folder.clone();
        blocking(move || {
            for segment in expired {
                fs::remove_file(segment_path(&folder, segment))?;
            }
            sync_folder(&folder)
        })
        .await
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.inner.lock()
    }
}

impl LogInner {
    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read_chain(&self, key: TurnKey) -> io::Result<Vec<Turn>> {
        let mut chain: Vec<Turn> = Vec::new();
        let mut bytes = 0;
        let mut next = Some(key);
        while let Some(key) = next
            && chain.len() < CHAIN_MAX_TURNS
            && bytes < READ_MAX_BYTES
        {
            let Some(turn) = self.read_one(&key)? else {
                break;
            };
            next = turn.previous_key();
            bytes += turn.content_bytes();
            chain.push(turn);
        }
        Ok(chain)
    }

    fn read(&self, keys: &[TurnKey]) -> io::Result<Vec<Turn>> {
        let mut turns = Vec::new();
        let mut bytes = 0;
        for key in keys {
            if bytes >= READ_MAX_BYTES {
                break;
            }
            if let Some(turn) = self.read_one(key)? {
                bytes += turn.content_bytes();
                turns.push(turn);
            }
        }
        Ok(turns)
    }

    fn read_one(&self, key: &TurnKey) -> io::Result<Option<Turn>> {
        let Some(location) = self.lock().index.location(key) else {
            return Ok(None);
        };
        read_record(&self.folder, location).map(Some)
    }
}

impl LogState {
    fn take_expired(&mut self, now_unix_ms: u64) -> Vec<SegmentNumber> {
        self.index.remove_expired(now_unix_ms);
        let last = self.segments.keys().next_back().copied();
        let expired = self.segments.extract_if(.., |number, expires| {
            Some(*number) != last && *expires <= now_unix_ms
        });
        expired.map(|(number, _)| number).collect()
    }
}

async fn blocking<T: Send + 'static>(
    operation: impl FnOnce() -> io::Result<T> + Send + 'static,
) -> io::Result<T> {
    spawn_blocking(operation).await.map_err(io::Error::other)?
}

/// Makes the creation and removal of files in a folder durable.
fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

fn writer_stopped() -> io::Error {
    io::Error::other("the thread that writes the turns has stopped")
}
