//! Keeping a file at its newest content, in the background.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tracing::{error, info};

use crate::backoff::Backoff;
use crate::file_system::FileSystem;
use crate::replace::{ReplaceError, Target, replace};

/// Content that is to be saved.
#[derive(Clone, Debug)]
struct Version {
    number: u64,
    content: Arc<[u8]>,
}

/// Saves the newest content of one file; older content that was not saved yet is dropped.
///
/// A failed replacement is retried until it succeeds, newer content takes its place, or the saver is dropped. What was
/// given last before the drop is still tried once.
#[derive(Debug)]
pub struct Saver {
    newest: watch::Sender<Option<Version>>,
    saved: watch::Receiver<Option<u64>>,
}

impl Saver {
    /// Starts a task that saves to a target.
    pub fn start(files: Arc<dyn FileSystem>, target: Target) -> Self {
        let (newest, newest_receiver) = watch::channel(None);
        let (saved_sender, saved) = watch::channel(None);
        let worker = Worker {
            files,
            target,
            newest: newest_receiver,
            saved: saved_sender,
        };
        tokio::spawn(worker.run());
        Saver { newest, saved }
    }

    /// Has this content saved, under a number that [`Saver::saved`] will tell.
    pub fn save(&self, number: u64, content: impl Into<Arc<[u8]>>) {
        self.newest.send_replace(Some(Version {
            number,
            content: content.into(),
        }));
    }

    /// The number of the content that was saved last: it is on disk. Its sender is gone when the task has ended.
    pub fn saved(&self) -> watch::Receiver<Option<u64>> {
        self.saved.clone()
    }
}

struct Worker {
    files: Arc<dyn FileSystem>,
    target: Target,
    newest: watch::Receiver<Option<Version>>,
    saved: watch::Sender<Option<u64>>,
}

impl Worker {
    async fn run(mut self) {
        let mut backoff = Backoff::default();
        while self.newest.changed().await.is_ok() {
            self.save_with_retries(&mut backoff).await;
        }
    }

    async fn save_with_retries(&mut self, backoff: &mut Backoff) {
        let mut failures = 0_u64;
        while let Err(error) = self.save_newest().await {
            failures += 1;
            let delay = backoff.next_delay();
            let retry_ms = delay.as_millis() as u64;
            let file = self.target.path().display();
            error!(%file, %error, failures, retry_ms, "not saved; the previous content stays");
            if !self.wait(delay).await {
                return;
            }
        }
        backoff.reset();
        if failures > 0 {
            info!(file = %self.target.path().display(), failures, "saved after failures");
        }
    }

    async fn save_newest(&mut self) -> Result<(), SaveError> {
        let Some(version) = self.newest.borrow_and_update().clone() else {
            return Ok(());
        };
        let (files, target) = (self.files.clone(), self.target.clone());
        let content = version.content;
        let replaced = tokio::task::spawn_blocking(move || replace(&*files, &target, &content));
        replaced.await??;
        self.saved.send_replace(Some(version.number));
        Ok(())
    }

    /// Waits for the next retry; false where the saver was dropped.
    async fn wait(&self, delay: Duration) -> bool {
        let mut newest = self.newest.clone();
        let dropped = async { while newest.changed().await.is_ok() {} };
        tokio::select! {
            () = tokio::time::sleep(delay) => true,
            () = dropped => false,
        }
    }
}

/// Why content is not saved.
#[derive(Debug, thiserror::Error)]
enum SaveError {
    #[error(transparent)]
    Replace(#[from] ReplaceError),
    /// The blocking task was cancelled or panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
}
