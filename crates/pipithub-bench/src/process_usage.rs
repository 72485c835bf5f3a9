//! What a process has used, from the files of `/proc`.

/// Linux counts a process's CPU time in hundredths of a second on all its common machines.
const TICKS_PER_SECOND: f64 = 100.0;
const KIB_PER_MIB: f64 = 1024.0;
const NANOSECONDS_PER_SECOND: f64 = 1e9;
/// Where the ticks in user and in kernel mode stand in `/proc/PID/stat`, counted from behind the command's name.
const USER_TICKS_FIELD: usize = 11;
const KERNEL_TICKS_FIELD: usize = 12;

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessUsage {
    /// CPU time of all its threads, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in MiB.
    pub resident_mib: f64,
}

impl ProcessUsage {
    /// Reads both; zeros where the process is gone.
    pub(crate) fn of(pid: u32) -> Self {
        ProcessUsage {
            cpu_seconds: cpu_ticks(pid) / TICKS_PER_SECOND,
            resident_mib: kib(pid, "status", "VmRSS:") / KIB_PER_MIB,
        }
    }

    /// What this process itself has used.
    pub(crate) fn of_this_process() -> Self {
        ProcessUsage::of(std::process::id())
    }
}

fn cpu_ticks(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The command's name stands in parentheses and may hold spaces, so fields are counted from behind it.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |field: usize| {
        fields
            .get(field)
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    ticks(USER_TICKS_FIELD) + ticks(KERNEL_TICKS_FIELD)
}

/// CPU time of all threads of a process so far, in seconds. It is the scheduler's count, in nanoseconds, for spans in
/// which ticks of 10 ms would say nothing; threads that have ended are not in it.
pub(crate) fn scheduled_cpu_seconds(pid: u32) -> f64 {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task"))
        .into_iter()
        .flatten()
        .flatten();
    let nanoseconds = |thread: std::fs::DirEntry| {
        let counts = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        counts.split_whitespace().next()?.parse::<f64>().ok()
    };
    threads.filter_map(nanoseconds).sum::<f64>() / NANOSECONDS_PER_SECOND
}

/// What a process holds, in MiB.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MemoryUse {
    /// Resident, pages shared with others counted whole.
    pub resident_mib: f64,
    /// Resident, pages shared with others counted by shares.
    pub proportional_mib: f64,
    /// The most that was ever resident.
    pub peak_mib: f64,
}

impl MemoryUse {
    /// Reads what a process holds; zeros where it is gone.
    pub(crate) fn of(pid: u32) -> Self {
        let mib = |file: &str, field: &str| kib(pid, file, field) / KIB_PER_MIB;
        MemoryUse {
            resident_mib: mib("status", "VmRSS:"),
            proportional_mib: mib("smaps_rollup", "Pss:"),
            peak_mib: mib("status", "VmHWM:"),
        }
    }
}

/// The most memory that a process ever held, in MiB.
pub(crate) fn peak_mib(pid: u32) -> f64 {
    kib(pid, "status", "VmHWM:") / KIB_PER_MIB
}

/// A field in KiB of one of the process's files; 0 where it is gone.
fn kib(pid: u32, file: &str, field: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/{file}")).unwrap_or_default();
    text.lines()
        .find_map(|line| line.strip_prefix(field))
        .and_then(|value| value.split_whitespace().next()?.parse().ok())
        .unwrap_or(0.0)
}
