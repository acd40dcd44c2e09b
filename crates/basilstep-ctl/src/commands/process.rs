use super::{fleet::Fleet, service::to_pretty_json};
use crate::{error::CtlError, output::Report, settings::CtlContext};
use argh::FromArgs;
use serde_json::{Value, json};
use std::net::SocketAddrV4;

/// Drain a target: its agent keeps the existing flows, and the target gets no new work.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain", example = "{command_name} 10.0.0.7:7000")]
pub struct DrainArgs {
    /// address of the target's agent, IPv4:PORT
    #[argh(positional)]
    agent: SocketAddrV4,
}

/// Print the state of a process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump", example = "{command_name} 10.0.0.7:7000")]
pub struct DumpArgs {
    /// address of the process, IPv4:PORT
    #[argh(positional)]
    process: SocketAddrV4,
}

impl DrainArgs {
    pub async fn run(&self, context: &CtlContext) -> Result<Report, CtlError> {
        Fleet::open(context)?.drain(self.agent).await?;
        let line = format!("the agent at {} is draining", self.agent);
        let result = json!({ "agent": self.agent, "draining": true });
        Ok(Report::new(line, result))
    }
}

impl DumpArgs {
    pub async fn run(&self, context: &CtlContext) -> Result<Report, CtlError> {
        let dump: Value = Fleet::open(context)?.dump(self.process).await?;
        Ok(Report::new(to_pretty_json(&dump), dump))
    }
}
