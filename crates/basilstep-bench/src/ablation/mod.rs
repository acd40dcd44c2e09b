//! `basilstep-bench ablation`: what each mechanism of steering is worth on the users' bench.

mod mechanisms;
mod play;
mod table;

#[cfg(test)]
mod tests;

use crate::journal::entries::{JournalError, read_ablation_runs};
use argh::FromArgs;
use std::{
    io,
    path::PathBuf,
    process::{ExitCode, ExitStatus},
};

/// Marks the runs of an ablation in the journal.
pub const REASON_PREFIX: &str = "ablation: ";

/// Plays days of the users' bench without one mechanism at a time, and prints what each is worth.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ablation")]
pub struct AblationArgs {
    /// program of the users' bench; without it only the runs in the journal are tabled
    #[argh(option)]
    bench: Option<PathBuf>,
    /// checkout that is played and whose journal is read (default .); not one that is edited
    /// meanwhile
    #[argh(option, default = "PathBuf::from(\".\")")]
    checkout: PathBuf,
    /// site file, seen from the checkout; may be repeated
    #[argh(option)]
    site: Vec<String>,
    /// day of the sites; may be repeated
    #[argh(option)]
    day: Vec<String>,
    /// number of seeds of each day (default 2)
    #[argh(option, default = "2")]
    seeds: u64,
}

/// The reason why an ablation cannot be played or tabled.
#[derive(Debug, thiserror::Error)]
pub enum AblationError {
    /// A file cannot be read, written or started.
    #[error("cannot use {}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The users' bench failed.
    #[error("the bench failed with {status}: {what}")]
    Bench {
        /// What was played.
        what: String,
        /// Its exit status.
        status: ExitStatus,
    },
    /// The journal cannot be read.
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// Runs the `ablation` command.
pub fn run(args: &AblationArgs) -> ExitCode {
    match play_and_table(args) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the ablation failed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn play_and_table(args: &AblationArgs) -> Result<String, AblationError> {
    if let Some(bench) = &args.bench {
        play::play_all(args, bench)?;
    }
    let runs = read_ablation_runs(&args.checkout.join("journal"), REASON_PREFIX)?;
    Ok(table::markdown(&table::rows(&runs)))
}
