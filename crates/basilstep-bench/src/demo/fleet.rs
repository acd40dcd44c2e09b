//! Starts, signals and stops the processes of a run, each by its process id.
//!
//! Only this tool starts processes; the balancer, agent and control programs never do.

use std::{
    collections::BTreeMap,
    env,
    fs::{self, File},
    io,
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    time::Duration,
};
use tokio::{
    process::{Child, Command},
    time,
};

const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Prefixes of the variables that cargo sets for the package that it runs.
const PACKAGE_VARIABLES: [&str; 4] = [
    "CARGO_BIN_",
    "CARGO_CRATE_",
    "CARGO_MANIFEST_",
    "CARGO_PKG_",
];

/// The programs that a run starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Program {
    /// `basilstep-balancer`.
    Balancer,
    /// `basilstep-agent`.
    Agent,
    /// `basilstep-ctl`.
    Ctl,
    /// `basilstep-bench`, for the fakes.
    Bench,
}

/// The signals that a run sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Requests a graceful stop.
    Terminate,
    /// Pauses the process.
    Stop,
    /// Resumes a paused process.
    Continue,
}

/// A failure to manage the processes of a run.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A program is missing.
    #[error("{0} is missing; build the workspace first")]
    MissingProgram(PathBuf),
    /// A system call failed.
    #[error("{what}: {error}")]
    System {
        /// The attempted action.
        what: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// No process has this name.
    #[error("unknown process {0}")]
    UnknownProcess(String),
}

/// The programs, all in one directory.
#[derive(Clone, Debug)]
pub struct Binaries {
    directory: PathBuf,
}

/// The processes of a run; all are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    binaries: Binaries,
    logs: PathBuf,
    processes: BTreeMap<String, Process>,
}

#[derive(Debug)]
struct Process {
    child: Child,
    is_expected_to_exit: bool,
}

impl Program {
    const ALL: [Self; 4] = [Self::Balancer, Self::Agent, Self::Ctl, Self::Bench];

    const fn file_name(self) -> &'static str {
        match self {
            Self::Balancer => "basilstep-balancer",
            Self::Agent => "basilstep-agent",
            Self::Ctl => "basilstep-ctl",
            Self::Bench => "basilstep-bench",
        }
    }
}

impl Signal {
    const fn name(self) -> &'static str {
        match self {
            Self::Terminate => "TERM",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
        }
    }
}

impl FleetError {
    fn system(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        |error| Self::System { what, error }
    }
}

impl Binaries {
    /// Finds the programs in the directory of this one; builds them first if cargo runs this one.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] if the build fails or a program is missing.
    pub fn locate() -> Result<Self, FleetError> {
        let own =
            env::current_exe().map_err(FleetError::system("locate the current executable"))?;
        let binaries = Self {
            directory: program_directory(&own),
        };
        if let Some(cargo) = env::var_os("CARGO") {
            build(Path::new(&cargo), binaries.is_release())?;
        }
        for program in Program::ALL {
            let path = binaries.path(program);
            if !path.exists() {
                return Err(FleetError::MissingProgram(path));
            }
        }
        Ok(binaries)
    }

    fn path(&self, program: Program) -> PathBuf {
        self.directory.join(program.file_name())
    }

    fn is_release(&self) -> bool {
        self.directory.ends_with("release")
    }
}

/// Returns the directory of the programs; test executables are one level below it.
fn program_directory(own: &Path) -> PathBuf {
    let directory = own.parent().unwrap_or(Path::new("."));
    if directory.ends_with("deps") {
        return directory.parent().unwrap_or(directory).to_owned();
    }
    directory.to_owned()
}

fn build(cargo: &Path, release: bool) -> Result<(), FleetError> {
    eprintln!("building the programs of the workspace");
    let mut command = std::process::Command::new(cargo);
    command.args(["build", "--workspace", "--bins", "--locked", "--quiet"]);
    if release {
        command.arg("--release");
    }
    // Build scripts that depend on the variables which `cargo run` sets for this package would run
    // again and cause a rebuild of their dependents.
    for (name, _) in env::vars_os() {
        let text = name.to_string_lossy();
        if PACKAGE_VARIABLES
            .iter()
            .any(|prefix| text.starts_with(prefix))
        {
            command.env_remove(&name);
        }
    }
    command.stdout(Stdio::null());
    let status = command
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status()
        .map_err(FleetError::system("run cargo build"))?;
    if status.success() {
        return Ok(());
    }
    let error = io::Error::other(status.to_string());
    Err(FleetError::system("cargo build")(error))
}

