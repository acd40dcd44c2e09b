//! The command line for operators: validates, shows and writes settings, and queries processes.

mod commands;
mod edit;
mod error;
mod output;
mod settings;

use argh::FromArgs;
use error::CtlError;
use output::Report;
use settings::{CtlContext, GlobalFlags, move_global_flags_first};
use std::process::ExitCode;

/// Manages the settings of basilstep and inspects its processes.
///
/// The flags below may appear anywhere on the command line; each has an environment variable, such
/// as `BASILSTEP_STORE`. The exit status is the hundreds digit of the result code, or 0.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Create a service under a team's path:\n{command_name} --team rail service create holds --address 10.0.0.1:443",
    example = "Take a failure domain out and wait until that is in force:\n{command_name} domain out north\n{command_name} wait",
    note = "docs/RESULT-CODES.md explains every code, as does `{command_name} explain code NUMBER`."
)]
struct Arguments {
    /// address of the key-value service, http://HOST:PORT
    #[argh(option)]
    store: Option<String>,
    /// access token of the key-value service
    #[argh(option)]
    store_token: Option<String>,
    /// root key of the cluster, 64 hexadecimal digits
    #[argh(option)]
    cluster_key: Option<String>,
    /// team whose subtree may be changed (default: all subtrees)
    #[argh(option)]
    team: Option<String>,
    /// author recorded with each change (default: the team, or operators)
    #[argh(option)]
    author: Option<String>,
    /// print the result as one JSON object
    #[argh(switch)]
    json: bool,
    /// print the version
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<commands::Command>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = parse_arguments();
    if arguments.version {
        println!("basilstep-ctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let json = arguments.json;
    let result = run(arguments).await;
    output::print(json, &result)
}

async fn run(arguments: Arguments) -> Result<Report, CtlError> {
    let command = arguments
        .command
        .ok_or_else(|| CtlError::invalid("no command is given; see --help"))?;
    let json = arguments.json;
    let context = CtlContext::resolve(&GlobalFlags {
        store: arguments.store.as_deref(),
        store_token: arguments.store_token.as_deref(),
        cluster_key: arguments.cluster_key.as_deref(),
        team: arguments.team.as_deref(),
        author: arguments.author.as_deref(),
        json,
    })?;
    command.run(&context).await
}

fn parse_arguments() -> Arguments {
    let args: Vec<String> = std::env::args().collect();
    let args = move_global_flags_first(&args);
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Arguments::from_args(&["basilstep-ctl"], &args).unwrap_or_else(|exit| output::exit_early(&exit))
}
