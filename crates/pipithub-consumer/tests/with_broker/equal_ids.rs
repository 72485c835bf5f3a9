//! Clients that number their messages alike, or publish the same bytes again, under random faults.
//!
//! What happened is judged by the records of the client and of the workers alone. Messages with the same bytes cannot be
//! told apart, so their publications, answers and runs are counted together.

use std::collections::BTreeMap;

use bytes::Bytes;
use pipithub_amqp::{FieldTable, Properties};
use pipithub_consumer::Qos;
use pipithub_engine::policy::Outcome;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use crate::test_bed::{MS, TestBed, short};

const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];
const FRONT_ENDS: usize = 2;
/// The message ids that all clients choose from.
const MESSAGE_IDS: u8 = 3;

/// One step of a test.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A client publishes a new call, under an id that others use too.
    Publish {
        class: usize,
        message_id: u8,
    },
    /// A client publishes the bytes of an earlier call again.
    PublishAgain {
        earlier: usize,
    },
    /// A client publishes the bytes of the earliest call that was refused again, if there is one.
    RetryRefused,
    Kill {
        front_end: usize,
    },
    CutConnection {
        front_end: usize,
    },
    /// Calls are served, and the connection is cut before the confirmation of their answers arrives.
    CutBeforeConfirmation {
        front_end: usize,
    },
    Advance,
    /// All attempts end.
    Finish(Outcome),
}

fn any_step() -> impl Strategy<Value = Step> {
    let publish = (0..CLASSES.len(), 0..MESSAGE_IDS)
        .prop_map(|(class, message_id)| Step::Publish { class, message_id });
    let outcome = prop_oneof![
        2 => Just(Outcome::Served),
        2 => Just(Outcome::Rejected),
        1 => Just(Outcome::ConnectionLost),
    ];
    prop_oneof![
        6 => publish,
        2 => (0..40usize).prop_map(|earlier| Step::PublishAgain { earlier }),
        2 => Just(Step::RetryRefused),
        2 => (0..FRONT_ENDS).prop_map(|front_end| Step::Kill { front_end }),
        2 => (0..FRONT_ENDS).prop_map(|front_end| Step::CutConnection { front_end }),
        1 => (0..FRONT_ENDS).prop_map(|front_end| Step::CutBeforeConfirmation { front_end }),
        1 => Just(Step::Advance),
        3 => outcome.prop_map(Step::Finish),
    ]
}

/// Calls with the same bytes. The name is their body and the correlation id of their answers.
#[derive(Clone, Debug)]
struct Call {
    name: String,
    class: &'static str,
    message_id: u8,
    publications: usize,
}

struct EqualIdsTest {
    bed: TestBed,
    calls: Vec<Call>,
    /// How often a worker said that it did not run a call, by the body of the call.
    not_run: BTreeMap<Bytes, usize>,
}

impl EqualIdsTest {
    fn new() -> Self {
        EqualIdsTest {
            bed: TestBed::new(FRONT_ENDS, 10, Qos::Channel),
            calls: Vec::new(),
            not_run: BTreeMap::new(),
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Publish { class, message_id } => {
                self.calls.push(Call {
                    name: format!("{}-{}", CLASSES[class], self.calls.len()),
                    class: CLASSES[class],
                    message_id,
                    publications: 0,
                });
                self.publish(self.calls.len() - 1);
            }
            Step::PublishAgain { earlier } if earlier < self.calls.len() => self.publish(earlier),
            Step::PublishAgain { .. } => {}
            Step::RetryRefused => {
                let refused = self.calls.iter().position(|call| self.is_refused(call));
                refused.into_iter().for_each(|call| self.publish(call));
            }
            Step::Kill { front_end } => self.bed.kill(front_end),
            Step::CutConnection { front_end } => self.bed.cut_connection(front_end),
            Step::CutBeforeConfirmation { front_end } => {
                let now = self.bed.now;
                self.bed.front_ends[front_end].finish_attempts(now, Outcome::Served);
                self.bed.step_front_end(front_end);
                self.bed.cut_connection(front_end);
            }
            Step::Advance => self.bed.advance(20 * MS),
            Step::Finish(outcome) => self.finish(outcome),
        }
        self.bed.run_until_idle();
    }

