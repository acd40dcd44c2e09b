//! Checks that the settings page lists the flags shown by `--help`.

#[path = "../../basilstep-node/tests/support/flag_page.rs"]
mod flag_page;

#[test]
fn settings_page_lists_each_flag_with_its_environment_variable() {
    let binary = env!("CARGO_BIN_EXE_basilstep-balancer");
    flag_page::assert_lists_each_flag(binary, "### `basilstep-balancer`", &[]);
}
