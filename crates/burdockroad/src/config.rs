//! The one configuration document, which alone changes what the system does.

mod document;

pub use self::document::{
    Access, Account, BudgetDefaults, Document, Endpoint, EndpointSet, Fencing, Key, Route, RouteKind, Site,
};
