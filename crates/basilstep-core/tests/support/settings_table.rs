//! Reads the tables of settings on the operators' pages and compares them with the defaults.

use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// Returns the cells of all table rows whose first cell passes the filter.
pub fn rows(page: &str, filter: fn(&str) -> bool) -> Vec<Vec<&str>> {
    page.lines()
        .filter_map(|line| line.strip_prefix("| ")?.strip_suffix(" |"))
        .map(|line| line.split(" | ").collect::<Vec<&str>>())
        .filter(|cells| filter(cells[0]))
        .collect()
}

/// Checks that the section `name` lists each setting with its default.
pub fn assert_lists_defaults(page: &str, name: &str, defaults: impl Serialize) {
    let after = page.split(&format!("### `{name}`\n")).nth(1).unwrap();
    let section = after.split("\n##").next().unwrap();
    let written: BTreeMap<String, String> = rows(section, |cell| cell.starts_with('`'))
        .iter()
        .map(|cells| (cells[0].replace('`', ""), cells[2].to_owned()))
        .collect();
    let defaults = serde_json::to_value(defaults).unwrap();
    let mut expected = BTreeMap::new();
    flatten("", &defaults, &mut expected);
    assert_eq!(written, expected);
}

/// Collects settings with their values; those of a group have its name before their own.
fn flatten(group: &str, settings: &Value, collected: &mut BTreeMap<String, String>) {
    for (name, value) in settings.as_object().unwrap() {
        if value.is_object() {
            flatten(&format!("{group}{name}."), value, collected);
        } else {
            collected.insert(format!("{group}{name}"), value.to_string());
        }
    }
}
