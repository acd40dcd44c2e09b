//! Runs on the same VM as its target: keeps the target's flow table and decides which new flows it
//! accepts.

use basilstep_packet::{Flags, agent, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    run("agent", &flags, agent::serve)
}
