use super::{
    explain_flow::FlowArgs,
    explain_outage::OutageArgs,
    explain_placement::PlacementArgs,
    fleet::{AgentDump, BalancerDump, DumpResults, Fleet},
    service::resolve_service_path,
};
use crate::{
    edit::{SettingsEditor, Versioned},
    error::CtlError,
    output::Report,
    settings::CtlContext,
};
use argh::FromArgs;
use basilstep_core::{
    codes::ResultCode,
    membership::AgentPhase,
    settings::{
        AddressClaim, CertificateRecord, ServiceRecord, address_claim_path, certificate_path_of,
        id_claim_path,
    },
};
use basilstep_node::store::Store;
use serde_json::json;
use std::net::SocketAddrV4;

/// Explain a result code, a target, a service, a flow, an outage, a placement or the settings versions in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    #[argh(subcommand)]
    command: ExplainCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ExplainCommand {
    Code(CodeArgs),
    Target(TargetArgs),
    Service(ServiceArgs),
    Versions(VersionsArgs),
    Flow(FlowArgs),
    Outage(OutageArgs),
    Placement(PlacementArgs),
}

/// Explain what a result code means, such as why a request was refused.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "code", example = "{command_name} 101")]
struct CodeArgs {
    /// number of the code
    #[argh(positional)]
    number: u16,
}

/// Explain why a target gets no new flows.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "target", example = "{command_name} 10.0.0.7:7000")]
struct TargetArgs {
    /// address of the target's agent, IPv4:PORT
    #[argh(positional)]
    agent: SocketAddrV4,
    /// a balancer that lists the others when the store is down, IPv4:PORT
    #[argh(option)]
    at: Option<SocketAddrV4>,
}

/// Explain why a service is not served.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service", example = "{command_name} rail/holds")]
struct ServiceArgs {
    /// name of the service, NAME or TEAM/NAME
    #[argh(positional)]
    name: String,
}

/// Show the settings version in force at each balancer and the records that it rejected.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "versions", example = "{command_name} --json")]
struct VersionsArgs {
    /// a balancer that lists the others when the store is down, IPv4:PORT
    #[argh(option)]
    at: Option<SocketAddrV4>,
}

impl ExplainArgs {
    pub async fn run(&self, context: &CtlContext) -> Result<Report, CtlError> {
        match &self.command {
            ExplainCommand::Code(args) => explain_code(args.number),
            ExplainCommand::Target(args) => explain_target(context, args).await,
            ExplainCommand::Service(args) => {
                let path = resolve_service_path(context, &args.name)?;
                explain_service(&context.open_editor()?, &path).await
            }
            ExplainCommand::Flow(args) => args.run(),
            ExplainCommand::Outage(args) => args.run(),
            ExplainCommand::Placement(args) => args.run().await,
            ExplainCommand::Versions(args) => explain_versions(context, args.at).await,
        }
    }
}

fn explain_code(number: u16) -> Result<Report, CtlError> {
    let code = ResultCode::try_from(number)
        .map_err(|error| CtlError::new(ResultCode::NotFound, error.to_string()))?;
    let line = format!("{code}: {}", code.meaning().trim());
    let result = json!({
        "code": code.number(),
        "name": code.name(),
        "meaning": code.meaning().trim(),
        "not_run": code.is_not_run(),
        "outcome_unknown": code.is_outcome_unknown(),
    });
    Ok(Report::new(line, result))
}

async fn explain_target(context: &CtlContext, args: &TargetArgs) -> Result<Report, CtlError> {
    let fleet = Fleet::open(context)?;
    let mut reasons = match fleet.dump::<AgentDump>(args.agent).await {
        Ok(dump) => reasons_of_agent(&dump),
        Err(error) => vec![format!("its agent does not respond: {}", error.message)],
    };
    let balancers = fleet.dump_balancers(context, args.at).await?;
    reasons.extend(reasons_of_balancers(args.agent, &balancers));
    let lines = if reasons.is_empty() {
        vec![format!("{} takes new flows", args.agent)]
    } else {
        reasons.clone()
    };
    let result = json!({ "agent": args.agent, "reasons": reasons });
    Ok(Report::with_lines(lines, result))
}

