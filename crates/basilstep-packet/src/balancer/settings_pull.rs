//! Transfer of settings from one balancer to another.

use super::serve::SETTINGS_PATH;
use basilstep_core::flows::{
    FleetSettings,
    wire::{WireError, WireVersion, decode_settings, encode_settings},
};
use basilstep_node::http::{HttpClient, HttpError, ServerResponse};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use std::{net::SocketAddrV4, time::Duration};

/// The time that a peer gets for each part of its answer, which it has in memory; between domains it
/// takes a few milliseconds.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// The delay after a failed pull before the next one.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The query parameter with the highest version that the requester reads. Builds that speak only one
/// version neither send nor read it.
const VERSION_PARAMETER: &str = "version";

/// The response header with the version of the body, if the requester has stated one.
const VERSION_HEADER: HeaderName = HeaderName::from_static("basilstep-wire-version");

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
    /// The peer did not state the version of its response, and has shown none.
    #[error("the version of the response is unknown")]
    UnknownVersion,
    /// The response cannot be decoded.
    #[error("unreadable response from the peer: {0}")]
    Unreadable(#[from] WireError),
}

/// The error of a pull whose query cannot be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the parameter {VERSION_PARAMETER} is {found}; expected: a number")]
pub struct MalformedVersion {
    found: String,
}

/// Returns the highest common version that a query allows, or `None` if it states no version.
///
/// # Errors
///
/// Returns [`MalformedVersion`] if the version is no number.
pub fn asked_version(query: &str) -> Result<Option<WireVersion>, MalformedVersion> {
    let stated = query
        .split('&')
        .filter_map(|parameter| parameter.split_once('='))
        .find(|(name, _)| *name == VERSION_PARAMETER);
    let Some((_, found)) = stated else {
        return Ok(None);
    };
    let number: u8 = found.parse().map_err(|_error| MalformedVersion {
        found: found.to_owned(),
    })?;
    let common = number.clamp(WireVersion::OLDEST.into(), WireVersion::LATEST.into());
    Ok(WireVersion::try_from(common).ok())
}

/// Encodes settings for a peer that reads versions up to `version`.
///
/// Settings that came in an older version are passed on in that version to peers that are told so.
pub fn encode(
    settings: &FleetSettings,
    version: WireVersion,
    states_version: bool,
) -> ServerResponse {
    if !states_version {
        return ServerResponse::bytes(Bytes::from(encode_settings(settings, version)));
    }
    let version = version.min(settings.table.wire_version);
    let mut response = ServerResponse::bytes(Bytes::from(encode_settings(settings, version)));
    response.headers.insert(
        VERSION_HEADER,
        HeaderValue::from(u16::from(u8::from(version))),
    );
    response
}

/// A request for the settings of a peer.
#[derive(Clone, Copy, Debug)]
pub struct SettingsPull {
    /// The peer.
    pub peer: SocketAddrV4,
    /// The highest version that can be read.
    pub highest_version: WireVersion,
    /// The version of a response that does not state one, if the peer is a build of that kind.
    pub unstated_version: Option<WireVersion>,
}

impl SettingsPull {
    /// Pulls the settings of the peer.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsPullError`] when no valid response arrives before the timeout.
    pub async fn fetch(&self) -> Result<FleetSettings, SettingsPullError> {
        let mut client = HttpClient::new(self.peer);
        let path = format!(
            "{SETTINGS_PATH}?{VERSION_PARAMETER}={}",
            self.highest_version
        );
        let reply = client.call(Method::GET, &path, &[], PULL_TIMEOUT).await?;
        if reply.status != StatusCode::OK {
            return Err(SettingsPullError::TurnedAway {
                status: reply.status.as_u16(),
            });
        }
        let version = stated_version(&reply.headers)?
            .or(self.unstated_version)
            .ok_or(SettingsPullError::UnknownVersion)?;
        Ok(decode_settings(&reply.body, version)?)
    }
}

fn stated_version(headers: &HeaderMap) -> Result<Option<WireVersion>, SettingsPullError> {
    let Some(value) = headers.get(VERSION_HEADER) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse::<u8>().ok());
    let number = number.ok_or(SettingsPullError::UnknownVersion)?;
    Ok(Some(WireVersion::try_from(number)?))
}
