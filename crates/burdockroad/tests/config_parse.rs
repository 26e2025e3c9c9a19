//! Documents in files, each with a file of the expected findings.

use std::{fs, path::Path};

use burdockroad::config;

/// `NAME.findings` contains the expected findings of `NAME.jsonc`, one per line. It is empty for a
/// valid document.
fn parse_document(path: &Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(path)?;
    let expected = fs::read_to_string(path.with_extension("findings"))?;
    let findings = config::parse(&text).err().unwrap_or_default();
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    let found = lines.join("\n");
    if found == expected.trim_end() {
        return Ok(());
    }
    Err(format!("expected\n{expected}found\n{found}").into())
}

datatest_stable::harness! {
    { test = parse_document, root = "tests/documents", pattern = r"\.jsonc$" },
}
