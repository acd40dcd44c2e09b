//! The settings of a process, validated at start. A flag takes precedence over an environment
//! variable, and a variable over the default.

mod common;
mod resolve;
#[cfg(test)]
mod tests;

pub use common::{CommonFlags, CommonSettings};
pub use resolve::{InvalidSetting, SettingsResolver, exit_on_invalid};
