//! Starts a stand-in from its command line.

use std::{net::SocketAddr, pin::Pin};

use anyhow::bail;
use burdockroad_standins::{
    arguments::{MS_PER_S, US_PER_S, set, set_time},
    engine::{EngineOptions, EngineStandin, Fencing},
    host_list::{HostListOptions, HostListStandin, ListedHost},
    kv::{KvOptions, KvStandin},
    proxy::{ProxyOptions, ProxyStandin},
    service::{ServiceOptions, ServiceStandin},
    weight_store::{WeightStoreOptions, WeightStoreStandin},
};
use pico_args::Arguments;

/// A started stand-in, whatever its kind.
pub(crate) struct Running {
    address: SocketAddr,
    control: Option<SocketAddr>,
    /// Closes the stand-in when it is awaited.
    pub(crate) closing: Pin<Box<dyn Future<Output = ()>>>,
}

impl Running {
    /// Returns the line that tells a parent process where the stand-in listens.
    pub(crate) fn first_line(&self) -> String {
        match self.control {
            Some(control) => format!("address={} control={control}", self.address),
            None => format!("address={}", self.address),
        }
    }
}

/// Starts the stand-in of a kind with the options that are left on the command line.
pub(crate) async fn start(kind: &str, arguments: &mut Arguments) -> anyhow::Result<Running> {
    match kind {
        "kv" => start_kv(arguments).await,
        "engine" => start_engine(arguments).await,
        "service" => start_service(arguments).await,
        "host-list" => start_host_list(arguments).await,
        "proxy" => start_proxy(arguments).await,
        "weight-store" => start_weight_store(arguments).await,
        _ => bail!("unknown kind {kind:?}; see --help"),
    }
}

async fn start_kv(arguments: &mut Arguments) -> anyhow::Result<Running> {
    let mut options = KvOptions::default();
    set(arguments, "--listen", &mut options.listen)?;
    set(arguments, "--control-listen", &mut options.control_listen)?;
    set(arguments, "--reads-per-s", &mut options.reads_per_s)?;
    set(arguments, "--writes-per-s", &mut options.writes_per_s)?;
    let kv = KvStandin::start(options).await?;
    Ok(Running {
        address: kv.address(),
        control: Some(kv.control_address()),
        closing: Box::pin(kv.close()),
    })
}

async fn start_engine(arguments: &mut Arguments) -> anyhow::Result<Running> {
    let mut options = EngineOptions::default();
    set(arguments, "--listen", &mut options.listen)?;
    set(arguments, "--control-listen", &mut options.control_listen)?;
    options.models = arguments.values_from_str("--model")?;
    set(arguments, "--slots", &mut options.slots)?;
    set_time(arguments, "--token-ms", MS_PER_S, &mut options.token_time)?;
    set(arguments, "--batch-slowdown", &mut options.batch_slowdown)?;
    set_time(
        arguments,
        "--prefill-us-per-token",
        US_PER_S,
        &mut options.prefill_per_token,
    )?;
    set(arguments, "--cache-tokens", &mut options.cache_tokens)?;
    set_time(
        arguments,
        "--transfer-us-per-token",
        US_PER_S,
        &mut options.transfer_per_token,
    )?;
    options.answer_tokens = arguments.opt_value_from_str("--answer-tokens")?;
    set_time(arguments, "--event-lag-ms", MS_PER_S, &mut options.event_lag)?;
    set(
        arguments,
        "--event-gap-probability",
        &mut options.event_gap_probability,
    )?;
    set_time(arguments, "--load-lag-ms", MS_PER_S, &mut options.load_lag)?;
    if let Some(fencing) = arguments.opt_value_from_fn("--fencing", read_fencing)? {
        options.fencing = fencing;
    }
    set_time(arguments, "--load-ms", MS_PER_S, &mut options.load_time)?;
    options.weight_store = arguments.opt_value_from_str("--weight-store")?;
    set(arguments, "--record-limit", &mut options.record_limit)?;
    set(arguments, "--seed", &mut options.seed)?;
    let engine = EngineStandin::start(options).await?;
    Ok(Running {
        address: engine.address(),
        control: Some(engine.control_address()),
        closing: Box::pin(engine.close()),
    })
}

async fn start_service(arguments: &mut Arguments) -> anyhow::Result<Running> {
    let mut options = ServiceOptions::default();
    set(arguments, "--listen", &mut options.listen)?;
    set(arguments, "--control-listen", &mut options.control_listen)?;
    set(arguments, "--slots", &mut options.slots)?;
    set_time(arguments, "--execution-ms", MS_PER_S, &mut options.execution_time)?;
    let service = ServiceStandin::start(options).await?;
    Ok(Running {
        address: service.address(),
        control: Some(service.control_address()),
        closing: Box::pin(service.close()),
    })
}

async fn start_host_list(arguments: &mut Arguments) -> anyhow::Result<Running> {
    let mut options = HostListOptions::default();
    set(arguments, "--listen", &mut options.listen)?;
    set(arguments, "--control-listen", &mut options.control_listen)?;
    if let Some(hosts) = arguments.opt_value_from_fn("--hosts", read_hosts)? {
        options.hosts = hosts;
    }
    set_time(arguments, "--lag-ms", MS_PER_S, &mut options.lag)?;
    let list = HostListStandin::start(options).await?;
    Ok(Running {
        address: list.address(),
        control: Some(list.control_address()),
        closing: Box::pin(list.close()),
    })
}

async fn start_proxy(arguments: &mut Arguments) -> anyhow::Result<Running> {
    let mut options = ProxyOptions::new(arguments.value_from_str("--target")?);
    set(arguments, "--listen", &mut options.listen)?;
    set(arguments, "--control-listen", &mut options.control_listen)?;
    let proxy = ProxyStandin::start(options).await?;
    Ok(Running {
        address: proxy.address(),
        control: Some(proxy.control_address()),
        closing: Box::pin(proxy.close()),
    })
}

async fn start_weight_store(arguments: &mut Arguments) -> anyhow::Result<Running> {
    let mut options = WeightStoreOptions::default();
    set(arguments, "--listen", &mut options.listen)?;
    set(arguments, "--control-listen", &mut options.control_listen)?;
    set(arguments, "--rate-per-s", &mut options.rate_per_s)?;
    set(arguments, "--weights-bytes", &mut options.weights_bytes)?;
    let store = WeightStoreStandin::start(options).await?;
    Ok(Running {
        address: store.address(),
        control: Some(store.control_address()),
        closing: Box::pin(store.close()),
    })
}

fn read_hosts(text: &str) -> serde_json::Result<Vec<ListedHost>> {
    serde_json::from_str(text)
}

fn read_fencing(text: &str) -> anyhow::Result<Fencing> {
    match text {
        "refused" => Ok(Fencing::Refused),
        "ignored" => Ok(Fencing::Ignored),
        _ => bail!("--fencing is refused or ignored, not {text:?}"),
    }
}
