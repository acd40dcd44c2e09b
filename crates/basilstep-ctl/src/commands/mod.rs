//! The commands, one module for each subject such as services or failure domains.

mod certificate;
mod domain;
mod domain_status;
mod explain;
mod explain_flow;
mod explain_outage;
mod explain_placement;
mod fleet;
mod keys;
mod packet_logs;
mod process;
mod service;
mod service_write;
mod wait;

use crate::{error::CtlError, output::Report, settings::CtlContext};
use argh::FromArgs;

/// The commands by subject.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Service(service::ServiceArgs),
    Certificate(certificate::CertificateArgs),
    Domain(domain::DomainArgs),
    Keys(keys::KeysArgs),
    Drain(process::DrainArgs),
    Dump(process::DumpArgs),
    Explain(explain::ExplainArgs),
    Wait(wait::WaitArgs),
}

impl Command {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] with the result code that determines the exit status.
    pub async fn run(&self, context: &CtlContext) -> Result<Report, CtlError> {
        match self {
            Self::Service(args) => args.run(context).await,
            Self::Certificate(args) => args.run(context).await,
            Self::Domain(args) => args.run(context).await,
            Self::Keys(args) => args.run(context).await,
            Self::Drain(args) => args.run(context).await,
            Self::Dump(args) => args.run(context).await,
            Self::Explain(args) => args.run(context).await,
            Self::Wait(args) => args.run(context).await,
        }
    }
}
