use crate::overrides::{self, OverrideError};
use argh::FromArgs;
use basilstep_core::{
    codes::ResultCode,
    flows::{FlowSettings, ProcessIncarnation},
};
use basilstep_node::{clock::Clock, logs};
use basilstep_platform::settings::{self, MachineSettings, SettingsError};
use log::LevelFilter;
use rand::{TryRng, rngs::SysRng};
use std::{io, process::ExitCode};
use tokio::{
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
};

/// Which build this is: the version, and a digest of the sources.
const BUILD: &str = concat!(env!("CARGO_PKG_VERSION"), "+", env!("BASILSTEP_SOURCES"));

/// The command-line flags of balancer and agent; everything else is in the settings file.
#[derive(Clone, Debug, FromArgs)]
pub struct Flags {
    /// minimum level of log lines: error, warn, info or debug (default info)
    #[argh(option, default = "LevelFilter::Info")]
    pub log_level: LevelFilter,

    /// override a built-in setting, as group.field=value; may be repeated
    #[argh(option)]
    pub set: Vec<String>,

    /// check the settings file and exit
    #[argh(switch)]
    pub check: bool,

    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
}

/// What a process knows at its start.
#[derive(Clone, Debug)]
pub struct StartContext {
    /// The settings loaded from the file.
    pub machine: MachineSettings,
    /// The clock of the process.
    pub clock: Clock,
    /// The random id of this incarnation of the process.
    pub incarnation: ProcessIncarnation,
    /// The built-in settings with the overrides of the command line.
    pub settings: FlowSettings,
}

/// The reason why a process cannot start or continue.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The settings file is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An override of a built-in setting is invalid.
    #[error(transparent)]
    Override(#[from] OverrideError),
    /// The settings lack a value that this role requires.
    #[error("the settings do not contain the {what}, which this role requires")]
    Missing {
        /// The missing value.
        what: &'static str,
    },
    /// An address could not be bound.
    #[error("failed to bind {what}")]
    Bind {
        /// The purpose of the address.
        what: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another call to the operating system failed.
    #[error("{what} failed")]
    System {
        /// The failed operation.
        what: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl ProcessError {
    /// Returns the result code of this error.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Settings(_) | Self::Override(_) | Self::Missing { .. } => {
                ResultCode::InvalidSetting
            }
            Self::Bind { .. } | Self::System { .. } => ResultCode::BindFailed,
        }
    }
}

/// Reloads the settings file and applies only its seeds; returns whether the file could be loaded.
pub fn reload_seeds(machine: &mut MachineSettings) -> bool {
    match settings::load() {
        Ok(read) => {
            machine.seeds = read.seeds;
            log::info!(seeds = machine.seeds.len(); "settings file reloaded");
            true
        }
        Err(error) => {
            log::error!(reason:% = error; "failed to reload the settings file; keeping the current settings");
            false
        }
    }
}

/// Runs a role until it is stopped and returns the exit status.
///
/// `serve` also receives the stream of SIGHUP signals, which request a reload of the settings file.
pub fn run<Served>(
    role: &'static str,
    flags: &Flags,
    serve: impl Fn(StartContext, Signal) -> Served,
) -> ExitCode
where
    Served: Future<Output = Result<(), ProcessError>>,
{
    if flags.version {
        println!("basilstep-packet-{role} {BUILD}");
        return ExitCode::SUCCESS;
    }
    logs::start_on_stdout(flags.log_level);
    match start_and_serve(role, flags, serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.code();
            log::error!(role, code:% = code, reason:? = error; "fatal error: {error}");
            logs::flush();
            ExitCode::from(code.exit_status())
        }
    }
}

/// Returns the built-in settings with the parts that the deployment calls for.
fn deployment_settings(machine: &MachineSettings) -> FlowSettings {
    let mut settings = FlowSettings::default();
    settings.target_health.is_enabled = machine.covers_target_health;
    settings
}

fn start_and_serve<Served>(
    role: &'static str,
    flags: &Flags,
    serve: impl Fn(StartContext, Signal) -> Served,
) -> Result<(), ProcessError>
where
    Served: Future<Output = Result<(), ProcessError>>,
{
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| ProcessError::System {
            what: "starting the runtime",
            source,
        })?;
    // Installed before anything else, because SIGHUP terminates a process that has no handler.
    let hangups = {
        let _entered = runtime.enter();
        signal(SignalKind::hangup()).map_err(|source| ProcessError::System {
            what: "handling SIGHUP",
            source,
        })?
    };
    // Mistakes on the command line are reported even if there is no settings file.
    overrides::apply(FlowSettings::default(), &flags.set)?;
    let machine = settings::load()?;
    let built_in_settings = overrides::apply(deployment_settings(&machine), &flags.set)?;
    if flags.check {
        println!("the settings file is valid");
        return Ok(());
    }
    let incarnation = SysRng
        .try_next_u32()
        .map(ProcessIncarnation)
        .map_err(|error| ProcessError::System {
            what: "drawing the incarnation",
            source: io::Error::other(error),
        })?;
    log::info!(
        role, build = BUILD, node = machine.node.as_str(), lifetime = incarnation.0, domain = machine.domain.0;
        "started"
    );
    if !flags.set.is_empty() {
        log::warn!(overrides:? = flags.set; "built-in settings are overridden");
    }
    let start = StartContext {
        machine,
        clock: Clock::start(),
        incarnation,
        settings: built_in_settings,
    };
    let served = runtime.block_on(serve(start, hangups));
    log::info!(role; "stopped");
    logs::flush();
    served
}
