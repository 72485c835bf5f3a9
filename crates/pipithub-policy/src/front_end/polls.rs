//! The steps of a load poll: a request waits for a worker's load report, or until the poll times out.

use super::FrontEnd;
use crate::api::{Action, LoadReport, RequestId, WorkerId};
use crate::load_polls::POLL_TIMEOUT;
use crate::timer::TimerToken;

/// Uses the workers, the pending requests and the load polls, and routes the requests that waited.
impl FrontEnd {
    /// Records a worker's load report and routes the requests that waited for it. `None` means that
    /// the worker has not answered a poll, and counts as the highest load.
    pub(super) fn record_load_report(
        &mut self,
        worker: &WorkerId,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(mut worker) = self.workers.get_mut(worker) {
            worker.load_report.record(report, self.now);
        }
        for id in self.load_polls.waiting.take(worker) {
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.polls.end();
            }
            self.route(id, actions);
        }
    }

    /// Polls a worker for its load before a request is forwarded there; the request waits.
    pub(super) fn poll_load(&mut self, id: RequestId, worker: WorkerId, actions: &mut Vec<Action>) {
        actions.push(Action::PollLoad {
            worker: worker.clone(),
        });
        actions.push(Action::SetTimer {
            after: POLL_TIMEOUT,
            token: TimerToken::PollTimeout(id).into(),
        });
        self.load_polls.waiting.add(worker.clone(), id);
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.polls.begin(worker);
        }
    }

    /// Counts a worker that has not answered a request's poll in time as fully loaded.
    pub(super) fn expire_poll(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let polled = self
            .pending
            .get(&id)
            .and_then(|pending| pending.polls.worker().cloned());
        if let Some(worker) = polled {
            self.record_load_report(&worker, None, actions);
        }
    }
}
