//! Requests that crash the endpoints that run them.

mod crash;
mod request_key;

pub use self::{
    crash::{CrashReport, Suspect},
    request_key::RequestKey,
};
