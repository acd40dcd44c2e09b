use super::settings::SteeringSettings;
use crate::{
    crypto::{CLUSTER_KEY_BYTES, ClusterKey},
    token::TOKEN_BYTES,
};
use rand::{Rng, RngExt};
use ring::hmac;
use serde::Serialize;

/// The length of a stateless reset token in bytes.
pub const RESET_TOKEN_BYTES: usize = 16;

/// The shortest stateless reset in bytes (RFC 9000, section 10.3).
pub const MIN_RESET_BYTES: usize = 21;

/// The longest stateless reset that is sent: as long as a minimal packet with the longest
/// connection ID.
const MAX_RESET_BYTES: usize = MIN_RESET_BYTES + TOKEN_BYTES;

const FIXED_BIT: u8 = 0x40;
const RANDOM_BITS_MASK: u8 = 0x3f;
const MS_PER_S: u64 = 1_000;

/// A stateless reset datagram (RFC 9000, section 10.3), which ends a flow at its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatelessReset {
    bytes: [u8; MAX_RESET_BYTES],
    length: usize,
}

impl StatelessReset {
    /// Returns the datagram.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes[..self.length]
    }
}

/// Derives the key of stateless resets, which all agents and balancers share.
///
/// An agent configures it as the reset key of its QUIC endpoint, so that a balancer can end the
/// flows of an agent that is no longer reachable.
pub fn reset_key(cluster_key: &ClusterKey) -> hmac::Key {
    let secret: [u8; CLUSTER_KEY_BYTES] = cluster_key.derive_256_bit("stateless-reset");
    hmac::Key::new(hmac::HMAC_SHA256, &secret)
}

/// Builds the stateless reset for a connection ID; allocates nothing.
///
/// The token is the truncated HMAC of the connection ID, as the QUIC library of the agents
/// computes it. The datagram is shorter than the packet that triggered it, so that two endpoints
/// cannot answer each other in an endless loop. Returns `None` when that packet is too short.
pub fn stateless_reset(
    connection_id: &[u8],
    key: &hmac::Key,
    rng: &mut impl Rng,
    trigger_bytes: usize,
) -> Option<StatelessReset> {
    let longest = trigger_bytes.checked_sub(1)?.min(MAX_RESET_BYTES);
    if longest < MIN_RESET_BYTES {
        return None;
    }
    let length = rng.random_range(MIN_RESET_BYTES..=longest);
    let mut bytes = [0; MAX_RESET_BYTES];
    rng.fill_bytes(&mut bytes[..length - RESET_TOKEN_BYTES]);
    bytes[0] = FIXED_BIT | bytes[0] & RANDOM_BITS_MASK;
    let signature = hmac::sign(key, connection_id);
    let token = &signature.as_ref()[..RESET_TOKEN_BYTES];
    bytes[length - RESET_TOKEN_BYTES..length].copy_from_slice(token);
    Some(StatelessReset { bytes, length })
}

/// A token bucket for stateless resets, so that replayed packets cannot use a balancer as a
/// reflector.
#[derive(Clone, Debug, Serialize)]
pub struct ResetRateLimiter {
    settings: SteeringSettings,
    /// The resets that may be sent now, in thousandths of a reset.
    allowance: u64,
    updated_ms: u64,
}

impl ResetRateLimiter {
    /// Creates a limiter with a full burst.
    pub fn new(settings: SteeringSettings, now_ms: u64) -> Self {
        Self {
            settings,
            allowance: u64::from(settings.reset_burst) * MS_PER_S,
            updated_ms: now_ms,
        }
    }

    /// Returns whether one more reset may be sent, and takes it from the allowance.
    pub fn allow(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        let gained = elapsed_ms.saturating_mul(u64::from(self.settings.reset_limit_per_s));
        let most = u64::from(self.settings.reset_burst) * MS_PER_S;
        self.updated_ms = self.updated_ms.max(now_ms);
        self.allowance = self.allowance.saturating_add(gained).min(most);
        if self.allowance < MS_PER_S {
            return false;
        }
        self.allowance -= MS_PER_S;
        true
    }
}
