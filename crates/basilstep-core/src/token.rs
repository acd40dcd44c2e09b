//! Flow tokens: the server connection ID names the flow's target and proves who wrote it.

use crate::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    crypto::ShortKey,
};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The length of a flow token in bytes, the longest connection ID that QUIC version 1 allows.
pub const TOKEN_BYTES: usize = 20;

const KEY_ID_AT: usize = 0;
const IP_AT: usize = 1;
const PORT_AT: usize = 5;
const SERVICE_AT: usize = 7;
const DOMAIN_AT: usize = 9;
const INCARNATION_AT: usize = 10;
const NONCE_AT: usize = 12;
const CODE_AT: usize = 15;
const CODE_BYTES: usize = TOKEN_BYTES - CODE_AT;

/// What a flow token says about its flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FlowToken {
    /// The agent that owns the flow.
    pub agent: AgentAddress,
    /// The service that the flow belongs to.
    pub service: ServiceId,
    /// The failure domain of the agent.
    pub domain: DomainId,
    /// The low 16 bits of the agent's incarnation.
    pub incarnation_low: u16,
    /// Random bytes that make each connection ID of an agent different.
    pub nonce: [u8; 3],
}

/// One flow key with the number that tokens carry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FlowKey {
    /// The number in the first byte of a token.
    pub id: u8,
    /// The secret of the authentication code.
    pub secret: ShortKey,
}

/// The flow keys in force: new tokens use the first, tokens of either are accepted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FlowKeys {
    /// Signs new tokens.
    pub current: FlowKey,
    /// Still accepted after a rotation.
    pub previous: Option<FlowKey>,
}

impl FlowToken {
    /// Tells whether the token was minted by the run of an agent with this incarnation.
    pub fn is_of(&self, incarnation: Incarnation) -> bool {
        self.incarnation_low == incarnation.0 as u16
    }

    /// Writes the token as a connection ID.
    pub fn encode(&self, key: &FlowKey) -> [u8; TOKEN_BYTES] {
        let mut id = [0; TOKEN_BYTES];
        id[KEY_ID_AT] = key.id;
        id[IP_AT..PORT_AT].copy_from_slice(&self.agent.0.ip().octets());
        id[PORT_AT..SERVICE_AT].copy_from_slice(&self.agent.0.port().to_be_bytes());
        id[SERVICE_AT..DOMAIN_AT].copy_from_slice(&self.service.0.to_be_bytes());
        id[DOMAIN_AT] = self.domain.0;
        id[INCARNATION_AT..NONCE_AT].copy_from_slice(&self.incarnation_low.to_be_bytes());
        id[NONCE_AT..CODE_AT].copy_from_slice(&self.nonce);
        let code = short_code(key, &id[..CODE_AT]);
        id[CODE_AT..].copy_from_slice(&code);
        id
    }
}

impl FlowKeys {
    /// Reads a connection ID; `None` when no key in force signed it.
    pub fn decode(&self, id: &[u8]) -> Option<FlowToken> {
        let id: &[u8; TOKEN_BYTES] = id.try_into().ok()?;
        let key = self.find(id[KEY_ID_AT])?;
        if short_code(key, &id[..CODE_AT]) != id[CODE_AT..] {
            return None;
        }
        let ip = Ipv4Addr::new(id[IP_AT], id[IP_AT + 1], id[IP_AT + 2], id[IP_AT + 3]);
        let port = u16::from_be_bytes([id[PORT_AT], id[PORT_AT + 1]]);
        Some(FlowToken {
            agent: AgentAddress(SocketAddrV4::new(ip, port)),
            service: ServiceId(u16::from_be_bytes([id[SERVICE_AT], id[SERVICE_AT + 1]])),
            domain: DomainId(id[DOMAIN_AT]),
            incarnation_low: u16::from_be_bytes([id[INCARNATION_AT], id[INCARNATION_AT + 1]]),
            nonce: [id[NONCE_AT], id[NONCE_AT + 1], id[NONCE_AT + 2]],
        })
    }

    fn find(&self, id: u8) -> Option<&FlowKey> {
        if self.current.id == id {
            return Some(&self.current);
        }
        self.previous.as_ref().filter(|key| key.id == id)
    }
}

fn short_code(key: &FlowKey, signed: &[u8]) -> [u8; CODE_BYTES] {
    let code = key.secret.code(&[signed]).to_be_bytes();
    let mut out = [0; CODE_BYTES];
    out.copy_from_slice(&code[..CODE_BYTES]);
    out
}
