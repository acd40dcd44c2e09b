//! Runs a whole fleet as processes on loopback under failure.

use argh::FromArgs;
use std::process::ExitCode;

/// Runs a whole fleet as processes on loopback under failure.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {}

/// Runs the command.
pub fn run(_args: &DemoArgs) -> ExitCode {
    eprintln!("not built yet");
    ExitCode::FAILURE
}
