//! A setting that is not allowed ends the command at once.

use rstest::rstest;
use std::process::Command;

#[rstest]
#[case("TEAM", "Rail", "a team's name")]
#[case("TEAM", "a/b", "a team's name")]
#[case("CLUSTER_KEY", "abcd", "64 hexadecimal digits")]
fn a_bad_value_is_named_with_what_is_allowed(
    #[case] variable: &str,
    #[case] value: &str,
    #[case] allowed: &str,
    #[values(false, true)] is_flag: bool,
) {
    let flag = variable.replace('_', "-").to_lowercase();
    let mut command = Command::new(env!("CARGO_BIN_EXE_basilstep-ctl"));
    command
        .env_clear()
        .args(["service", "list", "--store", "http://127.0.0.1:1"]);
    if is_flag {
        command.arg(format!("--{flag}")).arg(value);
    } else {
        command.env(format!("BASILSTEP_{variable}"), value);
    }
    let output = command.output().unwrap();
    let shown = shown(variable, value);
    let named = format!("--{flag} (BASILSTEP_{variable}) is {shown}; allowed: {allowed}\n");
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    assert!(stderr.ends_with(&named), "{stderr}");
    assert_eq!(output.status.code(), Some(5));
}

/// Returns the value as the error names it: a key is never shown.
fn shown(variable: &str, value: &str) -> String {
    if variable == "CLUSTER_KEY" {
        return format!("a text of {} characters (not shown)", value.len());
    }
    format!("\"{value}\"")
}
