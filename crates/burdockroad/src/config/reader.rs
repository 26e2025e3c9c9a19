//! Reads JSON with comments and notes every fault with its place.
//!
//! A derive of `serde` would stop at the first fault and know no place, so document and settings are
//! read through this module instead.

use std::{collections::HashSet, ops::RangeInclusive};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};

use crate::config::finding::{Finding, near_miss};

/// Longest name of an entity, in characters.
const NAME_CHARS_MAX: usize = 64;

/// Longest part of a found text that a finding repeats, in characters.
const FOUND_CHARS_MAX: usize = 40;

/// Most findings that are kept of one text.
const FINDINGS_MAX: usize = 1_000;

/// Collects the findings of one text.
#[derive(Debug)]
pub struct Reader<'a> {
    text: &'a str,
    line_starts: Vec<usize>,
    findings: Vec<Finding>,
}

/// Place of a value: where it stands, and the path that leads to it.
#[derive(Clone, Debug)]
pub struct Place {
    offset: usize,
    path: String,
}

/// One value of the text.
#[derive(Clone, Debug)]
pub struct Node<'v> {
    value: &'v Value<'v>,
    place: Place,
}

/// The fields of one object, each taken at most once.
#[derive(Debug)]
pub struct Fields<'v> {
    place: Place,
    properties: Vec<&'v ObjectProp<'v>>,
    known: Vec<&'static str>,
}

/// Reads a text by a function that turns its outermost value into the wanted type.
///
/// # Errors
///
/// Returns all findings, in the order of their places.
pub fn read<T>(
    text: &str,
    convert: impl FnOnce(&mut Reader<'_>, &Node<'_>) -> Option<T>,
) -> Result<T, Vec<Finding>> {
    let mut reader = Reader::new(text);
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &strict_options()) {
        Ok(parsed) => parsed,
        Err(error) => {
            let place = Place::root_at(error.range().start);
            reader.report(
                &place,
                &format!("this is not JSON with comments: {}", error.kind()),
            );
            return Err(reader.findings);
        }
    };
    let Some(value) = &parsed.value else {
        reader.report(&Place::root_at(0), "the text holds no value; an object is needed");
        return Err(reader.findings);
    };
    let place = Place::root_at(value.range().start);
    let result = convert(&mut reader, &Node { value, place });
    reader.finish(result)
}

/// Comments and trailing commas are allowed; all else is as in JSON.
fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

