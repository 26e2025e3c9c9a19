//! Error type of this crate's fallible functions.

use std::{error::Error as StdError, fmt, sync::Arc};

/// Result of a fallible function of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Error with a message and a chain of causes.
///
/// The error is opaque: it is meant to be displayed and propagated. Outcomes that a caller must distinguish
/// are typed values instead of errors, such as [`program::Refusal`](crate::program::Refusal).
///
/// # Example
///
/// ```
/// use burdockroad::Error;
///
/// let error = Error::new("segment 7 is damaged").with_cause(Error::new("record 2 ends early"));
/// assert_eq!(error.to_string(), "segment 7 is damaged: record 2 ends early");
/// ```
#[derive(Clone)]
pub struct Error {
    inner: Arc<Inner>,
}

struct Inner {
    message: String,
    cause: Option<Box<dyn StdError + Send + Sync>>,
}

impl Error {
    /// Creates an error with a message and no cause.
    pub fn new(message: impl Into<String>) -> Self {
        Self {
            inner: Arc::new(Inner {
                message: message.into(),
                cause: None,
            }),
        }
    }

    /// Sets the cause of the error, replacing an earlier one.
    #[must_use]
    pub fn with_cause(self, cause: impl Into<Box<dyn StdError + Send + Sync>>) -> Self {
        let inner = Inner {
            message: self.inner.message.clone(),
            cause: Some(cause.into()),
        };
        Self {
            inner: Arc::new(inner),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.inner.message)?;
        match &self.inner.cause {
            Some(cause) => write!(f, ": {cause}"),
            None => Ok(()),
        }
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({self})")
    }
}

// The message already includes the causes, so `source` is not implemented: a reporter that walks the chain
// would print each cause twice.
impl StdError for Error {}
