//! Membership, ownership, takeover and handoff, with fake journals and fake program trees.

#[path = "fleet/coordinator.rs"]
mod coordinator;
#[path = "fleet/journals.rs"]
mod journals;
#[path = "fleet/model.rs"]
mod model;
#[path = "fleet/model_cluster.rs"]
mod model_cluster;
#[path = "fleet/model_store.rs"]
mod model_store;
#[path = "fleet/peer_handlers.rs"]
mod peer_handlers;
#[path = "fleet/programs.rs"]
mod programs;
#[path = "support/stub_handlers.rs"]
mod stub_handlers;
#[path = "fleet/tails.rs"]
mod tails;
#[path = "fleet/trees.rs"]
mod trees;
