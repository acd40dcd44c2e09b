//! Packets by PROTOCOL.md. The key of `sum` belongs to the ends of the flows only.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const BOUNCED: u8 = 2;
pub const SYN: u8 = 4;
pub const FIN: u8 = 8;
pub const RST: u8 = 16;
pub const ACK: u8 = 128;
pub const HEADER: usize = 32;
pub const MAX_DATA: usize = 1_200;

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    pub flags: u8,
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub sequence: u32,
    pub acknowledged: u32,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(flags: u8, source: SocketAddrV4, destination: SocketAddrV4) -> Self {
        Self {
            flags,
            source,
            destination,
            sequence: 0,
            acknowledged: 0,
            sum: 0,
            data: Vec::new(),
        }
    }

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
        let sum = keyed_sum(&bytes);
        bytes[20..24].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEADER {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let end = |ip, port| SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(ip)), u16_at(port));
        (usize::from(u16_at(18)) == bytes.len() - HEADER).then(|| Self {
            flags: bytes[0],
            destination: end(8, 6),
            source: end(12, 16),
            sequence: u32_at(24),
            acknowledged: u32_at(28),
            sum: u32_at(20),
            data: bytes[HEADER..].to_vec(),
        })
    }

    pub const fn is(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}

/// Returns whether the bytes are as their sender wrote them, but for `echo`, `pad` and BOUNCED.
pub fn is_unchanged(bytes: &[u8]) -> bool {
    bytes.len() >= HEADER && bytes[20..24] == keyed_sum(bytes).to_le_bytes()
}

fn keyed_sum(bytes: &[u8]) -> u32 {
    let mut sum: u32 = 0x5eed_1234;
    for (at, byte) in bytes.iter().enumerate() {
        let byte = match at {
            0 => byte & !BOUNCED,
            1..=5 | 20..=23 => continue,
            _ => *byte,
        };
        sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    sum | 1
}

pub fn after(left: u32, right: u32) -> bool {
    left.wrapping_sub(right).cast_signed() > 0
}
