//! Names defined in a document, and references to them.

use std::collections::HashMap;

use crate::config::reader::{Location, Node, Reader};

/// Defined names of one kind of entity.
#[derive(Debug)]
pub(super) struct NameTable {
    kind: &'static str,
    /// Line of the first definition of each name.
    lines: HashMap<String, usize>,
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
