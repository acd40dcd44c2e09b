use serde::{Deserialize, Serialize};
use std::fmt;

/// A point in the history of the store.
///
/// Each restore of the store from a copy begins a new era. Its revisions may have been given to
/// other changes in the former era, so eras are compared first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StoreRevision {
    /// How often the store has been restored from a copy.
    pub era: u64,
    /// The revision within the era.
    pub number: u64,
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.number)
    }
}
