//! Configuration document, the single source of configuration changes.
//!
//! [`parse`] parses and validates its text, [`diff`] compares two documents, [`VersionedDocument`] is
//! the stored form, [`KeyTable`] maps caller keys to accounts, and [`FreshnessTracker`] decides whether
//! a host may still rely on its document.
//!
//! # Example
//!
//! ```
//! use burdockroad::config;
//!
//! let findings = config::parse(r#"{ "sites": [], "acounts": [], "routes": [], "endpoint_sets": [] }"#)
//!     .unwrap_err();
//! assert_eq!(findings[0].to_string(), "1:1: $: the field `accounts` is missing");
//! assert_eq!(
//!     findings[1].to_string(),
//!     "1:16: $.acounts: there is no field `acounts`; did you mean `accounts`?"
//! );
//! ```

mod check;
mod diff;
mod document;
mod finding;
mod freshness;
mod keys;
mod limits;
mod names;
pub mod reader;
mod versioned;

pub use self::{
    check::parse,
    diff::{Change, diff},
    document::{
        Access, Account, BudgetDefaults, Document, Endpoint, EndpointSet, Fencing, Key, Route, RouteKind,
        Site,
    },
    finding::Finding,
    freshness::{Freshness, FreshnessLimits, FreshnessTracker},
    keys::{IssuedKey, KeyMatch, KeyTable, key_hash, new_key},
    names::listed_names,
    versioned::VersionedDocument,
};
