//! The page of settings says what the code does.

use basilstep_node::store::{LeaseSettings, StoreSettings};
use rstest::rstest;
use serde::Serialize;
use std::collections::BTreeMap;

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");

#[rstest]
#[case("StoreSettings", StoreSettings::default())]
#[case("LeaseSettings", LeaseSettings::default())]
fn table_of_built_in_settings_is_the_code(#[case] name: &str, #[case] defaults: impl Serialize) {
    let after = PAGE.split(&format!("### `{name}`\n")).nth(1).unwrap();
    let section = after.split("\n##").next().unwrap();
    let written: BTreeMap<String, String> = section
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .map(|line| line.split(" | ").collect::<Vec<&str>>())
        .map(|cells| (cells[0].replace('`', ""), cells[2].to_owned()))
        .collect();
    let defaults = serde_json::to_value(defaults).unwrap();
    let expected: BTreeMap<String, String> = defaults
        .as_object()
        .unwrap()
        .iter()
        .map(|(setting, value)| (setting.clone(), value.to_string()))
        .collect();
    assert_eq!(written, expected);
}
