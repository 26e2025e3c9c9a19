//! Commands of `burdockroad account`.

use serde_json::json;

use crate::{
    args::{Limits, Options},
    commands::{change, read_document},
    edit::Fields,
    error::CliError,
    report::Report,
};

pub(super) async fn list(options: &Options) -> Result<Report, CliError> {
    let document = read_document(options).await?;
    let lines = document.accounts.iter().map(|account| {
        let valid_keys = account.keys.iter().filter(|key| !key.withdrawn).count();
        format!(
            "{} rate_per_s={} burst={} weight={} valid_keys={valid_keys}",
            account.id, account.rate_per_s, account.burst, account.weight
        )
    });
    Ok(Report::new(lines, json!(document.accounts)))
}

pub(super) async fn add(options: &Options, id: &str, limits: Limits) -> Result<Report, CliError> {
    let (Some(rate), Some(burst)) = (limits.rate_per_s, limits.burst) else {
        return Err(CliError::Usage(
            "the options `--rate` and `--burst` are required".to_owned(),
        ));
    };
    let mut fields: Fields = vec![
        ("id", id.into()),
        ("rate_per_s", rate.into()),
        ("burst", burst.into()),
    ];
    fields.extend(limits.weight.map(|weight| ("weight", weight.into())));
    change::edit(options, |editor, _| {
        editor.add("accounts", fields);
        Ok(())
    })
    .await
}

pub(super) async fn set(options: &Options, id: &str, limits: Limits) -> Result<Report, CliError> {
    if limits.rate_per_s.is_none() && limits.burst.is_none() && limits.weight.is_none() {
        let reason = "nothing to change; use `--rate`, `--burst` or `--weight`";
        return Err(CliError::Usage(reason.to_owned()));
    }
    change::edit(options, |editor, _| {
        let account = editor.entity("accounts", id)?;
        if let Some(rate) = limits.rate_per_s {
            account.set("rate_per_s", rate);
        }
        if let Some(burst) = limits.burst {
            account.set("burst", burst);
        }
        if let Some(weight) = limits.weight {
            account.set("weight", weight);
        }
        Ok(())
    })
    .await
}
