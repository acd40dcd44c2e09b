//! The packets of flows, as PROTOCOL.md lays them out.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const BOUNCED: u8 = 2;
pub const SYN: u8 = 4;
pub const FIN: u8 = 8;
pub const RST: u8 = 16;
pub const ACK: u8 = 128;
const HEAD: usize = 32;

/// The key of the sum, which only the two ends of a flow know.
const SUM_KEY: u32 = 0x9e37_79b9;

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    pub flags: u8,
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn is(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(self.data.len() as u32)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![self.flags, 0, 0, 0, 0, 0];
        bytes.extend(self.to.port().to_le_bytes());
        bytes.extend(self.to.ip().to_bits().to_le_bytes());
        bytes.extend(self.from.ip().to_bits().to_le_bytes());
        bytes.extend(self.from.port().to_le_bytes());
        bytes.extend((self.data.len() as u16).to_le_bytes());
        bytes.extend([0; 4]);
        bytes.extend(self.seq.to_le_bytes());
        bytes.extend(self.ack.to_le_bytes());
        bytes.extend(&self.data);
        let sum = sum_of(&bytes).to_le_bytes();
        bytes[20..24].copy_from_slice(&sum);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let end = |ip, port| SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(ip)), u16_at(port));
        Some(Self {
            flags: bytes[0],
            to: end(8, 6),
            from: end(12, 16),
            seq: u32_at(24),
            ack: u32_at(28),
            data: bytes[HEAD..].to_vec(),
        })
    }
}

/// Returns whether a packet is as one of the two ends has written it.
pub fn is_intact(bytes: &[u8]) -> bool {
    bytes.len() >= HEAD && stored_sum(bytes) == sum_of(bytes)
}

/// Returns the sum in a packet; it is 0 in a reset of the system.
pub fn stored_sum(bytes: &[u8]) -> u32 {
    u32::from_le_bytes([bytes[20], bytes[21], bytes[22], bytes[23]])
}

/// The sum over all fields except `echo`, `pad`, BOUNCED and itself; never 0.
fn sum_of(bytes: &[u8]) -> u32 {
    let mut sum = SUM_KEY;
    for (at, byte) in bytes.iter().enumerate() {
        let byte = match at {
            0 => byte & !BOUNCED,
            1..=5 | 20..=23 => continue,
            _ => *byte,
        };
        sum = (sum ^ u32::from(byte))
            .wrapping_mul(0x0100_0193)
            .rotate_left(5);
    }
    sum | 1
}
