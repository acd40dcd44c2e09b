//! Writes to the store: allowed paths, compare-and-swap, lost answers told truthfully.

mod claims;
mod diff;
mod editor;
mod lock;

#[cfg(test)]
mod tests;

pub use claims::{Claim, Claims};
pub use diff::difference;
pub use editor::{Editor, Found, LAST_REMOVAL_PATH, Write};
pub use lock::Lock;
