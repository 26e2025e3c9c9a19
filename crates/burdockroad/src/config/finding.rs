//! What is wrong with a text, and where.

use std::fmt;

use serde::Serialize;

/// Most edits by which a known name may differ from a given one and still be proposed.
const NEAR_MISS_EDITS_MAX: usize = 3;

/// Longest name, in characters, for which a near miss is sought.
const NEAR_MISS_CHARS_MAX: usize = 64;

/// Shortest name, in bytes, for which a longer known name that begins with it is proposed.
const PREFIX_BYTES_MIN: usize = 3;

/// One fault of a text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Finding {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path that leads to the value, such as `$.accounts[2].burst`.
    pub path: String,
    /// What was found, and what is allowed.
    pub message: String,
    /// Known name that was probably meant.
    pub near_miss: Option<String>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}: {}: {}",
            self.line, self.column, self.path, self.message
        )?;
        match &self.near_miss {
            Some(name) => write!(f, "; did you mean `{name}`?"),
            None => Ok(()),
        }
    }
}

/// Returns the known name that is nearest to a given one, if one is near enough.
pub(crate) fn near_miss<'a>(given: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let given: Vec<char> = given.chars().collect();
    if given.len() > NEAR_MISS_CHARS_MAX {
        return None;
    }
    let edits_max = NEAR_MISS_EDITS_MAX.min(given.len().div_ceil(2));
    let near = |edits: usize, name: &str| edits <= edits_max || begins_with(name, &given);
    known
        .into_iter()
        .map(|name| (edits(&given, name), name))
        .filter(|&(edits, name)| near(edits, name))
        .min()
        .map(|(_, name)| name.to_owned())
}

/// Whether a known name begins with a given one that is long enough to mean something.
fn begins_with(name: &str, given: &[char]) -> bool {
    let given: String = given.iter().collect();
    given.len() >= PREFIX_BYTES_MIN && name.starts_with(&given)
}

/// Counts the insertions, removals and replacements that turn one name into another.
fn edits(from: &[char], to: &str) -> usize {
    let mut row: Vec<usize> = (0..=from.len()).collect();
    for (line, wanted) in to.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = line + 1;
        for (column, &given) in from.iter().enumerate() {
            let replaced = diagonal + usize::from(given != wanted);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[from.len()]
}
