use crate::error::CtlError;
use basilstep_core::{
    codes::ResultCode,
    crypto::encode_hex,
    settings::{SettingsEntry, WriteStamp},
};
use basilstep_node::store::{
    Backoff, SETTINGS_PREFIX, Store, StoreError, StoredRecord, WriteOutcome,
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use tokio::time::sleep;

const MAX_READ_BACK_ATTEMPTS: u32 = 5;
const RETRY_DELAY_MIN_MS: u64 = 100;
const RETRY_DELAY_MAX_MS: u64 = 2_000;

/// The paths outside of its own subtree that every team may write: claims and the record of the
/// last removal.
const SHARED_PATHS: [&str; 2] = ["claims/", LAST_REMOVAL_PATH];

/// The record of the last removal; it keeps the store's index above that of the removal.
pub const LAST_REMOVAL_PATH: &str = "removals/last";

/// Reads and writes the records of settings on behalf of one operator.
#[derive(Clone, Debug)]
pub struct SettingsEditor<S> {
    store: S,
    team: Option<String>,
    author: String,
}

/// A record and the version at which it was read.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// The version that a compare-and-swap write expects.
    pub version: u64,
    /// The record.
    pub record: T,
}

/// How it is known that a write took effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteConfirmation {
    /// The store acknowledged the write.
    Acknowledged,
    /// The response was lost, and reading the record back showed the write.
    ReadBack,
}

impl<S: Store> SettingsEditor<S> {
    /// Creates an editor for the paths of a team, or for all paths.
    pub fn new(store: S, team: Option<&str>, author: &str) -> Self {
        Self {
            store,
            team: team.map(str::to_owned),
            author: author.to_owned(),
        }
    }

    /// Returns the store.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// Creates a stamp that identifies one write.
    pub fn stamp(&self) -> WriteStamp {
        WriteStamp {
            author: self.author.clone(),
            write_id: encode_hex(&rand::random::<[u8; 8]>()),
        }
    }

