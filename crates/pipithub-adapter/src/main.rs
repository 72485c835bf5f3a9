//! Translates between the line protocol of the front ends on standard input and output and the
//! decision module, which gets every event.

mod error;
mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;

use error::{AdapterError, LineError};
use pipithub_platform::settings::{self, Names};
use pipithub_policy::FrontEnd;
use pipithub_policy::api::{Action, Endpoint, Event, Time};
use wire::Input;

/// The size of the input buffer, in bytes.
const INPUT_BUFFER: usize = 1 << 16;

/// An attached front end, and the names that its lines use.
struct AttachedFrontEnd {
    front_end: FrontEnd,
    names: Names,
}

fn main() -> ExitCode {
    let stdin = io::stdin();
    let stdout = io::stdout();
    match run(
        BufReader::with_capacity(INPUT_BUFFER, stdin.lock()),
        BufWriter::new(stdout.lock()),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pipithub-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends; every error in the input states the number of its line.
fn run(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut session = Session::new(input);
    while session.lines.next()? {
        if session.lines.text.is_empty() {
            continue;
        }
        let reply = session.answer_batch()?;
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(AdapterError::Write)?;
    }
    Ok(())
}

/// The attached front ends, and the input that holds their events.
struct Session<R: BufRead> {
    lines: Lines<R>,
    front_ends: BTreeMap<u64, AttachedFrontEnd>,
    actions: Vec<Action>,
    reply: String,
}

impl<R: BufRead> Session<R> {
    fn new(input: R) -> Self {
        Session {
            lines: Lines {
                input,
                number: 0,
                text: String::new(),
            },
            front_ends: BTreeMap::new(),
            actions: Vec::new(),
            reply: String::new(),
        }
    }

    /// Handles the batch whose first line has been read, and returns the reply.
    fn answer_batch(&mut self) -> Result<&str, AdapterError> {
        let now = wire::parse_clock(&self.lines.text).map_err(|e| self.lines.at(e))?;
        self.reply.clear();
        loop {
            self.lines.next_inside("a batch")?;
            if self.lines.text == "end" {
                break;
            }
            self.handle_line(now)?;
        }
        self.reply.push_str("end\n");
        Ok(&self.reply)
    }

    fn handle_line(&mut self, now: Time) -> Result<(), AdapterError> {
        let (id, name) = wire::parse_recipient(&self.lines.text).map_err(|e| self.lines.at(e))?;
        match name {
            "attach" => self.attach(id),
            "killed" => {
                self.front_ends.remove(&id);
                Ok(())
            }
            _ => self.handle_event(now, id),
        }
    }

    /// Creates a front end; it replaces an attached one with the same id.
    fn attach(&mut self, id: u64) -> Result<(), AdapterError> {
        let (seed, text) = wire::parse_attach(&self.lines.text).map_err(|e| self.lines.at(e))?;
        let site_settings = settings::parse(text).map_err(|e| self.lines.at(e.into()))?;
        let attached = AttachedFrontEnd {
            front_end: FrontEnd::new(site_settings.policy, seed),
            names: site_settings.names,
        };
        self.front_ends.insert(id, attached);
        Ok(())
    }

    /// Passes an event to the front end that it is for, and appends its actions to the reply.
    fn handle_event(&mut self, now: Time, id: u64) -> Result<(), AdapterError> {
        let Some(attached) = self.front_ends.get_mut(&id) else {
            let message = self.lines.text.split(' ').next().unwrap_or_default();
            return Err(self.lines.at(LineError::NotAttached {
                message: message.to_string(),
                front_end: id,
            }));
        };
        let input =
            wire::parse_event(&self.lines.text, &attached.names).map_err(|e| self.lines.at(e))?;
        let event = match input {
            Input::Event(event) => event,
            Input::List { update, count } => Event::Endpoints {
                update,
                endpoints: read_endpoints(&mut self.lines, count, &attached.names)?,
            },
        };
        attached.front_end.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            wire::write_action(&mut self.reply, id, &action);
        }
        Ok(())
    }
}

/// Reads the entry lines of an endpoint list.
fn read_endpoints<R: BufRead>(
    lines: &mut Lines<R>,
    count: usize,
    names: &Names,
) -> Result<Vec<Endpoint>, AdapterError> {
    let mut endpoints = Vec::new();
    for _ in 0..count {
        lines.next_inside("a list")?;
        endpoints.push(wire::parse_entry(&lines.text, names).map_err(|e| lines.at(e))?);
    }
    Ok(endpoints)
}

/// Reads the input line by line and counts the lines.
struct Lines<R: BufRead> {
    input: R,
    /// The number of the current line, from 1; 0 before the first line.
    number: u64,
    /// The current line without its end.
    text: String,
}

impl<R: BufRead> Lines<R> {
    /// Reads the next line into `text`; returns `false` if the input has ended.
    fn next(&mut self) -> Result<bool, AdapterError> {
        self.text.clear();
        self.number += 1;
        let read = self
            .input
            .read_line(&mut self.text)
            .map_err(|e| self.at(e.into()))?;
        let length = self.text.trim_end_matches(['\n', '\r']).len();
        self.text.truncate(length);
        Ok(read > 0)
    }

    /// Reads the next line; the end of the input is an error, as it lies inside a `unit`.
    fn next_inside(&mut self, unit: &'static str) -> Result<(), AdapterError> {
        if self.next()? {
            Ok(())
        } else {
            Err(self.at(LineError::UnexpectedEnd { unit }))
        }
    }

    /// Adds the number of the current line to an error.
    fn at(&self, error: LineError) -> AdapterError {
        AdapterError::Line {
            number: self.number,
            error,
        }
    }
}
