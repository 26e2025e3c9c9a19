//! Addresses of the daemons of a site.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
};

use serde_json::{Value, json};

use super::FAILURE_DOMAINS;

#[derive(Clone, Copy, Debug)]
pub(super) struct Addresses {
    pub(super) caller: SocketAddr,
    pub(super) peer: SocketAddr,
    pub(super) admin: SocketAddr,
}

/// Returns the addresses of the daemons of a new site.
///
/// Each site uses its own loopback address. On a shared address, an outgoing connection of another test
/// could take a port that was free shortly before.
pub(super) fn allocate_addresses(daemons: usize) -> Vec<Addresses> {
    static SITES: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let site = SITES.fetch_add(1, Ordering::Relaxed);
    let ip = Ipv4Addr::new(127, 64 + high % 64, low, site);
    let at = |port: usize| SocketAddr::from((ip, u16::try_from(port).expect("the port fits into 16 bits")));
    let numbers = 0..daemons;
    numbers
        .map(|number| Addresses {
            caller: at(7_100 + number),
            peer: at(7_200 + number),
            admin: at(7_300 + number),
        })
        .collect()
}

pub(super) fn host_list_entries(addresses: &[Addresses]) -> Value {
    let hosts = addresses.iter().enumerate().map(|(number, addresses)| {
        json!({
            "host_id": format!("host-{number}"),
            "failure_domain": FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()],
            "peer_address": addresses.peer.to_string(),
            "state": "live",
        })
    });
    hosts.collect()
}
