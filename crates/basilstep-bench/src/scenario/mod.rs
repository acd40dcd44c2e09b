//! Runs one scripted scenario against the decision core, in one thread and in virtual time.

mod line;
mod world;

pub use line::Line;
pub use world::World;

use argh::FromArgs;
use std::{fs, io, path::PathBuf, process::ExitCode};

/// Runs a scripted scenario against the decision core and compares what it prints.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "scenario")]
pub struct ScenarioArgs {
    /// the script: commands, then --- and what they print
    #[argh(positional)]
    file: PathBuf,
    /// seed of the random source (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// write what was printed into the script instead of comparing it
    #[argh(switch)]
    update: bool,
}

/// Runs the command.
pub fn run(args: &ScenarioArgs) -> ExitCode {
    match play(args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("the output is not what the script says");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{}: {error}", args.file.display());
            ExitCode::FAILURE
        }
    }
}

/// Runs the script and tells whether it printed what it says.
fn play(args: &ScenarioArgs) -> io::Result<bool> {
    let script = fs::read_to_string(&args.file)?;
    let played = goldenscript::generate(&mut World::new(args.seed), &script)?;
    print!("{played}");
    if args.update {
        fs::write(&args.file, &played)?;
        return Ok(true);
    }
    Ok(played == script)
}
