//! Checks that an invalid setting ends the process at startup with an error that names it.

#[path = "../../basilstep-node/tests/support/invalid_setting_case.rs"]
mod invalid_setting_case;

use invalid_setting_case::InvalidSettingCase;
use rstest::rstest;
use std::process::Command;

const VALID_SETTINGS: [(&str, &str); 4] = [
    ("ADDRESS", "127.0.0.1:7000"),
    ("DOMAIN", "north"),
    ("STORE", "http://127.0.0.1:1"),
    (
        "CLUSTER_KEY",
        "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
    ),
];

#[rstest]
#[case("ADDRESS", "127.0.0.1:0", "IPv4:PORT of this VM, port not 0")]
#[case("ADDRESS", "0.0.0.0:7000", "IPv4:PORT of this VM, port not 0")]
#[case("DOMAIN", "a/b", "a failure domain's name")]
#[case("STORE", "https://store:8500", "http://HOST:PORT")]
#[case("SEEDS", "balancer:7000", "IPv4:PORT, separated by commas")]
#[case("METRICS_ADDRESS", "8125", "IP:PORT of a statsd server")]
#[case("LOG_LEVEL", "loud", "off, error, warn, info, debug or trace")]
#[case("LISTEN_IP", "::1", "an IPv4 address of this VM")]
#[case("READY_ADDRESS", "127.0.0.1", "IPv4:PORT of this VM")]
#[case("PACKET_SOCKETS", "0", "1 to 64")]
#[case("PACKET_SOCKETS", "65", "1 to 64")]
#[case("THREADS", "257", "1 to 256")]
#[case("STOP_WAIT_MS", "600001", "0 to 600000")]
fn an_invalid_value_is_reported_with_the_allowed_values(
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
    let mut command = Command::new(env!("CARGO_BIN_EXE_basilstep-balancer"));
    command.env_clear();
    for (name, value) in VALID_SETTINGS {
        command.env(format!("BASILSTEP_{name}"), value);
    }
    case.apply(&mut command);
    let output = command.output().unwrap();
    let expected = format!("501 InvalidSetting: {}", case.expected_error());
    assert_eq!(String::from_utf8(output.stderr).unwrap(), expected);
    assert_eq!(output.status.code(), Some(5));
}
