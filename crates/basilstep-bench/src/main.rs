//! Fakes, demo, scenarios and load experiments for developers and CI; not shipped to VMs.
//!
//! Only this tool starts processes; the balancer, agent and control programs never do.

mod ablation;
mod journal;
mod load;
mod plot;

use argh::FromArgs;
use basilstep_bench::{demo, fakes, scenario};
use std::process::ExitCode;

/// Runs fakes, the demo, scenarios and load experiments of basilstep.
#[derive(Debug, FromArgs)]
struct Bench {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(demo::DemoArgs),
    Scenario(scenario::ScenarioArgs),
    Load(load::LoadArgs),
    Journal(journal::JournalArgs),
    Ablation(ablation::AblationArgs),
    Store(fakes::store::StoreArgs),
    Target(fakes::target::TargetArgs),
    Fabric(fakes::fabric::FabricArgs),
}

fn main() -> ExitCode {
    let bench: Bench = argh::from_env();
    match bench.command {
        Command::Demo(args) => demo::run(&args),
        Command::Scenario(args) => scenario::run(&args),
        Command::Load(args) => load::run(&args),
        Command::Journal(args) => journal::run(&args),
        Command::Ablation(args) => ablation::run(&args),
        Command::Store(args) => fakes::store::run(&args),
        Command::Target(args) => fakes::target::run(&args),
        Command::Fabric(args) => fakes::fabric::run(&args),
    }
}
