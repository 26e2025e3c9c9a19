//! Errors found in a text, with their locations.

use std::fmt;

use serde::Serialize;

/// Maximum edit distance between a name and a suggested name.
const NEAR_MISS_EDITS_MAX: usize = 3;

/// Maximum length of a name for which a similar name is searched, in characters.
const NEAR_MISS_CHARS_MAX: usize = 64;

/// Minimum length of a name for which a longer known name with this prefix is suggested, in bytes.
const PREFIX_BYTES_MIN: usize = 3;

/// One error in a text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Finding {
    /// Line number; the first line is 1.
    pub line: usize,
    /// Column in characters; the first column is 1.
    pub column: usize,
    /// Path of the value, such as `$.accounts[2].burst`.
    pub path: String,
    /// Description of the value found and the values allowed.
    pub message: String,
    /// Similar known name, which was probably intended.
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

/// Returns the known name that is most similar to a given one, or none if no name is similar enough.
pub(crate) fn near_miss<'a>(given: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let given: Vec<char> = given.chars().collect();
    if given.len() > NEAR_MISS_CHARS_MAX {
        return None;
    }
    let edits_max = NEAR_MISS_EDITS_MAX.min(given.len().div_ceil(2));
    let is_similar = |edits: usize, name: &str| edits <= edits_max || extends_given(name, &given);
    known
        .into_iter()
        .map(|name| (edit_distance(&given, name), name))
        .filter(|&(edits, name)| is_similar(edits, name))
        .min()
        .map(|(_, name)| name.to_owned())
}

/// Returns whether a known name starts with the given one, which must have at least
/// [`PREFIX_BYTES_MIN`] bytes.
fn extends_given(name: &str, given: &[char]) -> bool {
    let given: String = given.iter().collect();
    given.len() >= PREFIX_BYTES_MIN && name.starts_with(&given)
}

/// Returns the edit distance: the number of insertions, deletions and replacements that turn one name
/// into the other.
fn edit_distance(from: &[char], to: &str) -> usize {
    let mut row: Vec<usize> = (0..=from.len()).collect();
    for (index, target) in to.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, &given) in from.iter().enumerate() {
            let replaced = diagonal + usize::from(given != target);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[from.len()]
}
