//! The folder into which the processes of a scenario write.

use std::path::{Path, PathBuf};

/// Where a run keeps its logs and records.
pub(crate) struct RunFolder {
    path: PathBuf,
    temporary: bool,
}

impl RunFolder {
    /// The folder that the user named, or else one for temporary files that bears this kind of run in its name.
    pub(crate) fn new(named: Option<PathBuf>, kind: &str, seed: Option<u64>) -> Self {
        if let Some(path) = named {
            return RunFolder {
                path,
                temporary: false,
            };
        }
        let process = std::process::id();
        let name = match seed {
            Some(seed) => format!("pipithub-{kind}-{process}-{seed}"),
            None => format!("pipithub-{kind}-{process}"),
        };
        RunFolder {
            path: std::env::temp_dir().join(name),
            temporary: true,
        }
    }

    /// Where it is.
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Removes the folder unless the user named it; what cannot be removed is left to the system.
    pub(crate) fn remove_if_temporary(&self) {
        if self.temporary {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
