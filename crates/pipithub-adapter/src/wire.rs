//! Conversion between the lines of the protocol and the types of the decision module.

use std::fmt::Write;
use std::str::FromStr;

use pipithub_platform::settings::Names;
use pipithub_policy::api::{
    Action, AttemptFinished, Endpoint, EndpointState, EndpointUpdate, Event, FunctionId,
    LoadFinished, LoadReport, Outcome, ReplicaStatus, Request, RequestId, Time, WorkerId,
};

use crate::error::LineError;

/// Nanoseconds in a millisecond.
const NANOS_PER_MS: f64 = 1e6;
/// The field `Detail` of an answer is the concurrency of the function times this number, plus the
/// number of the replica's status.
const DETAIL_STATUSES: u32 = 8;

/// The content of one event line.
pub(crate) enum Input {
    /// A complete event.
    Event(Event),
    /// The head of an endpoint list, with the number of entry lines that follow.
    List {
        update: EndpointUpdate,
        count: usize,
    },
}

/// The fields of a line that have not been read yet.
struct Fields<'a> {
    rest: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    fn of(line: &'a str) -> Self {
        Fields {
            rest: line.split(' '),
        }
    }

    fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        self.rest
            .next()
            .filter(|p| !p.is_empty())
            .ok_or(LineError::MissingField { field })
    }

    /// Reads a value that may be absent; `None` if the field is `-` or missing.
    fn optional<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, LineError> {
        match self.rest.next() {
            None | Some("-") => Ok(None),
            Some(part) => part
                .parse()
                .map(Some)
                .map_err(|_| LineError::unreadable(field, part)),
        }
    }

    fn value<T: FromStr>(&mut self, field: &'static str) -> Result<T, LineError> {
        self.optional(field)?
            .ok_or(LineError::MissingField { field })
    }

    fn bool(&mut self, field: &'static str) -> Result<bool, LineError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(LineError::unreadable(field, other)),
        }
    }

    fn function(&mut self) -> Result<FunctionId, LineError> {
        let text = self.text("Model")?;
        u64::from_str_radix(text, 16)
            .map(FunctionId)
            .map_err(|_| LineError::unreadable("Model", text))
    }

    fn worker(&mut self) -> Result<WorkerId, LineError> {
        Ok(WorkerId::new(self.text("Worker")?))
    }

    fn outcome(&mut self) -> Result<Outcome, LineError> {
        Ok(match self.text("Status")? {
            "S" => Outcome::Served,
            "E" => Outcome::Error,
            "F" => Outcome::Rejected,
            "T" => Outcome::TimedOut,
            "C" => Outcome::Unreachable,
            "R" => Outcome::ConnectionLost,
            "X" => Outcome::Cancelled,
            "N" => Outcome::NotSent,
            "M" => Outcome::NotLoaded,
            other => return Err(LineError::unknown_word("Status", other)),
        })
    }

    fn load_report(&mut self) -> Result<LoadReport, LineError> {
        let mut load = LoadReport::default();
        let pairs = match self.rest.next() {
            None | Some("-" | "") => return Ok(load),
            Some(pairs) => pairs,
        };
        for pair in pairs.split(',') {
            let (name, value) = pair
                .split_once(':')
                .ok_or_else(|| LineError::unreadable("Load", pair))?;
            let slot = match name {
                "rif" => &mut load.in_flight,
                "busy" => &mut load.cpu_utilization,
                "x0" => &mut load.pinned_memory,
                "x1" => &mut load.pending_loads,
                _ => continue,
            };
            let number: f64 = value
                .parse()
                .map_err(|_| LineError::unreadable("Load", pair))?;
            *slot = Some(number).filter(|n| n.is_finite());
        }
        Ok(load)
    }
}

/// Reads the line that begins a batch, and returns the time of the batch.
pub(crate) fn parse_clock(line: &str) -> Result<Time, LineError> {
    let mut fields = Fields::of(line);
    match fields.text("message")? {
        "sync" => fields.value("clock"),
        other => Err(LineError::UnexpectedMessage {
            expected: "sync",
            found: other.to_string(),
        }),
    }
}

/// Reads the id of the front end that a line is for, and the name of the line's message.
pub(crate) fn parse_recipient(line: &str) -> Result<(u64, &str), LineError> {
    let mut fields = Fields::of(line);
    let name = fields.text("message")?;
    Ok((
        fields
            .value("EndId")
            .map_err(|e: LineError| e.in_message(name))?,
        name,
    ))
}

