//! Datagrams between our own processes: an authenticated `postcard` header, then a payload.
//!
//! Layout: version (1 byte), authentication code (8 bytes), header length (1 byte), header,
//! payload. The code covers the header and the first [`AUTHENTICATED_PAYLOAD_BYTES`] of the payload; the
//! rest of a caller's datagram is authenticated by QUIC itself.

use crate::{
    address::{AgentAddress, BalancerAddress, ServiceId},
    codes::ResultCode,
    crypto::SipHashKey,
    placement::Load,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::net::SocketAddr;

/// The first byte of each datagram between our processes.
pub const WIRE_VERSION: u8 = 1;

/// The first byte of each membership message.
pub const MEMBERSHIP_VERSION: u8 = 2;

/// How much of the payload the authentication code covers, in bytes.
pub const AUTHENTICATED_PAYLOAD_BYTES: usize = 64;

/// The largest number of bytes that a frame adds to a caller's datagram.
pub const MAX_FRAME_OVERHEAD_BYTES: usize = 80;

/// The most agents that a new flow is offered to.
pub const MAX_CANDIDATES: usize = 3;

const CODE_OFFSET: usize = 1;
const LENGTH_OFFSET: usize = 9;
const HEADER_OFFSET: usize = 10;
const MESSAGE_OFFSET: usize = 9;

/// What [`encode_authenticated`] adds to a message.
pub const AUTHENTICATION_OVERHEAD_BYTES: usize = MESSAGE_OFFSET;

/// What goes before a caller's datagram between a balancer and an agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CarrierHeader {
    /// The service whose address the caller wrote to.
    pub service: ServiceId,
    /// The caller.
    pub caller: SocketAddr,
    /// The balancer that carries the answers.
    pub balancer: BalancerAddress,
    /// The settings version of the sender.
    pub settings_version: u64,
    /// The direction and its particulars.
    pub leg: Leg,
}

/// One leg of the path of a caller's datagram.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Leg {
    /// A packet of an established flow on its way to the agent that its token names.
    Established,
    /// A first packet of a new flow, offered by a balancer to the first candidate.
    Offer {
        /// The agents that may take the flow, the preferred one first.
        candidates: Candidates,
    },
    /// A first packet that one candidate shows to the next.
    Compare {
        /// The agent that shows it.
        from: AgentAddress,
        /// The best candidate so far.
        best: AgentAddress,
        /// The load of the best candidate with the new flow.
        load: Load,
        /// The candidate that the packet is shown to afterwards.
        next: Option<AgentAddress>,
        /// How often the packet has been shown to another candidate.
        hops: u8,
    },
    /// A first packet that the last candidate hands to the best: it must take the flow.
    Assign,
    /// Acknowledges [`Leg::Compare`], without a payload.
    CompareAck {
        /// The agent that has got it.
        by: AgentAddress,
    },
    /// An answer on its way from the agent to the caller.
    Answer {
        /// The load of the agent relative to its capacity, in thousandths.
        load_permille: u16,
    },
}

/// One to three agents, without allocation.
///
/// Their order is the same in every balancer's view, so that agents never show a packet in a
/// circle.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Candidates {
    /// The agent that gets the packet first.
    pub first: AgentAddress,
    /// The agent that it shows the packet to.
    pub second: Option<AgentAddress>,
    /// The agent that the second shows the packet to.
    pub third: Option<AgentAddress>,
}

/// Why a frame was not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The datagram is too short, of another version or not decodable.
    #[error("malformed frame")]
    Malformed,
    /// The authentication code does not match.
    #[error("frame is not authentic")]
    NotAuthentic,
    /// The buffer is too small for the frame.
    #[error("frame does not fit the buffer")]
    TooLong,
}

impl FrameError {
    /// Returns the numbered code under which the drop is counted.
    pub const fn code(self) -> ResultCode {
        match self {
            Self::Malformed | Self::TooLong => ResultCode::Malformed,
            Self::NotAuthentic => ResultCode::BadSeal,
        }
    }
}

