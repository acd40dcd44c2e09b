use super::{
    explain_flow::FlowArgs,
    fleet::{AgentDump, Answers, BalancerDump, Fleet},
    service::path_of,
};
use crate::{
    edit::{Editor, Found},
    error::CtlError,
    output::Report,
    settings::Ctl,
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

/// Explain a code, a target, a service, a flow or which settings are in force where.
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
}

/// Say what a result code means: why was this request refused?
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "code", example = "{command_name} 101")]
struct CodeArgs {
    /// number of the code
    #[argh(positional)]
    number: u16,
}

/// Say why a target gets no new flows.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "target", example = "{command_name} 10.0.0.7:7000")]
struct TargetArgs {
    /// address of the target's agent, IPv4:PORT
    #[argh(positional)]
    agent: SocketAddrV4,
    /// a balancer to ask for the others when the store is down, IPv4:PORT
    #[argh(option)]
    at: Option<SocketAddrV4>,
}

/// Say why a service is not served.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service", example = "{command_name} rail/holds")]
struct ServiceArgs {
    /// name of the service, NAME or TEAM/NAME
    #[argh(positional)]
    name: String,
}

/// Say which settings version is in force at each balancer, and which records were refused.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "versions", example = "{command_name} --json")]
struct VersionsArgs {
    /// a balancer to ask for the others when the store is down, IPv4:PORT
    #[argh(option)]
    at: Option<SocketAddrV4>,
}

impl ExplainArgs {
    pub async fn run(&self, ctl: &Ctl) -> Result<Report, CtlError> {
        match &self.command {
            ExplainCommand::Code(args) => explain_code(args.number),
            ExplainCommand::Target(args) => explain_target(ctl, args).await,
            ExplainCommand::Service(args) => {
                let path = path_of(ctl, &args.name)?;
                explain_service(&ctl.open_editor()?, &path).await
            }
            ExplainCommand::Flow(args) => args.run(),
            ExplainCommand::Versions(args) => explain_versions(ctl, args.at).await,
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

async fn explain_target(ctl: &Ctl, args: &TargetArgs) -> Result<Report, CtlError> {
    let fleet = Fleet::open(ctl)?;
    let mut reasons = match fleet.dump::<AgentDump>(args.agent).await {
        Ok(dump) => reasons_of_agent(&dump),
        Err(error) => vec![format!("its agent does not answer: {}", error.message)],
    };
    let balancers = fleet.dump_balancers(ctl, args.at).await?;
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
        reasons.push("it drains: an operator or a stop has asked for it".to_owned());
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

fn reasons_of_balancers(agent: SocketAddrV4, balancers: &Answers<BalancerDump>) -> Vec<String> {
    let mut reasons: Vec<String> = balancers.unreachable_lines().collect();
    for balancer in &balancers.answered {
        let mut agents = balancer.dump.control.agents.iter();
        match agents.find(|known| known.address == agent) {
            None => reasons.push(format!("balancer {} does not know it", balancer.address)),
            Some(known) if known.phase != AgentPhase::Serving => reasons.push(format!(
                "balancer {} has it as {:?}",
                balancer.address, known.phase
            )),
            Some(_) => {}
        }
    }
    reasons
}

async fn explain_service<S: Store>(editor: &Editor<S>, path: &str) -> Result<Report, CtlError> {
    let found: Found<ServiceRecord> = editor.read_existing(path).await?;
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
                "{claim} is missing; service remove and create again"
            )),
        }
    }
    let certificate = certificate_path_of(path);
    if editor
        .read::<CertificateRecord>(&certificate)
        .await?
        .is_none()
    {
        reasons.push(format!("{certificate} is missing; see certificate set"));
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

async fn explain_versions(ctl: &Ctl, at: Option<SocketAddrV4>) -> Result<Report, CtlError> {
    let balancers = Fleet::open(ctl)?.dump_balancers(ctl, at).await?;
    let mut lines = Vec::new();
    let mut versions = Vec::new();
    for balancer in &balancers.answered {
        let (version, control) = (balancer.dump.settings_version, &balancer.dump.control);
        lines.push(format!(
            "{} has version {version} in force",
            balancer.address
        ));
        if control.store_is_behind {
            lines.push("  the store holds older settings, which are not taken".to_owned());
        }
        for (path, why) in &control.rejections {
            lines.push(format!(
                "  refused: {path}: {} {}",
                why["code"], why["reason"]
            ));
        }
        for (path, why) in &control.unserved {
            lines.push(format!(
                "  not served: {path}: {} {}",
                why["code"], why["reason"]
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
