//! Writes to the store: checks of the allowed paths, compare-and-swap, and the outcome of writes
//! whose response was lost.

mod claims;
mod diff;
mod editor;
mod lock;

#[cfg(test)]
mod tests;

pub use claims::{Claim, Claims};
pub use diff::difference;
pub use editor::{Editor, LAST_REMOVAL_PATH, Versioned, WriteConfirmation};
pub use lock::Lock;
