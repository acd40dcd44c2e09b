//! Forwards packets of callers to the agents of their targets.

use basilstep_packet::{Flags, balancer, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    run("balancer", &flags, balancer::serve)
}