    fn is_refused(&self, call: &Call) -> bool {
        let verdicts = self.bed.answers().get(&call.name);
        verdicts.is_some_and(|verdicts| verdicts.iter().any(|verdict| verdict == "refused"))
    }

    fn publish(&mut self, index: usize) {
        let call = &mut self.calls[index];
        call.publications += 1;
        let properties = Properties {
            message_id: Some(short(&call.message_id.to_string())),
            correlation_id: Some(short(&call.name)),
            reply_to: Some(short("answers")),
            headers: Some(FieldTable::new().with("pipithub-class", call.class)),
            ..Properties::default()
        };
        self.bed.client.publish(properties, call.name.as_bytes());
    }

    fn finish(&mut self, outcome: Outcome) {
        if outcome.never_ran() {
            let attempts = self.bed.front_ends.iter().flat_map(|f| &f.attempts);
            for attempt in attempts {
                *self.not_run.entry(attempt.body.clone()).or_default() += 1;
            }
        }
        self.bed.finish_attempts(outcome);
    }

    /// Ends all faults, and lets all calls be answered.
    fn end(&mut self) {
        for _ in 0..20 {
            self.bed.advance(250 * MS);
            self.bed.finish_attempts(Outcome::Served);
        }
    }

    /// How often workers have run a call.
    fn runs(&self, call: &Call) -> usize {
        let body = call.name.as_bytes();
        let arrived = self.bed.arrivals_by_body.get(body).copied();
        let not_run = self.not_run.get(body).copied();
        arrived.unwrap_or(0) - not_run.unwrap_or(0)
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for call in &self.calls {
            self.check_answers(call)?;
            self.check_runs(call)?;
        }
        prop_assert_eq!(self.bed.broker.depth("calls"), Some((0, 0)));
        Ok(())
    }

    /// Each publication has one answer, and that of a served one is the answer to its own call.
    fn check_answers(&self, call: &Call) -> Result<(), TestCaseError> {
        let answers = self.bed.answers().get(&call.name);
        prop_assert_eq!(answers.map_or(0, Vec::len), call.publications, "{:?}", call);
        let bodies = self.bed.client.served_bodies.get(&call.name);
        let mut foreign = bodies
            .into_iter()
            .flatten()
            .filter(|body| *body != &call.name);
        prop_assert_eq!(foreign.next(), None, "{:?}", call);
        Ok(())
    }

    /// A call that was served has run. A non-idempotent one runs for as many publications as are not refused, at most.
    fn check_runs(&self, call: &Call) -> Result<(), TestCaseError> {
        let verdicts = self.bed.answers().get(&call.name);
        let count = |wanted: &str| {
            let verdicts = verdicts.into_iter().flatten();
            verdicts.filter(|verdict| *verdict == wanted).count()
        };
        let (served, runs) = (count("served"), self.runs(call));
        prop_assert!(
            served == 0 || runs > 0,
            "{:?} was served, and never ran",
            call
        );
        if call.class == "unsafe" {
            prop_assert!(
                served <= runs,
                "{:?}: {} served, {} runs",
                call,
                served,
                runs
            );
            let may_run = call.publications - count("refused");
            prop_assert!(runs <= may_run, "{:?}: {} runs, {:?}", call, runs, verdicts);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against answers to other calls, calls without an answer, and calls that run twice, where clients number alike.
    #[test]
    fn under_faults_each_call_with_an_id_of_others_gets_its_own_answer(
        steps in prop::collection::vec(any_step(), 1..40),
    ) {
        let mut test = EqualIdsTest::new();
        for step in steps {
            test.run(step);
        }
        test.end();
        test.check()?;
    }
}
