//! A disk in memory whose operations fail as planned, and which can lose power.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

use pipithub_storage::{FileSystem, WritableFile};

/// What becomes of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It fails without an effect.
    Fails(ErrorKind),
    /// It has its effect, but reports a failure.
    DoneButFails,
    /// A write takes only so many bytes, and succeeds. Other operations are made whole.
    Takes(usize),
    /// The process is killed once a write has taken so many bytes; nothing is done from here on.
    Killed(usize),
}

/// Which operations have which fault, by their number from 0.
pub(crate) type Plan = Box<dyn Fn(usize) -> Option<Fault> + Send>;

/// Content in the page cache and on disk.
#[derive(Clone, Debug, Default)]
struct Inode {
    cached: Vec<u8>,
    durable: Vec<u8>,
    /// Bytes before this one count as written back, whether they were or not.
    clean_until: usize,
}

struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<PathBuf, usize>,
    /// The names on disk, followed by those after each change that the folder was not synced for.
    name_history: Vec<BTreeMap<PathBuf, usize>>,
    plan: Plan,
    operations: Vec<&'static str>,
    killed: bool,
}

impl State {
    fn renamed(&mut self) {
        self.name_history.push(self.names.clone());
    }

    /// Counts an operation; its fault.
    fn begin(&mut self, operation: &'static str) -> io::Result<Option<Fault>> {
        if self.killed {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let fault = (self.plan)(self.operations.len());
        self.operations.push(operation);
        match fault {
            Some(Fault::Fails(kind)) => Err(kind.into()),
            Some(Fault::Killed(_)) => {
                self.killed = true;
                Ok(fault)
            }
            _ => Ok(fault),
        }
    }
}

fn end(fault: Option<Fault>) -> io::Result<()> {
    match fault {
        Some(Fault::DoneButFails) => Err(ErrorKind::Other.into()),
        Some(Fault::Killed(_)) => Err(ErrorKind::BrokenPipe.into()),
        _ => Ok(()),
    }
}

/// The disk. Clones are the same one.
#[derive(Clone)]
pub(crate) struct Disk(Arc<Mutex<State>>);

impl Disk {
    /// A disk that holds one file, durably.
    pub(crate) fn with(path: &Path, content: &[u8]) -> Self {
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
        self.0.lock().expect("no test panics with the lock")
    }

    /// Counts operations from 0 again, and has them fail by this plan. A killed process runs again.
    pub(crate) fn plan(&self, plan: impl Fn(usize) -> Option<Fault> + Send + 'static) {
        let mut state = self.state();
        (state.plan, state.killed) = (Box::new(plan), false);
        state.operations.clear();
    }

    /// The operations since the plan was set.
    pub(crate) fn operations(&self) -> Vec<&'static str> {
        self.state().operations.clone()
    }

    /// What a process reads.
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

    /// All that may be read after a power cut: name changes that were not synced may be there up to any of them, and
    /// content that was not synced up to any byte.
    pub(crate) fn after_power_cut(&self, path: &Path) -> Vec<Option<Vec<u8>>> {
        let state = self.state();
        let mut all = Vec::new();
        for names in &state.name_history {
            let Some(inode) = names.get(path).map(|inode| &state.inodes[*inode]) else {
                all.push(None);
                continue;
            };
            all.push(Some(inode.durable.clone()));
            if inode.durable != inode.cached {
                all.extend((0..=inode.cached.len()).map(|cut| Some(inode.cached[..cut].to_vec())));
            }
        }
        all
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
            Some(Fault::Takes(most) | Fault::Killed(most)) => bytes.len().min(most),
            _ => bytes.len(),
        };
        state.inodes[self.inode]
            .cached
            .extend_from_slice(&bytes[..count]);
        end(fault).map(|()| count)
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.state();
        let fault = state.begin("sync file");
        let inode = &mut state.inodes[self.inode];
        // As on Linux: after a failure the pages count as clean, and a further sync succeeds with nothing written.
        if fault.is_ok()
            && fault
                .as_ref()
                .is_ok_and(|f| !matches!(f, Some(Fault::Killed(_))))
        {
            let from = inode.clean_until;
            inode.durable.resize(from, 0);
            inode.durable.extend_from_slice(&inode.cached[from..]);
        }
        inode.clean_until = inode.cached.len();
        end(fault?)
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
        state.renamed();
        end(fault)?;
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
        state.renamed();
        end(fault)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut state = self.state();
        let fault = state.begin("remove")?;
        state.names.remove(path).ok_or(ErrorKind::NotFound)?;
        state.renamed();
        end(fault)
    }

    fn sync_folder(&self, _folder: &Path) -> io::Result<()> {
        let mut state = self.state();
        let fault = state.begin("sync folder")?;
        if !matches!(fault, Some(Fault::Killed(_))) {
            state.name_history = vec![state.names.clone()];
        }
        end(fault)
    }
}
