//! Starts and controls processes of the workspace's binaries, for tests that kill, pause and restart them.

use std::{
    collections::VecDeque,
    env,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{ExitStatus, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use nix::{
    sys::{
        signal::{self, Signal},
        wait::{self, Id, WaitPidFlag},
    },
    unistd::Pid,
};
use tokio::{
    io::{AsyncBufReadExt, AsyncRead, BufReader},
    process::{Child, Command},
    sync::watch,
};

use crate::error::{Result, StandinError};

/// Timeout for a new process to print its listening address.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const OUTPUT_LINES_MAX: usize = 2000;
const ADDRESS_KEY: &str = "address";

/// A running process, which is killed when the handle is dropped.
///
/// # Example
///
/// ```no_run
/// # async fn run() -> burdockroad_standins::Result<()> {
/// use burdockroad_standins::processes::Process;
///
/// let mut kv = Process::spawn("burdockroad-standin", &["kv"]).await?;
/// println!("the service listens on {}", kv.address()?);
/// kv.stop()?;
/// kv.resume()?;
/// kv.kill().await?;
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    /// First line that starts with `address=`; its fields are `key=value`, separated by blanks.
    address_line: String,
    output: Output,
}

impl Process {
    /// Starts a workspace binary and waits until it prints its listening address.
    ///
    /// The binary must be in the target directory of the current executable.
    ///
    /// # Errors
    ///
    /// Fails when the binary is missing, when the process exits before it prints a line that starts with
    /// `address=`, or when no such line is printed within 30 s.
    pub async fn spawn(binary: &str, arguments: &[&str]) -> Result<Self> {
        let path = binary_path(binary)?;
        let spawn_error = |reason: String| StandinError::Process(format!("{binary}: {reason}"));
        let mut child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| spawn_error(format!("{}: {error}", path.display())))?;
        let output = Output::new();
        let (line_sender, mut line_receiver) = watch::channel(None);
        if let Some(stdout) = child.stdout.take() {
            tokio::spawn(collect_output(stdout, output.clone(), Some(line_sender)));
        }
        if let Some(stderr) = child.stderr.take() {
            tokio::spawn(collect_output(stderr, output.clone(), None));
        }
        let result = tokio::time::timeout(START_TIMEOUT, line_receiver.wait_for(Option::is_some)).await;
        let address_line = match result {
            Ok(Ok(line)) => line.clone().unwrap_or_default(),
            Ok(Err(_ended)) => return Err(spawn_error(format!("exited without address: {}", output.text()))),
            Err(_elapsed) => return Err(spawn_error(format!("no address within 30 s: {}", output.text()))),
        };
        Ok(Self {
            name: binary.to_owned(),
            child,
            address_line,
            output,
        })
    }

    /// Returns the value of a `key=value` field of the address line.
    pub fn field(&self, key: &str) -> Option<&str> {
        let fields = self.address_line.split_whitespace();
        fields
            .filter_map(|field| field.split_once('='))
            .find_map(|(name, value)| (name == key).then_some(value))
    }

    /// Returns the value of `address` in the address line.
    ///
    /// # Errors
    ///
    /// Fails when the value is not an address.
    pub fn address(&self) -> Result<SocketAddr> {
        self.address_of(ADDRESS_KEY)
    }

    /// Returns the value of `key` in the address line as an address.
    ///
    /// # Errors
    ///
    /// Fails when the key is missing, or its value is not an address.
    pub fn address_of(&self, key: &str) -> Result<SocketAddr> {
        let address = self.field(key).and_then(|value| value.parse().ok());
        address.ok_or_else(|| self.process_error(&format!("no {key} in {:?}", self.address_line)))
    }

    /// Returns the last lines that the process wrote to standard output and standard error.
    pub fn output(&self) -> String {
        self.output.text()
    }

    /// Returns the process id, or `None` after the process has ended.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills the process (SIGKILL) and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled.
    pub async fn kill(&mut self) -> Result<()> {
        let killed = self.child.kill().await;
        killed.map_err(|error| self.process_error(&error.to_string()))
    }

    /// Pauses the process (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn stop(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)?;
        // The signal takes effect asynchronously. Wait for it, because until then the process may respond.
        let stopped = WaitPidFlag::WSTOPPED | WaitPidFlag::WNOWAIT;
        let waited = wait::waitid(Id::Pid(self.pid()?), stopped);
        waited.map_err(|error| self.process_error(error.desc()))?;
        Ok(())
    }

    /// Resumes a paused process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Requests termination of the process (SIGTERM).
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    ///
    /// Fails when it does not end within `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus> {
        match tokio::time::timeout(timeout, self.child.wait()).await {
            Ok(Ok(status)) => Ok(status),
            Ok(Err(error)) => Err(self.process_error(&error.to_string())),
            Err(_elapsed) => Err(self.process_error("timed out waiting for its end")),
        }
    }

    /// Kills the process if it is still running.
    pub async fn close(mut self) {
        // Killing a process that has already ended has no effect.
        drop(self.child.kill().await);
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        signal::kill(self.pid()?, signal).map_err(|error| self.process_error(error.desc()))
    }

    fn pid(&self) -> Result<Pid> {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        let id = id.ok_or_else(|| self.process_error("has already ended"))?;
        Ok(Pid::from_raw(id))
    }

    fn process_error(&self, reason: &str) -> StandinError {
        StandinError::Process(format!("{}: {reason}", self.name))
    }
}

