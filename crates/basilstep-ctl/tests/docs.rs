//! Compares the flags in `--help` with `docs/SETTINGS.md`.

#[path = "../../basilstep-node/tests/support/flag_page.rs"]
mod flag_page;

#[test]
fn documentation_lists_each_flag_with_its_variable() {
    let binary = env!("CARGO_BIN_EXE_basilstep-ctl");
    flag_page::assert_lists_each_flag(binary, "### `basilstep-ctl`", &["json"]);
}
