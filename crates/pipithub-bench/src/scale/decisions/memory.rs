//! What decisions hold in memory, from the program that counts it.

use std::process::Command;

use crate::Result;
use crate::scale::Plan;

/// What is counted: which code, and for how many of each.
pub(super) struct MemoryCount<'a> {
    /// `plain` or `module`.
    pub code: &'a str,
    /// Workers in the list.
    pub workers: u64,
    /// Functions that are called.
    pub functions: u64,
    /// Calls before the end.
    pub calls: u64,
}

/// Bytes that were held.
pub(super) struct MemoryUse {
    /// The most at any time.
    pub peak: f64,
    /// At the end.
    pub end: f64,
}

impl MemoryCount<'_> {
    /// Runs the program that counts memory; `None` where it took too long.
    pub(super) fn run(&self, plan: &Plan) -> Result<Option<MemoryUse>> {
        let program = std::env::current_exe()?.with_file_name("decision-memory");
        let numbers = [self.workers, self.functions, self.calls, plan.seed];
        let output = Command::new(&program)
            .arg(self.code)
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
