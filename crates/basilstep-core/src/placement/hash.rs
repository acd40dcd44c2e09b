use crate::crypto::SipHashKey;
use std::net::SocketAddr;

/// Returns the hash of a new flow, which is the same for all packets of its first flight.
pub(super) fn flow_hash(key: &SipHashKey, caller: &SocketAddr, connection_id: &[u8]) -> u64 {
    let ip = match caller {
        SocketAddr::V4(caller) => caller.ip().to_ipv6_mapped(),
        SocketAddr::V6(caller) => *caller.ip(),
    };
    key.siphash(&[&ip.octets(), &caller.port().to_be_bytes(), connection_id])
}

/// Mixes the bits of `value` with the finalizer of `SplitMix64`.
pub(super) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
