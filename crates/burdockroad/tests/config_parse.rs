//! Documents as files, with the findings that each must give beside it.

use std::{fs, path::Path};

use burdockroad::config;

/// The findings of `NAME.jsonc`, one a line, stand in `NAME.findings`; a valid document has none.
fn parse_document(path: &Path, text: String) -> datatest_stable::Result<()> {
    let expected = fs::read_to_string(path.with_extension("findings"))?;
    let found = match config::parse(&text) {
        Ok(_) => String::new(),
        Err(findings) => findings.iter().map(|finding| format!("{finding}\n")).collect(),
    };
    if found == expected {
        return Ok(());
    }
    Err(format!("expected\n{expected}found\n{found}").into())
}

datatest_stable::harness! {
    { test = parse_document, root = "tests/documents", pattern = r"\.jsonc$" },
}
