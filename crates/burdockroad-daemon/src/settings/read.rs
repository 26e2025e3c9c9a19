//! Parsing and validation of settings.

use std::{ops::RangeInclusive, path::PathBuf};

use burdockroad::config::{
    Finding,
    reader::{Fields, Node, Reader, read},
};

use crate::{
    platform::{HostState, ListedHost},
    settings::{HostListSettings, LimitSettings, Settings, StoreSettings, default_log_level},
};

const STORE_ADDRESSES_MAX: usize = 16;
const HOSTS_MAX: usize = 10_000;
const BODY_BYTES_RANGE: RangeInclusive<u64> = 1_024..=64 * 1024 * 1024;
const HEAD_BYTES_RANGE: RangeInclusive<u64> = 8_192..=1024 * 1024;
const BODIES_BYTES_RANGE: RangeInclusive<u64> = 64 * 1024..=1024 * 1024 * 1024 * 1024;
const CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const TIMEOUT_S_RANGE: RangeInclusive<u64> = 1..=24 * 3_600;
const LOG_LEVEL_NAMES: [(&str, &str); 5] = [
    ("error", "error"),
    ("warn", "warn"),
    ("info", "info"),
    ("debug", "debug"),
    ("trace", "trace"),
];

pub(super) fn parse(text: &str) -> Result<Settings, Vec<Finding>> {
    read(text, settings)
}

fn settings(reader: &mut Reader<'_>, node: &Node<'_>) -> Option<Settings> {
    let mut fields = Fields::open(reader, node)?;
    let host_id = required_name(reader, &mut fields, "host_id");
    let failure_domain = required_name(reader, &mut fields, "failure_domain");
    let site = required_name(reader, &mut fields, "site");
    let mut addresses = Vec::new();
    let caller_address = address(reader, &mut fields, "caller_address", &mut addresses);
    let peer_address = address(reader, &mut fields, "peer_address", &mut addresses);
    let admin_address = address(reader, &mut fields, "admin_address", &mut addresses);
    let store = fields
        .required(reader, "store")
        .and_then(|node| store(reader, &node));
    let host_list = fields
        .required(reader, "host_list")
        .and_then(|node| host_list(reader, &node));
    let log_level = fields
        .optional("log_level")
        .map_or(Some(default_log_level()), |node| {
            reader.choice(&node, &LOG_LEVEL_NAMES).map(str::to_owned)
        });
    let log_file = fields
        .optional("log_file")
        .filter(|node| !node.is_null())
        .map_or(Some(None), |node| path(reader, &node).map(Some));
    let limits = fields
        .optional("limits")
        .map_or(Some(LimitSettings::default()), |node| limits(reader, &node));
    fields.close(reader);
    Some(Settings {
        host_id: host_id?,
        failure_domain: failure_domain?,
        site: site?,
        caller_address: caller_address?,
        peer_address: peer_address?,
        admin_address: admin_address?,
        store: store?,
        host_list: host_list?,
        log_level: log_level?,
        log_file: log_file?,
        limits: limits?,
    })
}

/// Reads a listen address, which must differ from all listen addresses read before it.
fn address(
    reader: &mut Reader<'_>,
    fields: &mut Fields<'_>,
    name: &'static str,
    others: &mut Vec<String>,
) -> Option<String> {
    let node = fields.required(reader, name)?;
    let address = reader.address(&node)?;
    if others.contains(&address) {
        return reader.mismatch(&node, "an address that no other field of these settings has");
    }
    others.push(address.clone());
    Some(address)
}

fn store(reader: &mut Reader<'_>, node: &Node<'_>) -> Option<StoreSettings> {
    let service = |reader: &mut Reader<'_>, fields: &mut Fields<'_>| {
        let node = fields.required(reader, "addresses")?;
        let addresses = store_addresses(reader, &node)?;
        Some(StoreSettings::Service { addresses })
    };
    let embedded = |reader: &mut Reader<'_>, fields: &mut Fields<'_>| {
        let node = fields.required(reader, "data_folder")?;
        let data_folder = path(reader, &node)?;
        Some(StoreSettings::Embedded { data_folder })
    };
    service_or(reader, node, service, ("embedded", embedded))
}

/// Reads an object whose `kind` is `service` or another one, with the field of its kind.
fn service_or<T>(
    reader: &mut Reader<'_>,
    node: &Node<'_>,
    service: impl FnOnce(&mut Reader<'_>, &mut Fields<'_>) -> Option<T>,
    (other_kind, other): (
        &'static str,
        impl FnOnce(&mut Reader<'_>, &mut Fields<'_>) -> Option<T>,
    ),
) -> Option<T> {
    let mut fields = Fields::open(reader, node)?;
    let kind = fields.required(reader, "kind")?;
    let is_service = reader.choice(&kind, &[("service", true), (other_kind, false)])?;
    let settings = if is_service {
        service(reader, &mut fields)
    } else {
        other(reader, &mut fields)
    };
    fields.close(reader);
    settings
}

