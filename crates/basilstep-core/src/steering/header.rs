use crate::{codes::ResultCode, token::TOKEN_BYTES};

const LONG_HEADER_BIT: u8 = 0x80;
const LONG_TYPE_MASK: u8 = 0x30;
const LONG_TYPE_INITIAL: u8 = 0x00;
const LONG_TYPE_ZERO_RTT: u8 = 0x10;
const VERSION_OFFSET: usize = 1;
const LENGTH_OFFSET: usize = 5;
const LONG_ID_OFFSET: usize = 6;
const SHORT_ID_OFFSET: usize = 1;
/// The version in a Version Negotiation packet, which only servers send.
const VERSION_NEGOTIATION: u32 = 0;
const VERSION_1: u32 = 1;
const MAX_ID_BYTES_V1: usize = 20;
const MIN_INITIAL_ID_BYTES_V1: usize = 8;

/// The minimum size of a datagram that may open a flow, in bytes (RFC 9000, section 14.1).
const MIN_OPENING_BYTES: usize = 1_200;

/// The header fields that steering reads: the version-independent ones of RFC 8999, and the type
/// of long headers of version 1.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PacketHeader<'a> {
    /// The kind of the packet.
    pub kind: PacketKind,
    /// The destination connection ID; in a short header, the bytes at the position of a flow token.
    pub connection_id: &'a [u8],
}

/// The kinds of packets that steering distinguishes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketKind {
    /// A packet that may open a flow: large enough, and of an opening type or an unknown version.
    Opening,
    /// Any other packet with a long header.
    Handshake,
    /// A packet with a short header.
    Short,
}

/// The reason why a datagram is not a QUIC packet that a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum HeaderError {
    /// The datagram ends before its connection ID does.
    #[error("the datagram is truncated")]
    Truncated,
    /// The header is invalid in its version, or of a type that only servers send.
    #[error("the header is invalid or of a type that only servers send")]
    Invalid,
}

impl HeaderError {
    /// Returns the result code under which the drop is counted.
    pub const fn code(self) -> ResultCode {
        ResultCode::Malformed
    }
}

/// Parses the header of the first packet in a datagram; allocates nothing.
///
/// # Errors
///
/// Returns a [`HeaderError`] for a datagram that a caller may not send.
pub fn parse_header(datagram: &[u8]) -> Result<PacketHeader<'_>, HeaderError> {
    let first_byte = *datagram.first().ok_or(HeaderError::Truncated)?;
    if first_byte & LONG_HEADER_BIT == 0 {
        return parse_short(datagram);
    }
    parse_long(first_byte, datagram)
}

fn parse_short(datagram: &[u8]) -> Result<PacketHeader<'_>, HeaderError> {
    let connection_id = datagram
        .get(SHORT_ID_OFFSET..SHORT_ID_OFFSET + TOKEN_BYTES)
        .ok_or(HeaderError::Truncated)?;
    Ok(PacketHeader {
        kind: PacketKind::Short,
        connection_id,
    })
}

fn parse_long(first_byte: u8, datagram: &[u8]) -> Result<PacketHeader<'_>, HeaderError> {
    let version = read_version(datagram).ok_or(HeaderError::Truncated)?;
    let length = usize::from(*datagram.get(LENGTH_OFFSET).ok_or(HeaderError::Truncated)?);
    let connection_id = datagram
        .get(LONG_ID_OFFSET..LONG_ID_OFFSET + length)
        .ok_or(HeaderError::Truncated)?;
    let is_opening_type = match version {
        VERSION_NEGOTIATION => return Err(HeaderError::Invalid),
        VERSION_1 => is_opening_type_v1(first_byte, connection_id)?,
        // The agent answers an unknown version with a Version Negotiation packet.
        _ => true,
    };
    let kind = if is_opening_type && datagram.len() >= MIN_OPENING_BYTES {
        PacketKind::Opening
    } else {
        PacketKind::Handshake
    };
    Ok(PacketHeader {
        kind,
        connection_id,
    })
}

fn read_version(datagram: &[u8]) -> Option<u32> {
    let bytes = datagram.get(VERSION_OFFSET..LENGTH_OFFSET)?;
    let bytes = <[u8; LENGTH_OFFSET - VERSION_OFFSET]>::try_from(bytes).ok()?;
    Some(u32::from_be_bytes(bytes))
}

fn is_opening_type_v1(first_byte: u8, connection_id: &[u8]) -> Result<bool, HeaderError> {
    if connection_id.len() > MAX_ID_BYTES_V1 {
        return Err(HeaderError::Invalid);
    }
    let is_opening = matches!(
        first_byte & LONG_TYPE_MASK,
        LONG_TYPE_INITIAL | LONG_TYPE_ZERO_RTT
    );
    if is_opening && connection_id.len() < MIN_INITIAL_ID_BYTES_V1 {
        return Err(HeaderError::Invalid);
    }
    Ok(is_opening)
}
