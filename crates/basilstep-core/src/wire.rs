//! The format of datagrams between balancers and agents: an authenticated `postcard` header,
//! then a payload.
//!
//! Layout: version (1 byte), authentication code (8 bytes), header length (1 byte), header,
//! payload. The code covers the header and the first [`AUTHENTICATED_PAYLOAD_BYTES`] of the
//! payload; the rest of a caller's datagram is authenticated by QUIC itself.

use crate::{
    address::{AgentAddress, BalancerAddress, ServiceId},
    codes::ResultCode,
    crypto::SipHashKey,
    placement::Load,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::net::SocketAddr;

/// The first byte of each carrier datagram.
pub const WIRE_VERSION: u8 = 1;

/// The first byte of each membership message.
pub const MEMBERSHIP_VERSION: u8 = 2;

/// The length of the payload prefix that the authentication code covers, in bytes.
pub const AUTHENTICATED_PAYLOAD_BYTES: usize = 64;

/// The largest number of bytes that a frame adds to a caller's datagram.
pub const MAX_FRAME_OVERHEAD_BYTES: usize = 80;

/// The maximum number of agents that a new flow is offered to.
pub const MAX_CANDIDATES: usize = 3;

const AUTHENTICATION_CODE_OFFSET: usize = 1;
const HEADER_LENGTH_OFFSET: usize = 9;
const HEADER_OFFSET: usize = 10;
const MESSAGE_OFFSET: usize = 9;

/// The number of bytes that [`encode_authenticated`] adds to a message.
pub const AUTHENTICATION_OVERHEAD_BYTES: usize = MESSAGE_OFFSET;

/// The header in front of a caller's datagram on its way between balancers and agents.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CarrierHeader {
    /// The service that the caller addressed.
    pub service: ServiceId,
    /// The address of the caller.
    pub caller: SocketAddr,
    /// The balancer that forwards the answers to the caller.
    pub balancer: BalancerAddress,
    /// The settings version of the sender.
    pub settings_version: u64,
    /// Why the datagram is sent, with the parameters of that purpose.
    pub purpose: CarrierPurpose,
}

/// Why a datagram is sent from one process to another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CarrierPurpose {
    /// A packet of an established flow, sent to the agent that its token names.
    Established,
    /// A first packet of a new flow that a balancer offers to the first candidate.
    Offer {
        /// The agents that may accept the flow, in the order in which they compare their loads.
        candidates: Candidates,
    },
    /// A first packet that one candidate forwards to the next, so that they compare loads.
    Compare {
        /// The agent that forwards it.
        from: AgentAddress,
        /// The best candidate so far.
        best: AgentAddress,
        /// The load of the best candidate with the new flow included.
        load: Load,
        /// The candidate after the one that receives this packet.
        next: Option<AgentAddress>,
        /// The number of times that the packet has been forwarded to another candidate.
        hops: u8,
    },
    /// A first packet that the last candidate assigns to the best, which must accept the flow.
    Assign,
    /// Acknowledges [`CarrierPurpose::Compare`]; has no payload.
    CompareAck {
        /// The agent that received it.
        by: AgentAddress,
    },
    /// An answer from the agent to the caller.
    Answer {
        /// The load of the agent relative to its capacity, in thousandths.
        load_permille: u16,
    },
}

/// One to three agents, without allocation.
///
/// Their order is the same in the view of every balancer, so that agents never forward a packet
/// in a loop.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Candidates {
    /// The agent that receives the packet first.
    pub first: AgentAddress,
    /// The agent that the first forwards the packet to.
    pub second: Option<AgentAddress>,
    /// The agent that the second forwards the packet to.
    pub third: Option<AgentAddress>,
}

/// An error in encoding or decoding a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The datagram is too short, has another version or cannot be decoded.
    #[error("malformed frame")]
    Malformed,
    /// The authentication code does not match.
    #[error("the authentication code of the frame is wrong")]
    NotAuthentic,
    /// The buffer is too small for the frame.
    #[error("the frame does not fit into the buffer")]
    TooLong,
}

impl FrameError {
    /// Returns the result code under which the drop is counted.
    pub const fn code(self) -> ResultCode {
        match self {
            Self::Malformed | Self::TooLong => ResultCode::Malformed,
            Self::NotAuthentic => ResultCode::BadSeal,
        }
    }
}

