use super::{fleet::Fleet, service::pretty};
use crate::{error::CtlError, output::Report, settings::Ctl};
use argh::FromArgs;
use serde_json::{Value, json};
use std::net::SocketAddrV4;

/// Let a target leave: its agent keeps its flows, and it gets no new work.
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
    pub async fn run(&self, ctl: &Ctl) -> Result<Report, CtlError> {
        Fleet::open(ctl)?.drain(self.agent).await?;
        let line = format!("the agent at {} drains", self.agent);
        let result = json!({ "agent": self.agent, "draining": true });
        Ok(Report::new(line, result))
    }
}

impl DumpArgs {
    pub async fn run(&self, ctl: &Ctl) -> Result<Report, CtlError> {
        let dump: Value = Fleet::open(ctl)?.dump(self.process).await?;
        Ok(Report::new(pretty(&dump), dump))
    }
}
