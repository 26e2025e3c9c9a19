//! Names defined in a document, and references to them.

use std::collections::{BTreeSet, HashMap};

use crate::config::reader::{Location, Node, Reader};

/// Maximum number of known names that a message lists.
const LISTED_NAMES_MAX: usize = 20;

/// Defined names of one kind of entity.
#[derive(Debug)]
pub(super) struct NameTable {
    kind: &'static str,
    /// Line of the first definition of each name.
    lines: HashMap<String, usize>,
}

/// Names of one kind that entities mention without defining them; several entities may share a name.
#[derive(Debug)]
pub(super) struct KnownNames {
    kind: &'static str,
    names: BTreeSet<String>,
}

/// Reference to a name.
#[derive(Debug)]
pub(super) struct Reference {
    name: String,
    location: Location,
}

impl NameTable {
    pub(super) fn new(kind: &'static str) -> Self {
        Self {
            kind,
            lines: HashMap::new(),
        }
    }

    /// Reads the name of an entity, and reports it if it is already defined.
    pub(super) fn define(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<String> {
        let name = reader.name(node)?;
        self.add(reader, node, &name);
        Some(name)
    }

    /// Adds a text, and reports it if it is already defined.
    pub(super) fn add(&mut self, reader: &mut Reader<'_>, node: &Node<'_>, text: &str) {
        let line = reader.line(node.location());
        let Some(first) = self.lines.get(text) else {
            self.lines.insert(text.to_owned(), line);
            return;
        };
        let message = format!(
            "found a second {} like that of line {first}; each must differ",
            self.kind
        );
        reader.report(node.location(), &message);
    }

    /// Reports references to undefined names.
    pub(super) fn resolve(&self, reader: &mut Reader<'_>, references: &[Reference]) {
        for reference in references {
            if !self.lines.contains_key(&reference.name) {
                let message = format!("there is no {} `{}`", self.kind, reference.name);
                let known = self.lines.keys().map(String::as_str);
                reader.report_unknown(&reference.location, &message, &reference.name, known);
            }
        }
    }
}

impl KnownNames {
    pub(super) fn new(kind: &'static str) -> Self {
        Self {
            kind,
            names: BTreeSet::new(),
        }
    }

    /// Reads a name that an entity mentions.
    pub(super) fn read(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<String> {
        let name = reader.name(node)?;
        self.names.insert(name.clone());
        Some(name)
    }

    /// Reports references to unknown names, and lists the known ones.
    pub(super) fn resolve(&self, reader: &mut Reader<'_>, references: &[Reference]) {
        for reference in references {
            if !self.names.contains(&reference.name) {
                let known = || self.names.iter().map(String::as_str);
                let message = format!(
                    "there is no {} `{}`; known: {}",
                    self.kind,
                    reference.name,
                    listed_names(known())
                );
                reader.report_unknown(&reference.location, &message, &reference.name, known());
            }
        }
    }
}

/// Lists names for a message, up to [`LISTED_NAMES_MAX`] of them.
///
/// # Example
///
/// ```
/// use burdockroad::config::listed_names;
///
/// assert_eq!(listed_names(["liwa", "sohar-a"]), "`liwa`, `sohar-a`");
/// assert_eq!(listed_names([]), "none");
/// ```
pub fn listed_names<'a>(names: impl IntoIterator<Item = &'a str>) -> String {
    let mut names = names.into_iter();
    let mut listed: Vec<String> = names
        .by_ref()
        .take(LISTED_NAMES_MAX)
        .map(|name| format!("`{name}`"))
        .collect();
    let omitted = names.count();
    if omitted > 0 {
        listed.push(format!("and {omitted} more"));
    }
    if listed.is_empty() {
        "none".to_owned()
    } else {
        listed.join(", ")
    }
}

impl Reference {
    /// Reads a reference, and records it for [`NameTable::resolve`].
    pub(super) fn read(
        reader: &mut Reader<'_>,
        node: &Node<'_>,
        references: &mut Vec<Self>,
    ) -> Option<String> {
        let name = reader.name(node)?;
        references.push(Self {
            name: name.clone(),
            location: node.location().clone(),
        });
        Some(name)
    }
}