/// Encodes a frame into `buffer` without allocation and returns its length.
///
/// # Errors
///
/// Returns [`FrameError::TooLong`] when the frame does not fit into `buffer`.
pub fn encode_frame<H: Serialize>(
    key: &SipHashKey,
    header: &H,
    payload: &[u8],
    buffer: &mut [u8],
) -> Result<usize, FrameError> {
    let space = buffer.get_mut(HEADER_OFFSET..).ok_or(FrameError::TooLong)?;
    let header_length = postcard::to_slice(header, space)
        .or(Err(FrameError::TooLong))?
        .len();
    let payload_at = HEADER_OFFSET + header_length;
    let end = payload_at + payload.len();
    buffer
        .get_mut(payload_at..end)
        .ok_or(FrameError::TooLong)?
        .copy_from_slice(payload);
    buffer[0] = WIRE_VERSION;
    buffer[HEADER_LENGTH_OFFSET] = u8::try_from(header_length).or(Err(FrameError::TooLong))?;
    let code = authentication_code(key, &buffer[HEADER_LENGTH_OFFSET..payload_at], payload);
    buffer[AUTHENTICATION_CODE_OFFSET..HEADER_LENGTH_OFFSET].copy_from_slice(&code);
    Ok(end)
}

/// Verifies a frame and returns its header and payload.
///
/// # Errors
///
/// Returns [`FrameError::Malformed`] or [`FrameError::NotAuthentic`] for a datagram that no
/// process with the same key encoded.
pub fn decode_frame<'a, H: DeserializeOwned>(
    key: &SipHashKey,
    datagram: &'a [u8],
) -> Result<(H, &'a [u8]), FrameError> {
    if datagram.len() < HEADER_OFFSET || datagram[0] != WIRE_VERSION {
        return Err(FrameError::Malformed);
    }
    let payload_at = HEADER_OFFSET + usize::from(datagram[HEADER_LENGTH_OFFSET]);
    let payload = datagram.get(payload_at..).ok_or(FrameError::Malformed)?;
    let code = authentication_code(key, &datagram[HEADER_LENGTH_OFFSET..payload_at], payload);
    if code != datagram[AUTHENTICATION_CODE_OFFSET..HEADER_LENGTH_OFFSET] {
        return Err(FrameError::NotAuthentic);
    }
    let header = postcard::from_bytes(&datagram[HEADER_OFFSET..payload_at])
        .or(Err(FrameError::Malformed))?;
    Ok((header, payload))
}

/// Encodes a message, authenticates all of its bytes and returns the length.
///
/// Layout: version (1 byte), authentication code (8 bytes), `postcard` message.
///
/// # Errors
///
/// Returns [`FrameError::TooLong`] when the message does not fit into `buffer`.
pub fn encode_authenticated<M: Serialize>(
    key: &SipHashKey,
    message: &M,
    buffer: &mut [u8],
) -> Result<usize, FrameError> {
    let space = buffer
        .get_mut(MESSAGE_OFFSET..)
        .ok_or(FrameError::TooLong)?;
    let length = postcard::to_slice(message, space)
        .or(Err(FrameError::TooLong))?
        .len();
    let end = MESSAGE_OFFSET + length;
    let code = key.siphash(&[&buffer[MESSAGE_OFFSET..end]]).to_be_bytes();
    buffer[0] = MEMBERSHIP_VERSION;
    buffer[AUTHENTICATION_CODE_OFFSET..MESSAGE_OFFSET].copy_from_slice(&code);
    Ok(end)
}

/// Verifies and decodes a message from [`encode_authenticated`].
///
/// # Errors
///
/// Returns [`FrameError::Malformed`] or [`FrameError::NotAuthentic`] for a datagram that no
/// process with the same key encoded.
pub fn decode_authenticated<M: DeserializeOwned>(
    key: &SipHashKey,
    datagram: &[u8],
) -> Result<M, FrameError> {
    if datagram.len() <= MESSAGE_OFFSET || datagram[0] != MEMBERSHIP_VERSION {
        return Err(FrameError::Malformed);
    }
    let message = &datagram[MESSAGE_OFFSET..];
    if key.siphash(&[message]).to_be_bytes() != datagram[AUTHENTICATION_CODE_OFFSET..MESSAGE_OFFSET]
    {
        return Err(FrameError::NotAuthentic);
    }
    postcard::from_bytes(message).or(Err(FrameError::Malformed))
}

fn authentication_code(key: &SipHashKey, header: &[u8], payload: &[u8]) -> [u8; 8] {
    let covered = payload.len().min(AUTHENTICATED_PAYLOAD_BYTES);
    let length = (payload.len() as u32).to_be_bytes();
    key.siphash(&[header, &length, &payload[..covered]])
        .to_be_bytes()
}
