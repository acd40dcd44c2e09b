use super::settings_editor::{SettingsEditor, Versioned};
use crate::error::CtlError;
use basilstep_core::{
    address::ServiceId,
    codes::ResultCode,
    settings::{AddressClaim, SettingsEntry, SettingsPath, address_claim_path, id_claim_path},
};
use basilstep_node::store::Store;
use rand::RngExt;
use std::{collections::BTreeSet, net::SocketAddrV4};

const MAX_ID_ATTEMPTS: u32 = 10;

/// A claim that this command has written or read, with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    path: String,
    version: u64,
}

/// Claims addresses and service numbers for the service at one path.
#[derive(Clone, Copy, Debug)]
pub struct Claims<'a, S> {
    editor: &'a SettingsEditor<S>,
    owner: &'a str,
}

impl<'a, S: Store> Claims<'a, S> {
    pub fn new(editor: &'a SettingsEditor<S>, owner: &'a str) -> Self {
        Self { editor, owner }
    }

    /// Checks whether an address could be claimed, without writing.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::AddressTaken`] when another service owns it.
    pub async fn check_address(&self, address: SocketAddrV4) -> Result<(), CtlError> {
        self.read_own(&address_claim_path(address))
            .await
            .map(|_| ())
    }

    /// Claims an address; reuses a claim that an earlier attempt for this path left behind.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::AddressTaken`] when another service owns it.
    pub async fn claim_address(&self, address: SocketAddrV4) -> Result<Claim, CtlError> {
        self.claim(&address_claim_path(address)).await
    }

    /// Claims one service number.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::AddressTaken`] when another service owns it.
    pub async fn claim_id(&self, id: ServiceId) -> Result<Claim, CtlError> {
        self.claim(&id_claim_path(id)).await
    }

    /// Claims the number that an earlier attempt for this path claimed, or a random free one.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::AddressTaken`] when no number is free.
    pub async fn claim_any_id(&self) -> Result<(ServiceId, Claim), CtlError> {
        for _ in 0..MAX_ID_ATTEMPTS {
            let id = self.choose_id().await?;
            match self.claim_id(id).await {
                Ok(claim) => return Ok((id, claim)),
                Err(error) if error.code == ResultCode::AddressTaken => {}
                Err(error) if error.code == ResultCode::WriteConflict => {}
                Err(error) => return Err(error),
            }
        }
        let message = "no free service number was found; pass one with --id";
        Err(CtlError::new(ResultCode::AddressTaken, message))
    }

    /// Releases claims, except those that have been written again since.
    pub async fn release(&self, claims: &[Claim]) {
        for claim in claims {
            // A claim that remains is reused by the next attempt for the same path.
            let _ = self.editor.remove(&claim.path, claim.version).await;
        }
    }

    /// Reads the current claims of the path.
    ///
    /// # Errors
    ///
    /// Returns the result code of the store's failure.
    pub async fn read_owned(&self) -> Result<Vec<Claim>, CtlError> {
        let entries = self.editor.read_tree("claims/").await?;
        Ok(entries
            .into_iter()
            .filter(|entry| entry.claim_owner().as_deref() == Some(self.owner))
            .map(|entry| Claim {
                path: entry.path,
                version: entry.version,
            })
            .collect())
    }

    async fn choose_id(&self) -> Result<ServiceId, CtlError> {
        let entries = self.editor.read_tree("claims/ids/").await?;
        let own = entries
            .iter()
            .find(|entry| entry.claim_owner().as_deref() == Some(self.owner));
        if let Some(id) = own.and_then(claimed_id) {
            return Ok(id);
        }
        let taken: BTreeSet<ServiceId> = entries.iter().filter_map(claimed_id).collect();
        let free: Vec<ServiceId> = (1..=u16::MAX)
            .map(ServiceId)
            .filter(|id| !taken.contains(id))
            .collect();
        if free.is_empty() {
            let message = "all service numbers are taken";
            return Err(CtlError::new(ResultCode::AddressTaken, message));
        }
        Ok(free[rand::rng().random_range(0..free.len())])
    }

    /// Writes a claim and reads it back. A claim that is reused is written again, so that a removal
    /// of an earlier service at this path that is still running fails on its version.
    async fn claim(&self, path: &str) -> Result<Claim, CtlError> {
        let found = self.read_own(path).await?;
        let expected = found.map_or(0, |found| found.version);
        let claim = AddressClaim {
            owner: self.owner.to_owned(),
            stamp: self.editor.stamp(),
        };
        self.editor
            .write(path, &claim, &claim.stamp, expected)
            .await?;
        let written: Versioned<AddressClaim> = self.editor.read_existing(path).await?;
        if written.record.stamp != claim.stamp {
            let message = format!("{path} was changed by someone else at the same time; try again");
            return Err(CtlError::new(ResultCode::WriteConflict, message));
        }
        Ok(Claim {
            path: path.to_owned(),
            version: written.version,
        })
    }

    async fn read_own(&self, path: &str) -> Result<Option<Versioned<AddressClaim>>, CtlError> {
        let found: Option<Versioned<AddressClaim>> = self.editor.read(path).await?;
        match &found {
            Some(claim) if claim.record.owner != self.owner => Err(CtlError::new(
                ResultCode::AddressTaken,
                format!("{path} belongs to {}", claim.record.owner),
            )),
            _ => Ok(found),
        }
    }
}

impl Claim {
    /// Returns the path of the claim.
    pub fn path(&self) -> &str {
        &self.path
    }
}

fn claimed_id(entry: &SettingsEntry) -> Option<ServiceId> {
    match SettingsPath::parse(&entry.path) {
        SettingsPath::IdClaim(id) => Some(id),
        _ => None,
    }
}
