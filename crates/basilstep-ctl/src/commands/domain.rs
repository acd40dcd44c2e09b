use super::domain_status;
use crate::{
    edit::{SettingsEditor, StoreLock, Versioned},
    error::CtlError,
    output::Report,
    settings::CtlContext,
};
use argh::FromArgs;
use basilstep_core::{
    address::DomainId,
    codes::ResultCode,
    settings::{DomainRecord, DomainState, SettingsPath, check_name, domain_path},
};
use basilstep_node::store::Store;
use serde_json::json;
use std::{collections::BTreeMap, net::SocketAddrV4};

const DOMAINS_LOCK_NAME: &str = "failure domains";
const DOMAINS_LOCK_KEY: &str = "domains";

/// Create failure domains, take them out of service and return them to service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "domain")]
pub struct DomainArgs {
    #[argh(subcommand)]
    command: DomainCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum DomainCommand {
    Create(CreateArgs),
    Out(OutArgs),
    In(InArgs),
    Status(StatusArgs),
}

/// Create a failure domain in service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "create", example = "{command_name} north")]
struct CreateArgs {
    /// name of the failure domain, as passed to its processes with --domain
    #[argh(positional)]
    name: String,
    /// number of the failure domain (default: the lowest free one)
    #[argh(option)]
    id: Option<u8>,
}

/// Take a failure domain out of service: it gets no more packets, and its flows are abandoned.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "out", example = "{command_name} north")]
struct OutArgs {
    /// name of the failure domain
    #[argh(positional)]
    name: String,
    /// take it out even if no other failure domain is in service
    #[argh(switch)]
    force: bool,
}

/// Return a failure domain to service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "in", example = "{command_name} north")]
struct InArgs {
    /// name of the failure domain
    #[argh(positional)]
    name: String,
}

/// Show each failure domain and its state at each balancer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status", example = "{command_name} --json")]
struct StatusArgs {
    /// a balancer that lists the others when the store is down, IPv4:PORT
    #[argh(option)]
    at: Option<SocketAddrV4>,
}

impl DomainArgs {
    pub async fn run(&self, context: &CtlContext) -> Result<Report, CtlError> {
        match &self.command {
            DomainCommand::Create(args) => create(&context.open_editor()?, args).await,
            DomainCommand::Out(args) => {
                let change = StateChange::new(&args.name, DomainState::Out, args.force);
                change.run(&context.open_editor()?).await
            }
            DomainCommand::In(args) => {
                let change = StateChange::new(&args.name, DomainState::In, false);
                change.run(&context.open_editor()?).await
            }
            DomainCommand::Status(args) => domain_status::run(context, args.at).await,
        }
    }
}

async fn create<S: Store>(
    editor: &SettingsEditor<S>,
    args: &CreateArgs,
) -> Result<Report, CtlError> {
    check_name("failure domain", &args.name)?;
    let path = domain_path(&args.name);
    editor.check_allowed(&path)?;
    let lock = StoreLock::acquire(editor.store(), DOMAINS_LOCK_KEY, DOMAINS_LOCK_NAME).await?;
    let result = create_locked(editor, args, &path, &lock).await;
    lock.release(editor.store()).await;
    result
}

async fn create_locked<S: Store>(
    editor: &SettingsEditor<S>,
    args: &CreateArgs,
    path: &str,
    lock: &StoreLock,
) -> Result<Report, CtlError> {
    let domains = read_domains(editor).await?;
    if domains.contains_key(&args.name) {
        let message = format!("{path} already exists");
        return Err(CtlError::new(ResultCode::AlreadyExists, message));
    }
    let record = DomainRecord {
        id: choose_id(&domains, args.id)?,
        state: DomainState::In,
        stamp: editor.stamp(),
    };
    lock.check_held()?;
    editor.write(path, &record, &record.stamp, 0).await?;
    let line = format!("{path} created with number {}", record.id);
    Ok(Report::new(line, json!({ "path": path, "record": record })))
}

fn choose_id(
    domains: &BTreeMap<String, Versioned<DomainRecord>>,
    requested: Option<u8>,
) -> Result<DomainId, CtlError> {
    let owner_of = |id: u8| {
        let mut owners = domains.iter();
        owners.find(|(_, found)| found.record.id.0 == id)
    };
    let Some(id) = requested else {
        let free = (0..=u8::MAX).find(|id| owner_of(*id).is_none());
        let none_free = || CtlError::invalid("all numbers of failure domains are taken");
        return free.map(DomainId).ok_or_else(none_free);
    };
    match owner_of(id) {
        Some((name, _)) => Err(CtlError::new(
            ResultCode::AlreadyExists,
            format!("failure domain {name} already has the number {id}"),
        )),
        None => Ok(DomainId(id)),
    }
}

/// A change of the state of a failure domain.
struct StateChange<'a> {
    name: &'a str,
    state: DomainState,
    force: bool,
}

