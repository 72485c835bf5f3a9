//! Speaks the line protocol of the front ends on standard input and output, and hands every event to
//! the decision module. It translates and does nothing else.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;

use pipithub_platform::settings::{self, Names};
use pipithub_policy::api::{Action, Event};
use pipithub_policy::decide::FrontEnd;
use wire::Input;

/// One hosted front end, with the names that its lines use.
struct Hosted {
    front: FrontEnd,
    names: Names,
}

fn main() -> ExitCode {
    let stdin = io::stdin();
    let stdout = io::stdout();
    match run(
        &mut BufReader::with_capacity(1 << 16, stdin.lock()),
        &mut BufWriter::new(stdout.lock()),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("pipithub-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Reads batches until the input ends; every error names the line that it stands on.
fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut lines = Lines {
        input,
        number: 0,
        text: String::new(),
    };
    let mut hosted: BTreeMap<u64, Hosted> = BTreeMap::new();
    let mut actions: Vec<Action> = Vec::new();
    let mut reply = String::new();
    while lines.next()? {
        if lines.text.is_empty() {
            continue;
        }
        let now = wire::clock(&lines.text).map_err(|e| lines.at(&e))?;
        reply.clear();
        loop {
            if !lines.next()? {
                return Err(lines.at("input ends inside a batch"));
            }
            if lines.text == "end" {
                break;
            }
            let (end, name) = wire::addressee(&lines.text).map_err(|e| lines.at(&e))?;
            if name == "attach" {
                let (seed, text) = wire::attach(&lines.text).map_err(|e| lines.at(&e))?;
                let site = settings::parse(text).map_err(|e| lines.at(&e.to_string()))?;
                hosted.insert(
                    end,
                    Hosted {
                        front: FrontEnd::new(site.policy, seed),
                        names: site.names,
                    },
                );
                continue;
            }
            if name == "killed" {
                hosted.remove(&end);
                continue;
            }
            let Some(host) = hosted.get_mut(&end) else {
                return Err(lines.at(&format!(
                    "'{name}' for front end {end}, which is not attached"
                )));
            };
            let event = match wire::event(&lines.text, &host.names).map_err(|e| lines.at(&e))? {
                Input::Event(event) => event,
                Input::List { kind, count } => {
                    let mut entries = Vec::new();
                    for _ in 0..count {
                        if !lines.next()? {
                            return Err(lines.at("input ends inside a list"));
                        }
                        entries
                            .push(wire::entry(&lines.text, &host.names).map_err(|e| lines.at(&e))?);
                    }
                    Event::Endpoints {
                        update: kind,
                        endpoints: entries,
                    }
                }
            };
            host.front.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                wire::write(&mut reply, end, &action);
            }
        }
        reply.push_str("end\n");
        let sent = output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush());
        sent.map_err(|e| format!("cannot write a reply: {e}"))?;
    }
    Ok(())
}

/// Input lines with their numbers.
struct Lines<'a, R: BufRead> {
    input: &'a mut R,
    number: u64,
    text: String,
}

impl<R: BufRead> Lines<'_, R> {
    /// Reads the next line into `text`; `false` where the input ends.
    fn next(&mut self) -> Result<bool, String> {
        self.text.clear();
        self.number += 1;
        let read = self
            .input
            .read_line(&mut self.text)
            .map_err(|e| self.at(&e.to_string()))?;
        let kept = self.text.trim_end_matches(['\n', '\r']).len();
        self.text.truncate(kept);
        Ok(read > 0)
    }

    fn at(&self, message: &str) -> String {
        format!("line {}: {message}", self.number)
    }
}
