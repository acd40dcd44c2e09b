use serde_json::Value;
use std::collections::BTreeMap;

/// Returns a line for each value that differs, without the stamps of the writes.
pub fn difference(before: &Value, after: &Value) -> Vec<String> {
    let (before, after) = (leaves_of(before), leaves_of(after));
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort_unstable();
    names.dedup();
    names
        .into_iter()
        .filter_map(|name| line(name, before.get(name).copied(), after.get(name).copied()))
        .collect()
}

fn line(name: &str, before: Option<&Value>, after: Option<&Value>) -> Option<String> {
    match (before, after) {
        (Some(before), Some(after)) if before == after => None,
        (Some(before), Some(after)) => Some(format!("~ {name}: {before} -> {after}")),
        (Some(before), None) => Some(format!("- {name}: {before}")),
        (None, Some(after)) => Some(format!("+ {name}: {after}")),
        (None, None) => None,
    }
}

fn leaves_of(value: &Value) -> BTreeMap<String, &Value> {
    let mut leaves = BTreeMap::new();
    collect("", value, &mut leaves);
    leaves
}

fn collect<'a>(name: &str, value: &'a Value, leaves: &mut BTreeMap<String, &'a Value>) {
    let Value::Object(fields) = value else {
        if !value.is_null() {
            leaves.insert(name.to_owned(), value);
        }
        return;
    };
    for (field, value) in fields.iter().filter(|(field, _)| *field != "stamp") {
        let separator = if name.is_empty() { "" } else { "." };
        collect(&format!("{name}{separator}{field}"), value, leaves);
    }
}
