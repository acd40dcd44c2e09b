//! A setting that is not allowed ends the command at once.

#[path = "../../basilstep-node/tests/support/bad_setting.rs"]
mod bad_setting;

use bad_setting::BadSetting;
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
    let bad = BadSetting {
        variable,
        value,
        allowed,
        is_flag,
    };
    let mut command = Command::new(env!("CARGO_BIN_EXE_basilstep-ctl"));
    command
        .env_clear()
        .args(["service", "list", "--store", "http://127.0.0.1:1"]);
    bad.apply(&mut command);
    let output = command.output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    assert!(stderr.ends_with(&bad.named()), "{stderr}");
    assert_eq!(output.status.code(), Some(5));
}
