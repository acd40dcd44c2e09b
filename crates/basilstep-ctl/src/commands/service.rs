use super::service_write::{self, ServiceEdit};
use crate::{edit::SettingsEditor, error::CtlError, output::Report, settings::CtlContext};
use argh::FromArgs;
use basilstep_core::settings::{
    CertificateRecord, ServiceRecord, SettingsEntry, SettingsPath, certificate_path_of, check_name,
    service_path,
};
use basilstep_node::store::Store;
use serde_json::{Value, json};
use std::net::SocketAddrV4;

/// Create, change, show, list and remove services.
///
/// The name of a service is NAME, for the team of --team, or TEAM/NAME.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceArgs {
    #[argh(subcommand)]
    command: ServiceCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ServiceCommand {
    Create(CreateArgs),
    Change(ChangeArgs),
    Show(ShowArgs),
    List(ListArgs),
    Remove(RemoveArgs),
}

/// Create a service: claim its address and a number, then write its record.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "create",
    example = "{command_name} rail/holds --address 10.0.0.1:443 --set admission.request_limit=2"
)]
struct CreateArgs {
    /// name of the service, NAME or TEAM/NAME
    #[argh(positional)]
    name: String,
    /// address that callers connect to, IPv4:PORT
    #[argh(option)]
    address: SocketAddrV4,
    /// number of the service (default: a random free one)
    #[argh(option)]
    id: Option<u16>,
    /// setting as NAME=VALUE; may be repeated; listed in docs/SETTINGS.md
    #[argh(option)]
    set: Vec<String>,
    /// validate and show the change without writing
    #[argh(switch)]
    dry_run: bool,
}

/// Change a service and show the difference.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "change",
    example = "{command_name} rail/holds --set admission.request_limit=3 --dry-run"
)]
struct ChangeArgs {
    /// name of the service, NAME or TEAM/NAME
    #[argh(positional)]
    name: String,
    /// new address that callers connect to, IPv4:PORT
    #[argh(option)]
    address: Option<SocketAddrV4>,
    /// setting as NAME=VALUE; may be repeated; listed in docs/SETTINGS.md
    #[argh(option)]
    set: Vec<String>,
    /// validate and show the change without writing
    #[argh(switch)]
    dry_run: bool,
}

/// Show a service with all its settings.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "show",
    example = "{command_name} rail/holds --json"
)]
struct ShowArgs {
    /// name of the service, NAME or TEAM/NAME
    #[argh(positional)]
    name: String,
}

/// List the services of the team, or of all teams.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list", example = "{command_name} --team rail")]
struct ListArgs {}

/// Remove a service, its certificate and its claims.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove", example = "{command_name} rail/holds")]
struct RemoveArgs {
    /// name of the service, NAME or TEAM/NAME
    #[argh(positional)]
    name: String,
    /// validate and show the change without writing
    #[argh(switch)]
    dry_run: bool,
}

impl ServiceArgs {
    pub async fn run(&self, context: &CtlContext) -> Result<Report, CtlError> {
        let editor = context.open_editor()?;
        match &self.command {
            ServiceCommand::Create(args) => {
                let path = resolve_service_path(context, &args.name)?;
                let edit = ServiceEdit {
                    address: Some(args.address),
                    id: args.id,
                    assignments: &args.set,
                    dry_run: args.dry_run,
                };
                service_write::create(&editor, &path, &edit).await
            }
            ServiceCommand::Change(args) => {
                let path = resolve_service_path(context, &args.name)?;
                let edit = ServiceEdit {
                    address: args.address,
                    id: None,
                    assignments: &args.set,
                    dry_run: args.dry_run,
                };
                service_write::change(&editor, &path, &edit).await
            }
            ServiceCommand::Show(args) => {
                show(&editor, &resolve_service_path(context, &args.name)?).await
            }
            ServiceCommand::List(_) => list(&editor, context.team.as_deref()).await,
            ServiceCommand::Remove(args) => {
                let path = resolve_service_path(context, &args.name)?;
                service_write::remove(&editor, &path, args.dry_run).await
            }
        }
    }
}

/// Returns the path of a service from its name on the command line.
///
/// # Errors
///
/// Returns [`CtlError`] when no team is given or a name is not allowed.
pub fn resolve_service_path(context: &CtlContext, name: &str) -> Result<String, CtlError> {
    let (team, name) = match (name.split_once('/'), &context.team) {
        (Some((team, name)), _) => (team, name),
        (None, Some(team)) => (team.as_str(), name),
        (None, None) => {
            let message = format!("no team is given; pass --team or name the service TEAM/{name}");
            return Err(CtlError::invalid(message));
        }
    };
    check_name("team", team)?;
    check_name("service", name)?;
    Ok(service_path(team, name))
}

async fn show<S: Store>(editor: &SettingsEditor<S>, path: &str) -> Result<Report, CtlError> {
    let found = editor.read_existing::<ServiceRecord>(path).await?;
    let certificate = editor
        .read::<CertificateRecord>(&certificate_path_of(path))
        .await?;
    let certificate_version = certificate.map(|found| found.version);
    let result = json!({
        "path": path,
        "version": found.version,
        "record": found.record,
        "certificate_version": certificate_version,
    });
    let mut lines = vec![format!("{path} at version {}", found.version)];
    lines.push(match certificate_version {
        Some(version) => format!("certificate at version {version}"),
        None => "no certificate: its agents cannot start; write it with certificate set".to_owned(),
    });
    lines.push(to_pretty_json(&result["record"]));
    Ok(Report::with_lines(lines, result))
}

async fn list<S: Store>(
    editor: &SettingsEditor<S>,
    team: Option<&str>,
) -> Result<Report, CtlError> {
    let prefix = team.map_or("teams/".to_owned(), |team| format!("teams/{team}/"));
    let services: Vec<Value> = editor
        .read_tree(&prefix)
        .await?
        .iter()
        .filter_map(summary)
        .collect();
    let lines = services
        .iter()
        .map(|service| {
            format!(
                "{} {} {}",
                service["path"], service["address"], service["id"]
            )
        })
        .map(|line| line.replace('"', ""))
        .collect();
    Ok(Report::with_lines(lines, json!(services)))
}

fn summary(entry: &SettingsEntry) -> Option<Value> {
    let SettingsPath::Service { .. } = SettingsPath::parse(&entry.path) else {
        return None;
    };
    let record: Value = serde_json::from_str(entry.value.as_deref()?).unwrap_or_default();
    Some(json!({
        "path": entry.path,
        "version": entry.version,
        "address": record["address"],
        "id": record["id"],
    }))
}

pub fn to_pretty_json(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
