//! Caller keys: creation and lookup.

use std::{
    collections::{HashMap, HashSet},
    fmt::{self, Write},
};

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use rand::CryptoRng;
use sha2::{Digest, Sha256};

use crate::{
    AccountId, KeyId,
    config::document::{Document, Key},
};

/// Length of the secret part of a key, in random bytes.
const SECRET_BYTES: usize = 32;

/// Length of the public id of a key, in random bytes.
const ID_BYTES: usize = 6;

/// SHA-256 of a whole key.
type KeyDigest = [u8; 32];

/// Valid keys of a document, by their digests.
///
/// Withdrawn keys are not included. Keys are long and random, so a slow hash or a salt would add no
/// security, and the timing of a lookup reveals at most the digest of a key.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    matches: HashMap<KeyDigest, KeyMatch>,
    valid: HashSet<KeyMatch>,
}

/// Account and public id of a valid key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyMatch {
    /// Account that the key belongs to.
    pub account_id: AccountId,
    /// Public id of the key.
    pub key_id: KeyId,
}

/// A new key and its entry for the document.
///
/// The `Debug` output does not contain the secret.
#[derive(Clone)]
pub struct IssuedKey {
    /// The complete key, which the caller presents.
    pub secret: String,
    /// Entry of the key in the document.
    pub entry: Key,
}

impl KeyTable {
    /// Collects the valid keys of a document.
    pub fn new(document: &Document) -> Self {
        let accounts = document.accounts.iter();
        let keys = accounts.flat_map(|account| account.keys.iter().map(move |key| (account, key)));
        let valid = keys.filter(|(_, key)| !key.withdrawn);
        let matches = valid.filter_map(|(account, key)| {
            let key_match = KeyMatch {
                account_id: account.id.clone(),
                key_id: key.id.clone(),
            };
            digest_from_hex(&key.sha256).map(|digest| (digest, key_match))
        });
        let matches: HashMap<KeyDigest, KeyMatch> = matches.collect();
        let valid = matches.values().cloned().collect();
        Self { matches, valid }
    }

    /// Returns whether a key that was looked up earlier is still valid for its account.
    pub fn contains(&self, key_match: &KeyMatch) -> bool {
        self.valid.contains(key_match)
    }

    /// Returns the account and id of a presented key, or none if the key is unknown or withdrawn.
    ///
    /// # Example
    ///
    /// ```
    /// use burdockroad::config::{Document, KeyTable};
    ///
    /// let keys = KeyTable::new(&Document::default());
    /// assert_eq!(keys.lookup("brk_4f2a_secret"), None);
    /// ```
    pub fn lookup(&self, presented_key: &str) -> Option<KeyMatch> {
        self.matches.get(&digest(presented_key)).cloned()
    }

    /// Returns the number of valid keys.
    pub fn len(&self) -> usize {
        self.matches.len()
    }

    /// Returns whether there is no valid key.
    pub fn is_empty(&self) -> bool {
        self.matches.is_empty()
    }
}

impl fmt::Debug for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("IssuedKey")
            .field("entry", &self.entry)
            .finish_non_exhaustive()
    }
}

/// Creates a key of the form `brk_{key id}_{43 characters of base64url}`.
pub fn new_key(rng: &mut dyn CryptoRng) -> IssuedKey {
    let id = hex(&random_bytes::<ID_BYTES>(rng));
    let random = URL_SAFE_NO_PAD.encode(random_bytes::<SECRET_BYTES>(rng));
    let secret = format!("brk_{id}_{random}");
    let entry = Key {
        id,
        sha256: key_hash(&secret),
        withdrawn: false,
    };
    IssuedKey { secret, entry }
}

/// Returns the SHA-256 digest of a key in hexadecimal digits, as stored in the document.
pub fn key_hash(key: &str) -> String {
    hex(&digest(key))
}

fn random_bytes<const N: usize>(rng: &mut dyn CryptoRng) -> [u8; N] {
    let mut bytes = [0; N];
    rng.fill_bytes(&mut bytes);
    bytes
}

fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a `String` cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn digest_from_hex(text: &str) -> Option<KeyDigest> {
    let mut digest = KeyDigest::default();
    if text.len() != 2 * digest.len() {
        return None;
    }
    for (index, byte) in digest.iter_mut().enumerate() {
        let digits = text.get(2 * index..2 * index + 2)?;
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(digest)
}
