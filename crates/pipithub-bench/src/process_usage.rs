//! CPU time and memory of a process, from the files of `/proc`.

/// The unit of CPU times in `/proc/PID/stat` on all common Linux systems, as a frequency.
const TICKS_PER_SECOND: f64 = 100.0;
const KIB_PER_MIB: f64 = 1024.0;
const NANOSECONDS_PER_SECOND: f64 = 1e9;
/// The index of the user time in `/proc/PID/stat`, among the fields after the command name.
const USER_TICKS_FIELD: usize = 11;
/// The index of the kernel time among the same fields.
const KERNEL_TICKS_FIELD: usize = 12;

/// The CPU time and the memory of a process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessUsage {
    /// CPU time of all its threads, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in MiB.
    pub resident_mib: f64,
}

impl ProcessUsage {
    /// Reads both; they are 0 if the process has ended.
    pub(crate) fn of(pid: u32) -> Self {
        ProcessUsage {
            cpu_seconds: cpu_ticks(pid) / TICKS_PER_SECOND,
            resident_mib: kib(pid, "status", "VmRSS:") / KIB_PER_MIB,
        }
    }

    /// The usage of this process.
    pub(crate) fn of_this_process() -> Self {
        ProcessUsage::of(std::process::id())
    }
}

fn cpu_ticks(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The command name is in parentheses and may contain spaces, so fields are counted after it.
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

/// CPU time of all running threads of a process, in seconds. It comes from the scheduler, which counts nanoseconds, for
/// measurements that are short beside a tick of 10 ms. Threads that have ended do not count.
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

/// The memory of a process, in MiB.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MemoryUse {
    /// Resident memory, in which pages shared with other processes count fully.
    pub resident_mib: f64,
    /// Resident memory, in which each shared page is divided among its processes.
    pub proportional_mib: f64,
    /// The peak of the resident memory.
    pub peak_mib: f64,
}

impl MemoryUse {
    /// Reads the memory of a process; all values are 0 if it has ended.
    pub(crate) fn of(pid: u32) -> Self {
        let mib = |file: &str, field: &str| kib(pid, file, field) / KIB_PER_MIB;
        MemoryUse {
            resident_mib: mib("status", "VmRSS:"),
            proportional_mib: mib("smaps_rollup", "Pss:"),
            peak_mib: mib("status", "VmHWM:"),
        }
    }
}

/// The peak of a process's resident memory, in MiB; 0 if it has ended.
pub(crate) fn peak_mib(pid: u32) -> f64 {
    kib(pid, "status", "VmHWM:") / KIB_PER_MIB
}

/// A field in KiB of a file of the process; 0 if the process has ended.
fn kib(pid: u32, file: &str, field: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/{file}")).unwrap_or_default();
    text.lines()
        .find_map(|line| line.strip_prefix(field))
        .and_then(|value| value.split_whitespace().next()?.parse().ok())
        .unwrap_or(0.0)
}
