//! Connects the scenarios with the node. Only this module uses the node's types.

use pipithub_characterization::node_scenario;
use pipithub_node::core::Core;
use pipithub_node::effect::{ConnectionId, Effect};
use pipithub_platform::config::NodeConfig;
use pipithub_platform::list;

/// The node's core, with the configuration that is needed to parse its endpoint list events.
pub(crate) struct Driver {
    core: Core,
    config: NodeConfig,
}

impl Driver {
    /// Starts a node with the text of a configuration.
    pub(crate) fn start(now: u64, configuration: &str) -> Self {
        let config = NodeConfig::parse(configuration).expect("the configuration can be read");
        Driver {
            core: Core::new(now, &config),
            config,
        }
    }
}

impl node_scenario::Node for Driver {
    fn next_due(&self) -> u64 {
        self.core.next_due()
    }

    fn tick(&mut self, now: u64) {
        self.core.tick(now);
    }

    fn client_connected(&mut self, now: u64) -> u64 {
        let connection = self.core.next_connection_id();
        self.core.client_connected(now, connection);
        connection.0
    }

    fn client_bytes(&mut self, now: u64, connection: u64, bytes: &[u8]) {
        self.core.client_bytes(now, ConnectionId(connection), bytes);
    }

    fn client_closed(&mut self, now: u64, connection: u64) {
        self.core.client_closed(now, ConnectionId(connection));
    }

    fn client_retired(&mut self, now: u64, connection: u64) {
        self.core
            .close_client_if_idle(now, ConnectionId(connection));
    }

    fn worker_connected(&mut self, now: u64, connection: u64) {
        self.core.worker_connected(now, ConnectionId(connection));
    }

    fn worker_failed(&mut self, now: u64, connection: u64, local_cause: bool) {
        self.core
            .worker_failed(now, ConnectionId(connection), local_cause);
    }

    fn worker_blocked(&mut self, now: u64, connection: u64, written: Option<u64>) {
        self.core
            .worker_blocked(now, ConnectionId(connection), written);
    }

    fn worker_closed(&mut self, now: u64, connection: u64, written: u64) {
        self.core
            .worker_closed(now, ConnectionId(connection), written);
    }

    fn worker_bytes(&mut self, now: u64, connection: u64, bytes: &[u8]) {
        self.core.worker_bytes(now, ConnectionId(connection), bytes);
    }

    fn update_endpoints(&mut self, now: u64, event: &str) {
        let event = list::parse(event, &self.config.site.names).expect("the event can be read");
        self.core.update_endpoints(now, &event);
    }

    fn stop(&mut self, now: u64) {
        self.core.begin_shutdown(now);
    }

    fn stopped(&self, now: u64) -> bool {
        self.core.is_drained(now)
    }

    fn deadline_passed(&self, now: u64) -> bool {
        self.core.shutdown_overdue(now)
    }

    fn statistics(&self) -> String {
        let connections = self.core.connections();
        format!(
            "open {} clients {} workers {}",
            self.core.pending_requests(),
            connections.clients,
            connections.workers
        )
    }

    fn effects(&mut self) -> Vec<node_scenario::Effect> {
        self.core.take_effects().into_iter().map(effect).collect()
    }
}

fn effect(effect: Effect) -> node_scenario::Effect {
    match effect {
        Effect::Write { connection, bytes } => node_scenario::Effect::Write {
            connection: connection.0,
            bytes: bytes.to_vec(),
        },
        Effect::Close { connection } => node_scenario::Effect::Close {
            connection: connection.0,
        },
        Effect::CloseIfIdle { connection } => node_scenario::Effect::Retire {
            connection: connection.0,
        },
        Effect::CancelWrite {
            connection,
            offset,
            length,
        } => node_scenario::Effect::CancelWrite {
            connection: connection.0,
            at: offset,
            length,
        },
        Effect::Connect {
            connection,
            address,
            timeout,
        } => node_scenario::Effect::Connect {
            connection: connection.0,
            address,
            within: timeout,
        },
    }
}
