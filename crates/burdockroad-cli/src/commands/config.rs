//! Commands of `burdockroad config`.

use std::{fs, path::Path};

use burdockroad::{
    DocumentVersion,
    config::{self, VersionedDocument},
};
use serde_json::json;

use crate::{
    apply::{self, Base},
    args::Options,
    commands::{change, open_store},
    error::CliError,
    report::Report,
};

pub(super) fn validate(file: &Path) -> Result<Report, CliError> {
    let text = read(file)?;
    match config::parse(&text) {
        Ok(document) => {
            let line = format!(
                "{}: valid; {} accounts, {} routes, {} endpoint sets",
                file.display(),
                document.accounts.len(),
                document.routes.len(),
                document.endpoint_sets.len()
            );
            Ok(Report::new([line], json!({ "valid": true })))
        }
        Err(findings) => Err(CliError::Invalid {
            origin: file.display().to_string(),
            findings,
        }),
    }
}

pub(super) async fn diff(options: &Options, file: &Path) -> Result<Report, CliError> {
    let document = config::parse(&read(file)?).map_err(|findings| CliError::Invalid {
        origin: file.display().to_string(),
        findings,
    })?;
    let store = open_store(options)?;
    let base = Base::read(store.as_ref()).await?;
    let changes = config::diff(&base.versioned.document, &document);
    let lines = changes.iter().map(ToString::to_string);
    let version = base.versioned.version;
    let mut report = Report::new(lines, json!({ "base_version": version, "changes": changes }));
    report
        .notes
        .push(format!("{} changes against version {version}", changes.len()));
    Ok(report)
}

pub(super) async fn apply(options: &Options, file: &Path) -> Result<Report, CliError> {
    if options.expect_version.is_none() {
        let reason =
            "use `--expect-version N`; N is the version that the file is based on (0 for the first document)";
        return Err(CliError::Usage(reason.to_owned()));
    }
    let text = read(file)?;
    let hosts = change::hosts_to_wait_for(options).await?;
    let store = open_store(options)?;
    let base = Base::read(store.as_ref()).await?;
    base.expect(store.as_ref(), options.expect_version).await?;
    let origin = file.display().to_string();
    change::apply(options, store.as_ref(), hosts, &base, text, &origin).await
}

pub(super) async fn show(options: &Options, version: Option<DocumentVersion>) -> Result<Report, CliError> {
    let store = open_store(options)?;
    let stored = Base::read(store.as_ref()).await?.versioned;
    let shown = match version {
        Some(version) if version != stored.version => apply::history(store.as_ref(), version)
            .await?
            .ok_or_else(|| CliError::Missing(format!("version {version} is not in the history")))?,
        _ => stored,
    };
    Ok(shown_report(&shown))
}

fn shown_report(shown: &VersionedDocument) -> Report {
    let json = json!({ "version": shown.version, "text": shown.text, "document": shown.document });
    let mut report = Report::new([], json);
    report.text.clone_from(&shown.text);
    report.notes.push(format!("version {}", shown.version));
    report
}

pub(super) async fn history(options: &Options) -> Result<Report, CliError> {
    let store = open_store(options)?;
    let current = Base::read(store.as_ref()).await?.versioned.version;
    let versions = apply::history_versions(store.as_ref()).await?;
    let mut lines: Vec<String> = versions.iter().map(ToString::to_string).collect();
    lines.push(format!("{current} (stored)"));
    Ok(Report::new(lines, json!({ "stored": current, "kept": versions })))
}

fn read(file: &Path) -> Result<String, CliError> {
    fs::read_to_string(file).map_err(|error| CliError::Failed(format!("{}: {error}", file.display())))
}
