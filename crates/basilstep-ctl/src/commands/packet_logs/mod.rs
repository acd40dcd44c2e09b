//! Logs of the packet processes, read for an explanation.

mod cause;

pub use cause::Cause;

use crate::error::CtlError;
use basilstep_core::codes::ResultCode;
use serde_json::{Map, Value};
use std::{fs, path::PathBuf};

/// Fields that every line has or that are printed in another form.
const HIDDEN_FIELDS: [&str; 5] = ["timestamp", "message", "level", "target", "flow"];

/// One parsed line of a log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// The name of the log, which names the process.
    pub process: String,
    /// The time of the line, in milliseconds of the machine's wall clock.
    pub at_ms: u64,
    /// The message.
    pub message: String,
    fields: Map<String, Value>,
}

/// Reads the logs of several processes, one file each.
///
/// # Errors
///
/// Returns [`CtlError`] when a file cannot be read.
pub fn read(paths: &[PathBuf]) -> Result<Vec<LogLine>, CtlError> {
    let mut lines = Vec::new();
    for path in paths {
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
    Ok(lines)
}

impl LogLine {
    /// Parses a line; returns `None` for one that is not a JSON object of a log, such as a panic
    /// message.
    pub fn parse(process: &str, text: &str) -> Option<Self> {
        let fields: Map<String, Value> = serde_json::from_str(text).ok()?;
        Some(Self {
            process: process.to_owned(),
            at_ms: fields.get("timestamp")?.as_u64()?,
            message: fields.get("message")?.as_str()?.to_owned(),
            fields,
        })
    }

    /// Returns whether the line is about a flow, written as in the logs.
    pub fn is_about(&self, flow: &str) -> bool {
        self.fields.get("flow").and_then(Value::as_str) == Some(flow)
    }

    /// Returns the result code in the line.
    pub fn code(&self) -> Option<ResultCode> {
        let text = self.fields.get("code")?.as_str()?;
        let number: u16 = text.split(' ').next()?.parse().ok()?;
        ResultCode::try_from(number).ok()
    }

    /// Returns how many lines the line stands for: itself and those with its code that were left out
    /// before it.
    pub fn count(&self) -> u64 {
        1 + self.number("left_out").unwrap_or_default()
    }

    /// Returns a field that is a whole number.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Returns whether the line has a field.
    pub fn has(&self, field: &str) -> bool {
        self.fields.contains_key(field)
    }

    /// Returns the line as text, with the meaning of its code.
    pub fn describe(&self) -> String {
        let shown: Vec<String> = self
            .fields
            .iter()
            .filter(|(name, value)| !HIDDEN_FIELDS.contains(&name.as_str()) && !value.is_null())
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let meaning = self
            .code()
            .map_or_else(String::new, |code| format!(" ({})", code.meaning().trim()));
        format!(
            "{} {}: {}{meaning} {}",
            self.at_ms,
            self.process,
            self.message,
            shown.join(" ")
        )
    }
}
