//! Generates QUIC connection IDs that are flow tokens.

use crate::shared_state::SharedState;
use basilstep_core::token::{FlowToken, TOKEN_BYTES};
use quinn::{ConnectionId, ConnectionIdGenerator};
use std::{sync::Arc, time::Duration};

/// The lifetime of a connection ID. IDs are replaced so that old flow keys can be retired.
pub const CONNECTION_ID_LIFETIME_S: u64 = 600;

/// Generates the flow tokens of one agent.
#[derive(Debug)]
pub struct TokenGenerator {
    shared: Arc<SharedState>,
}

impl TokenGenerator {
    /// Creates a generator that uses the flow keys in force.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }
}

impl ConnectionIdGenerator for TokenGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let token = FlowToken {
            agent: self.shared.address(),
            service: self.shared.service_id(),
            domain: self.shared.domain_id(),
            incarnation_low: self.shared.incarnation.0 as u16,
            nonce: rand::random(),
        };
        ConnectionId::new(&token.encode(&self.shared.flow_keys().current))
    }

    fn cid_len(&self) -> usize {
        TOKEN_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        Some(Duration::from_secs(CONNECTION_ID_LIFETIME_S))
    }
}
