use basilstep_core::{
    codes::ResultCode,
    membership::BalancerRecord,
    settings::{ApplyOutcome, SettingsEntry, SettingsState, SubtreeRead},
};
use std::fmt;

/// A consistent snapshot of the records below a prefix: all of them, or those of the subtrees that
/// changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TreeSnapshot {
    /// The store's index for the prefix; it increases with each write or deletion below it.
    pub index: u64,
    /// The records, their paths without the prefix.
    pub entries: Vec<SettingsEntry>,
    /// The subtrees that were read; `None` when the snapshot holds the full tree.
    pub subtrees: Option<Vec<SubtreeRead>>,
}

impl TreeSnapshot {
    /// Parses the records of balancers from their leases and skips malformed ones.
    pub fn balancers(&self) -> Vec<BalancerRecord> {
        self.entries
            .iter()
            .filter_map(|entry| {
                let value = entry.value.as_deref()?;
                serde_json::from_str(value)
                    .map_err(|error| {
                        let path = entry.path.as_str();
                        log::warn!(path, reason:% = error; "skipped a malformed record of a balancer");
                    })
                    .ok()
            })
            .collect()
    }

    /// Applies the snapshot to the settings of a process.
    pub fn apply_to(self, state: &mut SettingsState) -> Vec<(String, ApplyOutcome)> {
        match self.subtrees {
            None => state.apply_full_read(self.index, self.entries),
            Some(subtrees) => state.apply_subtree_reads(self.index, &subtrees, self.entries),
        }
    }
}

/// The direct children of a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The store's index for the prefix.
    pub index: u64,
    /// Full keys; a key that ends with a slash represents the subtree below it.
    pub children: Vec<String>,
}

/// One record with the session that holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRecord {
    /// The version, for a compare-and-swap write.
    pub version: u64,
    /// The value.
    pub value: String,
    /// The session that holds the record, if any.
    pub session: Option<SessionId>,
}

/// The identifier of a session in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SessionId(pub String);

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written,
    /// The write had no effect: the record has another version or another holder.
    Conflict,
    /// The response was lost; the write may have taken effect.
    Unknown,
}

/// The outcome of a session renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalOutcome {
    /// The session was extended.
    Renewed,
    /// The session has ended, and the store has deleted its records.
    Expired,
}

/// A failed call to the store; a write that fails with it had no effect.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The address of the store is not a usable URL.
    #[error("the store's address {url:?} is not an http:// URL")]
    InvalidUrl {
        /// The address as given.
        url: String,
    },
    /// No connection, or no response in time.
    #[error("the store did not answer: {reason}")]
    Unavailable {
        /// The error of the HTTP client.
        reason: String,
    },
    /// The token does not allow the call.
    #[error("the store's token does not allow the request: {reason}")]
    Forbidden {
        /// The response of the store.
        reason: String,
    },
    /// The response does not conform to the API.
    #[error("the store's response is invalid: {reason}")]
    InvalidResponse {
        /// What is wrong with the response.
        reason: String,
    },
}

impl StoreError {
    /// Returns the result code of the failure.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::InvalidUrl { .. } => ResultCode::InvalidSetting,
            Self::Unavailable { .. } | Self::InvalidResponse { .. } => ResultCode::StoreUnavailable,
            Self::Forbidden { .. } => ResultCode::ForeignSubtree,
        }
    }
}
