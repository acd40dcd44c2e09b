//! An invalid setting makes the command fail before it runs.

#[path = "../../basilstep-node/tests/support/invalid_setting_case.rs"]
mod invalid_setting_case;

use invalid_setting_case::InvalidSettingCase;
use rstest::rstest;
use std::process::Command;

#[rstest]
#[case("TEAM", "Rail", "a team's name")]
#[case("TEAM", "a/b", "a team's name")]
#[case("CLUSTER_KEY", "abcd", "64 hexadecimal digits")]
fn error_names_the_invalid_value_and_the_allowed_values(
    #[case] variable: &str,
    #[case] value: &str,
    #[case] allowed: &str,
    #[values(false, true)] is_flag: bool,
) {
    let case = InvalidSettingCase {
        variable,
        value,
        allowed,
        is_flag,
    };
    let mut command = Command::new(env!("CARGO_BIN_EXE_basilstep-ctl"));
    command
        .env_clear()
        .args(["service", "list", "--store", "http://127.0.0.1:1"]);
    case.apply(&mut command);
    let output = command.output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    assert!(stderr.ends_with(&case.expected_error()), "{stderr}");
    assert_eq!(output.status.code(), Some(5));
}
