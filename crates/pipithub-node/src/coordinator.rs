//! Follows the coordinator's event stream: a response without end to a GET request. The stream may break off in the
//! middle of an event, leave events out, fall silent while it stays open, or move to another address; the front end
//! then reconnects and requests the events after the last one that it applied. Repeated events are ignored.

mod sequence;
mod stream;

pub use self::sequence::{Sequence, Step};
pub use self::stream::StreamUpdate;

use std::time::Duration;

use pipithub_platform::settings::Names;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;
use tracing::{error, info, warn};

use self::stream::{StreamError, follow_stream};

/// Each backoff is multiplied by a random factor in this range, so that front ends that lose their coordinator at the
/// same time do not all reconnect at the same time.
const JITTER: std::ops::Range<f64> = 0.5..1.5;
/// The backoff before a reconnect doubles each time, up to the maximum. Silence timeout and backoff together stay well
/// below the 4 s after which an update counts as delivered.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Follows the coordinator until the sender of `address` is dropped. Passes to `on_update` each event after the event
/// `last`, once and in order, and each sign that the coordinator is alive. `seed` determines the jitter of the backoff.
pub async fn follow(
    mut address: watch::Receiver<String>,
    last: u64,
    names: Names,
    seed: u64,
    mut on_update: impl FnMut(StreamUpdate),
) {
    let mut sequence = Sequence::after(last);
    let (mut backoff, mut rng) = (MIN_BACKOFF, StdRng::seed_from_u64(seed));
    // How many unusable events have come since the start; an event counts each time that it comes.
    let mut unusable = 0u64;
    loop {
        let current_address = address.borrow_and_update().clone();
        let mut has_progressed = false;
        let error = tokio::select! {
            error = follow_stream(&current_address, &mut sequence, &names, |update| {
                has_progressed |= matches!(update, StreamUpdate::Event(_));
                on_update(update);
            }) => error,
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                info!(coordinator = &*address.borrow(), "coordinator address changed, reconnecting");
                backoff = MIN_BACKOFF;
                continue;
            }
        };
        if error.is_disconnect() {
            on_update(StreamUpdate::Disconnected);
        }
        if error.is_unusable_event() {
            unusable += 1;
        }
        log_stream_end(&error, &current_address, sequence.last(), unusable);
        if has_progressed {
            backoff = MIN_BACKOFF;
        }
        tokio::select! {
            () = tokio::time::sleep(backoff.mul_f64(rng.random_range(JITTER))) => backoff = (backoff * 2).min(MAX_BACKOFF),
            // The failures at the old address say nothing about the new one.
            _ = address.changed() => backoff = MIN_BACKOFF,
        }
    }
}

/// Logs why a stream ended. `unusable` is the number of streams since the start that ended because of an unusable
/// event.
fn log_stream_end(error: &StreamError, coordinator: &str, last: u64, unusable: u64) {
    if error.is_unusable_event() {
        error!(
            coordinator,
            last,
            unusable,
            reason = %error,
            "coordinator stream ended, previous list stays in use"
        );
    } else {
        warn!(coordinator, last, reason = %error, "coordinator stream ended");
    }
}
