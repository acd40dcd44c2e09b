//! The operators' command line: checks, shows and writes settings, and asks processes.

mod commands;
mod edit;
mod error;
mod output;
mod settings;

use argh::FromArgs;
use error::CtlError;
use output::Report;
use settings::{Ctl, Flags, hoist_flags};
use std::process::ExitCode;

/// Changes the settings of basilstep and asks its processes what they do.
///
/// The flags below may stand anywhere on the line; each has an environment variable, such as
/// `BASILSTEP_STORE`. The exit status is the hundreds digit of the result code, or 0.
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
    /// root of all keys, 64 hexadecimal digits
    #[argh(option)]
    cluster_key: Option<String>,
    /// team whose subtree may be changed; without it, all may be
    #[argh(option)]
    team: Option<String>,
    /// name written beside each change (default: the team, or operators)
    #[argh(option)]
    author: Option<String>,
    /// print one JSON object
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
    let arguments = parse();
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
    let ctl = Ctl::resolve(&Flags {
        store: arguments.store.as_deref(),
        store_token: arguments.store_token.as_deref(),
        cluster_key: arguments.cluster_key.as_deref(),
        team: arguments.team.as_deref(),
        author: arguments.author.as_deref(),
        json,
    })?;
    command.run(&ctl).await
}

fn parse() -> Arguments {
    let words: Vec<String> = std::env::args().collect();
    let words = hoist_flags(&words);
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Arguments::from_args(&["basilstep-ctl"], &words).unwrap_or_else(|exit| output::leave(&exit))
}
