//! Heartbeats between the daemons, and what follows from them.
//!
//! The decisions stand in [`burdockroad::membership`]; here an actor sends the heartbeats, reads the
//! platform's host list, and publishes which peers are up and which processes are gone.

mod actor;
mod lease;
mod wire;

pub use self::{
    actor::{MembershipArguments, MembershipHandle, Standing},
    lease::Lease,
    wire::{host_ref, process_of},
};
