use super::{CommonFlags, CommonSettings, InvalidSetting, SettingsResolver};
use rstest::rstest;

const KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

fn valid_flags() -> CommonFlags<'static> {
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
fn valid_flags_are_accepted() {
    let settings = resolve(valid_flags()).unwrap();
    assert_eq!(settings.domain, "north");
    assert_eq!(settings.seeds, []);
}

#[rstest]
#[case::no_port(CommonFlags { address: Some("127.0.0.1"), ..valid_flags() }, "address")]
#[case::port_zero(CommonFlags { address: Some("127.0.0.1:0"), ..valid_flags() }, "address")]
#[case::missing(CommonFlags { address: None, ..valid_flags() }, "address")]
#[case::domain(CommonFlags { domain: Some("a/b"), ..valid_flags() }, "domain")]
#[case::store(CommonFlags { store: Some("127.0.0.1"), ..valid_flags() }, "store")]
#[case::short_key(CommonFlags { cluster_key: Some("00ff"), ..valid_flags() }, "cluster-key")]
#[case::seeds(CommonFlags { seeds: Some("1.2.3.4"), ..valid_flags() }, "seeds")]
#[case::metrics(CommonFlags { metrics_address: Some("x"), ..valid_flags() }, "metrics-address")]
#[case::log_level(CommonFlags { log_level: Some("loud"), ..valid_flags() }, "log-level")]
fn error_names_the_invalid_setting(#[case] flags: CommonFlags<'_>, #[case] name: &str) {
    let error = resolve(flags).unwrap_err();
    assert_eq!(error.name, name);
    assert!(error.to_string().starts_with("501 InvalidSetting: --"));
}

#[test]
fn flag_overrides_environment_and_environment_overrides_default() {
    let environment = |name: &str| match name {
        "BASILSTEP_DOMAIN" => Some("south".to_owned()),
        "BASILSTEP_LOG_LEVEL" => Some("warn".to_owned()),
        _ => None,
    };
    let settings =
        CommonSettings::resolve(valid_flags(), &SettingsResolver::new(environment)).unwrap();
    assert_eq!(settings.domain, "north");
    assert_eq!(settings.log_level, log::LevelFilter::Warn);
}

#[test]
fn malformed_key_is_not_printed() {
    let flags = CommonFlags {
        cluster_key: Some("5ec2e7"),
        ..valid_flags()
    };
    let error = resolve(flags).unwrap_err().to_string();
    assert!(error.contains("a value of 6 characters"), "{error}");
    assert!(!error.contains("5ec2e7"), "{error}");
}
