//! A peer server with the given grant and slot handlers, and stubs for the other handlers.

mod stub_handlers;

use std::sync::Arc;

use burdockroad_daemon::peer::{GrantHandler, PeerHandlers, SlotHandler, serve};
use tokio::net::TcpListener;

pub use self::stub_handlers::StubHandlers;

/// Serves the two handlers on a free port and returns the address.
pub async fn serve_peer(grant: Arc<dyn GrantHandler>, slot: Arc<dyn SlotHandler>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener
        .local_addr()
        .expect("the listener has an address")
        .to_string();
    let handlers = PeerHandlers {
        heartbeat: Arc::new(StubHandlers),
        forward: Arc::new(StubHandlers),
        tail: Arc::new(StubHandlers),
        adopt: Arc::new(StubHandlers),
        document: Arc::new(StubHandlers),
        grant,
        slot,
    };
    tokio::spawn(serve(listener, handlers, std::future::pending()));
    address
}
