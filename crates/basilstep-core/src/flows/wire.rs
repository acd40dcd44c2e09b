//! Wire versions: how frames and settings are encoded for processes of this build and of older ones.
//!
//! A frame is a version byte, a `postcard` header, then either one packet as it was received or, if
//! the frame carries no packet, the highest version that its sender speaks. Older builds ignore that
//! last byte. docs/UPGRADING.md says how long a version is kept.

mod peers;
mod v4;
mod v5;

use super::{frame::Frame, routes::FleetSettings};
use crate::codes::ResultCode;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::fmt;

pub use peers::{PeerVersions, VersionChange};

/// The highest number that can be a version; other first bytes are those of foreign datagrams.
const MAX_VERSION: u8 = 63;

/// A version of the encoding that this build can read and write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "u8", try_from = "u8")]
pub struct WireVersion(u8);

impl WireVersion {
    const V4: Self = Self(4);
    const V5: Self = Self(5);
    const V6: Self = Self(6);

    /// The oldest version that is still spoken.
    pub const OLDEST: Self = Self::V4;
    /// The latest version.
    pub const LATEST: Self = Self::V6;

    /// Returns the versions from the oldest one to this one.
    pub fn supported(self) -> impl Iterator<Item = Self> {
        (Self::OLDEST.0..=self.0).map(Self)
    }
}

impl Default for WireVersion {
    fn default() -> Self {
        Self::LATEST
    }
}

impl TryFrom<u8> for WireVersion {
    type Error = WireError;

    fn try_from(version: u8) -> Result<Self, WireError> {
        if (Self::OLDEST.0..=Self::LATEST.0).contains(&version) {
            Ok(Self(version))
        } else {
            Err(WireError::UnsupportedVersion { version })
        }
    }
}

impl From<WireVersion> for u8 {
    fn from(version: WireVersion) -> Self {
        version.0
    }
}

impl fmt::Display for WireVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The error for bytes that cannot be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WireError {
    /// The bytes are empty or do not start with a version.
    #[error("the bytes do not start with a version")]
    NotVersioned,
    /// The bytes have a version that this process does not speak.
    #[error("version {version} is not supported")]
    UnsupportedVersion {
        /// The version.
        version: u8,
    },
    /// The bytes do not have the layout of their version.
    #[error("the bytes do not have the layout of their version")]
    Malformed,
}

impl WireError {
    /// Returns the result code of this error.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::NotVersioned | Self::Malformed => ResultCode::Malformed,
            Self::UnsupportedVersion { .. } => ResultCode::UnsupportedVersion,
        }
    }
}

/// The version of a frame and the highest one that its sender speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SpokenVersion {
    /// The version of the frame.
    pub version: WireVersion,
    /// The highest version that the sender speaks.
    pub highest: WireVersion,
}

impl SpokenVersion {
    /// The latest version.
    pub const LATEST: Self = Self {
        version: WireVersion::LATEST,
        highest: WireVersion::LATEST,
    };
}

/// A frame as it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedFrame<'a> {
    /// The frame.
    pub frame: Frame,
    /// The packet of a frame that carries one.
    pub packet: &'a [u8],
    /// The version of the frame.
    pub version: WireVersion,
    /// The highest version that the sender speaks; `None` if it did not say.
    pub announced: Option<u8>,
}

impl ReceivedFrame<'_> {
    /// Returns whether this is a copy for older builds, which a sender adds for a peer whose version
    /// it does not know: one that a process with this highest version reads better comes as well.
    pub fn is_copy_for_older_builds(&self, highest: WireVersion) -> bool {
        self.announced
            .is_some_and(|announced| announced.min(highest.0) > self.version.0)
    }
}

impl Frame {
    const fn carries_packet(&self) -> bool {
        matches!(self, Self::Forward(_) | Self::Returned(_))
    }
}

/// Encodes `frame` and the packet that belongs to it into `buffer`, which is cleared first.
///
/// # Panics
///
/// Panics if `postcard` cannot encode a frame, which does not occur for any frame.
pub fn encode_frame(frame: &Frame, packet: &[u8], spoken: SpokenVersion, buffer: &mut Vec<u8>) {
    buffer.clear();
    buffer.push(spoken.version.0);
    if spoken.version == WireVersion::V4 {
        append(&v4::Frame::from(frame.clone()), buffer);
    } else {
        append(frame, buffer);
    }
    if frame.carries_packet() {
        buffer.extend_from_slice(packet);
    } else {
        buffer.push(spoken.highest.0);
    }
}

fn append(value: &impl Serialize, buffer: &mut Vec<u8>) {
    postcard::to_io(value, buffer).expect("plain data can be encoded, and a vector always grows");
}

/// Decodes a frame of a version up to `highest`.
///
/// # Errors
///
/// Returns [`WireError`] if the bytes are no frame, or one of another version.
pub fn decode_frame(bytes: &[u8], highest: WireVersion) -> Result<ReceivedFrame<'_>, WireError> {
    let (version, body) = split_version(bytes, highest)?;
    let (frame, rest) = if version == WireVersion::V4 {
        let (frame, rest) = take::<v4::Frame>(body)?;
        (Frame::from(frame), rest)
    } else {
        take(body)?
    };
    let carries_packet = frame.carries_packet();
    Ok(ReceivedFrame {
        frame,
        packet: if carries_packet { rest } else { &[] },
        version,
        announced: rest.first().copied().filter(|_| !carries_packet),
    })
}

fn split_version(bytes: &[u8], highest: WireVersion) -> Result<(WireVersion, &[u8]), WireError> {
    let (&version, body) = bytes.split_first().ok_or(WireError::NotVersioned)?;
    if version == 0 || version > MAX_VERSION {
        return Err(WireError::NotVersioned);
    }
    WireVersion::try_from(version)
        .ok()
        .filter(|version| *version <= highest)
        .map(|version| (version, body))
        .ok_or(WireError::UnsupportedVersion { version })
}

fn take<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), WireError> {
    postcard::take_from_bytes(bytes).map_err(|_error| WireError::Malformed)
}

/// Encodes settings, without their version.
///
/// # Panics
///
/// Panics if `postcard` cannot encode settings, which never happens for plain data.
pub fn encode_settings(settings: &FleetSettings, version: WireVersion) -> Vec<u8> {
    let mut bytes = Vec::new();
    match version {
        WireVersion::V4 => append(&v4::FleetSettings::from(settings.clone()), &mut bytes),
        WireVersion::V5 => append(&v5::FleetSettings::from(settings.clone()), &mut bytes),
        _ => append(settings, &mut bytes),
    }
    bytes
}

/// Decodes settings of `version`.
///
/// # Errors
///
/// Returns [`WireError::Malformed`] if the bytes are not settings of that version and nothing else.
pub fn decode_settings(bytes: &[u8], version: WireVersion) -> Result<FleetSettings, WireError> {
    let (settings, rest) = match version {
        WireVersion::V4 => {
            let (settings, rest) = take::<v4::FleetSettings>(bytes)?;
            (FleetSettings::from(settings), rest)
        }
        WireVersion::V5 => {
            let (settings, rest) = take::<v5::FleetSettings>(bytes)?;
            (FleetSettings::from(settings), rest)
        }
        _ => take(bytes)?,
    };
    if rest.is_empty() {
        Ok(settings)
    } else {
        Err(WireError::Malformed)
    }
}
