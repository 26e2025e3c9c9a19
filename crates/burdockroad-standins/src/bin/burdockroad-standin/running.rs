//! Starts a stand-in from its command line.

use std::{net::SocketAddr, pin::Pin};

use anyhow::bail;
use burdockroad_standins::kv::{KvOptions, KvStandin};
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

/// Puts the value of an option, where it is given, in place of the default.
fn set<T>(arguments: &mut Arguments, name: &'static str, field: &mut T) -> anyhow::Result<()>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    if let Some(value) = arguments.opt_value_from_str(name)? {
        *field = value;
    }
    Ok(())
}
