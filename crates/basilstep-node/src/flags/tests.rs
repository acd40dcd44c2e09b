use super::{CommonFlags, CommonSettings, InvalidSetting, SettingsResolver};
use rstest::rstest;

const KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

fn good() -> CommonFlags<'static> {
    CommonFlags {
        address: Some("127.0.0.1:7000"),
        domain: Some("north"),
        store: Some("http://127.0.0.1:8500"),
        cluster_key: Some(KEY),
        ..CommonFlags::default()
    }
}

fn resolve(flags: CommonFlags<'_>) -> Result<CommonSettings, InvalidSetting> {
    CommonSettings::resolve(flags, &SettingsResolver::new(|_| None))
}

#[test]
fn good_flags_are_taken() {
    let settings = resolve(good()).unwrap();
    assert_eq!(settings.domain, "north");
    assert_eq!(settings.seeds, []);
}

#[rstest]
#[case::no_port(CommonFlags { address: Some("127.0.0.1"), ..good() }, "address")]
#[case::port_zero(CommonFlags { address: Some("127.0.0.1:0"), ..good() }, "address")]
#[case::missing(CommonFlags { address: None, ..good() }, "address")]
#[case::domain(CommonFlags { domain: Some("a/b"), ..good() }, "domain")]
#[case::store(CommonFlags { store: Some("127.0.0.1"), ..good() }, "store")]
#[case::short_key(CommonFlags { cluster_key: Some("00ff"), ..good() }, "cluster-key")]
#[case::seeds(CommonFlags { seeds: Some("1.2.3.4"), ..good() }, "seeds")]
#[case::metrics(CommonFlags { metrics_address: Some("x"), ..good() }, "metrics-address")]
#[case::log_level(CommonFlags { log_level: Some("loud"), ..good() }, "log-level")]
fn bad_value_is_named(#[case] flags: CommonFlags<'_>, #[case] name: &str) {
    let error = resolve(flags).unwrap_err();
    assert_eq!(error.name, name);
    assert!(error.to_string().starts_with("501 InvalidSetting: --"));
}

#[test]
fn flag_goes_before_environment_and_environment_before_default() {
    let environment = |name: &str| match name {
        "BASILSTEP_DOMAIN" => Some("south".to_owned()),
        "BASILSTEP_LOG_LEVEL" => Some("warn".to_owned()),
        _ => None,
    };
    let settings = CommonSettings::resolve(good(), &SettingsResolver::new(environment)).unwrap();
    assert_eq!(settings.domain, "north");
    assert_eq!(settings.log_level, log::LevelFilter::Warn);
}

#[test]
fn malformed_key_is_not_shown() {
    let flags = CommonFlags {
        cluster_key: Some("5ec2e7"),
        ..good()
    };
    let error = resolve(flags).unwrap_err().to_string();
    assert!(error.contains("a text of 6 characters"), "{error}");
    assert!(!error.contains("5ec2e7"), "{error}");
}
