use crate::error::CtlError;
use basilstep_core::{
    codes::ResultCode,
    crypto::encode_hex,
    settings::{SettingsEntry, WriteStamp},
};
use basilstep_node::store::{Backoff, Record, SETTINGS_PREFIX, Store, StoreError, WriteOutcome};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use tokio::time::sleep;

const MAX_ATTEMPTS: u32 = 5;
const RETRY_MIN_MS: u64 = 100;
const RETRY_MAX_MS: u64 = 2_000;

/// Where all teams write besides their own subtree: claims, and the note of the last removal.
const SHARED_PATHS: [&str; 2] = ["claims/", LAST_REMOVAL_PATH];

/// The note of the last removal; it keeps the store's index above that of the removal.
pub const LAST_REMOVAL_PATH: &str = "removals/last";

/// Reads and writes records for one operator.
#[derive(Clone, Debug)]
pub struct Editor<S> {
    store: S,
    team: Option<String>,
    author: String,
}

/// A record as it was read.
#[derive(Clone, Debug)]
pub struct Found<T> {
    /// The version to name in a write.
    pub version: u64,
    /// The record.
    pub record: T,
}

/// A write that took effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Write {
    /// The store said so.
    Confirmed,
    /// The answer was lost; reading back showed it.
    ReadBack,
}

impl<S: Store> Editor<S> {
    /// Creates an editor for a team, or for all paths.
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

    /// Returns a stamp for one write.
    pub fn stamp(&self) -> WriteStamp {
        WriteStamp {
            author: self.author.clone(),
            write_id: encode_hex(&rand::random::<[u8; 8]>()),
        }
    }