    /// Checks whether this operator may change a path.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::ForeignSubtree`] when the path lies outside the team's subtree.
    pub fn check_allowed(&self, path: &str) -> Result<(), CtlError> {
        let Some(team) = &self.team else {
            return Ok(());
        };
        let team_prefix = format!("teams/{team}/");
        let is_shared = SHARED_PATHS.iter().any(|shared| path.starts_with(shared));
        if is_shared || path.starts_with(&team_prefix) {
            return Ok(());
        }
        Err(CtlError::new(
            ResultCode::ForeignSubtree,
            format!(
                "{path} is outside of {team_prefix}, which is all that team {team} may change; nothing \
                 was written"
            ),
        ))
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Returns the result code of the store's failure, or [`ResultCode::MalformedRecord`].
    pub async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Option<Versioned<T>>, CtlError> {
        let Some(record) = self.read_record(path).await? else {
            return Ok(None);
        };
        let parsed = serde_json::from_str(&record.value).map_err(|error| {
            let message = format!("{path} in the store: {error}");
            CtlError::new(ResultCode::MalformedRecord, message)
        })?;
        Ok(Some(Versioned {
            version: record.version,
            record: parsed,
        }))
    }

    /// Reads a record that must exist.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::NotFound`] when it does not exist, and the errors of
    /// [`SettingsEditor::read`].
    pub async fn read_existing<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Versioned<T>, CtlError> {
        let found = self.read(path).await?;
        found.ok_or_else(|| CtlError::new(ResultCode::NotFound, format!("{path} does not exist")))
    }

    /// Reads a consistent snapshot of the records whose path starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns the result code of the store's failure.
    pub async fn read_tree(&self, prefix: &str) -> Result<Vec<SettingsEntry>, CtlError> {
        let key = format!("{SETTINGS_PREFIX}{prefix}");
        let mut entries = self.store.read_tree(&key).await?.entries;
        for entry in &mut entries {
            entry.path.insert_str(0, prefix);
        }
        Ok(entries)
    }

    /// Writes a record that carries `stamp` if its version is still `expected`.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::WriteConflict`] when someone else changed the record first,
    /// [`ResultCode::WriteUnknown`] when the outcome is unknown, and the code of the store's failure
    /// when nothing was written.
    pub async fn write<T: Serialize>(
        &self,
        path: &str,
        record: &T,
        stamp: &WriteStamp,
        expected: u64,
    ) -> Result<WriteConfirmation, CtlError> {
        self.check_allowed(path)?;
        let value = serde_json::to_string(record).map_err(|error| {
            let message = format!("{path}: {error}");
            CtlError::new(ResultCode::MalformedRecord, message)
        })?;
        let key = store_key(path);
        match self.store.write(&key, &value, expected).await? {
            WriteOutcome::Written => Ok(WriteConfirmation::Acknowledged),
            outcome => {
                let pending = PendingWrite {
                    path,
                    value: Some(&value),
                    expected,
                    write_id: &stamp.write_id,
                };
                self.resolve_outcome(&pending, outcome).await
            }
        }
    }

    /// Removes a record if its version is still `expected`.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`SettingsEditor::write`].
    pub async fn remove(&self, path: &str, expected: u64) -> Result<WriteConfirmation, CtlError> {
        self.check_allowed(path)?;
        match self.store.delete(&store_key(path), expected).await? {
            WriteOutcome::Written => Ok(WriteConfirmation::Acknowledged),
            outcome => {
                let pending = PendingWrite {
                    path,
                    value: None,
                    expected,
                    write_id: "",
                };
                self.resolve_outcome(&pending, outcome).await
            }
        }
    }

    /// Determines the outcome of a write by reading the record back.
    ///
    /// While the version is still the expected one, the write is retried. It is the same
    /// compare-and-swap write, so at most one of the attempts can take effect.
    async fn resolve_outcome(
        &self,
        pending: &PendingWrite<'_>,
        first: WriteOutcome,
    ) -> Result<WriteConfirmation, CtlError> {
        let mut response_lost = first == WriteOutcome::Unknown;
        let mut backoff = Backoff::new(RETRY_DELAY_MIN_MS, RETRY_DELAY_MAX_MS);
        for _ in 0..MAX_READ_BACK_ATTEMPTS {
            match self.read_record(pending.path).await {
                Ok(found) if pending.has_taken_effect(found.as_ref()) => {
                    return Ok(WriteConfirmation::ReadBack);
                }
                Ok(found) if pending.is_unchanged(found.as_ref()) => {
                    match self.retry(pending).await {
                        Ok(WriteOutcome::Written) => return Ok(WriteConfirmation::ReadBack),
                        Ok(WriteOutcome::Unknown) => response_lost = true,
                        Ok(WriteOutcome::Conflict) | Err(_) => {}
                    }
                }
                Ok(_) if !response_lost => return Err(pending.conflict_error()),
                Ok(_) => return Err(pending.overwritten_error()),
                Err(_) => {}
            }
            sleep(backoff.next_delay(&mut rand::rng())).await;
        }
        Err(pending.unknown_outcome_error())
    }

    async fn retry(&self, pending: &PendingWrite<'_>) -> Result<WriteOutcome, StoreError> {
        let key = store_key(pending.path);
        match pending.value {
            Some(value) => self.store.write(&key, value, pending.expected).await,
            None => self.store.delete(&key, pending.expected).await,
        }
    }

    async fn read_record(&self, path: &str) -> Result<Option<StoredRecord>, CtlError> {
        Ok(self.store.read(&store_key(path)).await?)
    }
}

/// A write whose outcome is not known yet.
struct PendingWrite<'a> {
    path: &'a str,
    value: Option<&'a str>,
    expected: u64,
    write_id: &'a str,
}

impl PendingWrite<'_> {
    fn has_taken_effect(&self, found: Option<&StoredRecord>) -> bool {
        match (found, self.value) {
            (None, None) => true,
            (Some(found), Some(_)) => write_id_of(&found.value) == Some(self.write_id.to_owned()),
            _ => false,
        }
    }

    fn is_unchanged(&self, found: Option<&StoredRecord>) -> bool {
        found.map_or(0, |found| found.version) == self.expected
    }

    fn conflict_error(&self) -> CtlError {
        let message = format!(
            "{} was changed by someone else first; nothing was written; review it and try again",
            self.path
        );
        CtlError::new(ResultCode::WriteConflict, message)
    }

    fn overwritten_error(&self) -> CtlError {
        let message = format!(
            "the store's response was lost, and {} now holds another operator's change: yours was \
             either replaced by it or never written",
            self.path
        );
        CtlError::new(ResultCode::WriteUnknown, message)
    }

    fn unknown_outcome_error(&self) -> CtlError {
        let message = format!(
            "the store's response was lost and reading back failed: {} may or may not be changed; \
             review it before you try again",
            self.path
        );
        CtlError::new(ResultCode::WriteUnknown, message)
    }
}

fn write_id_of(value: &str) -> Option<String> {
    let value: Value = serde_json::from_str(value).ok()?;
    Some(value["stamp"]["write_id"].as_str()?.to_owned())
}

fn store_key(path: &str) -> String {
    format!("{SETTINGS_PREFIX}{path}")
}