fn store_addresses(reader: &mut Reader<'_>, node: &Node<'_>) -> Option<Vec<String>> {
    let addresses = reader.list(node, STORE_ADDRESSES_MAX, |reader, node| {
        url(reader, node, "http://IP:PORT", str::is_empty)
    })?;
    if node.list_len() == 0 {
        reader.report(
            node.location(),
            "found an empty list; allowed: one address of the store or more",
        );
    }
    Some(addresses)
}

fn host_list(reader: &mut Reader<'_>, node: &Node<'_>) -> Option<HostListSettings> {
    let service = |reader: &mut Reader<'_>, fields: &mut Fields<'_>| {
        let node = fields.required(reader, "url")?;
        let url = url(reader, &node, "http://IP:PORT/path", |_| true)?;
        Some(HostListSettings::Service { url })
    };
    let fixed = |reader: &mut Reader<'_>, fields: &mut Fields<'_>| {
        let node = fields.required(reader, "hosts")?;
        let hosts = reader.list(&node, HOSTS_MAX, listed_host)?;
        Some(HostListSettings::Fixed { hosts })
    };
    service_or(reader, node, service, ("fixed", fixed))
}

fn listed_host(reader: &mut Reader<'_>, node: &Node<'_>) -> Option<ListedHost> {
    let mut fields = Fields::open(reader, node)?;
    let host_id = required_name(reader, &mut fields, "host_id");
    let failure_domain = required_name(reader, &mut fields, "failure_domain");
    let peer_address = fields
        .optional("peer_address")
        .map_or(Some(String::new()), |node| reader.address(&node));
    let states = [("live", HostState::Live), ("leaving", HostState::Leaving)];
    let state = fields
        .required(reader, "state")
        .and_then(|node| reader.choice(&node, &states));
    fields.close(reader);
    Some(ListedHost {
        host_id: host_id?,
        failure_domain: failure_domain?,
        peer_address: peer_address?,
        state: state?,
    })
}

fn limits(reader: &mut Reader<'_>, node: &Node<'_>) -> Option<LimitSettings> {
    let mut fields = Fields::open(reader, node)?;
    let default = LimitSettings::default();
    let mut number = |name, range, default| {
        fields
            .optional(name)
            .map_or(Some(default), |node| reader.integer(&node, range))
    };
    let body_max_bytes = number("body_max_bytes", BODY_BYTES_RANGE, widen(default.body_max_bytes));
    let bodies_max_bytes = number(
        "bodies_max_bytes",
        BODIES_BYTES_RANGE,
        widen(default.bodies_max_bytes),
    );
    let head_max_bytes = number("head_max_bytes", HEAD_BYTES_RANGE, widen(default.head_max_bytes));
    let connections_max = number(
        "connections_max",
        CONNECTIONS_RANGE,
        widen(default.connections_max),
    );
    let head_timeout_s = number("head_timeout_s", TIMEOUT_S_RANGE, default.head_timeout_s);
    let body_timeout_s = number("body_timeout_s", TIMEOUT_S_RANGE, default.body_timeout_s);
    let call_timeout_s = number("call_timeout_s", TIMEOUT_S_RANGE, default.call_timeout_s);
    let queue_timeout_s = number("queue_timeout_s", TIMEOUT_S_RANGE, default.queue_timeout_s);
    let shutdown_timeout_s = number("shutdown_timeout_s", TIMEOUT_S_RANGE, default.shutdown_timeout_s);
    fields.close(reader);
    Some(LimitSettings {
        body_max_bytes: usize::try_from(body_max_bytes?).ok()?,
        bodies_max_bytes: usize::try_from(bodies_max_bytes?).ok()?,
        head_max_bytes: usize::try_from(head_max_bytes?).ok()?,
        connections_max: usize::try_from(connections_max?).ok()?,
        head_timeout_s: head_timeout_s?,
        body_timeout_s: body_timeout_s?,
        call_timeout_s: call_timeout_s?,
        queue_timeout_s: queue_timeout_s?,
        shutdown_timeout_s: shutdown_timeout_s?,
    })
}

fn required_name(reader: &mut Reader<'_>, fields: &mut Fields<'_>, name: &'static str) -> Option<String> {
    let node = fields.required(reader, name)?;
    reader.name(&node)
}

fn path(reader: &mut Reader<'_>, node: &Node<'_>) -> Option<PathBuf> {
    let text = reader.string(node)?;
    if text.is_empty() {
        return reader.mismatch(node, "the path of a file or folder");
    }
    Some(PathBuf::from(text))
}

/// Reads the URL of a platform service, whose host must be an IP address.
fn url(
    reader: &mut Reader<'_>,
    node: &Node<'_>,
    form: &str,
    path_allowed: impl Fn(&str) -> bool,
) -> Option<String> {
    let text = reader.string(node)?;
    let is_valid = text.strip_prefix("http://").is_some_and(|rest| {
        let end = rest.find('/').unwrap_or(rest.len());
        let (authority, path) = rest.split_at(end);
        authority.parse::<std::net::SocketAddr>().is_ok() && path_allowed(path)
    });
    if !is_valid {
        return reader.mismatch(node, form);
    }
    Some(text)
}

fn widen(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
