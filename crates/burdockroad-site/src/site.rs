//! Test site of processes: stand-ins for the platform, endpoints and several daemons.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use burdockroad::config::{VersionedDocument, new_key};
use burdockroad_daemon::{
    config_watch::DOCUMENT_KEY,
    platform::{self, Expected, Put, SharedKeyValue},
    settings::StoreSettings,
};
use burdockroad_standins::{http_client::HttpClient, processes::Process};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use crate::caller::Caller;

/// Timeout of [`wait_until`].
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two polls of [`wait_until`].
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Failure domains over which hosts and endpoints are distributed.
const FAILURE_DOMAINS: [&str; 3] = ["sohar-a", "sohar-b", "liwa"];

/// Configuration of a site.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Command-line options of each engine stand-in.
    pub engine_options: Vec<&'static str>,
    /// Command-line options of the service stand-in.
    pub service_options: Vec<&'static str>,
    /// Calls that each endpoint serves concurrently.
    pub slots: u32,
    /// Client accounts in the document.
    pub accounts: Vec<AccountOptions>,
    /// Limits in the settings of each daemon that differ from the defaults, as JSON.
    pub limits: Value,
}

/// Client account of a site.
#[derive(Clone, Copy, Debug)]
pub struct AccountOptions {
    /// Id of the account.
    pub id: &'static str,
    /// Admitted calls per second, in total over all hosts.
    pub rate_per_s: f64,
    /// Calls admitted at once, in total over all hosts.
    pub burst: u32,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            daemons: 3,
            engines: 2,
            engine_options: vec!["--token-ms", "1"],
            service_options: Vec::new(),
            slots: 8,
            accounts: vec![
                AccountOptions {
                    id: "masters",
                    rate_per_s: 200.0,
                    burst: 200,
                },
                AccountOptions {
                    id: "port-agents",
                    rate_per_s: 200.0,
                    burst: 200,
                },
            ],
            limits: json!({}),
        }
    }
}

/// Running site. Daemons are numbered from 0.
#[derive(Debug)]
pub struct Site {
    /// Stand-in for the key-value service.
    pub kv: Process,
    /// Stand-in for the platform's host list.
    pub host_list: Process,
    /// Stand-ins for model engines.
    pub engines: Vec<Process>,
    /// Stand-in for a service that is not a model engine.
    pub service: Process,
    /// Daemon processes, by number.
    pub daemons: Vec<Process>,
    /// Proxies between each daemon and the key-value service, by the daemon's number.
    pub store_proxies: Vec<Process>,
    /// Client of the key-value service that bypasses the proxies.
    pub store: SharedKeyValue,
    /// HTTP client for requests to daemons and stand-ins.
    pub http: HttpClient,
    /// Configuration with which the site was started.
    pub options: SiteOptions,
    addresses: Vec<Addresses>,
    keys: BTreeMap<&'static str, String>,
    folder: TempDir,
}

#[derive(Clone, Copy, Debug)]
struct Addresses {
    caller: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
}

