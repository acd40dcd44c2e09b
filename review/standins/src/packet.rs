//! The packet of `PROTOCOL.md`.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 4;
pub const ACK: u8 = 128;
pub const FIN: u8 = 8;
pub const RST: u8 = 16;
pub const BOUNCED: u8 = 2;

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    pub flags: u8,
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
    pub sum: u32,
}

impl Packet {
    pub fn new(flags: u8, source: SocketAddrV4, destination: SocketAddrV4) -> Self {
        Self {
            flags,
            source,
            destination,
            seq: 0,
            ack: 0,
            data: Vec::new(),
            sum: 0,
        }
    }

    pub fn is(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// The sum of the two ends; 0 stands for a reset of the system's own.
    pub fn expected_sum(&self) -> u32 {
        let mut sum: u32 = 0x9e37_79b9;
        let mut add = |value: u32| sum = (sum ^ value).wrapping_mul(0x0100_0193).rotate_left(5);
        add(u32::from(self.flags & !BOUNCED));
        for end in [self.source, self.destination] {
            add(end.ip().to_bits());
            add(u32::from(end.port()));
        }
        add(self.seq);
        add(self.ack);
        add(self.data.len() as u32);
        for byte in &self.data {
            add(u32::from(*byte));
        }
        sum | 1
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![self.flags, 0, 0, 0, 0, 0];
        bytes.extend(self.destination.port().to_le_bytes());
        bytes.extend(self.destination.ip().to_bits().to_le_bytes());
        bytes.extend(self.source.ip().to_bits().to_le_bytes());
        bytes.extend(self.source.port().to_le_bytes());
        bytes.extend((self.data.len() as u16).to_le_bytes());
        bytes.extend(self.expected_sum().to_le_bytes());
        bytes.extend(self.seq.to_le_bytes());
        bytes.extend(self.ack.to_le_bytes());
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let u16_at = |o: usize| u16::from_le_bytes([bytes[o], bytes[o + 1]]);
        let u32_at =
            |o: usize| u32::from_le_bytes([bytes[o], bytes[o + 1], bytes[o + 2], bytes[o + 3]]);
        if bytes.len() < 32 || usize::from(u16_at(18)) != bytes.len() - 32 {
            return None;
        }
        Some(Self {
            flags: bytes[0],
            destination: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(8)), u16_at(6)),
            source: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(12)), u16_at(16)),
            seq: u32_at(24),
            ack: u32_at(28),
            sum: u32_at(20),
            data: bytes[32..].to_vec(),
        })
    }
}
