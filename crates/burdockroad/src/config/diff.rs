//! Differences between two documents.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;
use serde_json::Value;

use crate::config::document::Document;

/// One difference between two documents.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Change {
    /// Path of the difference, in which entities are identified by name, such as
    /// `accounts.trust-duty.burst`.
    pub path: String,
    /// JSON value before the change; none if the value was added.
    pub before: Option<String>,
    /// JSON value after the change; none if the value was removed.
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (None, None) => write!(f, "= {}", self.path),
        }
    }
}

/// Returns the differences, entity by entity. The order of entities and the comments are ignored.
///
/// # Example
///
/// ```
/// use burdockroad::config::{Document, Site, diff};
///
/// let before = Document::default();
/// let mut after = before.clone();
/// after.sites.push(Site { id: "batinah".to_owned(), weight: 1 });
/// let changes = diff(&before, &after);
/// assert_eq!(changes[0].to_string(), r#"+ sites.batinah: {"id":"batinah","weight":1}"#);
/// ```
pub fn diff(before: &Document, after: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("", Some(&to_value(before)), Some(&to_value(after)), &mut changes);
    changes
}

fn to_value(document: &Document) -> Value {
    // The document contains only strings, numbers, booleans and lists, all of which can be represented
    // in JSON.
    serde_json::to_value(document).unwrap_or_default()
}

fn compare(path: &str, before: Option<&Value>, after: Option<&Value>, changes: &mut Vec<Change>) {
    if before == after {
        return;
    }
    let children = (before.and_then(children), after.and_then(children));
    let (Some(before_children), Some(after_children)) = children else {
        changes.push(Change {
            path: path.to_owned(),
            before: before.map(ToString::to_string),
            after: after.map(ToString::to_string),
        });
        return;
    };
    let mut names: Vec<&str> = before_children.keys().copied().collect();
    names.extend(
        after_children
            .keys()
            .filter(|name| !before_children.contains_key(*name)),
    );
    for name in names {
        let separator = if path.is_empty() { "" } else { "." };
        let path = format!("{path}{separator}{name}");
        let before = before_children.get(name).copied();
        let after = after_children.get(name).copied();
        compare(&path, before, after, changes);
    }
}

/// Returns the fields of an object, or the entities of a list by name, or none for other values.
fn children(value: &Value) -> Option<BTreeMap<&str, &Value>> {
    match value {
        Value::Object(fields) => {
            let fields = fields.iter();
            Some(fields.map(|(name, value)| (name.as_str(), value)).collect())
        }
        Value::Array(entities) => {
            let named = entities.iter().map(|entity| {
                let id = entity.get("id").and_then(Value::as_str);
                id.map(|id| (id, entity))
            });
            named.collect()
        }
        _ => None,
    }
}
