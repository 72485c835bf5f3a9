//! Long random sequences of events, drawn from seeds. At each step the rules must hold and nothing may panic, and
//! equal events must give equal actions.

#[path = "../common/mod.rs"]
mod common;
mod generator;
mod model;
mod rules;

use pipithub_policy::FrontEnd;
use pipithub_policy::api::{
    Action, Class, DeduplicationScope, Event, Idempotency, LoadRateLimit, Settings, Time,
};

use common::{MS, settings};
use generator::Generator;
use model::Model;
use rules::{Decision, check_action, check_deadlines};

/// The settings for the sequence of a seed.
fn settings_of(seed: u64) -> Settings {
    let mut settings = settings(Idempotency::Idempotent);
    let idempotent = settings.classes[0].clone();
    settings.classes.push(Class {
        idempotency: Idempotency::WithKey,
        deduplication_scope: DeduplicationScope::Cell,
        ..idempotent.clone()
    });
    settings.classes.push(Class {
        idempotency: Idempotency::NonIdempotent,
        late_answer_weight: 0.0,
        ..idempotent
    });
    settings.loading.loads_on_request = !seed.is_multiple_of(3);
    settings.loading.reports_concurrency = seed.is_multiple_of(2);
    settings.front_ends = 1 + (seed % 3) as u32;
    settings.loading.rate_limit = (seed % 2 == 1).then_some(LoadRateLimit {
        window: 5_000 * MS,
        burst: 3.0,
        per_request: 0.15,
    });
    settings
}

/// A front end, the generator of its events, and the model that its actions are checked against.
struct RandomRun {
    seed: u64,
    front_end: FrontEnd,
    generator: Generator,
    model: Model,
    actions: Vec<Action>,
}

impl RandomRun {
    fn new(seed: u64, settings: Settings) -> RandomRun {
        RandomRun {
            seed,
            front_end: FrontEnd::new(settings.clone(), seed),
            generator: Generator::new(seed),
            model: Model::new(settings),
            actions: Vec::new(),
        }
    }

    /// Runs this number of steps, checks the rules at each, and returns all actions of the front end.
    fn run(mut self, steps: usize) -> Vec<Action> {
        for step in 0..steps {
            self.generator.advance_clock();
            let expired = self.model.take_due_timers(self.generator.now);
            let event = self.generator.draw_event(step == 0, &mut self.model);
            for timer in expired {
                let token = timer.token;
                self.handle(timer.due, Event::Timer { token });
            }
            self.handle(self.generator.now, event);
            check_deadlines(&self.model, self.generator.now, self.seed);
        }
        self.actions
    }

    /// Lets the front end handle one event, and checks each action against the state before it.
    fn handle(&mut self, at: Time, event: Event) {
        let finished = self.model.note_event(at, &event);
        let mut actions = Vec::new();
        self.front_end.handle(at, event, &mut actions);
        for action in &actions {
            let decision = Decision {
                seed: self.seed,
                at,
                finished,
                model: &self.model,
            };
            check_action(&decision, action);
            self.model.note_action(at, action);
        }
        if let Some(finished) = finished {
            self.model.note_execution(finished);
        }
        self.actions.extend(actions);
    }
}

fn run_sequence(seed: u64, steps: usize) -> Vec<Action> {
    RandomRun::new(seed, settings_of(seed)).run(steps)
}

#[test]
fn rules_hold_on_random_sequences() {
    for seed in 1..=24 {
        run_sequence(seed, 2_500);
    }
}

/// Few load commands are allowed and requests begin no loads, so that the limit is reached.
#[test]
fn rules_hold_under_tight_load_rate_limit() {
    for seed in 1..=8 {
        let mut settings = settings_of(seed);
        settings.loading.loads_on_request = false;
        settings.loading.rate_limit = Some(LoadRateLimit {
            window: 5_000 * MS,
            burst: 1.0,
            per_request: 0.01,
        });
        let actions = RandomRun::new(seed, settings).run(2_500);
        let is_load = |action: &&Action| matches!(action, Action::LoadFunction { .. });
        let commands = actions.iter().filter(is_load).count();
        assert!(commands > 0, "seed {seed}: no load command was given");
    }
}

/// Attempts often end after the deduplication window; a request with an idempotency key must not be retried then.
#[test]
fn rules_hold_with_short_deduplication_window() {
    for seed in 1..=8 {
        let mut settings = settings_of(seed);
        for class in &mut settings.classes {
            class.deduplication_window = 60 * MS;
        }
        RandomRun::new(seed, settings).run(2_500);
    }
}

#[test]
fn equal_events_give_equal_actions() {
    for seed in [3, 8] {
        assert_eq!(run_sequence(seed, 2_000), run_sequence(seed, 2_000));
    }
}