impl Site {
    /// Starts all processes and waits until all daemons are ready and own partitions.
    pub async fn start(options: SiteOptions) -> Self {
        let kv = Process::spawn("burdockroad-standin", &["kv"])
            .await
            .expect("the key-value service starts");
        let addresses = allocate_addresses(options.daemons);
        let listed = host_list_entries(&addresses).to_string();
        let arguments = ["host-list", "--hosts", &listed];
        let host_list = Process::spawn("burdockroad-standin", &arguments)
            .await
            .expect("the host list starts");
        let mut engines = Vec::new();
        for _ in 0..options.engines {
            let mut arguments = vec!["engine"];
            arguments.extend(&options.engine_options);
            engines.push(
                Process::spawn("burdockroad-standin", &arguments)
                    .await
                    .expect("the engine starts"),
            );
        }
        let mut arguments = vec!["service"];
        arguments.extend(&options.service_options);
        let service = Process::spawn("burdockroad-standin", &arguments)
            .await
            .expect("the service starts");
        let mut store_proxies = Vec::new();
        let target = kv.address().expect("the process has an address").to_string();
        for _ in 0..options.daemons {
            let proxy = Process::spawn("burdockroad-standin", &["proxy", "--target", &target]).await;
            store_proxies.push(proxy.expect("the proxy starts"));
        }
        let store = connect(kv.address().expect("the process has an address"));
        let mut site = Self {
            kv,
            host_list,
            engines,
            service,
            daemons: Vec::new(),
            store_proxies,
            store,
            http: HttpClient::with_timeout(Duration::from_mins(1)),
            options,
            addresses,
            keys: BTreeMap::new(),
            folder: TempDir::new().expect("a temporary folder can be created"),
        };
        let document = site.initial_document();
        site.apply(&document).await;
        for number in 0..site.options.daemons {
            let daemon = site.spawn_daemon(number).await;
            site.daemons.push(daemon);
        }
        for number in 0..site.options.daemons {
            site.wait_until_ready(number).await;
        }
        site.wait_until_partitions_owned().await;
        site
    }

    /// Restarts a daemon that has ended, with the same host id and addresses.
    pub async fn restart(&mut self, number: usize) {
        self.daemons[number] = self.spawn_daemon(number).await;
        self.wait_until_ready(number).await;
    }

    /// Returns the URL of a daemon for callers.
    pub fn url(&self, number: usize) -> String {
        format!("http://{}", self.addresses[number].caller)
    }

    /// Returns the URL of a daemon's admin address.
    pub fn admin_url(&self, number: usize) -> String {
        format!("http://{}", self.addresses[number].admin)
    }

