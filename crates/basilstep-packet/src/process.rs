use argh::FromArgs;
use basilstep_core::{codes::ResultCode, flows::Lifetime};
use basilstep_node::{clock::Clock, logs};
use basilstep_platform::settings::{self, MachineSettings, SettingsError};
use log::LevelFilter;
use rand::{TryRng, rngs::SysRng};
use std::{io, process::ExitCode};
use tokio::{
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
};

/// The command line of balancer and agent; everything else is in the settings file.
#[derive(Clone, Debug, FromArgs)]
pub struct Flags {
    /// the least level of log lines: error, warn, info or debug (default info)
    #[argh(option, default = "LevelFilter::Info")]
    pub log_level: LevelFilter,

    /// check the settings file and exit
    #[argh(switch)]
    pub check: bool,

    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
}

/// What a process starts with.
#[derive(Clone, Debug)]
pub struct StartContext {
    /// The settings file as it was read.
    pub machine: MachineSettings,
    /// The clock of the process.
    pub clock: Clock,
    /// The run of the process.
    pub lifetime: Lifetime,
}

/// Why a process cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The settings file is not usable.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings lack something that this role needs.
    #[error("the settings name no {what}, which this role needs")]
    Missing {
        /// What is missing.
        what: &'static str,
    },
    /// An address could not be bound.
    #[error("{what} could not be bound")]
    Bind {
        /// What the address is for.
        what: &'static str,
        /// What the operating system says.
        source: io::Error,
    },
    /// The operating system refused something else.
    #[error("{what} failed")]
    System {
        /// What was asked for.
        what: &'static str,
        /// What it says.
        source: io::Error,
    },
}

impl ProcessError {
    /// Returns the numbered code.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Settings(_) | Self::Missing { .. } => ResultCode::InvalidSetting,
            Self::Bind { .. } | Self::System { .. } => ResultCode::BindFailed,
        }
    }
}

/// Reads the settings file again and takes its seeds; returns whether it could be read.
pub fn reload_seeds(machine: &mut MachineSettings) -> bool {
    match settings::load() {
        Ok(read) => {
            machine.seeds = read.seeds;
            log::info!(seeds = machine.seeds.len(); "the settings file was read again");
            true
        }
        Err(error) => {
            log::error!(reason:% = error; "the settings in force stay");
            false
        }
    }
}

/// Runs a role until it is stopped, and returns its exit status; the role also gets the requests to
/// read the settings file again.
pub fn run<Served>(
    role: &'static str,
    flags: &Flags,
    serve: impl Fn(StartContext, Signal) -> Served,
) -> ExitCode
where
    Served: Future<Output = Result<(), ProcessError>>,
{
    if flags.version {
        println!("basilstep-packet-{role} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    logs::start_on_stdout(flags.log_level);
    match start_and_serve(role, flags, serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.code();
            log::error!(role, code:% = code, reason:? = error; "the process cannot go on: {error}");
            logs::flush();
            ExitCode::from(code.exit_status())
        }
    }
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
    // Before anything else: without a handler SIGHUP ends the process.
    let hangups = {
        let _entered = runtime.enter();
        signal(SignalKind::hangup()).map_err(|source| ProcessError::System {
            what: "handling SIGHUP",
            source,
        })?
    };
    let machine = settings::load()?;
    if flags.check {
        println!("the settings file is usable");
        return Ok(());
    }
    let lifetime = SysRng
        .try_next_u32()
        .map(Lifetime)
        .map_err(|error| ProcessError::System {
            what: "drawing the lifetime",
            source: io::Error::other(error),
        })?;
    log::info!(
        role, node = machine.node.as_str(), lifetime = lifetime.0, domain = machine.domain.0;
        "started"
    );
    let start = StartContext {
        machine,
        clock: Clock::start(),
        lifetime,
    };
    let served = runtime.block_on(serve(start, hangups));
    log::info!(role; "stopped");
    logs::flush();
    served
}