impl Fleet {
    /// Creates an empty fleet whose processes write their output to files in `logs`.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] if the directory cannot be created.
    pub fn open(binaries: Binaries, logs: PathBuf) -> Result<Self, FleetError> {
        let what = format!("create {}", logs.display());
        fs::create_dir_all(&logs).map_err(FleetError::system(what))?;
        Ok(Self {
            binaries,
            logs,
            processes: BTreeMap::new(),
        })
    }

    /// Returns the directory of the logs.
    pub fn logs(&self) -> &Path {
        &self.logs
    }

    /// Starts a process; an earlier process of the same name must have exited.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError::System`] when it cannot be started.
    pub fn spawn(
        &mut self,
        name: &str,
        program: Program,
        args: &[String],
    ) -> Result<(), FleetError> {
        let what = format!("start {name}");
        let log = self.open_log(name).map_err(FleetError::system(&what))?;
        let errors = log.try_clone().map_err(FleetError::system(&what))?;
        let child = Command::new(self.binaries.path(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .map_err(FleetError::system(&what))?;
        let process = Process {
            child,
            is_expected_to_exit: false,
        };
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    fn open_log(&self, name: &str) -> io::Result<File> {
        let path = self.logs.join(format!("{name}.log"));
        File::options().create(true).append(true).open(path)
    }

    /// Kills a process with SIGKILL and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] if the name is unknown or the process cannot be killed.
    pub async fn kill(&mut self, name: &str) -> Result<(), FleetError> {
        let process = self.process(name)?;
        process.is_expected_to_exit = true;
        let killed = process.child.kill().await;
        killed.map_err(FleetError::system(format!("kill {name}")))
    }

    /// Sends a signal to a process.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] if the name is unknown or the signal cannot be sent.
    pub async fn signal(&mut self, name: &str, signal: Signal) -> Result<(), FleetError> {
        let process = self.process(name)?;
        process.is_expected_to_exit |= signal == Signal::Terminate;
        let Some(id) = process.child.id() else {
            return Ok(());
        };
        let sent = Command::new("sh")
            .args(["-c", &format!("kill -{} {id}", signal.name())])
            .status()
            .await;
        sent.map_err(FleetError::system(format!("signal {name}")))?;
        Ok(())
    }

    /// Returns the process id of a running process.
    pub fn id(&self, name: &str) -> Option<u32> {
        self.processes.get(name)?.child.id()
    }

    /// Waits until a process exits; returns `None` if it is still running after `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] if the name is unknown or waiting fails.
    pub async fn wait(
        &mut self,
        name: &str,
        limit: Duration,
    ) -> Result<Option<ExitStatus>, FleetError> {
        let process = self.process(name)?;
        match time::timeout(limit, process.child.wait()).await {
            Err(_) => Ok(None),
            Ok(Ok(status)) => Ok(Some(status)),
            Ok(Err(error)) => Err(FleetError::system(format!("wait for {name}"))(error)),
        }
    }

    /// Returns the processes that exited without being asked to, with their status.
    pub fn unexpected_exits(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for (name, process) in &mut self.processes {
            if process.is_expected_to_exit {
                continue;
            }
            if let Ok(Some(status)) = process.child.try_wait() {
                ended.push(format!("{name}: {status}"));
            }
        }
        ended
    }

    /// Requests a graceful stop of the named processes; returns those that failed or timed out.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] if one of them cannot be signalled or waited for.
    pub async fn terminate(&mut self, names: &[String]) -> Result<Vec<String>, FleetError> {
        for name in names {
            self.signal(name, Signal::Terminate).await?;
        }
        let mut failed = Vec::new();
        for name in names {
            match self.wait(name, STOP_TIMEOUT).await? {
                Some(status) if status.success() => {}
                Some(status) => failed.push(format!("{name}: {status}")),
                None => failed.push(format!("{name}: still running")),
            }
        }
        Ok(failed)
    }

    fn process(&mut self, name: &str) -> Result<&mut Process, FleetError> {
        let unknown = || FleetError::UnknownProcess(name.to_owned());
        self.processes.get_mut(name).ok_or_else(unknown)
    }
}
