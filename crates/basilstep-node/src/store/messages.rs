use basilstep_core::{
    codes::ResultCode,
    membership::BalancerRecord,
    settings::{Applied, Entry, SettingsState, Subtree},
};
use std::fmt;

/// The records below a prefix: all of them at one moment, or those of the subtrees that changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TreeSnapshot {
    /// The store's index for the prefix; rises with each write or removal below it.
    pub index: u64,
    /// The records, their paths without the prefix.
    pub entries: Vec<Entry>,
    /// The subtrees that were read; `None` when the reading is whole.
    pub subtrees: Option<Vec<Subtree>>,
}

impl TreeSnapshot {
    /// Reads the records of balancers from their leases; one that is malformed is left out.
    pub fn balancers(&self) -> Vec<BalancerRecord> {
        self.entries
            .iter()
            .filter_map(|entry| serde_json::from_str(entry.value.as_deref()?).ok())
            .collect()
    }

    /// Applies the reading to the settings of a process.
    pub fn apply_to(self, state: &mut SettingsState) -> Vec<(String, Applied)> {
        match self.subtrees {
            None => state.apply_reading(self.index, self.entries),
            Some(subtrees) => state.apply_subtrees(self.index, &subtrees, self.entries),
        }
    }
}

/// What lies directly below a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The store's index for the prefix.
    pub index: u64,
    /// Whole keys; one that ends with a slash stands for all below it.
    pub children: Vec<String>,
}

/// One record with the session that holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The version, for a compare-and-swap write.
    pub version: u64,
    /// The value.
    pub value: String,
    /// The session that holds the record, if any.
    pub session: Option<SessionId>,
}

/// The identifier of a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SessionId(pub String);

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What became of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It took effect.
    Written,
    /// It had no effect: the record has another version or another holder.
    Conflict,
    /// The answer was lost; it may have taken effect.
    Unknown,
}

/// What became of a renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalOutcome {
    /// The session goes on.
    Renewed,
    /// The session is over, and what it held has been removed.
    Expired,
}

/// A failed call; a write that failed so had no effect.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The address of the store is not a usable URL.
    #[error("the store's address {url:?} is not an http:// URL")]
    InvalidUrl {
        /// The address as given.
        url: String,
    },
    /// No connection, or no answer in time.
    #[error("the store did not answer: {reason}")]
    Unavailable {
        /// What the HTTP client reported.
        reason: String,
    },
    /// The token does not allow the call.
    #[error("the store's token does not allow it: {reason}")]
    Forbidden {
        /// What the store answered.
        reason: String,
    },
    /// The answer is not what the API promises.
    #[error("the store's answer is not usable: {reason}")]
    InvalidResponse {
        /// What is wrong with it.
        reason: String,
    },
}

impl StoreError {
    /// Returns the numbered code.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::InvalidUrl { .. } => ResultCode::InvalidSetting,
            Self::Unavailable { .. } | Self::InvalidResponse { .. } => ResultCode::StoreUnavailable,
            Self::Forbidden { .. } => ResultCode::ForeignSubtree,
        }
    }
}
