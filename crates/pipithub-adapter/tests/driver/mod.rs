//! Runs the adapter as a child process and exchanges batches with it.

use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use pipithub_characterization::adapter_scenario::LineProtocol;

/// A running adapter.
pub(crate) struct Adapter {
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
}

impl Adapter {
    /// Starts the adapter.
    pub(crate) fn start() -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_pipithub-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("failed to start the adapter");
        let output = BufReader::new(child.stdout.take().expect("standard output is not a pipe"));
        Adapter {
            input: child.stdin.take(),
            child,
            output,
        }
    }

    /// Closes the adapter's input, and checks that the adapter exits successfully.
    pub(crate) fn finish(mut self) {
        drop(self.input.take());
        let status = self.child.wait().expect("failed to wait for the adapter");
        assert!(status.success(), "adapter failed: {status}");
    }
}

impl LineProtocol for Adapter {
    fn exchange(&mut self, batch: &str) -> String {
        let input = self.input.as_mut().expect("the adapter's input is closed");
        input
            .write_all(batch.as_bytes())
            .and_then(|()| input.flush())
            .expect("failed to write to the adapter");
        let mut reply = String::new();
        while !reply.ends_with("end\n") {
            let read = self
                .output
                .read_line(&mut reply)
                .expect("failed to read from the adapter");
            assert!(read > 0, "the adapter's output ended inside a reply");
        }
        reply
    }
}
