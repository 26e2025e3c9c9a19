//! The form that a document has in the key-value service.

use serde::{Deserialize, Serialize};

use crate::{
    DocumentVersion, Error, Result,
    config::{check::parse, document::Document, finding::Finding},
};

/// Largest value of the key-value service, in bytes.
pub(super) const ENVELOPE_MAX_BYTES: usize = 1_000_000;

/// Room for all of the envelope but the text, in bytes.
const ENVELOPE_FRAME_BYTES: usize = 64;

/// A document with its version and the text that the operators wrote.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedDocument {
    /// Version; each accepted change adds one.
    pub version: DocumentVersion,
    /// The text, with its comments.
    pub text: String,
    /// What the text says.
    pub document: Document,
}

/// The stored form.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Envelope {
    version: DocumentVersion,
    text: String,
}

impl VersionedDocument {
    /// Checks a text and gives it a version.
    ///
    /// # Errors
    ///
    /// Returns everything that is wrong with the text.
    pub fn new(version: DocumentVersion, text: impl Into<String>) -> std::result::Result<Self, Vec<Finding>> {
        let text = text.into();
        let document = parse(&text)?;
        Ok(Self {
            version,
            text,
            document,
        })
    }

    /// Reads the stored form.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not that form, or its text is not a valid document.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let envelope: Envelope = serde_json::from_slice(bytes)
            .map_err(|error| Error::new("the stored document has no envelope").with_cause(error))?;
        Self::new(envelope.version, envelope.text).map_err(|findings| invalid(&findings))
    }

    /// Writes the stored form.
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

/// Returns how many bytes the stored form of a text takes at most.
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
