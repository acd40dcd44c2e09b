//! The keys that a process derives from the cluster key, one for each purpose.

use basilstep_core::{
    crypto::{ClusterKey, ShortKey},
    steering::reset_key,
};
use ring::hmac;

/// The keys derived from the cluster key.
#[derive(Clone, Debug)]
pub struct NodeKeys {
    /// Authenticates frames between balancers and agents.
    pub carrier: ShortKey,
    /// Authenticates membership messages.
    pub gossip: ShortKey,
    /// Authenticates requests at the control port.
    pub control: ShortKey,
    /// Authenticates tickets.
    pub ticket: ShortKey,
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
