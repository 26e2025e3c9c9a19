//! Server of a stand-in with a second address for control requests.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    error::Result,
    http_server::{self, Handler},
    server::Server,
};

/// Loopback addresses of a stand-in; port 0 selects a free port.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListenAddresses {
    /// Address of the stand-in.
    pub(crate) server: SocketAddr,
    /// Address for control requests.
    pub(crate) control: SocketAddr,
}

/// Server of a stand-in and of its control requests. The addresses differ, so that no request to the stand-in
/// reaches the control handler.
#[derive(Debug)]
pub(crate) struct ControlledServer {
    server: Server,
    control: Server,
}

impl ControlledServer {
    /// Serves requests to the stand-in and control requests.
    ///
    /// # Errors
    ///
    /// Fails when an address is not a loopback address or listening on it fails.
    pub(crate) async fn serve(
        listen: ListenAddresses,
        handler: Arc<dyn Handler>,
        control_handler: Arc<dyn Handler>,
    ) -> Result<Self> {
        let server = http_server::serve(listen.server, handler).await?;
        Self::add_control(server, listen.control, control_handler).await
    }

    /// Serves control requests beside `server`, which listens already.
    ///
    /// # Errors
    ///
    /// Fails when the address is not a loopback address or listening on it fails.
    pub(crate) async fn add_control(
        server: Server,
        listen: SocketAddr,
        handler: Arc<dyn Handler>,
    ) -> Result<Self> {
        let control = http_server::serve(listen, handler).await?;
        Ok(Self { server, control })
    }

    /// Returns the address of the stand-in.
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address for control requests.
    pub(crate) fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Stops listening and ends all connections.
    pub(crate) async fn close(self) {
        self.server.close().await;
        self.control.close().await;
    }
}
