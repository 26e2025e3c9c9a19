//! A small site of processes, for tests under failure and for measurements; not shipped.
//!
//! [`Site`] starts the platform's stand-ins, endpoints and several daemons, each a process of its own,
//! with a proxy between each daemon and the key-value service. [`Caller`] sends requests as a caller
//! does. The binaries are taken from beside the running executable, so build the workspace first.

#![expect(
    clippy::missing_panics_doc,
    reason = "a site that cannot do what a test asks ends the test"
)]

mod caller;
mod site;

pub use crate::{
    caller::{Caller, completion, problem},
    site::{AccountOptions, Site, SiteOptions, wait_until},
};
