use super::editor::{Editor, Found};
use crate::error::CtlError;
use basilstep_core::{
    address::ServiceId,
    codes::ResultCode,
    settings::{AddressClaim, SettingsEntry, SettingsPath, address_claim_path, id_claim_path},
};
use basilstep_node::store::Store;
use rand::RngExt;
use std::{collections::BTreeSet, net::SocketAddrV4};

const MAX_DRAWS: u32 = 10;

/// A claim that this operator has written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    path: String,
    version: u64,
}

/// Claims addresses and service numbers for the service at one path.
#[derive(Clone, Copy, Debug)]
pub struct Claims<'a, S> {
    editor: &'a Editor<S>,
    owner: &'a str,
}

impl<'a, S: Store> Claims<'a, S> {
    pub fn new(editor: &'a Editor<S>, owner: &'a str) -> Self {
        Self { editor, owner }
    }

    /// Finds out whether an address could be claimed, without writing.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::AddressTaken`] when another service owns it.
    pub async fn check_address(&self, address: SocketAddrV4) -> Result<(), CtlError> {
        self.read_own(&address_claim_path(address))
            .await
            .map(|_| ())
    }

    /// Claims an address; takes up a claim that an earlier attempt for this path left.
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

    /// Claims the number that an earlier attempt for this path left, or a random free one.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::AddressTaken`] when none is free.
    pub async fn claim_any_id(&self) -> Result<(ServiceId, Claim), CtlError> {
        for _ in 0..MAX_DRAWS {
            let id = self.draw_id().await?;
            match self.claim_id(id).await {
                Ok(claim) => return Ok((id, claim)),
                Err(error) if error.code == ResultCode::AddressTaken => {}
                Err(error) if error.code == ResultCode::WriteConflict => {}
                Err(error) => return Err(error),
            }
        }
        let message = "no free service number was found; give one with --id";
        Err(CtlError::new(ResultCode::AddressTaken, message))
    }

    /// Gives back claims that this operator has written, unless someone has taken them up since.
    pub async fn give_back(&self, claims: &[Claim]) {
        for claim in claims {
            // A claim that stays is taken up by the next attempt for the same path.
            let _ = self.editor.remove(&claim.path, claim.version).await;
        }
    }

    /// Returns the claims of the path as they are now.
    ///
    /// # Errors
    ///
    /// Returns the code of the store's failure.
    pub async fn owned(&self) -> Result<Vec<Claim>, CtlError> {
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

    async fn draw_id(&self) -> Result<ServiceId, CtlError> {
        let entries = self.editor.read_tree("claims/ids/").await?;
        let own = entries
            .iter()
            .find(|entry| entry.claim_owner().as_deref() == Some(self.owner));
        if let Some(id) = own.and_then(id_of) {
            return Ok(id);
        }
        let taken: BTreeSet<ServiceId> = entries.iter().filter_map(id_of).collect();
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

    /// A claim that is taken up is written again, so that a removal that is under way for an
    /// earlier service at this path fails on its version.
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
        let written: Found<AddressClaim> = self.editor.read_existing(path).await?;
        if written.record.stamp != claim.stamp {
            let message = format!("someone else changed {path} at the same time; try again");
            return Err(CtlError::new(ResultCode::WriteConflict, message));
        }
        Ok(Claim {
            path: path.to_owned(),
            version: written.version,
        })
    }

    async fn read_own(&self, path: &str) -> Result<Option<Found<AddressClaim>>, CtlError> {
        let found: Option<Found<AddressClaim>> = self.editor.read(path).await?;
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

fn id_of(entry: &SettingsEntry) -> Option<ServiceId> {
    match SettingsPath::parse(&entry.path) {
        SettingsPath::IdClaim(id) => Some(id),
        _ => None,
    }
}
