//! Failure tests with real daemons and stand-ins, each of which is a separate process.

mod endpoints;
mod failures;
mod first_path;
mod keys_and_rates;
