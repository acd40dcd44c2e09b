//! Settings on their way from one balancer to another.

use super::serve::SETTINGS_PATH;
use basilstep_core::flows::FleetSettings;
use basilstep_node::http::{HttpClient, HttpError};
use http::Method;
use std::{net::SocketAddrV4, time::Duration};

/// How long a peer may take; it answers from memory, across a domain in a few milliseconds.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long after a failure another pull may begin.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A pull that brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum SettingsPullError {
    /// The peer did not answer.
    #[error("the peer did not answer: {0}")]
    NoResponse(#[from] HttpError),
    /// The answer cannot be read.
    #[error("the peer's answer cannot be read: {0}")]
    MalformedResponse(#[from] postcard::Error),
}

/// Encodes settings for a peer.
///
/// # Panics
///
/// Panics when `postcard` cannot encode settings, which none cause.
pub fn encode(settings: &FleetSettings) -> Vec<u8> {
    postcard::to_stdvec(settings).expect("settings are plain data and a vector always grows")
}

/// Asks a peer for its settings.
///
/// # Errors
///
/// Returns [`PullError`] when no usable answer came in time.
pub async fn fetch(peer: SocketAddrV4) -> Result<FleetSettings, SettingsPullError> {
    let mut client = HttpClient::open(peer);
    let reply = client
        .call(Method::GET, SETTINGS_PATH, &[], PULL_TIMEOUT)
        .await?;
    Ok(postcard::from_bytes(&reply.body)?)
}
