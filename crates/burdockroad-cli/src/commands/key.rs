//! Commands of `burdockroad key`.

use burdockroad::config;
use serde_json::json;

use crate::{
    args::Options,
    commands::{change, read_document},
    edit::Entity,
    error::CliError,
    report::Report,
};

pub(super) async fn issue(options: &Options, account: &str) -> Result<Report, CliError> {
    let issued = config::new_key(&mut rand::rng());
    let result = change::edit(options, |editor, _| {
        let fields = vec![
            ("id", (&issued.entry.id).into()),
            ("sha256", (&issued.entry.sha256).into()),
        ];
        editor.entity("accounts", account)?.add("keys", fields);
        Ok(())
    });
    let mut report = result
        .await
        .map_err(|error| with_key_id(error, &issued.entry.id))?;
    if options.dry_run {
        return Ok(report);
    }
    // Standard output contains only the key, so that it can be piped into a secret store.
    report.notes.insert(
        0,
        format!(
            "key {} of account {account}; it is shown only once and cannot be retrieved later",
            issued.entry.id
        ),
    );
    let lines = report.text.lines().map(str::to_owned);
    report.notes.extend(lines);
    report.text = format!("{}\n", issued.secret);
    report.json["key"] = json!(issued.secret);
    report.json["key_id"] = json!(issued.entry.id);
    Ok(report)
}

/// Adds the id of the new key to an error with unknown outcome. The operator can then withdraw the key,
/// whose secret was never printed.
fn with_key_id(error: CliError, key_id: &str) -> CliError {
    match error {
        CliError::Unknown { version, reason } => CliError::Unknown {
            version,
            reason: format!("{reason}; if it is stored, withdraw the new key with `key revoke {key_id}`"),
        },
        other => other,
    }
}

pub(super) async fn revoke(options: &Options, id: &str) -> Result<Report, CliError> {
    change::edit(options, |editor, _| {
        let accounts = editor.entities("accounts");
        let key = accounts
            .iter()
            .find_map(|account: &Entity| account.entity("keys", id));
        let key = key.ok_or_else(|| CliError::Missing(format!("there is no key with the id `{id}`")))?;
        key.set("withdrawn", true);
        Ok(())
    })
    .await
}

pub(super) async fn list(options: &Options, account: Option<&str>) -> Result<Report, CliError> {
    let document = read_document(options).await?;
    let mut lines = Vec::new();
    let mut keys = Vec::new();
    let accounts = document.accounts.iter();
    for owner in accounts.filter(|owner| account.is_none_or(|account| account == owner.id)) {
        for key in &owner.keys {
            let state = if key.withdrawn { "withdrawn" } else { "valid" };
            lines.push(format!("{} account={} {state}", key.id, owner.id));
            keys.push(json!({ "id": key.id, "account_id": owner.id, "withdrawn": key.withdrawn }));
        }
    }
    Ok(Report::new(lines, json!(keys)))
}
