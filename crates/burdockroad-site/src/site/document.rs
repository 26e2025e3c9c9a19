//! Document with the accounts, routes and endpoints of a site.

use burdockroad::config::{VersionedDocument, new_key};
use burdockroad_daemon::{
    config_watch::DOCUMENT_KEY,
    platform::{Expected, Put},
};
use burdockroad_standins::processes::Process;
use bytes::Bytes;
use serde_json::{Value, json};

use super::{FAILURE_DOMAINS, Site};

impl Site {
    /// Stores a document as the next version and returns that version.
    pub async fn apply(&self, document: &Value) -> u64 {
        let stored = self
            .store
            .get(DOCUMENT_KEY)
            .await
            .expect("the store is available");
        let earlier = stored
            .as_ref()
            .map(|entry| VersionedDocument::from_bytes(&entry.value).expect("the store contains a document"));
        let version = earlier.map_or(1, |earlier| earlier.version + 1);
        let next = VersionedDocument::new(version, document.to_string()).expect("the document is valid");
        let expected = stored.map_or(Expected::Absent, |entry| Expected::Revision(entry.revision));
        let put = self
            .store
            .put(DOCUMENT_KEY, Bytes::from(next.to_bytes()), expected)
            .await;
        assert!(matches!(put, Ok(Put::Done(_))), "{put:?}");
        version
    }

    /// Returns the stored document.
    pub async fn document(&self) -> Value {
        let entry = self
            .store
            .get(DOCUMENT_KEY)
            .await
            .expect("the store is available")
            .expect("the store contains a document");
        let document = VersionedDocument::from_bytes(&entry.value).expect("the store contains a document");
        serde_json::from_str(&document.text).expect("the document is plain JSON")
    }

    pub(super) fn initial_document(&mut self) -> Value {
        let mut accounts = Vec::new();
        for account in &self.options.accounts {
            let key = new_key(&mut rand::rng());
            accounts.push(json!({
                "id": account.id, "rate_per_s": account.rate_per_s, "burst": account.burst, "keys": [key.entry],
            }));
            self.keys.insert(account.id, key.secret);
        }
        let engines: Vec<Value> = self
            .engines
            .iter()
            .enumerate()
            .map(|(number, engine)| endpoint(&format!("engine-{number}"), number, engine, self.options.slots))
            .collect();
        let service = endpoint("service-0", 0, &self.service, self.options.slots);
        json!({
            "sites": [{ "id": "batinah", "weight": 1 }],
            "accounts": accounts,
            "routes": [
                { "id": "planner-llm", "kind": "model", "endpoint_sets": ["engines"] },
                { "id": "fuel-orders", "kind": "service", "endpoint_sets": ["services"] },
                { "id": "tides", "kind": "service", "idempotent": true, "endpoint_sets": ["services"] },
                { "id": "notices", "kind": "service", "access": "open", "idempotent": true, "endpoint_sets": ["services"] },
            ],
            "endpoint_sets": [
                { "id": "engines", "site": "batinah", "endpoints": engines },
                { "id": "services", "site": "batinah", "endpoints": [service] },
            ],
        })
    }
}

fn endpoint(id: &str, number: usize, process: &Process, slots: u32) -> Value {
    json!({
        "id": id,
        "address": process.address().expect("the process has an address").to_string(),
        "host_id": format!("host-of-{id}"),
        "failure_domain": FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()],
        "slots": slots,
    })
}
