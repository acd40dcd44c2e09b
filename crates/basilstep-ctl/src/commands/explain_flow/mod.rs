//! The timeline of one flow, read from the logs of the packet processes.

#[cfg(test)]
mod tests;

use crate::{error::CtlError, output::Report};
use argh::FromArgs;
use basilstep_core::codes::ResultCode;
use serde_json::{Map, Value, json};
use std::{collections::BTreeSet, fs, path::PathBuf};

/// How long before the first and after the last line of a flow the state changes of its processes
/// are shown.
const TIMELINE_CONTEXT_MS: u64 = 2_000;

/// The messages that report the state of a process or of its dependencies.
const STATE_MESSAGES: [&str; 10] = [
    "started",
    "stopped",
    "settings are in force",
    "the target changed",
    "the target has left",
    "the target does not listen: its lifetime has ended",
    "the failure domain left or came back",
    "the store is lost",
    "the store is back",
    "the machine stood still",
];

/// Explain what happened to a flow, from the logs of the packet processes.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "flow",
    example = "{command_name} '100.64.0.7:40001>198.18.0.1:443' balancer-1.log agent-1.log"
)]
pub struct FlowArgs {
    /// the flow as written in the logs, CALLER:PORT>SERVICE:PORT
    #[argh(positional)]
    flow: String,
    /// log files, one for each process
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// One parsed line of a log.
#[derive(Clone, Debug)]
struct LogLine {
    process: String,
    at_ms: u64,
    message: String,
    fields: Map<String, Value>,
}

impl FlowArgs {
    /// Reads the logs and returns the timeline of the flow.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] when a log cannot be read or no line mentions the flow.
    pub fn run(&self) -> Result<Report, CtlError> {
        let mut lines = Vec::new();
        for path in &self.logs {
            let text = fs::read_to_string(path).map_err(|error| {
                CtlError::new(ResultCode::NotFound, format!("{}: {error}", path.display()))
            })?;
            let process = path
                .file_stem()
                .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
            lines.extend(
                text.lines()
                    .filter_map(|line| LogLine::parse(&process, line)),
            );
        }
        build_timeline(&self.flow, lines)
    }
}

impl LogLine {
    /// Parses a line; returns `None` for one that is not a JSON object of a log, such as a panic
    /// message.
    fn parse(process: &str, text: &str) -> Option<Self> {
        let fields: Map<String, Value> = serde_json::from_str(text).ok()?;
        Some(Self {
            process: process.to_owned(),
            at_ms: fields.get("timestamp")?.as_u64()?,
            message: fields.get("message")?.as_str()?.to_owned(),
            fields,
        })
    }

    fn is_about(&self, flow: &str) -> bool {
        self.fields.get("flow").and_then(Value::as_str) == Some(flow)
    }

    fn is_state_message(&self) -> bool {
        STATE_MESSAGES.contains(&self.message.as_str())
    }

    /// Returns the meaning of the result code in the line.
    fn meaning(&self) -> Option<&'static str> {
        let text = self.fields.get("code")?.as_str()?;
        let number: u16 = text.split(' ').next()?.parse().ok()?;
        ResultCode::try_from(number)
            .ok()
            .map(|code| code.meaning().trim())
    }

    fn describe(&self) -> String {
        let shown: Vec<String> = self
            .fields
            .iter()
            .filter(|(name, value)| !HIDDEN_FIELDS.contains(&name.as_str()) && !value.is_null())
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let meaning = self
            .meaning()
            .map_or_else(String::new, |meaning| format!(" ({meaning})"));
        format!(
            "{} {}: {}{meaning} {}",
            self.at_ms,
            self.process,
            self.message,
            shown.join(" ")
        )
    }
}

/// Fields that every line has or that are printed in another form.
const HIDDEN_FIELDS: [&str; 5] = ["timestamp", "message", "level", "target", "flow"];

fn build_timeline(flow: &str, mut lines: Vec<LogLine>) -> Result<Report, CtlError> {
    lines.sort_by_key(|line| line.at_ms);
    let flow_lines: Vec<&LogLine> = lines.iter().filter(|line| line.is_about(flow)).collect();
    let (Some(first), Some(last)) = (flow_lines.first(), flow_lines.last()) else {
        return Err(CtlError::new(
            ResultCode::NotFound,
            format!("no line mentions {flow}; each result code logs at most 10 lines a second"),
        ));
    };
    let span = first.at_ms.saturating_sub(TIMELINE_CONTEXT_MS)..=last.at_ms + TIMELINE_CONTEXT_MS;
    let processes: BTreeSet<&str> = flow_lines
        .iter()
        .map(|line| line.process.as_str())
        .collect();
    let timeline: Vec<String> = lines
        .iter()
        .filter(|line| {
            let is_context = span.contains(&line.at_ms)
                && processes.contains(line.process.as_str())
                && line.is_state_message();
            line.is_about(flow) || is_context
        })
        .map(LogLine::describe)
        .collect();
    let result = json!({ "flow": flow, "lines": timeline });
    Ok(Report::with_lines(timeline, result))
}
