//! The memory of the decision module and its reference, counted by the program `decision-memory`.

use std::process::Command;

use crate::Result;
use crate::scale::Plan;

/// The arguments of `decision-memory`.
pub(super) struct MemoryCount<'a> {
    /// `plain`, the reference implementation, or `module`, the decision module.
    pub implementation: &'a str,
    /// The number of workers in the endpoint list.
    pub workers: u64,
    /// The number of functions that are called.
    pub functions: u64,
    /// The number of calls.
    pub calls: u64,
}

/// The number of bytes that were held.
pub(super) struct MemoryUse {
    /// The highest number after any event.
    pub peak: f64,
    /// The number at the end.
    pub end: f64,
}

impl MemoryCount<'_> {
    /// Runs `decision-memory`. Returns `None` if the count took too long.
    pub(super) fn run(&self, plan: &Plan) -> Result<Option<MemoryUse>> {
        let program = std::env::current_exe()?.with_file_name("decision-memory");
        let numbers = [self.workers, self.functions, self.calls, plan.seed];
        let output = Command::new(&program)
            .arg(self.implementation)
            .args(numbers.map(|number| number.to_string()))
            .output()
            .map_err(|error| {
                let program = program.display();
                format!("{program}: {error}; build all of pipithub-bench")
            })?;
        if !output.status.success() {
            let reason = String::from_utf8_lossy(&output.stderr);
            return Err(format!("decision-memory: {reason}").into());
        }
        let text = String::from_utf8(output.stdout)?;
        let mut numbers = text.split_whitespace().map(str::parse::<f64>);
        match (numbers.next(), numbers.next()) {
            (Some(Ok(peak)), Some(Ok(end))) => Ok(Some(MemoryUse { peak, end })),
            _ => Ok(None),
        }
    }
}
