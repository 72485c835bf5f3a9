//! Follows the coordinator: a long GET whose answer is a stream of list events. It may break off in the middle of one,
//! fall silent while it stays open, write events twice or move elsewhere; each time it is asked anew from the last
//! event that was taken.

mod sequence;
mod stream;

pub use self::sequence::{Sequence, Step};

use std::time::Duration;

use pipithub_platform::list::EndpointEvent;
use pipithub_platform::settings::Names;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;
use tracing::{error, info, warn};

use self::stream::{StreamError, follow_stream};

/// Each wait is stretched by a factor drawn from this: what loses its coordinator together must not ask in step.
const JITTER: std::ops::Range<f64> = 0.5..1.5;
/// How long to wait before asking again: doubled each time, up to the most, which together with a silence stays well
/// within those 4 s.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Follows the coordinator for as long as the front end runs; each event is handed to `take` once, in order.
pub async fn follow(
    mut address: watch::Receiver<String>,
    last: u64,
    names: Names,
    seed: u64,
    mut take: impl FnMut(EndpointEvent),
) {
    let mut sequence = Sequence::after(last);
    let (mut wait, mut rng) = (MIN_BACKOFF, StdRng::seed_from_u64(seed));
    // Events that could not be used since the start, the same one counted each time it came.
    let mut unusable = 0u64;
    loop {
        let place = address.borrow_and_update().clone();
        let mut took = false;
        let error = tokio::select! {
            error = follow_stream(&place, &mut sequence, &names, |event| { took = true; take(event) }) => error,
            moved = address.changed() => {
                if moved.is_err() {
                    return;
                }
                info!(coordinator = &*address.borrow(), "coordinator has moved");
                wait = MIN_BACKOFF;
                continue;
            }
        };
        if error.is_unusable_event() {
            unusable += 1;
        }
        log_end(&error, &place, sequence.last(), unusable);
        if took {
            wait = MIN_BACKOFF;
        }
        tokio::select! {
            () = tokio::time::sleep(wait.mul_f64(rng.random_range(JITTER))) => wait = (wait * 2).min(MAX_BACKOFF),
            // It has moved: what was wrong with the old one says nothing of the new.
            _ = address.changed() => wait = MIN_BACKOFF,
        }
    }
}

/// Logs why a stream ended; `unusable`: how often that was an event that cannot be used.
fn log_end(error: &StreamError, coordinator: &str, last: u64, unusable: u64) {
    if error.is_unusable_event() {
        error!(
            coordinator,
            last,
            unusable,
            reason = %error,
            "coordinator stream ended, former list stays"
        );
    } else {
        warn!(coordinator, last, reason = %error, "coordinator stream ended");
    }
}
