//! Settings files with their expected findings, the shipped examples, and the committed JSON Schemas.

use std::{fs, path::Path};

use burdockroad::{
    Document,
    config::{self, Finding},
};
use burdockroad_daemon::settings::Settings;

/// Checks that parsing `NAME.jsonc` returns the findings in `NAME.findings`, one per line. Valid settings
/// have no findings.
fn parse_settings(path: &Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(path)?;
    let expected = fs::read_to_string(path.with_extension("findings"))?;
    compare(expected.trim_end(), &finding_lines(Settings::parse(&text)))
}

/// Checks that a shipped configuration document or settings file is valid.
fn parse_example(path: &Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(path)?;
    let is_document = path.file_stem().is_some_and(|name| name == "document");
    let actual = if is_document {
        finding_lines(config::parse(&text))
    } else {
        finding_lines(Settings::parse(&text))
    };
    compare("", &actual)
}

/// Checks that the committed schema equals the schema generated from the types.
fn schema_is_current(path: &Path) -> datatest_stable::Result<()> {
    let current = if path.ends_with("document.json") {
        schemars::schema_for!(Document)
    } else {
        schemars::schema_for!(Settings)
    };
    let committed: serde_json::Value = serde_json::from_str(&fs::read_to_string(path)?)?;
    if committed == *current.as_value() {
        return Ok(());
    }
    Err("run `cargo run -p burdockroad-daemon --example write_schema` and commit".into())
}

fn finding_lines<T>(result: Result<T, Vec<Finding>>) -> String {
    let findings = result.err().unwrap_or_default();
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn compare(expected: &str, actual: &str) -> datatest_stable::Result<()> {
    if actual == expected {
        return Ok(());
    }
    Err(format!("expected\n{expected}\nfound\n{actual}").into())
}

datatest_stable::harness! {
    { test = parse_settings, root = "tests/settings", pattern = r"\.jsonc$" },
    { test = parse_example, root = "../../examples", pattern = r"\.jsonc$" },
    { test = schema_is_current, root = "../../docs/schema", pattern = r"\.json$" },
}
