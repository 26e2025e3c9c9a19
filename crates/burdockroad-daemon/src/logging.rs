//! Logging of one event per line, as key=value pairs, to standard error or a file.

use std::{
    fmt,
    path::{Path, PathBuf},
};

use log::LevelFilter;
use log4rs::{
    append::{
        Append,
        console::{ConsoleAppender, Target},
        file::FileAppender,
    },
    config::{Appender, Config, Logger, Root},
    encode::pattern::PatternEncoder,
};

/// Format of a log line: time, level and module, followed by the pairs of the event.
const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} target={t} {m}{n}";

/// Crates whose events are logged at the configured level. Other crates are logged at most at `warn`.
const OWN_TARGETS: [&str; 4] = [
    "burdockroad",
    "burdockroad_daemon",
    "burdockroad_cli",
    "burdockroadd",
];

/// Starts logging at a level of `error`, `warn`, `info`, `debug` or `trace`.
///
/// # Errors
///
/// Fails when the level is none of these, when the file cannot be opened, or when logging was already
/// started.
pub fn start(level: &str, file: Option<&Path>) -> Result<(), LoggingError> {
    let level = level
        .parse()
        .map_err(|_ignored: log::ParseLevelError| LoggingError::Level(level.to_owned()))?;
    let config = config(level, file)?;
    log4rs::init_config(config).map_err(|cause| LoggingError::NotStarted(cause.to_string()))?;
    Ok(())
}

fn config(level: LevelFilter, file: Option<&Path>) -> Result<Config, LoggingError> {
    let output = Appender::builder().build("output", appender(file)?);
    let loggers = OWN_TARGETS.map(|target| Logger::builder().build(target, level));
    let root = Root::builder()
        .appender("output")
        .build(level.min(LevelFilter::Warn));
    Config::builder()
        .appender(output)
        .loggers(loggers)
        .build(root)
        .map_err(|cause| LoggingError::NotStarted(cause.to_string()))
}

fn appender(file: Option<&Path>) -> Result<Box<dyn Append>, LoggingError> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let Some(path) = file else {
        let console = ConsoleAppender::builder().encoder(encoder).target(Target::Stderr);
        return Ok(Box::new(console.build()));
    };
    let appender = FileAppender::builder().encoder(encoder).build(path);
    match appender {
        Ok(appender) => Ok(Box::new(appender)),
        Err(cause) => Err(LoggingError::File {
            path: path.to_owned(),
            reason: cause.to_string(),
        }),
    }
}

/// Error returned when logging fails to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoggingError {
    /// The level is unknown.
    Level(String),
    /// The file cannot be opened.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        reason: String,
    },
    /// Logging was already started, or its configuration was rejected.
    NotStarted(String),
}

impl fmt::Display for LoggingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Level(level) => write!(f, "unknown log level `{level}`"),
            Self::File { path, reason } => write!(f, "{}: {reason}", path.display()),
            Self::NotStarted(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for LoggingError {}