impl Drop for Process {
    /// Prints the output of the process when the owning test panics.
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("output of {}:\n{}", self.name, self.output.text());
        }
    }
}

/// Returns distinct loopback ports that were free at the time of the call.
///
/// # Errors
///
/// Fails when there are not enough free ports.
pub fn free_ports(number: usize) -> Result<Vec<u16>> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listen_error = |source| StandinError::Listen { address, source };
    // Each listener stays open until all ports are found, so that no port is returned twice.
    let listeners: std::result::Result<Vec<_>, _> = (0..number).map(|_| TcpListener::bind(address)).collect();
    let listeners = listeners.map_err(listen_error)?;
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses
        .map(|address| Ok(address.map_err(listen_error)?.port()))
        .collect()
}

/// Checks that workspace binaries are built.
///
/// # Errors
///
/// Fails with the name of the first missing binary and the command that builds it.
pub fn require_binaries(binaries: &[&str]) -> Result<()> {
    for binary in binaries {
        binary_path(binary)?;
    }
    Ok(())
}

/// Finds a workspace binary in the target directory of the current test, example or binary.
fn binary_path(binary: &str) -> Result<PathBuf> {
    let current_exe = env::current_exe().map_err(|error| StandinError::Process(error.to_string()))?;
    // Tests run in `deps` and examples in `examples`, which are subdirectories of the target directory.
    let candidates = current_exe
        .ancestors()
        .skip(1)
        .take(2)
        .map(|directory| directory.join(binary));
    let found = candidates.into_iter().find(|path| path.is_file());
    found.ok_or_else(|| {
        StandinError::Process(format!(
            "{binary} is not built; run cargo build --workspace, with --release for a release build"
        ))
    })
}

/// The last lines that a process printed.
#[derive(Clone, Debug)]
struct Output {
    lines: Arc<Mutex<VecDeque<String>>>,
}

impl Output {
    fn new() -> Self {
        Self {
            lines: Arc::default(),
        }
    }

    fn push(&self, line: String) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == OUTPUT_LINES_MAX {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    fn text(&self) -> String {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().flat_map(|line| [line.as_str(), "\n"]).collect()
    }
}

/// Collects the output of a process until its end, and sends the first address line to the channel.
async fn collect_output(
    stream: impl AsyncRead + Unpin,
    output: Output,
    mut address_line: Option<watch::Sender<Option<String>>>,
) {
    let mut lines = BufReader::new(stream).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let has_address = line.starts_with("address=");
        output.push(line.clone());
        if has_address && let Some(sender) = address_line.take() {
            sender.send_replace(Some(line));
        }
    }
}
