//! Membership of the fleet, based on heartbeats between daemons.
//!
//! [`burdockroad::membership`] contains the decision logic. An actor in this module sends the
//! heartbeats, reads the platform's host list, and publishes which peers are live and which processes
//! may be taken over.

mod actor;
mod handle;
mod lease;
mod wire;

pub use self::{
    actor::{MembershipArguments, MembershipSnapshot},
    handle::MembershipHandle,
    lease::Lease,
    wire::{host_ref, process_of},
};
