//! Choice of a call's endpoint among all endpoints of its service.
//!
//! Load pattern: programs whose prompts grow with each call, and endpoints of different speed. Some endpoints
//! are slow, failing or without cached prompts, and other hosts place calls on the same endpoints. Endpoints
//! that share their machines change their pace many times a second, and state it in their responses. The
//! expected time to the first byte is computed for each endpoint, and the endpoint with the shortest one is
//! chosen.

mod affinity;
mod base_time;
mod choice;
mod cold_endpoints;
mod cold_start;
mod endpoint;
mod endpoint_rate;
mod evacuated;
mod fleet;
mod leaving;
mod load;
mod pace;
mod pace_change;
mod paces;
mod query;
mod rate_bucket;
mod rate_statement;
mod rates;
mod region_filter;
mod row;
mod service_times;
mod spread;
mod table;
mod time_factors;

pub use self::{
    cold_start::{ColdCause, ColdChange, ColdStatus},
    endpoint::{Endpoint, EndpointCalls, LoadReading, Outcome, PromptPart},
    paces::ReportedPace,
    query::{Placement, PlacementQuery},
    rate_statement::{EndpointUsage, RateStatement, StatedRate},
    table::EndpointTable,
};