impl<'a> StateChange<'a> {
    fn new(name: &'a str, state: DomainState, force: bool) -> Self {
        Self { name, state, force }
    }

    async fn run<S: Store>(&self, editor: &SettingsEditor<S>) -> Result<Report, CtlError> {
        let path = domain_path(self.name);
        editor.check_allowed(&path)?;
        let lock = StoreLock::acquire(editor.store(), DOMAINS_LOCK_KEY, DOMAINS_LOCK_NAME).await?;
        let result = self.run_locked(editor, &path, &lock).await;
        lock.release(editor.store()).await;
        result
    }

    async fn run_locked<S: Store>(
        &self,
        editor: &SettingsEditor<S>,
        path: &str,
        lock: &StoreLock,
    ) -> Result<Report, CtlError> {
        let domains = read_domains(editor).await?;
        let found = domains.get(self.name).ok_or_else(|| {
            let known: Vec<&String> = domains.keys().collect();
            let message = format!("{path} does not exist; the known ones are {known:?}");
            CtlError::new(ResultCode::NotFound, message)
        })?;
        if found.record.state == self.state {
            return Ok(self.report(path, "is already"));
        }
        self.check_not_last_in_service(&domains)?;
        let record = DomainRecord {
            id: found.record.id,
            state: self.state,
            stamp: editor.stamp(),
        };
        lock.check_held()?;
        editor
            .write(path, &record, &record.stamp, found.version)
            .await?;
        Ok(self.report(path, "is now"))
    }

    fn check_not_last_in_service(
        &self,
        domains: &BTreeMap<String, Versioned<DomainRecord>>,
    ) -> Result<(), CtlError> {
        let another_in_service = domains
            .iter()
            .any(|(name, found)| name != self.name && found.record.state == DomainState::In);
        if self.state == DomainState::In || self.force || another_in_service {
            return Ok(());
        }
        let message = format!(
            "{} is the last failure domain in service; nothing was written; --force takes it out",
            self.name
        );
        Err(CtlError::new(ResultCode::UnsafeChange, message))
    }

    fn report(&self, path: &str, verb: &str) -> Report {
        let state = match self.state {
            DomainState::In => "in",
            DomainState::Out => "out",
        };
        let line = format!("failure domain {} {verb} {state}", self.name);
        Report::new(line, json!({ "path": path, "state": state }))
    }
}

async fn read_domains<S: Store>(
    editor: &SettingsEditor<S>,
) -> Result<BTreeMap<String, Versioned<DomainRecord>>, CtlError> {
    let mut domains = BTreeMap::new();
    for entry in editor.read_tree("domains/").await? {
        let SettingsPath::Domain(name) = SettingsPath::parse(&entry.path) else {
            continue;
        };
        let value = entry.value.as_deref().unwrap_or_default();
        let record = serde_json::from_str(value).map_err(|error| {
            let message = format!("{} in the store: {error}", entry.path);
            CtlError::new(ResultCode::MalformedRecord, message)
        })?;
        let version = entry.version;
        domains.insert(name.to_owned(), Versioned { version, record });
    }
    Ok(domains)
}
