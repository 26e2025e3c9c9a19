//! Edits the text of a document and preserves its comments.
//!
//! Removing an entity also removes the comments inside it.

use jsonc_parser::{
    ParseOptions,
    cst::{CstArray, CstInputValue, CstNode, CstObject, CstRootNode},
};

use crate::error::CliError;

/// Editor of a document's text.
///
/// # Example
///
/// ```
/// use burdockroad_cli::edit::Editor;
///
/// let editor = Editor::new("{ // sites\n  \"sites\": [{ \"id\": \"a\", \"weight\": 1 }] }").unwrap();
/// let site = editor.entity("sites", "a").unwrap();
/// site.set("weight", 2);
/// assert_eq!(editor.into_text(), "{ // sites\n  \"sites\": [{ \"id\": \"a\", \"weight\": 2 }] }");
/// ```
#[derive(Debug)]
pub struct Editor {
    root: CstRootNode,
}

/// Entity in a document's text.
#[derive(Clone, Debug)]
pub struct Entity {
    object: CstObject,
}

/// Value of a field.
#[derive(Clone, Debug)]
pub struct Value(CstInputValue);

/// Fields of a new entity.
pub type Fields = Vec<(&'static str, Value)>;

impl Editor {
    /// Parses the text of a document.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON with comments.
    pub fn new(text: &str) -> Result<Self, CliError> {
        let root = CstRootNode::parse(text, &ParseOptions::default())
            .map_err(|error| CliError::Failed(error.to_string()))?;
        Ok(Self { root })
    }

    /// Returns the edited text.
    pub fn into_text(self) -> String {
        self.root.to_string()
    }

    /// Returns the entity with this id from one of the document's lists.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Missing`] if the list has no such entity.
    pub fn entity(&self, list: &str, id: &str) -> Result<Entity, CliError> {
        let root = self.root.object_value_or_set();
        find(&root.array_value_or_set(list), id).ok_or_else(|| missing(list, id))
    }

    /// Appends an entity to one of the document's lists.
    pub fn add(&self, list: &str, fields: Fields) {
        let root = self.root.object_value_or_set();
        append(&root.array_value_or_set(list), fields);
    }

    /// Appends a name to one of the document's lists of names, and adds the list if it is absent.
    pub fn add_name(&self, list: &str, name: &str) {
        let root = self.root.object_value_or_set();
        root.array_value_or_set(list).append(Value::from(name).0);
    }

    /// Removes a name from one of the document's lists of names; does nothing if it is absent.
    pub fn remove_name(&self, list: &str, name: &str) {
        let root = self.root.object_value_or_set();
        let elements = root.array_value_or_set(list).elements().into_iter();
        let matching = elements.filter(|element| decoded(element).as_deref() == Some(name));
        matching.for_each(CstNode::remove);
    }

    /// Returns the entities of one of the document's lists.
    pub fn entities(&self, list: &str) -> Vec<Entity> {
        let root = self.root.object_value_or_set();
        objects(&root.array_value_or_set(list)).collect()
    }
}

impl Entity {
    /// Sets a field and replaces its previous value.
    pub fn set(&self, field: &str, value: impl Into<Value>) {
        let value = value.into().0;
        match self.object.get(field) {
            Some(property) => property.set_value(value),
            None => {
                self.object.append(field, value);
            }
        }
    }

    /// Returns the entity with this id from one of this entity's lists, or none if there is no such entity.
    pub fn entity(&self, list: &str, id: &str) -> Option<Self> {
        find(&self.object.array_value(list)?, id)
    }

    /// Appends an entity to one of this entity's lists.
    pub fn add(&self, list: &str, fields: Fields) {
        append(&self.object.array_value_or_set(list), fields);
    }

    /// Removes the entity from its list.
    pub fn remove(self) {
        self.object.remove();
    }
}

impl From<bool> for Value {
    fn from(value: bool) -> Self {
        Self(CstInputValue::Bool(value))
    }
}

impl From<u32> for Value {
    fn from(value: u32) -> Self {
        Self(CstInputValue::Number(value.to_string()))
    }
}

impl From<f64> for Value {
    fn from(value: f64) -> Self {
        Self(CstInputValue::Number(value.to_string()))
    }
}

impl From<&str> for Value {
    fn from(value: &str) -> Self {
        Self(CstInputValue::String(value.to_owned()))
    }
}

impl From<&String> for Value {
    fn from(value: &String) -> Self {
        Self::from(value.as_str())
    }
}

impl From<&Vec<String>> for Value {
    fn from(values: &Vec<String>) -> Self {
        let values = values.iter().map(|value| Self::from(value).0);
        Self(CstInputValue::Array(values.collect()))
    }
}

fn append(list: &CstArray, fields: Fields) {
    let fields = fields.into_iter().map(|(name, value)| (name.to_owned(), value.0));
    list.append(CstInputValue::Object(fields.collect()));
}

fn find(list: &CstArray, id: &str) -> Option<Entity> {
    objects(list).find(|entity| id_of(&entity.object).as_deref() == Some(id))
}

fn objects(list: &CstArray) -> impl Iterator<Item = Entity> {
    let elements = list.elements().into_iter();
    let objects = elements.filter_map(|element: CstNode| element.as_object());
    objects.map(|object| Entity { object })
}

fn id_of(object: &CstObject) -> Option<String> {
    decoded(&object.get("id")?.value()?)
}

fn decoded(node: &CstNode) -> Option<String> {
    node.as_string_lit()?.decoded_value().ok()
}

fn missing(list: &str, id: &str) -> CliError {
    CliError::Missing(format!("there is no `{id}` among the {}", list.replace('_', " ")))
}
