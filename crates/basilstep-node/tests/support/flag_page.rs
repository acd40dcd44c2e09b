//! Compares the flags of a process with `docs/SETTINGS.md`; shared by the tests of the processes.

use std::{collections::BTreeSet, process::Command};

const PAGE: &str = include_str!("../../../../docs/SETTINGS.md");

/// Asserts that a section lists each flag of a process with its environment variable, or `none` for
/// flags without one.
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
    assert_eq!(documented_flags(section), expected);
}

/// Returns the long flags in the output of `--help`, without `--help` and `--version`.
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

/// Returns the rows of the table in a section, each as "flag | variable".
fn documented_flags(section: &str) -> BTreeSet<String> {
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
