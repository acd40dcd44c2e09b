//! A setting with an invalid value, given by flag or by environment variable; shared by the tests
//! of the processes.

use std::process::Command;

/// An invalid value of one setting.
pub struct InvalidSettingCase<'a> {
    pub variable: &'a str,
    pub value: &'a str,
    pub allowed: &'a str,
    pub is_flag: bool,
}

impl InvalidSettingCase<'_> {
    fn flag(&self) -> String {
        self.variable.replace('_', "-").to_lowercase()
    }

    /// Passes the value to a process.
    pub fn apply(&self, command: &mut Command) {
        if self.is_flag {
            command.arg(format!("--{}", self.flag())).arg(self.value);
        } else {
            command.env(format!("BASILSTEP_{}", self.variable), self.value);
        }
    }

    /// Returns the end of the expected error: the setting, its value and the allowed values.
    pub fn expected_error(&self) -> String {
        let (flag, variable, allowed) = (self.flag(), self.variable, self.allowed);
        let displayed_value = self.displayed_value();
        format!("--{flag} (BASILSTEP_{variable}) is {displayed_value}; allowed: {allowed}\n")
    }

    /// Returns the value as the error prints it; a key is never printed.
    fn displayed_value(&self) -> String {
        if self.variable == "CLUSTER_KEY" {
            return format!("a value of {} characters (not shown)", self.value.len());
        }
        format!("\"{}\"", self.value)
    }
}
