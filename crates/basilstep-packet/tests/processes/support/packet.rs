//! The packet format as published by the platform.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 4;
pub const ACK: u8 = 128;
pub const RST: u8 = 16;
pub const BOUNCED: u8 = 2;
const HEADER_BYTES: usize = 32;

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    pub flags: u8,
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub sequence: u32,
    pub acknowledged: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![self.flags, 0, 0, 0, 0, 0];
        bytes.extend(self.destination.port().to_le_bytes());
        bytes.extend(self.destination.ip().to_bits().to_le_bytes());
        bytes.extend(self.source.ip().to_bits().to_le_bytes());
        bytes.extend(self.source.port().to_le_bytes());
        bytes.extend((self.data.len() as u16).to_le_bytes());
        bytes.extend([0; 4]);
        bytes.extend(self.sequence.to_le_bytes());
        bytes.extend(self.acknowledged.to_le_bytes());
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Self {
        let u16_at = |offset: usize| u16::from_le_bytes([bytes[offset], bytes[offset + 1]]);
        let u32_at = |offset: usize| {
            u32::from_le_bytes([
                bytes[offset],
                bytes[offset + 1],
                bytes[offset + 2],
                bytes[offset + 3],
            ])
        };
        let endpoint = |ip, port| SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(ip)), u16_at(port));
        Self {
            flags: bytes[0],
            destination: endpoint(8, 6),
            source: endpoint(12, 16),
            sequence: u32_at(24),
            acknowledged: u32_at(28),
            data: bytes[HEADER_BYTES..].to_vec(),
        }
    }

    /// Returns the sequence number after the data.
    pub const fn end_sequence(&self) -> u32 {
        self.sequence.wrapping_add(self.data.len() as u32)
    }

    pub fn is(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}
