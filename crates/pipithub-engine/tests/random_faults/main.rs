//! Two engines, a broker and workers under random faults. The checks use only what is visible from outside: each
//! message gets exactly one final answer within its client's timeout, and no call takes effect more often than its
//! class allows. Some messages are copies of earlier ones. As nothing tells copies apart, their effects are counted
//! together.

mod broker;
mod events;
mod simulation;

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use pipithub_engine::{Engine, Verdict};

use broker::Message;
use simulation::{CLIENT_TIMEOUT, IDEMPOTENT, MESSAGES, Simulation, WITH_KEY};

/// A message gets one answer.
fn check_answer(number: usize, message: &Message) -> Result<(), TestCaseError> {
    prop_assert_eq!(
        message.answers.len(),
        1,
        "message {}: {:?}",
        number,
        message
    );
    let answer = &message.answers[0];
    // A message whose connection was lost may be redelivered too late; it is then answered at once.
    if !message.redelivered {
        prop_assert!(
            answer.at <= message.published + CLIENT_TIMEOUT,
            "message {} late: {:?}",
            number,
            message
        );
    }
    Ok(())
}

/// Checks a message and its copies. `Served` means that it took effect, `Rejected` that a retry is harmless. Only an
/// idempotent call may take effect more than once for each of its messages.
fn check_effects(copies: &[&Message]) -> Result<(), TestCaseError> {
    let class = copies[0].class;
    let effects: usize = copies.iter().map(|copy| copy.effects.len()).sum();
    let count = |verdict: Verdict| {
        let answers = copies.iter().flat_map(|copy| &copy.answers);
        answers.filter(|answer| answer.verdict == verdict).count()
    };
    let (served, rejected) = (count(Verdict::Served), count(Verdict::Rejected));
    prop_assert!(served == 0 || effects > 0, "never ran: {:?}", copies);
    prop_assert!(
        class == IDEMPOTENT || effects <= copies.len(),
        "ran too often: {:?}",
        copies
    );
    if class != IDEMPOTENT && class != WITH_KEY {
        prop_assert!(served <= effects, "served, but not run: {:?}", copies);
        prop_assert!(
            rejected + effects <= copies.len(),
            "rejected, but run: {:?}",
            copies
        );
    }
    Ok(())
}

/// The messages with their copies.
fn groups_of_copies(messages: &[Message]) -> Vec<Vec<&Message>> {
    let mut groups: BTreeMap<usize, Vec<&Message>> = BTreeMap::new();
    for message in messages {
        groups.entry(message.original).or_default().push(message);
    }
    groups.into_values().collect()
}

/// Once all messages are settled, an engine has nothing left in memory.
fn check_nothing_left(engine: &Engine) -> Result<(), TestCaseError> {
    prop_assert_eq!(engine.pending_requests(), 0);
    prop_assert_eq!(engine.body_bytes(), 0);
    prop_assert_eq!(engine.attempts_in_flight(), 0);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn under_faults_each_message_gets_one_answer_and_no_call_takes_effect_twice(
        seed in any::<u64>(),
        fault_percent in 0..60u64,
    ) {
        let simulation = Simulation::new(seed, fault_percent).run();
        let messages = simulation.messages();
        prop_assert_eq!(messages.len(), MESSAGES);
        for (number, message) in messages.iter().enumerate() {
            check_answer(number, message)?;
        }
        for copies in groups_of_copies(messages) {
            check_effects(&copies)?;
        }
        for engine in simulation.engines() {
            check_nothing_left(engine)?;
        }
    }

    #[test]
    fn equal_seeds_give_equal_runs(seed in any::<u64>()) {
        let run = || format!("{:?}", Simulation::new(seed, 30).run().messages());
        prop_assert_eq!(run(), run());
    }
}