impl<'a> Reader<'a> {
    fn new(text: &'a str) -> Self {
        let breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            text,
            line_starts: std::iter::once(0).chain(breaks).collect(),
            findings: Vec::new(),
        }
    }

    fn finish<T>(mut self, result: Option<T>) -> Result<T, Vec<Finding>> {
        if let Some(result) = result
            && self.findings.is_empty()
        {
            return Ok(result);
        }
        self.findings
            .sort_by_key(|finding| (finding.line, finding.column));
        Err(self.findings)
    }

    /// Notes a fault at a place.
    pub fn report(&mut self, place: &Place, message: &str) {
        self.note(place, message, None);
    }

    /// Notes a name that is not known, and the known name that is nearest to it.
    pub fn report_unknown<'n>(
        &mut self,
        place: &Place,
        message: &str,
        given: &str,
        known: impl IntoIterator<Item = &'n str>,
    ) {
        if self.findings.len() < FINDINGS_MAX {
            self.note(place, message, near_miss(given, known));
        }
    }

    /// Returns the line of a place, from 1.
    pub fn line(&self, place: &Place) -> usize {
        self.line_starts.partition_point(|&start| start <= place.offset)
    }

    /// Reads a text.
    pub fn string(&mut self, node: &Node<'_>) -> Option<String> {
        match node.value.as_string_lit() {
            Some(literal) => Some(literal.value.clone().into_owned()),
            None => self.mismatch(node, "a text in quotes"),
        }
    }

    /// Reads a text without repeating it in a finding, since it may be a secret.
    pub fn secret_hash(&mut self, node: &Node<'_>) -> Option<String> {
        let text = self.string(node)?;
        let allowed = "0123456789abcdef";
        if text.len() == 64 && text.chars().all(|digit| allowed.contains(digit)) {
            return Some(text);
        }
        let message = format!(
            "found a text of {} characters; allowed: a SHA-256 as 64 lower-case hexadecimal digits",
            text.chars().count()
        );
        self.report(&node.place, &message);
        None
    }

    /// Reads the name of an entity.
    pub fn name(&mut self, node: &Node<'_>) -> Option<String> {
        let text = self.string(node)?;
        if is_name(&text) {
            return Some(text);
        }
        self.mismatch(
            node,
            "1 to 64 letters, digits, `.`, `_` and `-`, of which the first is a letter or digit",
        )
    }

    /// Reads an IP number and port.
    pub fn address(&mut self, node: &Node<'_>) -> Option<String> {
        let text = self.string(node)?;
        if is_address(&text) {
            return Some(text);
        }
        self.mismatch(
            node,
            "IP:PORT with a port other than 0, such as `10.0.0.1:8080` or `[fd00::1]:8080`",
        )
    }

    /// Reads a whole number within a range.
    pub fn integer(&mut self, node: &Node<'_>, range: RangeInclusive<u64>) -> Option<u64> {
        let literal = node.value.as_number_lit().map(|literal| literal.value);
        let number = literal.and_then(|literal| literal.parse().ok());
        match number.filter(|number| range.contains(number)) {
            Some(number) => Some(number),
            None => self.mismatch(
                node,
                &format!("a whole number from {} to {}", range.start(), range.end()),
            ),
        }
    }

    /// Reads a whole number that fits into 32 bits, within a range.
    pub fn integer_u32(&mut self, node: &Node<'_>, range: RangeInclusive<u32>) -> Option<u32> {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        let number = self.integer(node, range)?;
        u32::try_from(number).ok()
    }

    /// Reads a number within a range.
    pub fn number(&mut self, node: &Node<'_>, range: RangeInclusive<f64>) -> Option<f64> {
        let literal = node.value.as_number_lit().map(|literal| literal.value);
        let number = literal.and_then(|literal| literal.parse::<f64>().ok());
        match number.filter(|number| range.contains(number)) {
            Some(number) => Some(number),
            None => self.mismatch(
                node,
                &format!("a number from {} to {}", range.start(), range.end()),
            ),
        }
    }

    /// Reads `true` or `false`.
    pub fn boolean(&mut self, node: &Node<'_>) -> Option<bool> {
        match node.value.as_boolean_lit() {
            Some(literal) => Some(literal.value),
            None => self.mismatch(node, "`true` or `false`"),
        }
    }

    /// Reads one of a few words.
    pub fn choice<T: Copy>(&mut self, node: &Node<'_>, choices: &[(&str, T)]) -> Option<T> {
        let words: Vec<&str> = choices.iter().map(|&(word, _)| word).collect();
        let allowed = format!("one of `{}`", words.join("`, `"));
        let Some(literal) = node.value.as_string_lit() else {
            return self.mismatch(node, &allowed);
        };
        let given = literal.value.as_ref();
        if let Some((_, choice)) = choices.iter().find(|(word, _)| *word == given) {
            return Some(*choice);
        }
        let message = format!("found {}; allowed: {allowed}", found(node.value));
        self.report_unknown(&node.place, &message, given, words);
        None
    }

    /// Reads a list of no more than `count_max` values, each by `convert`.
    ///
    /// A value that cannot be read is left out, and noted.
    pub fn list<'v, T>(
        &mut self,
        node: &Node<'v>,
        count_max: usize,
        mut convert: impl FnMut(&mut Self, &Node<'v>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Some(array) = node.value.as_array() else {
            return self.mismatch(node, "a list");
        };
        let count = array.elements.len();
        if count > count_max {
            self.report(
                &node.place,
                &format!("found a list of {count} values; allowed: up to {count_max}"),
            );
            return None;
        }
        let mut values = Vec::with_capacity(count);
        for (index, value) in array.elements.iter().enumerate() {
            let place = Place {
                offset: value.range().start,
                path: format!("{}[{index}]", node.place.path),
            };
            values.extend(convert(self, &Node { value, place }));
        }
        Some(values)
    }

    /// Notes that a value is not of the allowed form.
    pub fn mismatch<T>(&mut self, node: &Node<'_>, allowed: &str) -> Option<T> {
        let message = format!("found {}; allowed: {allowed}", found(node.value));
        self.report(&node.place, &message);
        None
    }

    fn note(&mut self, place: &Place, message: &str, near_miss: Option<String>) {
        if self.findings.len() >= FINDINGS_MAX {
            return;
        }
        let line = self.line(place);
        let before = &self.text[self.line_starts[line - 1]..place.offset];
        self.findings.push(Finding {
            line,
            column: before.chars().count() + 1,
            path: place.path.clone(),
            message: message.to_owned(),
            near_miss,
        });
    }
}

