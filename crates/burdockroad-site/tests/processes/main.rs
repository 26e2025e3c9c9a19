//! Real daemons, stand-ins and failures: each of them a process.

mod endpoints;
mod failures;
mod first_path;
mod keys_and_rates;
