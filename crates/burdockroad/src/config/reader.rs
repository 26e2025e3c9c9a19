//! Reads JSON with comments and reports every error with its location.
//!
//! A derived `serde` deserializer stops at the first error and does not report its location, so the
//! document and the settings are read with this module instead.

use std::{collections::HashSet, ops::RangeInclusive};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};

use crate::config::finding::{Finding, near_miss};

/// Maximum length of an entity name, in characters.
const NAME_CHARS_MAX: usize = 64;

/// Maximum number of characters of a value that a finding quotes.
const FOUND_CHARS_MAX: usize = 40;

/// Maximum number of findings per text.
const FINDINGS_MAX: usize = 1_000;

/// Collects the findings of one text.
#[derive(Debug)]
pub struct Reader<'a> {
    text: &'a str,
    line_starts: Vec<usize>,
    findings: Vec<Finding>,
}

/// Location of a value: its offset in the text and its path.
#[derive(Clone, Debug)]
pub struct Location {
    offset: usize,
    path: String,
}

/// A value in the text.
#[derive(Clone, Debug)]
pub struct Node<'v> {
    value: &'v Value<'v>,
    location: Location,
}

/// Fields of one object. Each field is read at most once.
#[derive(Debug)]
pub struct Fields<'v> {
    location: Location,
    properties: Vec<&'v ObjectProp<'v>>,
    /// Names of the fields that were requested.
    known: Vec<&'static str>,
}

/// Parses a text and converts its outermost value with `convert`.
///
/// # Errors
///
/// Returns all findings, ordered by location.
pub fn read<T>(
    text: &str,
    convert: impl FnOnce(&mut Reader<'_>, &Node<'_>) -> Option<T>,
) -> Result<T, Vec<Finding>> {
    let mut reader = Reader::new(text);
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &strict_options()) {
        Ok(parsed) => parsed,
        Err(error) => {
            let location = Location::root_at(error.range().start);
            reader.report(
                &location,
                &format!("this is not JSON with comments: {}", error.kind()),
            );
            return Err(reader.findings);
        }
    };
    let Some(value) = &parsed.value else {
        reader.report(
            &Location::root_at(0),
            "the text holds no value; an object is needed",
        );
        return Err(reader.findings);
    };
    let location = Location::root_at(value.range().start);
    let result = convert(&mut reader, &Node { value, location });
    reader.finish(result)
}

/// Returns parse options that allow comments and trailing commas but otherwise require strict JSON.
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

    /// Reports an error at a location.
    pub fn report(&mut self, location: &Location, message: &str) {
        self.add_finding(location, message, None);
    }

    /// Reports an unknown name, and suggests the most similar known name.
    pub fn report_unknown<'n>(
        &mut self,
        location: &Location,
        message: &str,
        given: &str,
        known: impl IntoIterator<Item = &'n str>,
    ) {
        if self.findings.len() < FINDINGS_MAX {
            self.add_finding(location, message, near_miss(given, known));
        }
    }

    /// Returns the line of a location; the first line is 1.
    pub fn line(&self, location: &Location) -> usize {
        self.line_starts
            .partition_point(|&start| start <= location.offset)
    }

    /// Reads a string.
    pub fn string(&mut self, node: &Node<'_>) -> Option<String> {
        match node.value.as_string_lit() {
            Some(literal) => Some(literal.value.clone().into_owned()),
            None => self.mismatch(node, "a text in quotes"),
        }
    }

    /// Reads a SHA-256 digest. Findings do not quote the value, because it may be a secret that was
    /// entered by mistake.
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
        self.report(&node.location, &message);
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

    /// Reads an IP address and port.
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

    /// Reads an integer within a range.
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

    /// Reads a 32-bit integer within a range.
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

    /// Reads one of a set of words.
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
        let message = format!("found {}; allowed: {allowed}", describe(node.value));
        self.report_unknown(&node.location, &message, given, words);
        None
    }

    /// Reads a list of at most `count_max` values, and converts each with `convert`.
    ///
    /// A value that cannot be converted is reported and omitted.
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
                &node.location,
                &format!("found a list of {count} values; allowed: up to {count_max}"),
            );
            return None;
        }
        let mut values = Vec::with_capacity(count);
        for (index, value) in array.elements.iter().enumerate() {
            let location = Location {
                offset: value.range().start,
                path: format!("{}[{index}]", node.location.path),
            };
            values.extend(convert(self, &Node { value, location }));
        }
        Some(values)
    }

    /// Reports that a value does not have the allowed form.
    pub fn mismatch<T>(&mut self, node: &Node<'_>, allowed: &str) -> Option<T> {
        let message = format!("found {}; allowed: {allowed}", describe(node.value));
        self.report(&node.location, &message);
        None
    }

    fn add_finding(&mut self, location: &Location, message: &str, near_miss: Option<String>) {
        if self.findings.len() >= FINDINGS_MAX {
            return;
        }
        let line = self.line(location);
        let before = &self.text[self.line_starts[line - 1]..location.offset];
        self.findings.push(Finding {
            line,
            column: before.chars().count() + 1,
            path: location.path.clone(),
            message: message.to_owned(),
            near_miss,
        });
    }
}