/// Reads the seed and the settings text of an `attach` line.
pub(crate) fn parse_attach(line: &str) -> Result<(u64, &str), LineError> {
    let mut parts = line.splitn(4, ' ').skip(2);
    let mut fields = || {
        let missing = |field| LineError::MissingField { field };
        let seed = parts.next().ok_or(missing("RngSeed"))?;
        let seed = seed
            .parse()
            .map_err(|_| LineError::unreadable("RngSeed", seed))?;
        Ok((seed, parts.next().ok_or(missing("BootInfo"))?))
    };
    fields().map_err(|e: LineError| e.in_message("attach"))
}

/// Reads an event line, other than `attach` and `killed`.
pub(crate) fn parse_event(line: &str, names: &Names) -> Result<Input, LineError> {
    let name = line.split(' ').next().unwrap_or_default();
    parse(line, names).map_err(|e| e.in_message(name))
}

fn parse(line: &str, names: &Names) -> Result<Input, LineError> {
    let mut fields = Fields::of(line);
    let name = fields.text("message")?;
    fields.text("EndId")?;
    let event = match name {
        "backends_changed" => return fields.endpoint_list(),
        "query" => Event::Arrived(fields.request(names)?),
        "health_result" => fields.load_polled()?,
        "wake" => Event::Timer {
            token: fields.value("Cookie")?,
        },
        "heard" => Event::Peer {
            from: fields.value("Author")?,
            bytes: bytes(fields.text("Bytes")?)?,
        },
        "brought_up" => Event::LoadFinished(fields.load_finished()?),
        "lapsed" => Event::ClientCancelled {
            request: RequestId(fields.value("Req")?),
        },
        "completed" => Event::AttemptFinished(fields.attempt_finished()?),
        "head_received" => Event::Streaming {
            request: RequestId(fields.value("Req")?),
        },
        _ => return Err(LineError::UnknownMessage),
    };
    Ok(Input::Event(event))
}

/// Readers of complete messages, starting at the field after the front end's id.
impl Fields<'_> {
    fn endpoint_list(&mut self) -> Result<Input, LineError> {
        self.optional::<u64>("Revision")?;
        let update = match self.text("How")? {
            "incr" => EndpointUpdate::Delta,
            "total" => EndpointUpdate::Snapshot,
            "warm_copy" => EndpointUpdate::Cached,
            "lost" => EndpointUpdate::Lost,
            other => return Err(LineError::unknown_word("How", other)),
        };
        Ok(Input::List {
            update,
            count: self.optional("Records")?.unwrap_or(0),
        })
    }

    fn request(&mut self, names: &Names) -> Result<Request, LineError> {
        let id = RequestId(self.value("Req")?);
        let expected_work = self.optional("Expected")?;
        self.text("Owner")?;
        let memory_mb = self
            .optional::<f64>("SizeMb")?
            .filter(|m| m.is_finite())
            .unwrap_or(0.0);
        let replica_concurrency = self.optional::<f64>("PerCopy")?.unwrap_or(1.0) as u32;
        let grade = self.text("Grade")?;
        let class = names.classes.iter().position(|n| n == grade);
        let load_ms: Option<f64> = self.optional("BringupMs")?;
        let function = self.function()?;
        self.optional::<u64>("Attrs")?;
        Ok(Request {
            id,
            expected_work,
            memory_mb,
            replica_concurrency,
            class: class.ok_or_else(|| LineError::unknown_word("Grade", grade))?,
            load_time: load_ms.map(|ms| (ms * NANOS_PER_MS) as Time),
            function,
            timeout: self.optional("TimeBudget")?,
        })
    }

    fn load_polled(&mut self) -> Result<Event, LineError> {
        self.optional::<Time>("Rtt")?;
        let answered = self.outcome()? == Outcome::Served;
        Ok(Event::LoadPolled {
            worker: self.worker()?,
            answered,
            report: self.load_report()?,
        })
    }

    fn load_finished(&mut self) -> Result<LoadFinished, LineError> {
        Ok(LoadFinished {
            worker: self.worker()?,
            function: self.function()?,
            outcome: self.outcome()?,
            elapsed: self.optional("Rtt")?.unwrap_or(0),
            replicas: self.optional("Copies")?.unwrap_or(0),
        })
    }

    fn attempt_finished(&mut self) -> Result<AttemptFinished, LineError> {
        let request = RequestId(self.value("Req")?);
        let attempt = self.value("N")?;
        let worker = self.worker()?;
        let outcome = self.outcome()?;
        let elapsed = self.optional("Rtt")?.unwrap_or(0);
        let settled = self.bool("Settled")?;
        let detail: Option<u32> = self.optional("Detail")?;
        Ok(AttemptFinished {
            request,
            attempt,
            worker,
            outcome,
            elapsed,
            settled,
            replica_status: detail.and_then(replica_status),
            function_concurrency: detail.map(|detail| detail / DETAIL_STATUSES),
            load_report: self.load_report()?,
        })
    }
}

