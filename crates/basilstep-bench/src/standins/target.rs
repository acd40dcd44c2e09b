//! Stands in for a target: an ordinary HTTP server with slots.

use argh::FromArgs;
use std::process::ExitCode;

/// Stands in for a target: an ordinary HTTP server with slots.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "target")]
pub struct TargetArgs {}

/// Runs the command.
pub fn run(_args: &TargetArgs) -> ExitCode {
    eprintln!("not built yet");
    ExitCode::FAILURE
}
