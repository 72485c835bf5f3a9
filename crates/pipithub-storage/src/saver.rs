//! A background task that saves the newest content of a file.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tracing::{error, info};

use crate::backoff::Backoff;
use crate::file_system::FileSystem;
use crate::replace::{ReplaceError, Target, replace};

/// A version of the content.
#[derive(Clone, Debug)]
struct Version {
    number: u64,
    content: Arc<[u8]>,
}

/// Saves the newest content of one file. Older content that was not saved yet is dropped.
///
/// A failed replacement is retried until it succeeds, newer content replaces it, or the saver is dropped. After the
/// drop, one more attempt is made to save content that was never attempted.
#[derive(Debug)]
pub struct Saver {
    newest: watch::Sender<Option<Version>>,
    saved: watch::Receiver<Option<u64>>,
}

impl Saver {
    /// Starts a task that saves to `target`. Must be called within a Tokio runtime.
    pub fn start(files: Arc<dyn FileSystem>, target: Target) -> Self {
        let (newest, newest_receiver) = watch::channel(None);
        let (saved_sender, saved) = watch::channel(None);
        let task = SaveTask {
            files,
            target,
            newest: newest_receiver,
            saved: saved_sender,
        };
        tokio::spawn(task.run());
        Saver { newest, saved }
    }

    /// Requests that this content be saved. Once it is, [`Saver::saved`] reports `number`.
    pub fn save(&self, number: u64, content: impl Into<Arc<[u8]>>) {
        self.newest.send_replace(Some(Version {
            number,
            content: content.into(),
        }));
    }

    /// A receiver of the number of the content that was saved last; `None` until content has been saved. With
    /// [`Durability::Synced`], that content is on disk. The channel is closed once the task has ended.
    ///
    /// [`Durability::Synced`]: crate::Durability::Synced
    pub fn saved(&self) -> watch::Receiver<Option<u64>> {
        self.saved.clone()
    }
}

struct SaveTask {
    files: Arc<dyn FileSystem>,
    target: Target,
    newest: watch::Receiver<Option<Version>>,
    saved: watch::Sender<Option<u64>>,
}

impl SaveTask {
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
            error!(%file, %error, failures, retry_ms, "failed to save file, retrying");
            if !self.wait(delay).await {
                return;
            }
        }
        backoff.reset();
        if failures > 0 {
            info!(file = %self.target.path().display(), failures, "saved file after failures");
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

    /// Waits before the next attempt. Returns false if the saver is dropped meanwhile.
    async fn wait(&self, delay: Duration) -> bool {
        let mut newest = self.newest.clone();
        let dropped = async { while newest.changed().await.is_ok() {} };
        tokio::select! {
            () = tokio::time::sleep(delay) => true,
            () = dropped => false,
        }
    }
}

/// Why content was not saved.
#[derive(Debug, thiserror::Error)]
enum SaveError {
    #[error(transparent)]
    Replace(#[from] ReplaceError),
    /// The blocking task was cancelled or panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
}
