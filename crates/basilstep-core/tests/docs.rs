//! Checks that the operators' pages list the result codes and settings of the code.

#[path = "support/settings_table.rs"]
mod settings_table;

use basilstep_core::{
    codes::ResultCode,
    domains::{DomainSettings, OverflowSettings},
    flows::FlowSettings,
    membership::MembershipSettings,
    placement::PlacementSettings,
    return_paths::ReturnSettings,
    settings::{SERVICE_RANGES, ServiceRecord},
    steering::SteeringSettings,
};
use rstest::rstest;
use serde::Serialize;
use settings_table::{assert_lists_defaults, rows};
use std::{fs, path::Path};

const NEW_RECORD: &str = r#"{"id":1,"address":"127.0.0.1:443"}"#;

fn page(name: &str) -> String {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    fs::read_to_string(docs.join(name)).unwrap()
}

#[test]
fn table_of_result_codes_matches_the_code() {
    let page = page("RESULT-CODES.md");
    let written = rows(&page, |cell| cell.parse::<u16>().is_ok());
    let expected: Vec<Vec<String>> = ResultCode::ALL
        .iter()
        .map(|code| {
            vec![
                code.number().to_string(),
                code.name().to_owned(),
                code.meaning().trim().to_owned(),
            ]
        })
        .collect();
    assert_eq!(written, expected);
}

#[test]
fn table_of_a_services_numbers_matches_the_code() {
    let page = page("SETTINGS.md");
    let written = rows(&page, |cell| {
        cell.starts_with("`admission.") || cell.starts_with("`requests.")
    });
    let written: Vec<&[&str]> = written.iter().map(|cells| &cells[..4]).collect();
    let record: ServiceRecord = serde_json::from_str(NEW_RECORD).unwrap();
    let expected: Vec<Vec<String>> = SERVICE_RANGES
        .iter()
        .map(|range| {
            vec![
                format!("`{}`", range.name),
                range.unit.to_owned(),
                (range.value)(&record).to_string(),
                format!("{} to {}", range.min, range.max),
            ]
        })
        .collect();
    assert_eq!(written, expected);
}

#[rstest]
#[case("DomainSettings", DomainSettings::default())]
#[case("OverflowSettings", OverflowSettings::default())]
#[case("SteeringSettings", SteeringSettings::default())]
#[case("PlacementSettings", PlacementSettings::default())]
#[case("ReturnSettings", ReturnSettings::default())]
#[case("FlowSettings", FlowSettings::default())]
#[case("MembershipSettings", MembershipSettings::default())]
fn table_of_built_in_settings_matches_the_code(
    #[case] name: &str,
    #[case] defaults: impl Serialize,
) {
    assert_lists_defaults(&page("SETTINGS.md"), name, defaults);
}
