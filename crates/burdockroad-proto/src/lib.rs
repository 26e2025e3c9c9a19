//! Messages that burdockroad's processes exchange with each other and with the key-value service.
//!
//! The code under `generated/` is written by `tools/generate` from the files under `proto/` and
//! committed, so that a build needs no generator. [`peer`] holds the messages between daemons;
//! [`etcdserverpb`] and [`mvccpb`] hold the part of the etcd v3 interface that is used.

/// Messages between daemons.
#[allow(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    clippy::restriction,
    reason = "generated code"
)]
#[rustfmt::skip]
pub mod peer {
    include!("generated/burdockroad.peer.v1.rs");
}

/// Calls of the etcd v3 interface.
#[allow(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    clippy::restriction,
    reason = "generated code"
)]
#[rustfmt::skip]
pub mod etcdserverpb {
    include!("generated/etcdserverpb.rs");
}

/// Stored values and events of the etcd v3 interface.
#[allow(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    clippy::restriction,
    reason = "generated code"
)]
#[rustfmt::skip]
pub mod mvccpb {
    include!("generated/mvccpb.rs");
}
