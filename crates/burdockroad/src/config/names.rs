//! Names that a document defines, and the references to them.

use std::collections::HashMap;

use crate::config::reader::{Node, Place, Reader};

/// The names of one kind of entity.
#[derive(Debug)]
pub(super) struct NameTable {
    kind: &'static str,
    lines: HashMap<String, usize>,
}

/// A use of a name.
#[derive(Debug)]
pub(super) struct Reference {
    name: String,
    place: Place,
}

impl NameTable {
    pub(super) fn new(kind: &'static str) -> Self {
        Self {
            kind,
            lines: HashMap::new(),
        }
    }

    /// Reads the name of an entity, and notes it when another has it already.
    pub(super) fn define(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<String> {
        let name = reader.name(node)?;
        self.add(reader, node, &name);
        Some(name)
    }

    /// Takes a text that must differ from all others of its kind.
    pub(super) fn add(&mut self, reader: &mut Reader<'_>, node: &Node<'_>, text: &str) {
        let line = reader.line(node.place());
        let Some(first) = self.lines.get(text) else {
            self.lines.insert(text.to_owned(), line);
            return;
        };
        let message = format!(
            "found a second {} like that of line {first}; each must differ",
            self.kind
        );
        reader.report(node.place(), &message);
    }

    /// Notes the references that lead nowhere.
    pub(super) fn resolve(&self, reader: &mut Reader<'_>, references: &[Reference]) {
        for reference in references {
            if !self.lines.contains_key(&reference.name) {
                let message = format!("there is no {} `{}`", self.kind, reference.name);
                let known = self.lines.keys().map(String::as_str);
                reader.report_unknown(&reference.place, &message, &reference.name, known);
            }
        }
    }
}

impl Reference {
    /// Reads a use of a name, and keeps it for [`NameTable::resolve`].
    pub(super) fn read(
        reader: &mut Reader<'_>,
        node: &Node<'_>,
        references: &mut Vec<Self>,
    ) -> Option<String> {
        let name = reader.name(node)?;
        references.push(Self {
            name: name.clone(),
            place: node.place().clone(),
        });
        Some(name)
    }
}
