//! Compares the default settings in `docs/SETTINGS.md` with the code.

#[path = "../../basilstep-core/tests/support/settings_table.rs"]
mod settings_table;

use basilstep_node::store::{LeaseSettings, StoreSettings};
use rstest::rstest;
use serde::Serialize;

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");

#[rstest]
#[case("StoreSettings", StoreSettings::default())]
#[case("LeaseSettings", LeaseSettings::default())]
fn documented_defaults_match_the_code(#[case] name: &str, #[case] defaults: impl Serialize) {
    settings_table::assert_lists_defaults(PAGE, name, defaults);
}
