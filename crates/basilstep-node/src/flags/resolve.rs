use basilstep_core::codes::ResultCode;
use std::{process::exit, str::FromStr};

/// Settings whose values are never printed.
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
    /// The value as given, quoted, or `not set`.
    pub found: String,
    /// The allowed values.
    pub allowed: &'static str,
}

/// Resolves settings from flags and environment variables.
#[derive(Debug)]
pub struct SettingsResolver<E> {
    environment: E,
}

impl<E: Fn(&str) -> Option<String>> SettingsResolver<E> {
    /// Creates a resolver that looks up variables with `environment`, so that tests can replace it.
    pub fn new(environment: E) -> Self {
        Self { environment }
    }

    /// Resolves an optional setting.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidSetting`] when the value cannot be parsed or fails the check.
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
                found: displayed_value(name, &text),
                allowed,
            }),
        }
    }

    /// Resolves a required setting.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidSetting`] when the value is missing, cannot be parsed or fails the check.
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

    /// Resolves a setting that has a default.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidSetting`] when the value cannot be parsed or fails the check.
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

/// Returns the settings, or prints the error and exits with the status of its code.
pub fn exit_on_invalid<T>(settings: Result<T, InvalidSetting>) -> T {
    match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            exit(i32::from(error.code.exit_status()))
        }
    }
}

/// Returns the value as the error prints it. A secret is never printed, even when it is malformed.
fn displayed_value(name: &str, text: &str) -> String {
    if SECRET_SETTINGS.contains(&name) {
        return format!("a value of {} characters (not shown)", text.chars().count());
    }
    format!("{text:?}")
}

fn variable_name(name: &str) -> String {
    format!("BASILSTEP_{}", name.replace('-', "_").to_uppercase())
}
