//! Writes to the store: checks of the allowed paths, compare-and-swap, and the outcome of writes
//! whose response was lost.

mod claims;
mod diff;
mod settings_editor;
mod store_lock;

#[cfg(test)]
mod tests;

pub use claims::{Claim, Claims};
pub use diff::difference;
pub use settings_editor::{LAST_REMOVAL_PATH, SettingsEditor, Versioned, WriteConfirmation};
pub use store_lock::StoreLock;
