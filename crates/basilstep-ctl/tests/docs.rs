//! The flags in `--help` and the page that documents them.

use std::{collections::BTreeSet, process::Command};

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");
const SECTION: &str = "### `basilstep-ctl`";

/// Returns the long flags that `--help` lists as options, without the two that set nothing.
fn flags() -> BTreeSet<String> {
    let output = Command::new(env!("CARGO_BIN_EXE_basilstep-ctl"))
        .arg("--help")
        .output()
        .unwrap();
    let help = String::from_utf8(output.stdout).unwrap();
    help.lines()
        .filter_map(|line| line.trim().strip_prefix("--"))
        .filter_map(|line| line.split([' ', ',']).next())
        .filter(|name| !["help", "version"].contains(name))
        .map(str::to_owned)
        .collect()
}

/// Returns the flags and variables of this process's table, one "flag | variable" each.
fn documented() -> BTreeSet<String> {
    let after = PAGE.split(SECTION).nth(1).unwrap();
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

#[test]
fn the_page_lists_each_flag_with_its_variable() {
    let expected: BTreeSet<String> = flags()
        .iter()
        .map(|name| {
            let variable = name.replace('-', "_").to_uppercase();
            match name.as_str() {
                "json" => format!("`--{name}` | none"),
                _ => format!("`--{name}` | `BASILSTEP_{variable}`"),
            }
        })
        .collect();
    assert!(!expected.is_empty());
    assert_eq!(documented(), expected);
}
