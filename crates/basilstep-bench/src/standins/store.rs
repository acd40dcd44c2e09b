//! Stands in for the platform's key-value service.

use argh::FromArgs;
use std::process::ExitCode;

/// Stands in for the platform's key-value service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "store")]
pub struct StoreArgs {}

/// Runs the command.
pub fn run(_args: &StoreArgs) -> ExitCode {
    eprintln!("not built yet");
    ExitCode::FAILURE
}
