//! What balancers did not serve at once, by time and cause, read from the logs of the packet
//! processes.

#[cfg(test)]
mod tests;

use super::packet_logs::{self, Cause, LogLine};
use crate::{error::CtlError, output::Report};
use argh::FromArgs;
use basilstep_core::codes::ResultCode;
use serde_json::json;
use std::{collections::BTreeMap, path::PathBuf};

/// Sum up what was not served at once, by time and cause, from the logs of the packet processes.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "outage",
    example = "{command_name} --window-ms 500 balancer-1.log balancer-2.log"
)]
pub struct OutageArgs {
    /// length of a window in milliseconds (default 1000)
    #[argh(option, default = "1_000")]
    window_ms: u64,
    /// log files, one for each process
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// The packets of one window that were not served at once.
type Window = BTreeMap<Cause, u64>;

impl OutageArgs {
    /// Reads the logs and returns a table of windows and causes.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] when the window is empty, a log cannot be read, or no line has a cause.
    pub fn run(&self) -> Result<Report, CtlError> {
        if self.window_ms == 0 {
            let reason = "--window-ms has to be at least 1".to_owned();
            return Err(CtlError::new(ResultCode::InvalidSetting, reason));
        }
        table(&packet_logs::read(&self.logs)?, self.window_ms)
    }
}

fn table(lines: &[LogLine], window_ms: u64) -> Result<Report, CtlError> {
    let mut windows: BTreeMap<u64, Window> = BTreeMap::new();
    let mut total = Window::new();
    for line in lines {
        if let Some(cause) = Cause::of(line) {
            let started_ms = line.at_ms / window_ms * window_ms;
            *windows
                .entry(started_ms)
                .or_default()
                .entry(cause)
                .or_default() += line.count();
            *total.entry(cause).or_default() += line.count();
        }
    }
    if total.is_empty() {
        let reason = "the logs have no packet that was not served at once".to_owned();
        return Err(CtlError::new(ResultCode::NotFound, reason));
    }
    let mut text: Vec<String> = windows
        .iter()
        .map(|(started_ms, window)| format!("{started_ms} {}", describe(window)))
        .collect();
    text.push(format!("total {}", describe(&total)));
    let rows: Vec<_> = windows
        .iter()
        .map(|(started_ms, window)| json!({"started_ms": started_ms, "causes": by_text(window)}))
        .collect();
    let result = json!({"window_ms": window_ms, "windows": rows, "total": by_text(&total)});
    Ok(Report::with_lines(text, result))
}

fn describe(window: &Window) -> String {
    let mut causes: Vec<(&Cause, &u64)> = window.iter().collect();
    causes.sort_by_key(|(_, packets)| std::cmp::Reverse(**packets));
    let described: Vec<String> = causes
        .into_iter()
        .map(|(cause, packets)| format!("{packets} {}", cause.text()))
        .collect();
    described.join(", ")
}

fn by_text(window: &Window) -> BTreeMap<&'static str, u64> {
    let causes = window.iter();
    causes
        .map(|(cause, packets)| (cause.text(), *packets))
        .collect()
}
