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
    /// Starts one.
    pub(crate) fn start() -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_pipithub-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let output = BufReader::new(child.stdout.take().expect("its output is a pipe"));
        Adapter {
            input: child.stdin.take(),
            child,
            output,
        }
    }

    /// Ends its input and waits for a clean end.
    pub(crate) fn finish(mut self) {
        drop(self.input.take());
        let status = self.child.wait().expect("the adapter ends");
        assert!(status.success(), "{status}");
    }
}

impl LineProtocol for Adapter {
    fn exchange(&mut self, batch: &str) -> String {
        let input = self.input.as_mut().expect("the input is open");
        input
            .write_all(batch.as_bytes())
            .and_then(|()| input.flush())
            .expect("the adapter reads");
        let mut reply = String::new();
        while !reply.ends_with("end\n") {
            let read = self
                .output
                .read_line(&mut reply)
                .expect("the adapter writes text");
            assert!(read > 0, "the adapter ended within a reply");
        }
        reply
    }
}
