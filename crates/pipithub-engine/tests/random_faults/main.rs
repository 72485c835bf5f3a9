//! Two engines, a broker and workers under random faults. The checks use only what is visible from outside: each
//! message gets exactly one final answer within its client's timeout, and no call takes effect more often than its
//! class allows.

mod broker;
mod events;
mod simulation;

use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use pipithub_engine::{Engine, Verdict};

use broker::Message;
use simulation::{CLIENT_TIMEOUT, IDEMPOTENT, MESSAGES, Simulation, WITH_KEY};

/// A message gets one answer. `Served` means that it took effect, `Rejected` that a retry is harmless.
fn check_answer(number: usize, message: &Message) -> Result<(), TestCaseError> {
    prop_assert_eq!(
        message.answers.len(),
        1,
        "message {}: {:?}",
        number,
        message
    );
    let answer = &message.answers[0];
    prop_assert!(answer.verdict != Verdict::Served || !message.effects.is_empty());
    if message.class != IDEMPOTENT {
        let harmless = message.class == WITH_KEY || message.effects.is_empty();
        prop_assert!(
            answer.verdict != Verdict::Rejected || harmless,
            "message {}: {:?}",
            number,
            message
        );
    }
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

/// Only an idempotent call may take effect more than once.
fn check_effects(number: usize, message: &Message) -> Result<(), TestCaseError> {
    prop_assert!(
        message.class == IDEMPOTENT || message.effects.len() <= 1,
        "message {} ran twice: {:?}",
        number,
        message
    );
    Ok(())
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
            check_effects(number, message)?;
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
