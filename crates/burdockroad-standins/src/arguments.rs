//! Command-line option parsing for this crate's binaries.

use std::{fmt::Display, str::FromStr, time::Duration};

use pico_args::Arguments;

use crate::error::{Result, StandinError};

/// `units_per_s` of an option in milliseconds, for [`parse_duration_option`].
pub const MS_PER_S: f64 = 1e3;

/// `units_per_s` of an option in microseconds, for [`parse_duration_option`].
pub const US_PER_S: f64 = 1e6;

/// Parses an option and stores its value in `field`; an absent option leaves the default unchanged.
///
/// # Errors
///
/// Fails when the value cannot be parsed.
pub fn parse_option<T>(arguments: &mut Arguments, name: &'static str, field: &mut T) -> Result<()>
where
    T: FromStr,
    T::Err: Display,
{
    if let Some(value) = parse_value(arguments, name)? {
        *field = value;
    }
    Ok(())
}

/// Parses a duration option, which may be fractional, and stores it in `field`.
///
/// `units_per_s` is the number of the option's time units in one second. An absent option leaves the
/// default unchanged.
///
/// # Errors
///
/// Fails when the value is not a number, is negative, or is too large.
pub fn parse_duration_option(
    arguments: &mut Arguments,
    name: &'static str,
    units_per_s: f64,
    field: &mut Duration,
) -> Result<()> {
    if let Some(value) = parse_value::<f64>(arguments, name)? {
        let duration = Duration::try_from_secs_f64(value / units_per_s);
        *field = duration.map_err(|error| StandinError::Option(format!("{name}: {error}")))?;
    }
    Ok(())
}

fn parse_value<T>(arguments: &mut Arguments, name: &'static str) -> Result<Option<T>>
where
    T: FromStr,
    T::Err: Display,
{
    let value = arguments.opt_value_from_str(name);
    value.map_err(|error| StandinError::Option(format!("{name}: {error}")))
}
