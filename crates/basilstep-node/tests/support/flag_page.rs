//! The flags of a process and the page that documents them; shared by the processes' tests.

use std::{collections::BTreeSet, process::Command};

const PAGE: &str = include_str!("../../../../docs/SETTINGS.md");

/// Checks that the section of a process lists each of its flags with its variable, or `none` for
/// those that have no variable.
pub fn assert_lists_each_flag(binary: &str, section: &str, without_variable: &[&str]) {
    let expected: BTreeSet<String> = flags(binary)
        .iter()
        .map(|name| {
            if without_variable.contains(&name.as_str()) {
                return format!("`--{name}` | none");
            }
            let variable = name.replace('-', "_").to_uppercase();
            format!("`--{name}` | `BASILSTEP_{variable}`")
        })
        .collect();
    assert!(!expected.is_empty());
    assert_eq!(documented(section), expected);
}

/// Returns the long flags that `--help` lists as options, without the two that set nothing.
fn flags(binary: &str) -> BTreeSet<String> {
    let output = Command::new(binary).arg("--help").output().unwrap();
    let help = String::from_utf8(output.stdout).unwrap();
    help.lines()
        .filter_map(|line| line.trim().strip_prefix("--"))
        .filter_map(|line| line.split([' ', ',']).next())
        .filter(|name| !["help", "version"].contains(name))
        .map(str::to_owned)
        .collect()
}

/// Returns the flags and variables of a section's table, one "flag | variable" each.
fn documented(section: &str) -> BTreeSet<String> {
    let after = PAGE.split(section).nth(1).unwrap();
    let section = after.split("\n##").next().unwrap();
    section
        .lines()
        .filter(|line| line.starts_with("| `--"))
        .map(|line| {
            let mut cells = line.split('|').skip(1).map(str::trim);
            format!("{} | {}", cells.next().unwrap(), cells.next().unwrap())
        })
        .collect()
}
