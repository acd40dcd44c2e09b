use super::{
    AblationArgs, AblationError, REASON_PREFIX,
    mechanisms::{MECHANISMS, Mechanism},
};
use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Stdio},
};

/// The deploy file of a checkout; its content is written back when this is dropped.
#[derive(Debug)]
struct DeployFile {
    path: PathBuf,
    original: String,
}

impl DeployFile {
    fn open(checkout: &Path) -> Result<Self, AblationError> {
        let path = checkout.join("deploy/system.toml");
        let original = fs::read_to_string(&path).map_err(|source| AblationError::File {
            path: path.clone(),
            source,
        })?;
        Ok(Self { path, original })
    }

    fn set_overrides(&self, overrides: &[&str]) -> Result<(), AblationError> {
        let text = with_overrides(&self.original, overrides);
        fs::write(&self.path, text).map_err(|source| AblationError::File {
            path: self.path.clone(),
            source,
        })
    }
}

impl Drop for DeployFile {
    fn drop(&mut self) {
        if let Err(error) = fs::write(&self.path, &self.original) {
            eprintln!("cannot restore {}: {error}", self.path.display());
        }
    }
}

/// Plays each day with each seed without each mechanism, one after the other.
///
/// # Errors
///
/// Returns [`AblationError`] when the deploy file cannot be changed, or the bench cannot be started
/// or fails.
pub fn play_all(args: &AblationArgs, bench: &Path) -> Result<(), AblationError> {
    let deploy_file = DeployFile::open(&args.checkout)?;
    for mechanism in &MECHANISMS {
        deploy_file.set_overrides(mechanism.overrides)?;
        for site in &args.site {
            for day in &args.day {
                for seed in 1..=args.seeds {
                    eprintln!("{}: {day}, seed {seed}", mechanism.name);
                    play_day(args, bench, mechanism, site, day, seed)?;
                }
            }
        }
    }
    Ok(())
}

fn play_day(
    args: &AblationArgs,
    bench: &Path,
    mechanism: &Mechanism,
    site: &str,
    day: &str,
    seed: u64,
) -> Result<(), AblationError> {
    let status = Command::new(bench)
        .current_dir(&args.checkout)
        .args(["run", site, day, "--seed", &seed.to_string(), "--no-cpu"])
        .args(["--why", &format!("{REASON_PREFIX}{}", mechanism.name)])
        .stdout(Stdio::null())
        .status()
        .map_err(|source| AblationError::File {
            path: bench.to_owned(),
            source,
        })?;
    if !status.success() {
        return Err(AblationError::Bench {
            what: format!("{}, {day}, seed {seed}", mechanism.name),
            status,
        });
    }
    Ok(())
}

/// Returns a deploy file whose programs run with the given overrides.
pub fn with_overrides(deploy_file: &str, overrides: &[&str]) -> String {
    let mut flags = String::new();
    for text in overrides {
        flags.extend([" --set ", text]);
    }
    let mut changed = String::new();
    for line in deploy_file.lines() {
        let run = line
            .strip_prefix("run = \"")
            .and_then(|rest| rest.strip_suffix('"'));
        match run {
            Some(program) => changed.extend(["run = \"", program, &flags, "\""]),
            None => changed.push_str(line),
        }
        changed.push('\n');
    }
    changed
}
