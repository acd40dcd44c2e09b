//! Load experiments: each compares one design decision with simpler policies in the same run.

mod cold_start;
mod domain;
mod flows;
mod membership;
mod one_service;
mod overload;
mod packet_path;
mod packets;
mod placement;
mod processes;
mod settings;
mod steering;
mod target_model;

use crate::plot::Plot;
use argh::FromArgs;
use serde_json::Value;
use std::{path::PathBuf, process::ExitCode};

/// Runs a load experiment and prints its result as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// one of: placement, cold-start, domain, overload, membership, settings, packets, flows, steering
    #[argh(option)]
    experiment: String,
    /// first seed of the random source (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// number of consecutive seeds (default 3)
    #[argh(option, default = "3")]
    pub seeds: u64,
    /// directory for NAME.json and NAME.svg
    #[argh(option)]
    out: Option<PathBuf>,
}

/// The result of an experiment.
#[derive(Debug)]
pub struct Report {
    /// The figures, as one JSON object.
    pub figures: Value,
    /// The plot, if the experiment has one.
    pub plot: Option<Plot>,
}

/// Runs the experiment that the arguments select.
pub fn run(args: &LoadArgs) -> ExitCode {
    let report = match args.experiment.as_str() {
        "placement" => placement::run(args),
        "cold-start" => cold_start::run(args),
        "domain" => domain::run(args),
        "overload" => overload::run(args),
        "membership" => membership::run(args),
        "settings" => settings::run(args),
        "packets" => packets::run(args),
        "flows" => flows::run(args),
        "steering" => steering::run(args),
        other => {
            eprintln!("no experiment is named {other:?}; see --help");
            return ExitCode::from(5);
        }
    };
    match publish(args, &report) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot write the report: {error}");
            ExitCode::FAILURE
        }
    }
}

fn publish(args: &LoadArgs, report: &Report) -> Result<(), Box<dyn std::error::Error>> {
    let text = serde_json::to_string_pretty(&report.figures)?;
    println!("{text}");
    let Some(directory) = &args.out else {
        return Ok(());
    };
    std::fs::create_dir_all(directory)?;
    let file = |ending: &str| directory.join(format!("{}.{ending}", args.experiment));
    std::fs::write(file("json"), text + "\n")?;
    if let Some(plot) = &report.plot {
        plot.save(&file("svg"))?;
    }
    Ok(())
}
