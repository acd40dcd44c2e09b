//! Stands in for the fabric that sprays packets over the balancers.

use argh::FromArgs;
use std::process::ExitCode;

/// Stands in for the fabric that sprays packets over the balancers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fabric")]
pub struct FabricArgs {}

/// Runs the command.
pub fn run(_args: &FabricArgs) -> ExitCode {
    eprintln!("not built yet");
    ExitCode::FAILURE
}
