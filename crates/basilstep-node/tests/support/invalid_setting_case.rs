//! A setting that is not allowed, by flag or by variable; shared by the processes' tests.

use std::process::Command;

/// A value that a setting may not have.
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

    /// Gives the value to a process.
    pub fn apply(&self, command: &mut Command) {
        if self.is_flag {
            command.arg(format!("--{}", self.flag())).arg(self.value);
        } else {
            command.env(format!("BASILSTEP_{}", self.variable), self.value);
        }
    }

    /// Returns how an error names the setting, its value and what is allowed.
    pub fn expected_error(&self) -> String {
        let (flag, variable, allowed) = (self.flag(), self.variable, self.allowed);
        let shown = self.shown();
        format!("--{flag} (BASILSTEP_{variable}) is {shown}; allowed: {allowed}\n")
    }

    /// Returns the value as the error names it: a key is never shown.
    fn shown(&self) -> String {
        if self.variable == "CLUSTER_KEY" {
            return format!("a text of {} characters (not shown)", self.value.len());
        }
        format!("\"{}\"", self.value)
    }
}
