//! Runs one scripted scenario against the decision core.

use argh::FromArgs;
use std::process::ExitCode;

/// Runs one scripted scenario against the decision core.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "scenario")]
pub struct ScenarioArgs {}

/// Runs the command.
pub fn run(_args: &ScenarioArgs) -> ExitCode {
    eprintln!("not built yet");
    ExitCode::FAILURE
}