/// The status of the replica that the field `Detail` of an answer encodes; `None` if it encodes none.
fn replica_status(detail: u32) -> Option<ReplicaStatus> {
    match detail % DETAIL_STATUSES {
        1 => Some(ReplicaStatus::Warm),
        2 => Some(ReplicaStatus::LoadStarted),
        3 => Some(ReplicaStatus::LoadAwaited),
        4 => Some(ReplicaStatus::LoadFailed),
        _ => None,
    }
}

/// Reads one entry line of an endpoint list.
pub(crate) fn parse_entry(line: &str, names: &Names) -> Result<Endpoint, LineError> {
    let mut fields = Fields::of(line);
    if fields.text("message")? != "entry" {
        return Err(LineError::UnexpectedMessage {
            expected: "entry",
            found: line.to_string(),
        });
    }
    let parse_fields = |fields: &mut Fields| -> Result<Endpoint, LineError> {
        Ok(Endpoint {
            weight: fields
                .optional::<f64>("Share")?
                .filter(|s| s.is_finite())
                .unwrap_or(0.0),
            worker: fields.worker()?,
            state: match fields.text("StageState")? {
                "live" => EndpointState::Ready,
                "quiescing" => EndpointState::Draining,
                "dead" => EndpointState::Removed,
                other => return Err(LineError::unknown_word("StageState", other)),
            },
            zone: fields.text("Dc")?.to_string(),
            cell: fields.optional("Block")?.unwrap_or(0),
            memory_mb: names.memory_mb(fields.text("FamilyType")?),
            started_at: fields.optional::<Time>("StartTime")?.filter(|&t| t > 0),
        })
    };
    parse_fields(&mut fields).map_err(|e| e.in_message("entry"))
}

fn bytes(text: &str) -> Result<Vec<u8>, LineError> {
    if text == "-" {
        return Ok(Vec::new());
    }
    let bad = || LineError::unreadable("Bytes", text);
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return Err(bad());
    }
    (0..text.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&text[i..i + 2], 16).map_err(|_| bad()))
        .collect()
}

/// Appends the line of one action.
pub(crate) fn write_action(reply: &mut String, end: u64, action: &Action) {
    let result = match action {
        Action::Forward {
            request,
            worker,
            timeout: Some(t),
            ..
        } => {
            writeln!(reply, "hand_off {end} {request} {} {t}", worker.0)
        }
        Action::Forward {
            request,
            worker,
            timeout: None,
            ..
        } => {
            writeln!(reply, "hand_off {end} {request} {} -", worker.0)
        }
        Action::Cancel { request, attempt } => writeln!(reply, "recall {end} {request} {attempt}"),
        Action::Reject {
            request,
            retry_after: Some(t),
        } => writeln!(reply, "reject {end} {request} {t}"),
        Action::Reject {
            request,
            retry_after: None,
        } => writeln!(reply, "reject {end} {request} -"),
        Action::Fail { request } => writeln!(reply, "abort {end} {request}"),
        Action::LoadFunction {
            worker,
            function,
            replicas: copies,
            ..
        } => {
            writeln!(
                reply,
                "bring_up {end} {:016x} {} {copies}",
                function.0, worker.0
            )
        }
        Action::EvictFunction { worker, function } => {
            writeln!(reply, "shelve {end} {:016x} {}", function.0, worker.0)
        }
        // The simulator's endpoint list has no heartbeats, so its lease never ends and no health check
        // is sent.
        Action::PollLoad { worker } | Action::CheckHealth { worker } => {
            writeln!(reply, "touch {end} {}", worker.0)
        }
        Action::SetTimer { after, token } => writeln!(reply, "remind {end} {after} {token}"),
        Action::WatchEndpoints => writeln!(reply, "tail {end} 1"),
    };
    debug_assert!(result.is_ok(), "writing to a string cannot fail");
}
