//! Options of the command lines of this crate's binaries.

use std::{fmt::Display, str::FromStr, time::Duration};

use pico_args::Arguments;

use crate::error::{Result, StandinError};

/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1e3;

/// Microseconds in a second.
pub const US_PER_S: f64 = 1e6;

/// Puts the value of an option, where it is given, in place of the default.
///
/// # Errors
///
/// Fails when the value cannot be read.
pub fn set<T>(arguments: &mut Arguments, name: &'static str, field: &mut T) -> Result<()>
where
    T: FromStr,
    T::Err: Display,
{
    if let Some(value) = optional(arguments, name)? {
        *field = value;
    }
    Ok(())
}

/// Puts a time, which may have a fraction, in place of the default; `units_per_s` of its unit make a second.
///
/// # Errors
///
/// Fails when the value is not a number, is negative, or is too large.
pub fn set_time(
    arguments: &mut Arguments,
    name: &'static str,
    units_per_s: f64,
    field: &mut Duration,
) -> Result<()> {
    if let Some(units) = optional::<f64>(arguments, name)? {
        let time = Duration::try_from_secs_f64(units / units_per_s);
        *field = time.map_err(|error| StandinError::Option(format!("{name}: {error}")))?;
    }
    Ok(())
}

fn optional<T>(arguments: &mut Arguments, name: &'static str) -> Result<Option<T>>
where
    T: FromStr,
    T::Err: Display,
{
    let value = arguments.opt_value_from_str(name);
    value.map_err(|error| StandinError::Option(format!("{name}: {error}")))
}
