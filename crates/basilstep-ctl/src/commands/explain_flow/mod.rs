//! The story of one flow, read from the logs of the packet processes.

#[cfg(test)]
mod tests;

use crate::{error::CtlError, output::Report};
use argh::FromArgs;
use basilstep_core::codes::ResultCode;
use serde_json::{Map, Value, json};
use std::{collections::BTreeSet, fs, path::PathBuf};

/// How long before and after the lines of a flow other lines of its processes are shown.
const NEARBY_MS: u64 = 2_000;

/// Messages that tell what a process believes or depends on.
const BELIEFS: [&str; 10] = [
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

/// Say what became of a flow, from the logs of the packet processes.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "flow",
    example = "{command_name} '100.64.0.7:40001>198.18.0.1:443' balancer-1.log agent-1.log"
)]
pub struct FlowArgs {
    /// the flow as in the logs, CALLER:PORT>SERVICE:PORT
    #[argh(positional)]
    flow: String,
    /// log files, one for each process
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// One line of a log.
#[derive(Clone, Debug)]
struct Line {
    process: String,
    at_ms: u64,
    message: String,
    fields: Map<String, Value>,
}

impl FlowArgs {
    /// Reads the logs and tells the story.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] when a log cannot be read or no line speaks of the flow.
    pub fn run(&self) -> Result<Report, CtlError> {
        let mut lines = Vec::new();
        for path in &self.logs {
            let text = fs::read_to_string(path).map_err(|error| {
                CtlError::new(ResultCode::NotFound, format!("{}: {error}", path.display()))
            })?;
            let process = path
                .file_stem()
                .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
            lines.extend(text.lines().filter_map(|line| Line::read(&process, line)));
        }
        tell(&self.flow, lines)
    }
}

impl Line {
    /// Reads a line; one that is no JSON object, such as a panic message, is passed over.
    fn read(process: &str, text: &str) -> Option<Self> {
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

    fn is_belief(&self) -> bool {
        BELIEFS.contains(&self.message.as_str())
    }

    /// Returns the meaning of the line's result code.
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
            .filter(|(name, value)| !HIDDEN.contains(&name.as_str()) && !value.is_null())
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

/// Fields that every line has or that are shown otherwise.
const HIDDEN: [&str; 5] = ["timestamp", "message", "level", "target", "flow"];

fn tell(flow: &str, mut lines: Vec<Line>) -> Result<Report, CtlError> {
    lines.sort_by_key(|line| line.at_ms);
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_about(flow)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(CtlError::new(
            ResultCode::NotFound,
            format!("no line speaks of {flow}; lines beyond 10 a second and code are left out"),
        ));
    };
    let span = first.at_ms.saturating_sub(NEARBY_MS)..=last.at_ms + NEARBY_MS;
    let processes: BTreeSet<&str> = own.iter().map(|line| line.process.as_str()).collect();
    let story: Vec<String> = lines
        .iter()
        .filter(|line| {
            let is_nearby = span.contains(&line.at_ms)
                && processes.contains(line.process.as_str())
                && line.is_belief();
            line.is_about(flow) || is_nearby
        })
        .map(Line::describe)
        .collect();
    let result = json!({ "flow": flow, "lines": story });
    Ok(Report::with_lines(story, result))
}
