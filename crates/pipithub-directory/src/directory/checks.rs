//! Searches that are not for particular users: probes of servers with an open circuit breaker, state checks, and polls for
//! changes.

use crate::directory::Directory;
use crate::messages::Output;
use crate::search::SearchRequest;
use crate::time::Time;

impl Directory {
    /// Starts the checks of a directory that are due.
    pub(super) fn start_checks(&mut self, now: Time, directory: usize, outputs: &mut Vec<Output>) {
        for server in 0..self.directories[directory].servers.len() {
            self.probe_server(now, directory, server, outputs);
            self.check_server(now, directory, server, outputs);
        }
        if let Some(poll) = self.directories[directory].take_due_poll(now) {
            self.start_check(now, poll, outputs);
        }
    }

    /// Probes a server whose circuit breaker has been open for its backoff.
    fn probe_server(
        &mut self,
        now: Time,
        directory: usize,
        server: usize,
        outputs: &mut Vec<Output>,
    ) {
        let state = &self.directories[directory];
        if state.servers[server]
            .probe_due()
            .is_some_and(|due| now >= due)
        {
            let probe = state.state_check(server);
            self.start_check(now, probe, outputs);
            self.directories[directory].servers[server].half_open();
        }
    }

    /// Checks the state of a server if that is due and the server has not responded to other searches recently.
    fn check_server(
        &mut self,
        now: Time,
        directory: usize,
        server: usize,
        outputs: &mut Vec<Output>,
    ) {
        let state = &mut self.directories[directory];
        if state.take_due_state_check(now, server) {
            let check = state.state_check(server);
            self.start_check(now, check, outputs);
        }
    }

    fn start_check(&mut self, now: Time, check: SearchRequest, outputs: &mut Vec<Output>) {
        self.stats.probes += 1;
        self.start_search(now, check, outputs);
    }
}
