//! Stored form of a document in the key-value service.

use serde::{Deserialize, Serialize};

use crate::{
    DocumentVersion, Error, Result,
    config::{check::parse, document::Document, finding::Finding},
};

/// Maximum size of a value in the key-value service, in bytes.
pub(super) const ENVELOPE_MAX_BYTES: usize = 1_000_000;

/// Space reserved for the envelope around the text, in bytes.
const ENVELOPE_FRAME_BYTES: usize = 64;

/// A document with its version and original text.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedDocument {
    /// Version number; each accepted change increments it by 1.
    pub version: DocumentVersion,
    /// The original text, including comments.
    pub text: String,
    /// The parsed document.
    pub document: Document,
}

/// Stored form of a document.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Envelope {
    version: DocumentVersion,
    text: String,
}

impl VersionedDocument {
    /// Parses a text and assigns a version to it.
    ///
    /// # Errors
    ///
    /// Returns all findings in the text.
    pub fn new(version: DocumentVersion, text: impl Into<String>) -> std::result::Result<Self, Vec<Finding>> {
        let text = text.into();
        let document = parse(&text)?;
        Ok(Self {
            version,
            text,
            document,
        })
    }

    /// Decodes the stored form.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid envelope, or if its text is not a valid document.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let envelope: Envelope = serde_json::from_slice(bytes).map_err(|error| {
            Error::new("the envelope of the stored document could not be decoded").with_cause(error)
        })?;
        Self::new(envelope.version, envelope.text).map_err(|findings| invalid(&findings))
    }

    /// Encodes the stored form.
    ///
    /// # Example
    ///
    /// ```
    /// use burdockroad::config::VersionedDocument;
    ///
    /// let text = r#"{ "sites": [], "accounts": [], "routes": [], "endpoint_sets": [] }"#;
    /// let document = VersionedDocument::new(7, text).unwrap();
    /// assert_eq!(VersionedDocument::from_bytes(&document.to_bytes()).unwrap(), document);
    /// ```
    pub fn to_bytes(&self) -> Vec<u8> {
        let text = serde_json::Value::from(self.text.as_str());
        format!(r#"{{"version":{},"text":{text}}}"#, self.version).into_bytes()
    }
}

/// Returns an upper bound on the size of the stored form of a text, in bytes.
pub(super) fn envelope_bytes(text: &str) -> usize {
    serde_json::Value::from(text).to_string().len() + ENVELOPE_FRAME_BYTES
}

fn invalid(findings: &[Finding]) -> Error {
    let first = findings.first().map(ToString::to_string).unwrap_or_default();
    Error::new(format!(
        "the stored document is not valid, findings={}",
        findings.len()
    ))
    .with_cause(Error::new(first))
}
