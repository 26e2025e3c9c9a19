//! Commands of `burdockroad endpoint` and `burdockroad site`.

use serde_json::json;

use crate::{
    args::{EndpointOptions, Options, SiteWeight},
    commands::{change, read_document},
    edit::{Entity, Fields},
    error::CliError,
    report::Report,
};

pub(super) async fn list(options: &Options) -> Result<Report, CliError> {
    let document = read_document(options).await?;
    let mut lines = Vec::new();
    for set in &document.endpoint_sets {
        lines.extend(set.endpoints.iter().map(|endpoint| {
            format!(
                "{} set={} site={} address={} failure_domain={} slots={} draining={}",
                endpoint.id,
                set.id,
                set.site,
                endpoint.address,
                endpoint.failure_domain,
                endpoint.slots,
                endpoint.draining
            )
        }));
    }
    Ok(Report::new(lines, json!(document.endpoint_sets)))
}

pub(super) async fn set(options: &Options, endpoint: &EndpointOptions) -> Result<Report, CliError> {
    let texts = [
        ("address", endpoint.address.as_ref()),
        ("host_id", endpoint.host_id.as_ref()),
        ("failure_domain", endpoint.failure_domain.as_ref()),
    ];
    let texts = texts.into_iter();
    let mut fields: Fields = texts
        .filter_map(|(name, value)| value.map(|value| (name, value.into())))
        .collect();
    fields.extend(endpoint.slots.map(|slots| ("slots", slots.into())));
    if fields.is_empty() {
        let reason = "nothing to set; use `--address`, `--host-id`, `--failure-domain` or `--slots`";
        return Err(CliError::Usage(reason.to_owned()));
    }
    change::edit(options, |editor, _| {
        let set = editor.entity("endpoint_sets", &endpoint.set)?;
        if let Some(existing) = set.entity("endpoints", &endpoint.id) {
            for (name, value) in fields {
                existing.set(name, value);
            }
        } else {
            fields.insert(0, ("id", (&endpoint.id).into()));
            set.add("endpoints", fields);
        }
        Ok(())
    })
    .await
}

pub(super) async fn drain(options: &Options, id: &str, undo: bool) -> Result<Report, CliError> {
    change::edit(options, |editor, _| {
        let sets = editor.entities("endpoint_sets");
        let endpoint = sets.iter().find_map(|set: &Entity| set.entity("endpoints", id));
        let missing = || CliError::Missing(format!("there is no endpoint `{id}`"));
        endpoint.ok_or_else(missing)?.set("draining", !undo);
        Ok(())
    })
    .await
}

pub(super) async fn shift_sites(options: &Options, weights: &[SiteWeight]) -> Result<Report, CliError> {
    change::edit(options, |editor, _| {
        for site in weights {
            editor.entity("sites", &site.id)?.set("weight", site.weight);
        }
        Ok(())
    })
    .await
}
