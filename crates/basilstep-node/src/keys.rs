//! The keys that a process derives from the cluster key, one for each purpose.

use basilstep_core::{
    crypto::{ClusterKey, SipHashKey},
    steering::reset_key,
};
use ring::hmac;

/// The keys derived from the cluster key.
#[derive(Clone, Debug)]
pub struct NodeKeys {
    /// Authenticates frames between balancers and agents.
    pub carrier: SipHashKey,
    /// Authenticates membership messages.
    pub gossip: SipHashKey,
    /// Authenticates requests at the control port.
    pub control: SipHashKey,
    /// Authenticates tickets.
    pub ticket: SipHashKey,
    /// Derives the stateless reset tokens of QUIC.
    pub reset: hmac::Key,
}

impl NodeKeys {
    /// Derives all keys.
    pub fn derive(cluster_key: &ClusterKey) -> Self {
        Self {
            carrier: cluster_key.derive("carrier"),
            gossip: cluster_key.derive("gossip"),
            control: cluster_key.derive("control"),
            ticket: cluster_key.derive("ticket"),
            reset: reset_key(cluster_key),
        }
    }
}
