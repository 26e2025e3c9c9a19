//! The other daemons: clients of them, and the service that answers them.

mod clients;
mod server;

pub use self::{
    clients::PeerClients,
    server::{
        AdoptHandler, DocumentHandler, ForwardHandler, ForwardStream, GrantHandler, HeartbeatHandler,
        PeerHandlers, SlotHandler, TailHandler, serve,
    },
};
