//! Communication with other daemons: clients, and the server of their requests.

mod clients;
mod server;

pub use self::{
    clients::PeerClients,
    server::{
        AdoptHandler, DocumentHandler, ForwardHandler, ForwardStream, GrantHandler, HeartbeatHandler,
        PeerHandlers, SlotHandler, TailHandler, serve,
    },
};
