use basilstep_core::codes::ResultCode;
use std::{process::exit, str::FromStr};

/// Settings whose values are never shown.
const SECRET_SETTINGS: [&str; 2] = ["cluster-key", "store-token"];

/// A setting whose value is missing or not allowed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{code}: --{name} ({variable}) is {found}; allowed: {allowed}")]
pub struct InvalidSetting {
    /// Always [`ResultCode::InvalidSetting`].
    pub code: ResultCode,
    /// The flag without its dashes.
    pub name: &'static str,
    /// The environment variable of the same setting.
    pub variable: String,
    /// The value found, quoted, or `not set`.
    pub found: String,
    /// What is allowed.
    pub allowed: &'static str,
}

/// Finds the value of each setting.
#[derive(Debug)]
pub struct SettingsResolver<E> {
    environment: E,
}

impl<E: Fn(&str) -> Option<String>> SettingsResolver<E> {
    /// Takes the environment as a function, so that tests pass their own.
    pub fn new(environment: E) -> Self {
        Self { environment }
    }

    /// Reads a setting that may be missing.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidSetting`] when there is a value and it cannot be read or is refused.
    pub fn optional<T: FromStr>(
        &self,
        name: &'static str,
        flag: Option<&str>,
        allowed: &'static str,
        check: impl Fn(&T) -> bool,
    ) -> Result<Option<T>, InvalidSetting> {
        let variable = variable_name(name);
        let from_environment = (self.environment)(&variable);
        let Some(text) = flag.map(str::to_owned).or(from_environment) else {
            return Ok(None);
        };
        match text.parse::<T>() {
            Ok(value) if check(&value) => Ok(Some(value)),
            _ => Err(InvalidSetting {
                code: ResultCode::InvalidSetting,
                name,
                variable,
                found: shown(name, &text),
                allowed,
            }),
        }
    }

    /// Reads a setting that must be there.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidSetting`] when the value is missing or refused.
    pub fn required<T: FromStr>(
        &self,
        name: &'static str,
        flag: Option<&str>,
        allowed: &'static str,
        check: impl Fn(&T) -> bool,
    ) -> Result<T, InvalidSetting> {
        self.optional(name, flag, allowed, check)?
            .ok_or_else(|| InvalidSetting {
                code: ResultCode::InvalidSetting,
                name,
                variable: variable_name(name),
                found: "not set".to_owned(),
                allowed,
            })
    }

    /// Reads a setting that has a default.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidSetting`] when there is a value and it is refused.
    pub fn with_default<T: FromStr>(
        &self,
        name: &'static str,
        flag: Option<&str>,
        default: T,
        allowed: &'static str,
        check: impl Fn(&T) -> bool,
    ) -> Result<T, InvalidSetting> {
        Ok(self
            .optional(name, flag, allowed, check)?
            .unwrap_or(default))
    }
}

/// Returns the settings, or prints the one clear error and ends the process.
pub fn exit_on_invalid<T>(settings: Result<T, InvalidSetting>) -> T {
    match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            exit(i32::from(error.code.exit_status()))
        }
    }
}

/// Returns the value as the error shows it; a secret is never shown, however malformed.
fn shown(name: &str, text: &str) -> String {
    if SECRET_SETTINGS.contains(&name) {
        return format!("a text of {} characters (not shown)", text.chars().count());
    }
    format!("{text:?}")
}

fn variable_name(name: &str) -> String {
    format!("BASILSTEP_{}", name.replace('-', "_").to_uppercase())
}
