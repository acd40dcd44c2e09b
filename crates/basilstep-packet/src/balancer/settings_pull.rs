//! Transfer of settings from one balancer to another.

use super::serve::SETTINGS_PATH;
use basilstep_core::flows::FleetSettings;
use basilstep_node::http::{HttpClient, HttpError};
use http::{Method, StatusCode};
use std::{net::SocketAddrV4, time::Duration};

/// The time that a peer gets for each part of its answer, which it has in memory; between domains it
/// takes a few milliseconds.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// The delay after a failed pull before the next one.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The reason why a pull failed.
#[derive(Debug, thiserror::Error)]
pub enum SettingsPullError {
    /// The peer did not answer.
    #[error("the peer did not answer: {0}")]
    NoResponse(#[from] HttpError),
    /// The peer is handing out its settings to others.
    #[error("the peer turned the request away with status {status}")]
    TurnedAway {
        /// The HTTP status.
        status: u16,
    },
    /// The response cannot be decoded.
    #[error("malformed response from the peer: {0}")]
    MalformedResponse(#[from] postcard::Error),
}

/// Encodes settings for a peer.
///
/// # Panics
///
/// Panics when `postcard` cannot encode settings, which never happens for plain data.
pub fn encode(settings: &FleetSettings) -> Vec<u8> {
    postcard::to_stdvec(settings).expect("settings are plain data, and the output vector can grow")
}

/// Pulls the settings of a peer.
///
/// # Errors
///
/// Returns [`SettingsPullError`] when no valid response arrives before the timeout.
pub async fn fetch(peer: SocketAddrV4) -> Result<FleetSettings, SettingsPullError> {
    let mut client = HttpClient::new(peer);
    let reply = client
        .call(Method::GET, SETTINGS_PATH, &[], PULL_TIMEOUT)
        .await?;
    if reply.status != StatusCode::OK {
        return Err(SettingsPullError::TurnedAway {
            status: reply.status.as_u16(),
        });
    }
    Ok(postcard::from_bytes(&reply.body)?)
}
