//! Runs a complete fleet as local processes on loopback and injects failures.

mod combined_faults;
mod faults;
pub mod fleet;
mod frame_counter;
mod invalid_input;
pub mod observer;
pub mod plan;
pub mod records;
pub mod result;
mod run;
pub mod steps;
#[cfg(test)]
mod tests;

use argh::FromArgs;
use std::{env, path::PathBuf, process::ExitCode};
use steps::Step;

/// Runs a complete fleet as local processes on loopback and injects failures.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// print one JSON object instead of a table
    #[argh(switch)]
    json: bool,
    /// directory for the process logs (default: a new one in the temporary directory)
    #[argh(option)]
    logs: Option<PathBuf>,
    /// a step to run; may be repeated (default: kill-balancer, drain-target, domain); others are
    /// freeze-balancer, store-outage, cold-targets, rough-fabric, overload, kill-agent,
    /// freeze-agent, kill-target, freeze-and-out, store-down-at-start, pairs, stranger and
    /// bad-record
    #[argh(option)]
    step: Vec<Step>,
}

/// Runs the `demo` command.
pub fn run(args: &DemoArgs) -> ExitCode {
    let process_id = std::process::id();
    let own_logs = || env::temp_dir().join(format!("basilstep-demo-{process_id}"));
    let logs = args.logs.clone().unwrap_or_else(own_logs);
    let steps = match args.step.as_slice() {
        [] => &Step::DEMO,
        steps => steps,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build();
    let ran = runtime
        .map_err(run::DemoError::from)
        .and_then(|runtime| runtime.block_on(run::run(process_id, logs.clone(), steps)));
    let result = match ran {
        Ok(result) => result,
        Err(error) => {
            eprintln!(
                "cannot run the demo: {error}; see the logs in {}",
                logs.display()
            );
            return ExitCode::FAILURE;
        }
    };
    if args.json {
        println!("{}", serde_json::to_string(&result).unwrap_or_default());
    } else {
        print!("{}", result.table());
    }
    if result.broken_promises.is_empty() {
        return ExitCode::SUCCESS;
    }
    eprintln!("promises were broken; see the logs in {}", logs.display());
    ExitCode::FAILURE
}
