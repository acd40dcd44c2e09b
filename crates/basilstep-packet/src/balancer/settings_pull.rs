//! Transfer of settings from one balancer to another.

use super::serve::SETTINGS_PATH;
use basilstep_core::flows::FleetSettings;
use basilstep_node::http::{HttpClient, HttpError};
use http::Method;
use std::{net::SocketAddrV4, time::Duration};

/// The timeout of a pull; a peer answers from memory; between domains it takes a few milliseconds.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// The delay after a failed pull before the next one.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The reason why a pull failed.
#[derive(Debug, thiserror::Error)]
pub enum SettingsPullError {
    /// The peer did not answer.
    #[error("the peer did not answer: {0}")]
    NoResponse(#[from] HttpError),
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
    Ok(postcard::from_bytes(&reply.body)?)
}
