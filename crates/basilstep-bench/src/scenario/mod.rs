//! Runs a scripted scenario against the decision core, in one thread and in virtual time.

mod command;
mod simulation;

pub use command::ScriptCommand;
pub use simulation::Simulation;

use argh::FromArgs;
use std::{fs, io, path::PathBuf, process::ExitCode};

/// Runs a scripted scenario against the decision core and compares the output with the script.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "scenario")]
pub struct ScenarioArgs {
    /// the script: blocks of commands, then --- and their expected output
    #[argh(positional)]
    file: PathBuf,
    /// seed of the random number generator (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// write the output into the script instead of comparing it
    #[argh(switch)]
    update: bool,
}

/// Runs the `scenario` command.
pub fn run(args: &ScenarioArgs) -> ExitCode {
    match run_script(args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("the output differs from the script");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{}: {error}", args.file.display());
            ExitCode::FAILURE
        }
    }
}

/// Runs the script and returns whether the output matches it.
fn run_script(args: &ScenarioArgs) -> io::Result<bool> {
    let script = fs::read_to_string(&args.file)?;
    let output = goldenscript::generate(&mut Simulation::new(args.seed), &script)?;
    print!("{output}");
    if args.update {
        fs::write(&args.file, &output)?;
        return Ok(true);
    }
    Ok(output == script)
}
