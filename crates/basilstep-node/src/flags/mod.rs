//! Settings of a process: flag over environment variable over default, each checked at start.

mod common;
mod resolve;
#[cfg(test)]
mod tests;

pub use common::{CommonFlags, CommonSettings};
pub use resolve::{InvalidSetting, SettingsResolver, exit_on_invalid};
