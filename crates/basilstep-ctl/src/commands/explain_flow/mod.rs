//! The timeline of one flow, read from the logs of the packet processes.

#[cfg(test)]
mod tests;

use super::packet_logs::{self, Cause, LogLine};
use crate::{error::CtlError, output::Report};
use argh::FromArgs;
use basilstep_core::codes::ResultCode;
use serde_json::json;
use std::{collections::BTreeSet, path::PathBuf};

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

impl FlowArgs {
    /// Reads the logs and returns the timeline of the flow.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] when a log cannot be read or no line mentions the flow.
    pub fn run(&self) -> Result<Report, CtlError> {
        let lines = packet_logs::read(&self.logs)?;
        build_timeline(&self.flow, lines)
    }
}

fn is_state_message(line: &LogLine) -> bool {
    STATE_MESSAGES.contains(&line.message.as_str())
}

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
                && is_state_message(line);
            line.is_about(flow) || is_context
        })
        .map(LogLine::describe)
        .collect();
    let cause = flow_lines.iter().rev().find_map(|line| Cause::of(line));
    let cause = cause.map(Cause::text);
    let result = json!({ "flow": flow, "lines": timeline, "cause": cause });
    let mut text = timeline;
    text.extend(cause.map(|cause| format!("cause: {cause}")));
    Ok(Report::with_lines(text, result))
}
