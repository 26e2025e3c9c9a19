//! Commands of `burdockroad domain`.

use burdockroad::{
    Document,
    config::{Endpoint, listed_names},
};
use serde_json::json;

use crate::{
    args::Options,
    commands::{change, read_document},
    error::CliError,
    report::Report,
};

/// Document field with the evacuated failure domains.
const EVACUATED_DOMAINS: &str = "evacuated_domains";

pub(super) async fn list(options: &Options) -> Result<Report, CliError> {
    let document = read_document(options).await?;
    let mut lines = Vec::new();
    let mut domains = Vec::new();
    for domain in document.failure_domains() {
        let evacuated = is_evacuated(&document, domain);
        let endpoints = endpoints_in(&document, domain);
        let slots: u32 = endpoints.iter().map(|endpoint| endpoint.slots).sum();
        lines.push(format!(
            "{domain} evacuated={evacuated} endpoints={} slots={slots}",
            endpoints.len()
        ));
        domains.push(json!({
            "failure_domain": domain,
            "evacuated": evacuated,
            "endpoints": endpoints.len(),
            "slots": slots,
        }));
    }
    Ok(Report::new(lines, json!(domains)))
}

pub(super) async fn evacuate(options: &Options, domain: &str) -> Result<Report, CliError> {
    change::edit(options, |editor, base| {
        check_known(&base.document, domain)?;
        if is_evacuated(&base.document, domain) {
            return Err(CliError::Unchanged(format!(
                "the failure domain `{domain}` is already evacuated, in version {}; \
                 `burdockroad status` shows where that version is in force",
                base.version
            )));
        }
        editor.add_name(EVACUATED_DOMAINS, domain);
        Ok(())
    })
    .await
}

pub(super) async fn restore(options: &Options, domain: &str) -> Result<Report, CliError> {
    change::edit(options, |editor, base| {
        check_known(&base.document, domain)?;
        if !is_evacuated(&base.document, domain) {
            return Err(CliError::Unchanged(format!(
                "the failure domain `{domain}` is not evacuated in version {}; \
                 `burdockroad status` shows where that version is in force",
                base.version
            )));
        }
        editor.remove_name(EVACUATED_DOMAINS, domain);
        Ok(())
    })
    .await
}

fn check_known(document: &Document, domain: &str) -> Result<(), CliError> {
    let known = document.failure_domains();
    if known.contains(domain) {
        return Ok(());
    }
    Err(CliError::Missing(format!(
        "there is no failure domain `{domain}`; known: {}",
        listed_names(known)
    )))
}

fn is_evacuated(document: &Document, domain: &str) -> bool {
    document
        .evacuated_domains
        .iter()
        .any(|evacuated| evacuated == domain)
}

fn endpoints_in<'a>(document: &'a Document, domain: &str) -> Vec<&'a Endpoint> {
    let endpoints = document.endpoint_sets.iter().flat_map(|set| &set.endpoints);
    endpoints
        .filter(|endpoint| endpoint.failure_domain == domain)
        .collect()
}
