//! Commands of `burdockroad route`.

use burdockroad::config::{Access, RouteKind};
use serde_json::json;

use crate::{
    args::{Options, RouteOptions},
    commands::{change, read_document},
    edit::Fields,
    error::CliError,
    report::Report,
};

pub(super) async fn list(options: &Options) -> Result<Report, CliError> {
    let document = read_document(options).await?;
    let lines = document.routes.iter().map(|route| {
        let kind = match route.kind {
            RouteKind::Model => "model",
            RouteKind::Service => "service",
        };
        let access = match route.access {
            Access::Keyed => "keyed",
            Access::Open => "open",
        };
        format!(
            "{} kind={kind} access={access} idempotent={} endpoint_sets={}",
            route.id,
            route.idempotent,
            route.endpoint_sets.join(",")
        )
    });
    Ok(Report::new(lines, json!(document.routes)))
}

pub(super) async fn add(options: &Options, route: &RouteOptions) -> Result<Report, CliError> {
    let mut fields: Fields = vec![("id", (&route.id).into()), ("kind", (&route.kind).into())];
    fields.extend(route.access.as_ref().map(|access| ("access", access.into())));
    fields.extend(route.idempotent.then(|| ("idempotent", true.into())));
    fields.push(("endpoint_sets", (&route.endpoint_sets).into()));
    change::edit(options, |editor, _| {
        editor.add("routes", fields);
        Ok(())
    })
    .await
}