    /// Returns a caller with the key of an account.
    pub fn caller(&self, account: &'static str) -> Caller<'_> {
        Caller {
            site: self,
            key: self.keys[account].clone(),
        }
    }

    /// Returns the key of an account.
    pub fn key(&self, account: &'static str) -> &str {
        &self.keys[account]
    }

    /// Returns the status of a daemon, or none if it does not respond.
    pub async fn status(&self, number: usize) -> Option<Value> {
        self.http
            .get_json(&format!("{}/status", self.admin_url(number)))
            .await
            .ok()
    }

    /// Waits until a daemon owns a program and returns its number.
    pub async fn owner_of(&self, program_id: &str) -> usize {
        let number = wait_until("a daemon owns the program", || async {
            for number in 0..self.daemons.len() {
                let url = format!("{}/programs/{program_id}", self.admin_url(number));
                let request = Request::get(url)
                    .body(Full::default())
                    .expect("the request is valid");
                if self
                    .http
                    .send(request)
                    .await
                    .is_ok_and(|response| response.status.is_success())
                {
                    return Some(number);
                }
            }
            None
        });
        number.await
    }

    /// Sends a POST request to a stand-in's control address.
    pub async fn post_control(&self, standin: &Process, path: &str, body: &Value) {
        self.send_control(Method::POST, standin, path, body).await;
    }

    /// Sends a PUT request to a stand-in's control address.
    pub async fn put_control(&self, standin: &Process, path: &str, value: &Value) {
        self.send_control(Method::PUT, standin, path, value).await;
    }

    async fn send_control(&self, method: Method, standin: &Process, path: &str, body: &Value) {
        let address = standin
            .address_of("control")
            .expect("the stand-in has a control address");
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        let request = request
            .body(Full::from(body.to_string()))
            .expect("the request is valid");
        let response = self.http.send(request).await.expect("the stand-in responds");
        assert!(response.status.is_success(), "{path} {body}: {}", response.text());
    }

    /// Sends a GET request to a stand-in's control address and returns the JSON in the response.
    pub async fn get_control(&self, standin: &Process, path: &str) -> Value {
        let address = standin
            .address_of("control")
            .expect("the stand-in has a control address");
        self.http
            .get_json(&format!("http://{address}{path}"))
            .await
            .expect("the stand-in responds")
    }

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

    /// Returns all requests that the engines and the service have received, as one text.
    pub async fn recorded_requests(&self) -> String {
        let mut text = String::new();
        for endpoint in self.engines.iter().chain([&self.service]) {
            text.push_str(&self.get_control(endpoint, "/recorded").await.to_string());
        }
        text
    }

    /// Returns the ids of the programs whose prefix an engine has cached.
    pub async fn cached_programs(&self) -> Vec<String> {
        let mut cached_programs = Vec::new();
        for engine in &self.engines {
            let url = format!(
                "http://{}/cache",
                engine.address().expect("the process has an address")
            );
            let listed: Vec<Value> = self.http.get_json(&url).await.expect("the engine responds");
            cached_programs.extend(
                listed
                    .iter()
                    .filter_map(|program| program["program_id"].as_str())
                    .map(str::to_owned),
            );
        }
        cached_programs
    }

    /// Waits until a daemon reports that it is ready for calls.
    pub async fn wait_until_ready(&self, number: usize) {
        let url = format!("{}/ready", self.admin_url(number));
        wait_until("the daemon is ready", || async {
            let request = Request::get(&url)
                .body(Full::default())
                .expect("the request is valid");
            let response = self.http.send(request).await.ok()?;
            response.status.is_success().then_some(())
        })
        .await;
    }

    /// Waits until each daemon owns at least one partition and all partitions have an owner.
    async fn wait_until_partitions_owned(&self) {
        wait_until("all partitions are distributed over the daemons", || async {
            let mut sum = 0;
            for number in 0..self.daemons.len() {
                let partitions = self.status(number).await?["ownership"]["partitions"].as_u64()?;
                if partitions == 0 {
                    return None;
                }
                sum += partitions;
            }
            (sum == 256).then_some(())
        })
        .await;
    }

    async fn spawn_daemon(&self, number: usize) -> Process {
        let path = self.write_settings(number);
        let path = path.to_str().expect("the path is UTF-8");
        Process::spawn("burdockroadd", &["--settings", path])
            .await
            .expect("the daemon starts")
    }

    fn write_settings(&self, number: usize) -> PathBuf {
        let addresses = self.addresses[number];
        let host_list = self.host_list.address().expect("the process has an address");
        let store = self.store_proxies[number]
            .address()
            .expect("the process has an address");
        let settings = json!({
            "host_id": format!("host-{number}"),
            "failure_domain": FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()],
            "site": "batinah",
            "caller_address": addresses.caller.to_string(),
            "peer_address": addresses.peer.to_string(),
            "admin_address": addresses.admin.to_string(),
            "store": { "kind": "service", "addresses": [format!("http://{store}")] },
            "host_list": { "kind": "service", "url": format!("http://{host_list}/hosts") },
            "limits": self.options.limits,
        });
        let path = self.folder.path().join(format!("host-{number}.jsonc"));
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        path
    }

    fn initial_document(&mut self) -> Value {
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

/// Returns the addresses of the daemons of a new site.
///
/// Each site uses its own loopback address. On a shared address, an outgoing connection of another test
/// could take a port that was free shortly before.
fn allocate_addresses(daemons: usize) -> Vec<Addresses> {
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

fn host_list_entries(addresses: &[Addresses]) -> Value {
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

fn connect(address: SocketAddr) -> SharedKeyValue {
    let settings = StoreSettings::Service {
        addresses: vec![format!("http://{address}")],
    };
    platform::connect(&settings).expect("the store address is valid")
}

/// Polls until `poll` returns a value, and returns that value. Panics after `WAIT_TIMEOUT`.
pub async fn wait_until<T, F: Future<Output = Option<T>>>(description: &str, poll: impl Fn() -> F) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = poll().await {
            return found;
        }
        assert!(
            Instant::now() < deadline,
            "timed out waiting for the condition: {description}"
        );
        sleep(POLL_INTERVAL).await;
    }
}