impl Node<'_> {
    /// Returns the location of the value.
    pub fn location(&self) -> &Location {
        &self.location
    }

    /// Returns the length of a list, including values that cannot be read; 0 for other values.
    pub fn list_len(&self) -> usize {
        self.value.as_array().map_or(0, |array| array.elements.len())
    }

    /// Returns whether the value is `null`.
    pub fn is_null(&self) -> bool {
        matches!(self.value, Value::NullKeyword(_))
    }
}

impl Location {
    fn root_at(offset: usize) -> Self {
        Self {
            offset,
            path: "$".to_owned(),
        }
    }
}

impl<'v> Fields<'v> {
    /// Opens an object, and reports duplicate fields.
    pub fn open(reader: &mut Reader<'_>, node: &Node<'v>) -> Option<Self> {
        let Some(object) = node.value.as_object() else {
            return reader.mismatch(node, "an object in braces");
        };
        let fields = Self {
            location: node.location.clone(),
            properties: object.properties.iter().collect(),
            known: Vec::new(),
        };
        fields.report_repeated(reader);
        Some(fields)
    }

    /// Returns the value of an optional field.
    pub fn optional(&mut self, name: &'static str) -> Option<Node<'v>> {
        self.known.push(name);
        let property = self
            .properties
            .iter()
            .find(|property| property.name.as_str() == name)?;
        let location = Location {
            offset: property.value.range().start,
            path: format!("{}.{name}", self.location.path),
        };
        Some(Node {
            value: &property.value,
            location,
        })
    }

    /// Returns the value of a required field, and reports it if it is missing.
    pub fn required(&mut self, reader: &mut Reader<'_>, name: &'static str) -> Option<Node<'v>> {
        let node = self.optional(name);
        if node.is_none() {
            reader.report(&self.location, &format!("the field `{name}` is missing"));
        }
        node
    }

    /// Reports all fields that were not requested by name and are therefore unknown.
    pub fn close(self, reader: &mut Reader<'_>) {
        for property in &self.properties {
            let name = property.name.as_str();
            if !self.known.contains(&name) {
                let location = self.location_of(property);
                let message = format!("there is no field `{}`", shorten(name));
                reader.report_unknown(&location, &message, name, self.known.iter().copied());
            }
        }
    }

    fn report_repeated(&self, reader: &mut Reader<'_>) {
        let mut seen = HashSet::new();
        for property in &self.properties {
            let name = property.name.as_str();
            if !seen.insert(name) {
                let message = format!("the field `{}` is given twice", shorten(name));
                reader.report(&self.location_of(property), &message);
            }
        }
    }

    fn location_of(&self, property: &ObjectProp<'_>) -> Location {
        Location {
            offset: property.range.start,
            path: format!("{}.{}", self.location.path, shorten(property.name.as_str())),
        }
    }
}

/// Returns whether a text is a valid entity name.
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
fn describe(value: &Value<'_>) -> String {
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
