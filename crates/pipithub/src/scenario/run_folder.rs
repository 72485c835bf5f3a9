//! The folder to which the processes of a run write.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The folder of one run, with its logs, records and data.
pub(crate) struct RunFolder {
    path: PathBuf,
    temporary: bool,
}

impl RunFolder {
    /// The folder that the user named, or else a temporary one whose name contains the kind of run and its seed, if any.
    ///
    /// The folder is not created.
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

    /// The path of the folder.
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the exit code of a run that has ended, and removes its folder if it is temporary.
    ///
    /// If rules were violated, the folder is kept and its path printed.
    pub(crate) fn finish(&self, rules_kept: bool) -> ExitCode {
        if rules_kept {
            self.remove_if_temporary();
            return ExitCode::SUCCESS;
        }
        eprintln!("logs and records are in {}", self.path.display());
        ExitCode::FAILURE
    }

    /// Removes the folder unless the user named it. If removing fails, the folder is left to the operating system to clean up.
    fn remove_if_temporary(&self) {
        if self.temporary {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
