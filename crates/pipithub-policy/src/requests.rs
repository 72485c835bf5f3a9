//! The life of a request, from its arrival to its one final answer.

use crate::api::{
    Action, AttemptFinished, DeduplicationScope, Idempotency, Outcome, Request, RequestId, Time,
    WorkerId,
};
use crate::front_end::{FrontEnd, LONGEST};
use crate::replay::PAD;
use crate::state::{Copies, Foreseen, Open, Sent};

/// Calls that may be sent on a guess that others hold a copy, for each call taken, and the most saved up.
const GUESS_SHARE: f64 = 0.5;
/// Calls that may be sent on a guess that others hold a copy, for each call taken, and the most saved up.
const GUESSES_MOST: f64 = 8.0;

impl FrontEnd {
    pub(crate) fn arrived(&mut self, mut call: Request, actions: &mut Vec<Action>) {
        let now = self.now;
        call.class = call.class.min(self.s.classes.len() - 1);
        let class = &self.s.classes[call.class];
        let stretch = call.expected_work.unwrap_or(0).min(LONGEST) as f64
            * class.objective_per_work.clamp(0.0, 1e3);
        let budget = call.timeout.unwrap_or(class.client_timeout).min(LONGEST);
        let deadline = now + budget;
        let aim = (now + class.latency_objective + stretch as Time).min(deadline);
        self.arrivals.push(now);
        if self.blind() {
            self.guesses = (self.guesses + GUESS_SHARE).min(GUESSES_MOST);
        }
        let program = self.programs.entry(call.function).or_default();
        (program.lanes, program.memory_mb, program.called) =
            (call.replica_concurrency, call.memory_mb.max(0.0), now);
        program.told_load = call
            .load_time
            .filter(|t| *t > 0)
            .map(|t| t.min(LONGEST))
            .or(program.told_load);
        // Two ticks early: the answer must be out before the client's time is up.
        let (id, after) = (call.id, budget.saturating_sub(2 * self.s.tick));
        actions.push(Action::SetTimer { after, token: id });
        self.open.insert(
            id,
            Open {
                call,
                aim,
                deadline,
                ..Open::default()
            },
        );
        self.place(id, actions);
    }

    /// Sends to a worker, with what was foreseen there and the deadline that the send is held to.
    pub(crate) fn send(
        &mut self,
        id: RequestId,
        chosen: (WorkerId, Foreseen, Time),
        actions: &mut Vec<Action>,
    ) {
        let (now, (worker, seen, goal)) = (self.now, chosen);
        let Some(Request {
            function, class, ..
        }) = self.open.get(&id).map(|o| o.call.clone())
        else {
            return;
        };
        let run = self.run_of(function, class);
        let Some(mut node) = self.nodes.get_mut(&worker) else {
            return;
        };
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let crowd = node.out.len() as f64 + 1.0;
        let sent = Sent {
            request: id,
            attempt: open.attempts,
            function,
            class,
            at: now,
            due: seen.finish,
            goal,
            run,
            cold: seen.cold || seen.finish > seen.warm_finish,
            adds: seen.adds,
            same: node.out.iter().filter(|s| s.function == function).count() as f64 + 1.0,
            unproven: node.copies.get(&function).is_none_or(|c| !c.proven),
            aim: open.aim,
            crowd,
            withdrawn: false,
        };
        node.out.push(sent);
        node.sends
            .retain(|t| *t + self.s.slow_start.overload_window > now);
        node.sends.push_back(now);
        let copies = node.copies_of(function);
        if copies.ready == 0 || seen.cold {
            *copies = Copies {
                count: 1,
                ready: now,
                placed: copies.placed,
                ..Copies::default()
            };
            if seen.cold {
                copies.ready = seen.finish.saturating_sub((run * PAD) as Time);
            }
        }
        copies.used = now;
        copies.used_work += run;
        open.attempts += 1;
        open.outstanding = true;
        open.tried.push(worker.clone());
        actions.push(Action::Forward {
            request: id,
            worker,
            timeout: None,
        });
    }

    pub(crate) fn outcome(
        &mut self,
        end: &AttemptFinished,
        ran: Option<(Time, String, u64)>,
        actions: &mut Vec<Action>,
    ) {
        if end.settled {
            self.open.remove(&end.request);
            return;
        }
        let Some(open) = self.open.get_mut(&end.request) else {
            return;
        };
        open.outstanding = false;
        if end.outcome == Outcome::NotLoaded {
            // The worker is sound, only the copy is not there: an order may still bring it.
            open.tried.pop();
        }
        if !end.outcome.never_ran() && open.may_have_run.is_none() {
            // Where the send is not known any more, the window counts as over.
            open.may_have_run = Some(ran.unwrap_or_default());
        }
        self.place(end.request, actions);
    }

    /// Gives the final answer: a refusal where a further try is harmless, else a failure.
    pub(crate) fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        self.withdraw(id, &open, actions);
        let class = &self.s.classes[open.call.class];
        let any = class.idempotency == Idempotency::Idempotent
            || class.idempotency == Idempotency::WithKey
                && class.deduplication_scope == DeduplicationScope::All;
        let harmless = any || open.may_have_run.is_none() && !open.outstanding;
        let may = |t: &Time| self.s.limits.retry_after && *t > 0;
        let retry_after = Some(self.s.limits.max_retry_after).filter(may);
        let refuse = Action::Reject {
            request: id,
            retry_after,
        };
        actions.push(if harmless {
            refuse
        } else {
            Action::Fail { request: id }
        });
    }

    /// Withdraws an attempt that nobody waits for, however the wait ended: clients that leave and ask again
    /// at once would else have the work done twice and more, and the full queues then outlast the cause. In a
    /// small tier the own queue shows it; in a large one nothing does. It may harm where withdrawn work goes
    /// on: that is replayed to its foreseen end, and what it took teaches, but its true end is never heard.
    pub(crate) fn withdraw(&self, id: RequestId, open: &Open, actions: &mut Vec<Action>) {
        if self.s.limits.cancel && open.outstanding && !open.streaming {
            actions.push(Action::Cancel {
                request: id,
                attempt: open.attempts - 1,
            });
        }
    }
}
