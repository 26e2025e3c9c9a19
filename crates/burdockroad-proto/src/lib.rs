//! Protocol messages between burdockroad daemons, and between a daemon and the key-value service.
//!
//! `tools/generate` writes the code under `generated/` from the files under `proto/`. The code is committed,
//! so that a build needs no generator. [`peer`] contains the messages between daemons. [`etcdserverpb`] and
//! [`mvccpb`] contain the subset of the etcd v3 API that is used.

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

/// Services and messages of the etcd v3 API.
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

/// Stored values and events of the etcd v3 API.
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
