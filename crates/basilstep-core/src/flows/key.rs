use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::{
    fmt,
    hash::Hasher,
    net::{Ipv4Addr, SocketAddrV4},
};

/// The two endpoints of a flow, as they stand in its packets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FlowKey {
    /// The caller's endpoint.
    pub caller: SocketAddrV4,
    /// The service address to which the caller sends.
    pub service_address: SocketAddrV4,
}

impl FlowKey {
    /// Returns a hash that is the same in every process.
    pub fn hash(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        for end in [self.caller, self.service_address] {
            hasher.write_u32(end.ip().to_bits());
            hasher.write_u16(end.port());
        }
        hasher.finish()
    }
}

/// A flow that no target holds any more, with the data for resetting it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LostFlow {
    /// The flow.
    pub flow: FlowKey,
    /// The caller's last acknowledgement number, which the reset needs as its sequence number.
    pub sequence: u32,
}

/// Identifies a service in frames: 48 bits of a hash of its name.
///
/// The probability that two of 2,200 services share a tag is about one in a hundred million.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ServiceTag(pub [u8; 6]);

impl ServiceTag {
    /// The lowest tag.
    pub(super) const MIN: Self = Self([0; 6]);

    /// Returns the tag of the service called `name`.
    pub fn of(name: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        let bytes = hasher.finish().to_le_bytes();
        Self([bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5]])
    }
}

impl fmt::Display for ServiceTag {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// Identifies an instance of a target: a hash of the id that it has chosen, which may return.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct InstanceTag(u64);

impl InstanceTag {
    /// Returns the tag of the instance with an id.
    pub fn of(id: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(id.as_bytes());
        Self(hasher.finish())
    }
}

/// Distinguishes the incarnations of a process at the same address; drawn at random at each start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ProcessIncarnation(pub u32);

/// Returns the rendezvous hashing score of a process for a flow; the highest scores win.
pub(super) fn rendezvous(flow_hash: u64, ip: Ipv4Addr) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(flow_hash);
    hasher.write_u32(ip.to_bits());
    hasher.finish()
}
