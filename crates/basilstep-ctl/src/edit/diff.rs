use serde_json::Value;
use std::collections::BTreeMap;

/// Returns a line for each value that differs; the stamps of the writes are ignored.
pub fn difference(before: &Value, after: &Value) -> Vec<String> {
    let (before, after) = (flatten(before), flatten(after));
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort_unstable();
    names.dedup();
    names
        .into_iter()
        .filter_map(|name| format_change(name, before.get(name).copied(), after.get(name).copied()))
        .collect()
}

fn format_change(name: &str, before: Option<&Value>, after: Option<&Value>) -> Option<String> {
    match (before, after) {
        (Some(before), Some(after)) if before == after => None,
        (Some(before), Some(after)) => Some(format!("~ {name}: {before} -> {after}")),
        (Some(before), None) => Some(format!("- {name}: {before}")),
        (None, Some(after)) => Some(format!("+ {name}: {after}")),
        (None, None) => None,
    }
}

fn flatten(value: &Value) -> BTreeMap<String, &Value> {
    let mut leaves = BTreeMap::new();
    collect_leaves("", value, &mut leaves);
    leaves
}

fn collect_leaves<'a>(name: &str, value: &'a Value, leaves: &mut BTreeMap<String, &'a Value>) {
    let Value::Object(fields) = value else {
        if !value.is_null() {
            leaves.insert(name.to_owned(), value);
        }
        return;
    };
    for (field, value) in fields.iter().filter(|(field, _)| *field != "stamp") {
        let separator = if name.is_empty() { "" } else { "." };
        collect_leaves(&format!("{name}{separator}{field}"), value, leaves);
    }
}