    /// Tells whether this operator may change a path.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::ForeignSubtree`] when the path lies outside the team's subtree.
    pub fn check_allowed(&self, path: &str) -> Result<(), CtlError> {
        let Some(team) = &self.team else {
            return Ok(());
        };
        let own = format!("teams/{team}/");
        let is_shared = SHARED_PATHS.iter().any(|shared| path.starts_with(shared));
        if is_shared || path.starts_with(&own) {
            return Ok(());
        }
        Err(CtlError::new(
            ResultCode::ForeignSubtree,
            format!(
                "{path} is outside of {own}, which is all that team {team} may change; nothing was written"
            ),
        ))
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Returns the code of the store's failure, or [`ResultCode::MalformedRecord`].
    pub async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Option<Found<T>>, CtlError> {
        let Some(record) = self.read_raw(path).await? else {
            return Ok(None);
        };
        let parsed = serde_json::from_str(&record.value).map_err(|error| {
            let message = format!("{path} in the store: {error}");
            CtlError::new(ResultCode::MalformedRecord, message)
        })?;
        Ok(Some(Found {
            version: record.version,
            record: parsed,
        }))
    }

    /// Reads a record that must be there.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::NotFound`] when it is not, and what [`Editor::read`] returns.
    pub async fn read_existing<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Found<T>, CtlError> {
        let found = self.read(path).await?;
        found.ok_or_else(|| CtlError::new(ResultCode::NotFound, format!("{path} does not exist")))
    }

    /// Reads all records whose path starts with `prefix`, at one moment.
    ///
    /// # Errors
    ///
    /// Returns the code of the store's failure.
    pub async fn read_tree(&self, prefix: &str) -> Result<Vec<SettingsEntry>, CtlError> {
        let key = format!("{SETTINGS_PREFIX}{prefix}");
        let mut entries = self.store.read_tree(&key).await?.entries;
        for entry in &mut entries {
            entry.path.insert_str(0, prefix);
        }
        Ok(entries)
    }

    /// Writes a record that carries `stamp` if the version is still `expected`.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::WriteConflict`] when someone else was first,
    /// [`ResultCode::WriteUnknown`] when it cannot be told, and the code of the store's failure
    /// when nothing was written.
    pub async fn write<T: Serialize>(
        &self,
        path: &str,
        record: &T,
        stamp: &WriteStamp,
        expected: u64,
    ) -> Result<Write, CtlError> {
        self.check_allowed(path)?;
        let value = serde_json::to_string(record).map_err(|error| {
            let message = format!("{path}: {error}");
            CtlError::new(ResultCode::MalformedRecord, message)
        })?;
        let key = key_of(path);
        match self.store.write(&key, &value, expected).await? {
            WriteOutcome::Written => Ok(Write::Confirmed),
            outcome => {
                let pending = Pending {
                    path,
                    value: Some(&value),
                    expected,
                    write_id: &stamp.write_id,
                };
                self.resolve(&pending, outcome).await
            }
        }
    }

    /// Removes a record if its version is still `expected`.
    ///
    /// # Errors
    ///
    /// The same as [`Editor::write`].
    pub async fn remove(&self, path: &str, expected: u64) -> Result<Write, CtlError> {
        self.check_allowed(path)?;
        match self.store.delete(&key_of(path), expected).await? {
            WriteOutcome::Written => Ok(Write::Confirmed),
            outcome => {
                let pending = Pending {
                    path,
                    value: None,
                    expected,
                    write_id: "",
                };
                self.resolve(&pending, outcome).await
            }
        }
    }

    /// Finds out what became of a write by reading back.
    ///
    /// While the version is still the expected one, the write is sent again: it is the same
    /// compare-and-swap, so that at most one of the two can take effect.
    async fn resolve(&self, pending: &Pending<'_>, first: WriteOutcome) -> Result<Write, CtlError> {
        let mut answer_lost = first == WriteOutcome::Unknown;
        let mut backoff = Backoff::new(RETRY_MIN_MS, RETRY_MAX_MS);
        for _ in 0..MAX_ATTEMPTS {
            match self.read_raw(pending.path).await {
                Ok(found) if pending.is_done(found.as_ref()) => return Ok(Write::ReadBack),
                Ok(found) if pending.is_untouched(found.as_ref()) => {
                    match self.send_again(pending).await {
                        Ok(WriteOutcome::Written) => return Ok(Write::ReadBack),
                        Ok(WriteOutcome::Unknown) => answer_lost = true,
                        Ok(WriteOutcome::Conflict) | Err(_) => {}
                    }
                }
                Ok(_) if !answer_lost => return Err(pending.conflict()),
                Ok(_) => return Err(pending.overwritten()),
                Err(_) => {}
            }
            sleep(backoff.next_delay(&mut rand::rng())).await;
        }
        Err(pending.unknown())
    }

    async fn send_again(&self, pending: &Pending<'_>) -> Result<WriteOutcome, StoreError> {
        let key = key_of(pending.path);
        match pending.value {
            Some(value) => self.store.write(&key, value, pending.expected).await,
            None => self.store.delete(&key, pending.expected).await,
        }
    }

    async fn read_raw(&self, path: &str) -> Result<Option<Record>, CtlError> {
        Ok(self.store.read(&key_of(path)).await?)
    }
}

/// A write that has not been confirmed.
struct Pending<'a> {
    path: &'a str,
    value: Option<&'a str>,
    expected: u64,
    write_id: &'a str,
}

impl Pending<'_> {
    fn is_done(&self, found: Option<&Record>) -> bool {
        match (found, self.value) {
            (None, None) => true,
            (Some(found), Some(_)) => write_id_of(&found.value) == Some(self.write_id.to_owned()),
            _ => false,
        }
    }

    fn is_untouched(&self, found: Option<&Record>) -> bool {
        found.map_or(0, |found| found.version) == self.expected
    }

    fn conflict(&self) -> CtlError {
        let message = format!(
            "someone else changed {} first; nothing of yours was written, look at it and try again",
            self.path
        );
        CtlError::new(ResultCode::WriteConflict, message)
    }

    fn overwritten(&self) -> CtlError {
        let message = format!(
            "the store's answer was lost, and {} now holds another operator's change: yours was \
             either replaced by it or never written",
            self.path
        );
        CtlError::new(ResultCode::WriteUnknown, message)
    }

    fn unknown(&self) -> CtlError {
        let message = format!(
            "the store's answer was lost and it cannot be read back: {} may or may not be changed; \
             look at it before you try again",
            self.path
        );
        CtlError::new(ResultCode::WriteUnknown, message)
    }
}

fn write_id_of(value: &str) -> Option<String> {
    let value: Value = serde_json::from_str(value).ok()?;
    Some(value["stamp"]["write_id"].as_str()?.to_owned())
}

fn key_of(path: &str) -> String {
    format!("{SETTINGS_PREFIX}{path}")
}
