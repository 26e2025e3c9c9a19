//! Test site of real processes, for failure tests and measurements. It is not shipped.
//!
//! [`Site`] starts stand-ins for the platform, endpoints and several daemons, each as a separate process.
//! A proxy runs between each daemon and the key-value service. [`Caller`] sends requests with the key of
//! a client account. The binaries are expected next to the running executable, so build the workspace
//! first.

#![expect(
    clippy::missing_panics_doc,
    reason = "a step of the site that fails must fail the test"
)]

mod caller;
mod site;

pub use crate::{
    caller::{Caller, completion, problem},
    site::{AccountOptions, Site, SiteOptions, wait_until},
};
