//! Accepts connections from clients.

use std::rc::Rc;

use tokio::net::TcpListener;

use super::socket::{PeerKind, Socket};
use super::{MAX_LINGERING, Shell};
use crate::core::Core;
use crate::sockets;

/// How many clients may be connected beyond the limit, while other connections are being closed for them.
const MAX_EXCESS_CLIENTS: usize = 3;

impl Shell {
    /// Accepts clients until the listener fails, and begins the shutdown then.
    pub(super) async fn accept(self: Rc<Self>, listener: TcpListener) {
        let max_in_use =
            self.core.borrow().max_client_connections() + MAX_LINGERING + MAX_EXCESS_CLIENTS;
        let accept = async || {
            self.clients.wait_below(max_in_use).await;
            listener.accept().await
        };
        let on_connection = |(stream, _)| {
            let connection = self.core.borrow_mut().next_connection_id();
            let socket = Socket::new(stream, PeerKind::Client, self.clients.take());
            socket.limit_send_buffer(self.client_send_buffer);
            self.last_client_activity.set(self.clock.now());
            self.sockets.borrow_mut().insert(connection, socket.clone());
            self.update_core(|core, now| core.client_connected(now, connection));
            let shell = self.clone();
            tokio::task::spawn_local(
                async move { shell.serve_connection(connection, socket).await },
            );
        };
        sockets::accept_all(accept, on_connection, &self.local_faults).await;
        // No client can connect any more: pending calls are finished, and the process ends.
        self.update_core(Core::begin_shutdown);
    }
}
