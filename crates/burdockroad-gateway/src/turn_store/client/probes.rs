//! Checks of hosts that fail and of links that are cut.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::HostId;
use tokio::time::sleep;

use super::{READ_TIMEOUT, TurnClient};
use crate::turn_store::{
    links::{Destination, EncodedCall},
    messages::TurnCall,
};

/// Interval at which failing hosts are looked for.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl TurnClient {
    /// Probes failing hosts, so that they are used again when they are back.
    pub(crate) async fn probe_failing_hosts(self: Arc<Self>) {
        loop {
            sleep(PROBE_CHECK_INTERVAL).await;
            let due = self.disk_hosts.health().take_due_probes(Instant::now());
            for host in due {
                let client = Arc::clone(&self);
                tokio::spawn(async move { client.probe(host).await });
            }
        }
    }

    /// Checks this host's own links that are cut, so that they are used again when they carry calls.
    pub(crate) async fn check_cut_links(self: Arc<Self>) {
        self.links().check_cut_links(|host| self.address_of(host)).await;
    }

    async fn probe(&self, host: HostId) {
        let Some(address) = self.address_of(&host) else {
            // A host that is not registered any more is not used.
            self.disk_hosts.record_response(&host);
            return;
        };
        let Ok(call) = EncodedCall::new(TurnCall::Missing(Vec::new())) else {
            return;
        };
        let destination = Destination::new(&host, address, None);
        // The call records whether the host responded.
        let _response = self.disk_hosts.call(destination, &call, READ_TIMEOUT).await;
    }
}