impl Node<'_> {
    /// Returns the place of the value.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Returns how many values a list holds, also those that cannot be read; 0 for all else.
    pub fn list_len(&self) -> usize {
        self.value.as_array().map_or(0, |array| array.elements.len())
    }

    /// Whether the value is `null`.
    pub fn is_null(&self) -> bool {
        matches!(self.value, Value::NullKeyword(_))
    }
}

impl Place {
    fn root_at(offset: usize) -> Self {
        Self {
            offset,
            path: "$".to_owned(),
        }
    }
}

impl<'v> Fields<'v> {
    /// Opens an object, and notes fields that are given twice.
    pub fn open(reader: &mut Reader<'_>, node: &Node<'v>) -> Option<Self> {
        let Some(object) = node.value.as_object() else {
            return reader.mismatch(node, "an object in braces");
        };
        let fields = Self {
            place: node.place.clone(),
            properties: object.properties.iter().collect(),
            known: Vec::new(),
        };
        fields.report_repeated(reader);
        Some(fields)
    }

    /// Takes a field that may be left out.
    pub fn optional(&mut self, name: &'static str) -> Option<Node<'v>> {
        self.known.push(name);
        let property = self
            .properties
            .iter()
            .find(|property| property.name.as_str() == name)?;
        let place = Place {
            offset: property.value.range().start,
            path: format!("{}.{name}", self.place.path),
        };
        Some(Node {
            value: &property.value,
            place,
        })
    }

    /// Takes a field, and notes when it is missing.
    pub fn required(&mut self, reader: &mut Reader<'_>, name: &'static str) -> Option<Node<'v>> {
        let node = self.optional(name);
        if node.is_none() {
            reader.report(&self.place, &format!("the field `{name}` is missing"));
        }
        node
    }

    /// Notes all fields that nothing has taken.
    pub fn close(self, reader: &mut Reader<'_>) {
        for property in &self.properties {
            let name = property.name.as_str();
            if !self.known.contains(&name) {
                let place = self.place_of(property);
                let message = format!("there is no field `{}`", shorten(name));
                reader.report_unknown(&place, &message, name, self.known.iter().copied());
            }
        }
    }

    fn report_repeated(&self, reader: &mut Reader<'_>) {
        let mut seen = HashSet::new();
        for property in &self.properties {
            let name = property.name.as_str();
            if !seen.insert(name) {
                let message = format!("the field `{}` is given twice", shorten(name));
                reader.report(&self.place_of(property), &message);
            }
        }
    }

    fn place_of(&self, property: &ObjectProp<'_>) -> Place {
        Place {
            offset: property.range.start,
            path: format!("{}.{}", self.place.path, shorten(property.name.as_str())),
        }
    }
}

/// Whether a text can be the name of an entity.
pub fn is_name(text: &str) -> bool {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "._-".contains(character);
    text.len() <= NAME_CHARS_MAX
        && text.starts_with(|first: char| first.is_ascii_alphanumeric())
        && text.chars().all(allowed)
}

fn is_address(text: &str) -> bool {
    text.parse::<std::net::SocketAddr>()
        .is_ok_and(|address| address.port() != 0)
}

/// Describes a value for a finding.
fn found(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(literal) => format!("`{}`", shorten(&literal.value)),
        Value::NumberLit(literal) => shorten(literal.value),
        Value::BooleanLit(literal) => literal.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::NullKeyword(_) => "`null`".to_owned(),
    }
}

fn shorten(text: &str) -> String {
    let mut chars = text.chars();
    let mut short: String = chars.by_ref().take(FOUND_CHARS_MAX).collect();
    if chars.next().is_some() {
        short.push_str("...");
    }
    short.replace(char::is_control, " ")
}
