//! Test site of processes: stand-ins for the platform, endpoints and several daemons.

mod addresses;
mod document;
mod options;

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, time::Duration};

use burdockroad_daemon::{
    platform::{self, SharedKeyValue},
    settings::StoreSettings,
};
use burdockroad_standins::{http_client::HttpClient, processes::Process};
use http::{Method, Request};
use http_body_util::Full;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use self::addresses::{Addresses, allocate_addresses, host_list_entries};
pub use self::options::{AccountOptions, SiteOptions};
use crate::caller::Caller;

/// Timeout of [`wait_until`].
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two polls of [`wait_until`].
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Failure domains over which hosts and endpoints are distributed.
const FAILURE_DOMAINS: [&str; 3] = ["sohar-a", "sohar-b", "liwa"];

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

impl Site {
    /// Starts all processes and waits until all daemons are ready and own partitions.
    pub async fn start(options: SiteOptions) -> Self {
        let kv = spawn_standin(&["kv"]).await;
        let kv_address = kv.address().expect("the process has an address");
        let addresses = allocate_addresses(options.daemons);
        let listed = host_list_entries(&addresses).to_string();
        let mut site = Self {
            host_list: spawn_standin(&["host-list", "--hosts", &listed]).await,
            engines: start_engines(&options).await,
            service: start_service(&options).await,
            daemons: Vec::new(),
            store_proxies: start_store_proxies(options.daemons, kv_address).await,
            store: connect(kv_address),
            http: HttpClient::with_timeout(Duration::from_mins(1)),
            kv,
            options,
            addresses,
            keys: BTreeMap::new(),
            folder: TempDir::new().expect("a temporary folder can be created"),
        };
        let document = site.initial_document();
        site.apply(&document).await;
        site.start_daemons().await;
        site
    }

    /// Starts all daemons and waits until they are ready and own partitions.
    async fn start_daemons(&mut self) {
        for number in 0..self.options.daemons {
            let daemon = self.spawn_daemon(number).await;
            self.daemons.push(daemon);
        }
        for number in 0..self.options.daemons {
            self.wait_until_ready(number).await;
        }
        self.wait_until_partitions_owned().await;
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
}

async fn spawn_standin(arguments: &[&str]) -> Process {
    Process::spawn("burdockroad-standin", arguments)
        .await
        .expect("the stand-in starts")
}

async fn start_engines(options: &SiteOptions) -> Vec<Process> {
    let mut arguments = vec!["engine"];
    arguments.extend(&options.engine_options);
    let mut engines = Vec::new();
    for _ in 0..options.engines {
        engines.push(spawn_standin(&arguments).await);
    }
    engines
}

async fn start_service(options: &SiteOptions) -> Process {
    let mut arguments = vec!["service"];
    arguments.extend(&options.service_options);
    spawn_standin(&arguments).await
}

/// Starts one proxy of the key-value service for each daemon.
async fn start_store_proxies(daemons: usize, store_address: SocketAddr) -> Vec<Process> {
    let target = store_address.to_string();
    let mut proxies = Vec::new();
    for _ in 0..daemons {
        proxies.push(spawn_standin(&["proxy", "--target", &target]).await);
    }
    proxies
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
