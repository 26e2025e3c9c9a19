//! Starts a stand-in from its command-line options.

use std::{net::SocketAddr, pin::Pin};

use anyhow::bail;
use burdockroad_standins::{
    arguments::{MS_PER_S, US_PER_S, parse_duration_option, parse_option},
    engine::{EngineOptions, EngineStandin, Fencing},
    host_list::{HostListOptions, HostListStandin, ListedHost},
    kv::{KvOptions, KvStandin},
    proxy::{ProxyOptions, ProxyStandin},
    service::{ServiceOptions, ServiceStandin},
    weight_store::{WeightStoreOptions, WeightStoreStandin},
};
use pico_args::Arguments;

/// A running stand-in of any kind.
pub(crate) struct RunningStandin {
    address: SocketAddr,
    control: Option<SocketAddr>,
    /// Future that closes the stand-in.
    pub(crate) closing: Pin<Box<dyn Future<Output = ()>>>,
}

impl RunningStandin {
    /// Returns the line that reports the listening addresses to the parent process.
    pub(crate) fn address_line(&self) -> String {
        match self.control {
            Some(control) => format!("address={} control={control}", self.address),
            None => format!("address={}", self.address),
        }
    }
}

/// Starts a stand-in of the given kind with the remaining command-line options.
pub(crate) async fn start(kind: &str, arguments: &mut Arguments) -> anyhow::Result<RunningStandin> {
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

async fn start_kv(arguments: &mut Arguments) -> anyhow::Result<RunningStandin> {
    let mut options = KvOptions::default();
    parse_option(arguments, "--listen", &mut options.listen)?;
    parse_option(arguments, "--control-listen", &mut options.control_listen)?;
    parse_option(arguments, "--reads-per-s", &mut options.reads_per_s)?;
    parse_option(arguments, "--writes-per-s", &mut options.writes_per_s)?;
    let kv = KvStandin::start(options).await?;
    Ok(RunningStandin {
        address: kv.address(),
        control: Some(kv.control_address()),
        closing: Box::pin(kv.close()),
    })
}

async fn start_engine(arguments: &mut Arguments) -> anyhow::Result<RunningStandin> {
    let mut options = EngineOptions::default();
    parse_option(arguments, "--listen", &mut options.listen)?;
    parse_option(arguments, "--control-listen", &mut options.control_listen)?;
    options.models = arguments.values_from_str("--model")?;
    parse_option(arguments, "--slots", &mut options.slots)?;
    parse_duration_option(arguments, "--token-ms", MS_PER_S, &mut options.token_time)?;
    parse_option(arguments, "--batch-slowdown", &mut options.batch_slowdown)?;
    parse_duration_option(
        arguments,
        "--prefill-us-per-token",
        US_PER_S,
        &mut options.prefill_per_token,
    )?;
    parse_option(arguments, "--cache-tokens", &mut options.cache_tokens)?;
    parse_duration_option(
        arguments,
        "--transfer-us-per-token",
        US_PER_S,
        &mut options.transfer_per_token,
    )?;
    options.output_tokens = arguments.opt_value_from_str("--answer-tokens")?;
    parse_duration_option(arguments, "--event-lag-ms", MS_PER_S, &mut options.event_lag)?;
    parse_option(
        arguments,
        "--event-gap-probability",
        &mut options.event_gap_probability,
    )?;
    parse_duration_option(arguments, "--load-lag-ms", MS_PER_S, &mut options.load_lag)?;
    if let Some(fencing) = arguments.opt_value_from_fn("--fencing", parse_fencing)? {
        options.fencing = fencing;
    }
    parse_duration_option(arguments, "--load-ms", MS_PER_S, &mut options.load_time)?;
    options.weight_store = arguments.opt_value_from_str("--weight-store")?;
    parse_option(arguments, "--record-limit", &mut options.record_limit)?;
    parse_option(arguments, "--seed", &mut options.seed)?;
    let engine = EngineStandin::start(options).await?;
    Ok(RunningStandin {
        address: engine.address(),
        control: Some(engine.control_address()),
        closing: Box::pin(engine.close()),
    })
}

async fn start_service(arguments: &mut Arguments) -> anyhow::Result<RunningStandin> {
    let mut options = ServiceOptions::default();
    parse_option(arguments, "--listen", &mut options.listen)?;
    parse_option(arguments, "--control-listen", &mut options.control_listen)?;
    parse_option(arguments, "--slots", &mut options.slots)?;
    parse_duration_option(arguments, "--execution-ms", MS_PER_S, &mut options.execution_time)?;
    let service = ServiceStandin::start(options).await?;
    Ok(RunningStandin {
        address: service.address(),
        control: Some(service.control_address()),
        closing: Box::pin(service.close()),
    })
}

async fn start_host_list(arguments: &mut Arguments) -> anyhow::Result<RunningStandin> {
    let mut options = HostListOptions::default();
    parse_option(arguments, "--listen", &mut options.listen)?;
    parse_option(arguments, "--control-listen", &mut options.control_listen)?;
    if let Some(hosts) = arguments.opt_value_from_fn("--hosts", parse_hosts)? {
        options.hosts = hosts;
    }
    parse_duration_option(arguments, "--lag-ms", MS_PER_S, &mut options.lag)?;
    let list = HostListStandin::start(options).await?;
    Ok(RunningStandin {
        address: list.address(),
        control: Some(list.control_address()),
        closing: Box::pin(list.close()),
    })
}

async fn start_proxy(arguments: &mut Arguments) -> anyhow::Result<RunningStandin> {
    let mut options = ProxyOptions::new(arguments.value_from_str("--target")?);
    parse_option(arguments, "--listen", &mut options.listen)?;
    parse_option(arguments, "--control-listen", &mut options.control_listen)?;
    let proxy = ProxyStandin::start(options).await?;
    Ok(RunningStandin {
        address: proxy.address(),
        control: Some(proxy.control_address()),
        closing: Box::pin(proxy.close()),
    })
}

async fn start_weight_store(arguments: &mut Arguments) -> anyhow::Result<RunningStandin> {
    let mut options = WeightStoreOptions::default();
    parse_option(arguments, "--listen", &mut options.listen)?;
    parse_option(arguments, "--control-listen", &mut options.control_listen)?;
    parse_option(arguments, "--rate-per-s", &mut options.rate_per_s)?;
    parse_option(arguments, "--weights-bytes", &mut options.weights_bytes)?;
    let store = WeightStoreStandin::start(options).await?;
    Ok(RunningStandin {
        address: store.address(),
        control: Some(store.control_address()),
        closing: Box::pin(store.close()),
    })
}

fn parse_hosts(text: &str) -> serde_json::Result<Vec<ListedHost>> {
    serde_json::from_str(text)
}

fn parse_fencing(text: &str) -> anyhow::Result<Fencing> {
    match text {
        "refused" => Ok(Fencing::Enforced),
        "ignored" => Ok(Fencing::Ignored),
        _ => bail!("--fencing must be refused or ignored, got {text:?}"),
    }
}
