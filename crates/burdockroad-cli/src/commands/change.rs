//! Steps that all changes of the document share.

use burdockroad::config::{self, VersionedDocument};
use burdockroad_daemon::platform::KeyValue;
use serde_json::json;

use crate::{
    apply::Base,
    args::Options,
    commands::{find_hosts, open_store},
    edit::Editor,
    error::{CliError, Exit},
    hosts::Hosts,
    report::Report,
};

/// Reads the document, changes its text with `edit`, and applies the result.
pub(super) async fn edit(
    options: &Options,
    edit: impl FnOnce(&Editor, &VersionedDocument) -> Result<(), CliError>,
) -> Result<Report, CliError> {
    let hosts = hosts_to_wait_for(options).await?;
    let store = open_store(options)?;
    let base = Base::read(store.as_ref()).await?;
    base.expect(store.as_ref(), options.expect_version).await?;
    let editor = Editor::new(&base.versioned.text)?;
    edit(&editor, &base.versioned)?;
    apply(
        options,
        store.as_ref(),
        hosts,
        &base,
        editor.into_text(),
        "changed document",
    )
    .await
}

/// Removes an entity of one of the document's lists.
pub(super) async fn remove(options: &Options, list: &str, id: &str) -> Result<Report, CliError> {
    edit(options, |editor, _| {
        editor.entity(list, id)?.remove();
        Ok(())
    })
    .await
}

/// Returns the hosts to wait for until the change is in force, or none if the command does not wait.
///
/// Callers resolve the hosts before they store the change. If this fails, nothing is stored. After the
/// change is stored, a failure would leave the operator without a report of where it is in force.
pub(super) async fn hosts_to_wait_for(options: &Options) -> Result<Option<Hosts>, CliError> {
    if options.wait.is_none() || options.dry_run || options.data_folder.is_some() {
        return Ok(None);
    }
    match find_hosts(options).await? {
        Some(hosts) => Ok(Some(hosts)),
        None => Err(CliError::Usage(
            "no hosts given; use `--host IP:PORT` for each host, `--host-list URL`, \
             or `--no-wait`; nothing was changed"
                .to_owned(),
        )),
    }
}

/// Applies a text and waits until it is in force on the hosts.
pub(super) async fn apply(
    options: &Options,
    store: &dyn KeyValue,
    hosts: Option<Hosts>,
    base: &Base,
    text: String,
    origin: &str,
) -> Result<Report, CliError> {
    if options.dry_run {
        return dry_run(base, &text, origin);
    }
    let next = base.apply(store, text, origin).await?;
    let changes = config::diff(&base.versioned.document, &next.document);
    let mut lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    lines.push(format!("version {} is stored", next.version));
    let json = json!({ "version": next.version, "changes": changes });
    let mut report = Report::new(lines, json);
    if let (Some(hosts), Some(wait)) = (hosts, options.wait) {
        let lagging = hosts.wait_in_force(&next, wait).await;
        report.json["hosts"] = json!(hosts.addresses().len());
        report.json["not_in_force"] = json!(lagging);
        if lagging.is_empty() {
            let line = format!("in force on {} hosts\n", hosts.addresses().len());
            report.text.push_str(&line);
        } else {
            report.exit = Exit::NotInForce;
            report.notes.push(format!(
                "version {} is stored, but not in force on {} of {} hosts:",
                next.version,
                lagging.len(),
                hosts.addresses().len()
            ));
            let hosts = lagging.into_iter();
            report
                .notes
                .extend(hosts.map(|host| format!("  {}: {}", host.address, host.reason)));
            report.notes.push(
                "A host in state cut_off already refuses keyed calls; a host in state outage_for_all \
                 continues with its version. Check again with `burdockroad status`."
                    .to_owned(),
            );
        }
    }
    Ok(report)
}

fn dry_run(base: &Base, text: &str, origin: &str) -> Result<Report, CliError> {
    let document = config::parse(text).map_err(|findings| CliError::Invalid {
        origin: origin.to_owned(),
        findings,
    })?;
    let changes = config::diff(&base.versioned.document, &document);
    let lines = changes.iter().map(ToString::to_string);
    let mut report = Report::new(
        lines,
        json!({ "base_version": base.versioned.version, "changes": changes }),
    );
    report.notes.push("nothing was stored".to_owned());
    Ok(report)
}
