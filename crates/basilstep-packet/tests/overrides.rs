//! Overrides of built-in settings on the command line.

use rstest::rstest;
use std::process::Command;

/// The exit status for settings that are not valid.
const INVALID_SETTING_STATUS: i32 = 5;

const PROGRAMS: [&str; 2] = [
    env!("CARGO_BIN_EXE_basilstep-packet-balancer"),
    env!("CARGO_BIN_EXE_basilstep-packet-agent"),
];

#[rstest]
#[case::no_value("hints.limit", "\"hints.limit\" is not of the form group.field=value")]
#[case::no_group("limit=1", "\"limit=1\" is not of the form group.field=value")]
#[case::unknown_group("cache.limit=1", "there is no setting \"cache.limit\"")]
#[case::unknown_field("hints.size=1", "there is no setting \"hints.size\"")]
#[case::negative(
    "hints.limit=-1",
    "the setting hints.limit does not take the value \"-1\""
)]
#[case::not_a_number(
    "hints.limit=many",
    "the setting hints.limit does not take the value \"many\""
)]
#[case::fraction(
    "hints.limit=1.5",
    "the setting hints.limit does not take the value \"1.5\""
)]
#[case::group_as_a_whole(
    "hints.limit={}",
    "the setting hints.limit does not take the value \"{}\""
)]
#[case::switch_for_a_number(
    "hints.limit=true",
    "the setting hints.limit does not take the value \"true\""
)]
#[case::number_for_a_switch(
    "target_health.is_enabled=1",
    "the setting target_health.is_enabled does not take the value \"1\""
)]
fn invalid_override_is_refused_with_its_code(#[case] text: &str, #[case] reason: &str) {
    for program in PROGRAMS {
        let mut command = Command::new(program);
        let ended = command.args(["--set", text]).output().unwrap();
        assert_eq!(ended.status.code(), Some(INVALID_SETTING_STATUS));
        let log = String::from_utf8(ended.stdout).unwrap();
        let message = format!("fatal error: {reason}").replace('"', "\\\"");
        assert!(log.contains(&message), "{log}");
        assert!(log.contains("501"), "{log}");
    }
}

/// Guards against a test of programs that were built from other sources than the ones at hand: the
/// version names the sources, and both programs are built from the same ones.
#[test]
fn version_names_the_sources() {
    let versions = PROGRAMS.map(|program| {
        let output = Command::new(program).arg("--version").output().unwrap();
        let line = String::from_utf8(output.stdout).unwrap();
        line.split_whitespace()
            .last()
            .unwrap_or_default()
            .to_owned()
    });
    let (_, sources) = versions[0].split_once('+').unwrap();
    assert_eq!(sources.len(), 16);
    assert!(sources.chars().all(|digit| digit.is_ascii_hexdigit()));
    assert_eq!(versions[0], versions[1]);
}
