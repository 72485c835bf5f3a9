//! A simulated disk whose operations fail according to a plan, and which can lose power.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

use pipithub_storage::{FileSystem, WritableFile};

/// The fault of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It fails and has no effect.
    Fails(ErrorKind),
    /// It has its effect, but reports a failure.
    FailsAfterEffect,
    /// A write succeeds, but writes at most this many bytes. Other operations are not affected.
    ShortWrite(usize),
    /// The process is killed: a write has written at most this many bytes, a sync has no effect, and another operation
    /// has its whole effect. All later operations fail without an effect.
    KilledAfter(usize),
}

/// The fault of each operation, by its number from 0.
pub(crate) type Plan = Box<dyn Fn(usize) -> Option<Fault> + Send>;

/// Content in the page cache and on disk.
#[derive(Clone, Debug, Default)]
struct Inode {
    cached: Vec<u8>,
    durable: Vec<u8>,
    /// Bytes before this position count as written to disk, even if they were not because a sync failed.
    clean_until: usize,
}

struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<PathBuf, usize>,
    /// The names on disk, followed by the names after each change since the last sync of the folder.
    name_history: Vec<BTreeMap<PathBuf, usize>>,
    plan: Plan,
    operations: Vec<&'static str>,
    killed: bool,
}

impl State {
    fn record_name_change(&mut self) {
        self.name_history.push(self.names.clone());
    }

    /// Records an operation and returns its fault, or the error of an operation that has no effect.
    fn begin(&mut self, operation: &'static str) -> io::Result<Option<Fault>> {
        if self.killed {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let fault = (self.plan)(self.operations.len());
        self.operations.push(operation);
        match fault {
            Some(Fault::Fails(kind)) => Err(kind.into()),
            Some(Fault::KilledAfter(_)) => {
                self.killed = true;
                Ok(fault)
            }
            _ => Ok(fault),
        }
    }
}

/// The result of an operation that had its effect.
fn result(fault: Option<Fault>) -> io::Result<()> {
    match fault {
        Some(Fault::FailsAfterEffect) => Err(ErrorKind::Other.into()),
        Some(Fault::KilledAfter(_)) => Err(ErrorKind::BrokenPipe.into()),
        _ => Ok(()),
    }
}

/// The disk. Clones share its state.
#[derive(Clone)]
pub(crate) struct Disk(Arc<Mutex<State>>);

impl Disk {
    /// Creates a disk with one file, whose content and name are synced.
    pub(crate) fn with_file(path: &Path, content: &[u8]) -> Self {
        let inode = Inode {
            cached: content.into(),
            durable: content.into(),
            clean_until: content.len(),
        };
        let names = BTreeMap::from([(path.to_path_buf(), 0)]);
        let state = State {
            inodes: vec![inode],
            name_history: vec![names.clone()],
            names,
            plan: Box::new(|_| None),
            operations: Vec::new(),
            killed: false,
        };
        Disk(Arc::new(Mutex::new(state)))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .expect("no test panics while it holds the lock")
    }

    /// Sets the plan for the operations from now on, which are counted from 0. A killed process runs again.
    pub(crate) fn plan(&self, plan: impl Fn(usize) -> Option<Fault> + Send + 'static) {
        let mut state = self.state();
        (state.plan, state.killed) = (Box::new(plan), false);
        state.operations.clear();
    }

    /// The operations since the plan was set.
    pub(crate) fn operations(&self) -> Vec<&'static str> {
        self.state().operations.clone()
    }

    /// The content of a file as a process reads it.
    pub(crate) fn read(&self, path: &Path) -> Option<Vec<u8>> {
        let state = self.state();
        state
            .names
            .get(path)
            .map(|inode| state.inodes[*inode].cached.clone())
    }

    /// The names that a process sees.
    pub(crate) fn names(&self) -> Vec<PathBuf> {
        self.state().names.keys().cloned().collect()
    }

    /// All contents that may be read after a power failure: any number of unsynced changes of names and any number of
    /// unsynced bytes may have reached the disk.
    pub(crate) fn after_power_failure(&self, path: &Path) -> Vec<Option<Vec<u8>>> {
        let state = self.state();
        let mut contents = Vec::new();
        for names in &state.name_history {
            let Some(inode) = names.get(path).map(|inode| &state.inodes[*inode]) else {
                contents.push(None);
                continue;
            };
            contents.push(Some(inode.durable.clone()));
            if inode.durable != inode.cached {
                let prefix = |length: usize| Some(inode.cached[..length].to_vec());
                contents.extend((0..=inode.cached.len()).map(prefix));
            }
        }
        contents
    }
}

struct OpenFile {
    disk: Disk,
    inode: usize,
}

impl WritableFile for OpenFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.disk.state();
        let fault = state.begin("write")?;
        let count = match fault {
            Some(Fault::ShortWrite(limit) | Fault::KilledAfter(limit)) => bytes.len().min(limit),
            _ => bytes.len(),
        };
        state.inodes[self.inode]
            .cached
            .extend_from_slice(&bytes[..count]);
        result(fault).map(|()| count)
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.state();
        let fault = state.begin("sync file");
        let inode = &mut state.inodes[self.inode];
        // As on Linux, the pages count as clean after a failed sync, so that a further sync succeeds without writing
        // them.
        if matches!(&fault, Ok(fault) if !matches!(fault, Some(Fault::KilledAfter(_)))) {
            let from = inode.clean_until;
            inode.durable.resize(from, 0);
            inode.durable.extend_from_slice(&inode.cached[from..]);
        }
        inode.clean_until = inode.cached.len();
        result(fault?)
    }
}

impl FileSystem for Disk {
    fn create_new(&self, path: &Path) -> io::Result<Box<dyn WritableFile>> {
        let mut state = self.state();
        let fault = state.begin("create")?;
        if state.names.contains_key(path) {
            return Err(ErrorKind::AlreadyExists.into());
        }
        let inode = state.inodes.len();
        state.inodes.push(Inode::default());
        state.names.insert(path.into(), inode);
        state.record_name_change();
        result(fault)?;
        Ok(Box::new(OpenFile {
            disk: self.clone(),
            inode,
        }))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.state();
        let fault = state.begin("rename")?;
        let inode = state.names.remove(from).ok_or(ErrorKind::NotFound)?;
        state.names.insert(to.into(), inode);
        state.record_name_change();
        result(fault)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut state = self.state();
        let fault = state.begin("remove")?;
        state.names.remove(path).ok_or(ErrorKind::NotFound)?;
        state.record_name_change();
        result(fault)
    }

    fn sync_folder(&self, _folder: &Path) -> io::Result<()> {
        let mut state = self.state();
        let fault = state.begin("sync folder")?;
        if !matches!(fault, Some(Fault::KilledAfter(_))) {
            state.name_history = vec![state.names.clone()];
        }
        result(fault)
    }
}