fn reasons_of_agent(dump: &AgentDump) -> Vec<String> {
    let mut reasons = Vec::new();
    if dump.draining {
        reasons.push("it is draining: an operator or a shutdown requested it".to_owned());
    }
    if !dump.target_up {
        reasons.push(format!(
            "its target {} does not answer its health checks",
            dump.target
        ));
    }
    if dump.domain_out {
        reasons.push(format!("its failure domain {} is out", dump.domain));
    }
    reasons
}

fn reasons_of_balancers(agent: SocketAddrV4, balancers: &DumpResults<BalancerDump>) -> Vec<String> {
    let mut reasons: Vec<String> = balancers.unreachable_lines().collect();
    for balancer in &balancers.dumps {
        let mut agents = balancer.dump.control.agents.iter();
        match agents.find(|known| known.address == agent) {
            None => reasons.push(format!("balancer {} does not know it", balancer.address)),
            Some(known) if known.phase != AgentPhase::Serving => reasons.push(format!(
                "balancer {} reports it as {:?}",
                balancer.address, known.phase
            )),
            Some(_) => {}
        }
    }
    reasons
}

async fn explain_service<S: Store>(
    editor: &SettingsEditor<S>,
    path: &str,
) -> Result<Report, CtlError> {
    let found: Versioned<ServiceRecord> = editor.read_existing(path).await?;
    let claims = [
        address_claim_path(found.record.address),
        id_claim_path(found.record.id),
    ];
    let mut reasons = Vec::new();
    for claim in claims {
        match editor.read::<AddressClaim>(&claim).await? {
            Some(claimed) if claimed.record.owner == path => {}
            Some(claimed) => reasons.push(format!("{claim} belongs to {}", claimed.record.owner)),
            None => reasons.push(format!(
                "{claim} is missing; remove the service and create it again"
            )),
        }
    }
    let certificate = certificate_path_of(path);
    if editor
        .read::<CertificateRecord>(&certificate)
        .await?
        .is_none()
    {
        reasons.push(format!(
            "{certificate} is missing; write it with certificate set"
        ));
    }
    let lines = if reasons.is_empty() {
        vec![format!("{path} is complete in the store")]
    } else {
        reasons.clone()
    };
    Ok(Report::with_lines(
        lines,
        json!({ "path": path, "reasons": reasons }),
    ))
}

async fn explain_versions(
    context: &CtlContext,
    at: Option<SocketAddrV4>,
) -> Result<Report, CtlError> {
    let balancers = Fleet::open(context)?.dump_balancers(context, at).await?;
    let mut lines = Vec::new();
    let mut versions = Vec::new();
    for balancer in &balancers.dumps {
        let (version, control) = (balancer.dump.settings_version, &balancer.dump.control);
        lines.push(format!(
            "{} has version {version} in force",
            balancer.address
        ));
        if control.store_is_behind {
            lines.push("  the store holds older settings, which are ignored".to_owned());
        }
        for (path, rejection) in &control.rejections {
            lines.push(format!(
                "  refused: {path}: {} {}",
                rejection["code"], rejection["reason"]
            ));
        }
        for (path, rejection) in &control.unserved {
            lines.push(format!(
                "  not served: {path}: {} {}",
                rejection["code"], rejection["reason"]
            ));
        }
        versions.push(json!({
            "balancer": balancer.address,
            "version": version,
            "store_is_behind": control.store_is_behind,
            "rejections": control.rejections,
            "unserved": control.unserved,
        }));
    }
    lines.extend(balancers.unreachable_lines());
    let result = json!({ "balancers": versions, "unreachable": balancers.unreachable });
    Ok(Report::with_lines(lines, result))
}