/// Writes a frame into `buffer` and returns its length; allocates nothing.
///
/// # Errors
///
/// Returns [`FrameError::TooLong`] when the frame does not fit.
pub fn encode_frame<H: Serialize>(
    key: &SipHashKey,
    header: &H,
    payload: &[u8],
    buffer: &mut [u8],
) -> Result<usize, FrameError> {
    let room = buffer.get_mut(HEADER_OFFSET..).ok_or(FrameError::TooLong)?;
    let header_length = postcard::to_slice(header, room)
        .or(Err(FrameError::TooLong))?
        .len();
    let payload_at = HEADER_OFFSET + header_length;
    let end = payload_at + payload.len();
    buffer
        .get_mut(payload_at..end)
        .ok_or(FrameError::TooLong)?
        .copy_from_slice(payload);
    buffer[0] = WIRE_VERSION;
    buffer[LENGTH_OFFSET] = u8::try_from(header_length).or(Err(FrameError::TooLong))?;
    let code = frame_code(key, &buffer[LENGTH_OFFSET..payload_at], payload);
    buffer[CODE_OFFSET..LENGTH_OFFSET].copy_from_slice(&code);
    Ok(end)
}

/// Checks a frame and returns its header and payload.
///
/// # Errors
///
/// Returns [`FrameError::Malformed`] or [`FrameError::NotAuthentic`] for anything that a process with
/// the same key did not write.
pub fn decode_frame<'a, H: DeserializeOwned>(
    key: &SipHashKey,
    datagram: &'a [u8],
) -> Result<(H, &'a [u8]), FrameError> {
    if datagram.len() < HEADER_OFFSET || datagram[0] != WIRE_VERSION {
        return Err(FrameError::Malformed);
    }
    let payload_at = HEADER_OFFSET + usize::from(datagram[LENGTH_OFFSET]);
    let payload = datagram.get(payload_at..).ok_or(FrameError::Malformed)?;
    let code = frame_code(key, &datagram[LENGTH_OFFSET..payload_at], payload);
    if code != datagram[CODE_OFFSET..LENGTH_OFFSET] {
        return Err(FrameError::NotAuthentic);
    }
    let header = postcard::from_bytes(&datagram[HEADER_OFFSET..payload_at])
        .or(Err(FrameError::Malformed))?;
    Ok((header, payload))
}

/// Writes a message whose every byte is authenticated and returns its length.
///
/// Layout: version (1 byte), authentication code (8 bytes), `postcard` message.
///
/// # Errors
///
/// Returns [`FrameError::TooLong`] when the message does not fit.
pub fn encode_authenticated<M: Serialize>(
    key: &SipHashKey,
    message: &M,
    buffer: &mut [u8],
) -> Result<usize, FrameError> {
    let room = buffer
        .get_mut(MESSAGE_OFFSET..)
        .ok_or(FrameError::TooLong)?;
    let length = postcard::to_slice(message, room)
        .or(Err(FrameError::TooLong))?
        .len();
    let end = MESSAGE_OFFSET + length;
    let code = key.siphash(&[&buffer[MESSAGE_OFFSET..end]]).to_be_bytes();
    buffer[0] = MEMBERSHIP_VERSION;
    buffer[CODE_OFFSET..MESSAGE_OFFSET].copy_from_slice(&code);
    Ok(end)
}

/// Checks and reads what [`encode_authenticated`] wrote.
///
/// # Errors
///
/// Returns [`FrameError::Malformed`] or [`FrameError::NotAuthentic`] for anything that a process with
/// the same key did not write.
pub fn decode_authenticated<M: DeserializeOwned>(
    key: &SipHashKey,
    datagram: &[u8],
) -> Result<M, FrameError> {
    if datagram.len() <= MESSAGE_OFFSET || datagram[0] != MEMBERSHIP_VERSION {
        return Err(FrameError::Malformed);
    }
    let message = &datagram[MESSAGE_OFFSET..];
    if key.siphash(&[message]).to_be_bytes() != datagram[CODE_OFFSET..MESSAGE_OFFSET] {
        return Err(FrameError::NotAuthentic);
    }
    postcard::from_bytes(message).or(Err(FrameError::Malformed))
}

fn frame_code(key: &SipHashKey, header: &[u8], payload: &[u8]) -> [u8; 8] {
    let covered = payload.len().min(AUTHENTICATED_PAYLOAD_BYTES);
    let length = (payload.len() as u32).to_be_bytes();
    key.siphash(&[header, &length, &payload[..covered]])
        .to_be_bytes()
}
