//! Flow tokens: authenticated server connection IDs that name the agent of a flow.

use crate::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    crypto::SipHashKey,
};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The length of a flow token in bytes, the longest connection ID that QUIC version 1 allows.
pub const TOKEN_BYTES: usize = 20;

// The layout of a token: the id of the flow key, the IP address and the port of the agent, the
// service, the failure domain, the incarnation, the nonce and the authentication code.
const KEY_ID_OFFSET: usize = 0;
const IP_OFFSET: usize = 1;
const PORT_OFFSET: usize = 5;
const SERVICE_OFFSET: usize = 7;
const DOMAIN_OFFSET: usize = 9;
const INCARNATION_OFFSET: usize = 10;
const NONCE_OFFSET: usize = 12;
const CODE_OFFSET: usize = 15;
const CODE_BYTES: usize = TOKEN_BYTES - CODE_OFFSET;

/// The decoded contents of a flow token.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FlowToken {
    /// The agent that holds the flow.
    pub agent: AgentAddress,
    /// The service that the flow belongs to.
    pub service: ServiceId,
    /// The failure domain of the agent.
    pub domain: DomainId,
    /// The low 16 bits of the agent's incarnation.
    pub incarnation_low: u16,
    /// Random bytes that distinguish the connection IDs of an agent.
    pub nonce: [u8; 3],
}

/// A flow key and its identifier.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FlowKey {
    /// The identifier in the first byte of a token.
    pub id: u8,
    /// The key of the authentication code.
    pub secret: SipHashKey,
}

/// The flow keys in force: new tokens use the current key, and tokens of both are accepted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FlowKeys {
    /// Signs new tokens.
    pub current: FlowKey,
    /// Still accepted after a rotation.
    pub previous: Option<FlowKey>,
}

impl FlowToken {
    /// Returns whether the token was issued by the run of the agent with this incarnation.
    pub fn matches_incarnation(&self, incarnation: Incarnation) -> bool {
        self.incarnation_low == incarnation.0 as u16
    }

    /// Encodes and signs the token as a connection ID.
    pub fn encode(&self, key: &FlowKey) -> [u8; TOKEN_BYTES] {
        let mut id = [0; TOKEN_BYTES];
        id[KEY_ID_OFFSET] = key.id;
        id[IP_OFFSET..PORT_OFFSET].copy_from_slice(&self.agent.0.ip().octets());
        id[PORT_OFFSET..SERVICE_OFFSET].copy_from_slice(&self.agent.0.port().to_be_bytes());
        id[SERVICE_OFFSET..DOMAIN_OFFSET].copy_from_slice(&self.service.0.to_be_bytes());
        id[DOMAIN_OFFSET] = self.domain.0;
        id[INCARNATION_OFFSET..NONCE_OFFSET].copy_from_slice(&self.incarnation_low.to_be_bytes());
        id[NONCE_OFFSET..CODE_OFFSET].copy_from_slice(&self.nonce);
        let code = authentication_code(key, &id[..CODE_OFFSET]);
        id[CODE_OFFSET..].copy_from_slice(&code);
        id
    }
}

impl FlowKeys {
    /// Verifies and decodes a connection ID; returns `None` when no key in force signed it.
    pub fn decode(&self, id: &[u8]) -> Option<FlowToken> {
        let id: &[u8; TOKEN_BYTES] = id.try_into().ok()?;
        let key = self.find(id[KEY_ID_OFFSET])?;
        if authentication_code(key, &id[..CODE_OFFSET]) != id[CODE_OFFSET..] {
            return None;
        }
        let ip = Ipv4Addr::new(
            id[IP_OFFSET],
            id[IP_OFFSET + 1],
            id[IP_OFFSET + 2],
            id[IP_OFFSET + 3],
        );
        let port = u16::from_be_bytes([id[PORT_OFFSET], id[PORT_OFFSET + 1]]);
        Some(FlowToken {
            agent: AgentAddress(SocketAddrV4::new(ip, port)),
            service: ServiceId(u16::from_be_bytes([
                id[SERVICE_OFFSET],
                id[SERVICE_OFFSET + 1],
            ])),
            domain: DomainId(id[DOMAIN_OFFSET]),
            incarnation_low: u16::from_be_bytes([
                id[INCARNATION_OFFSET],
                id[INCARNATION_OFFSET + 1],
            ]),
            nonce: [id[NONCE_OFFSET], id[NONCE_OFFSET + 1], id[NONCE_OFFSET + 2]],
        })
    }

    fn find(&self, id: u8) -> Option<&FlowKey> {
        if self.current.id == id {
            return Some(&self.current);
        }
        self.previous.as_ref().filter(|key| key.id == id)
    }
}

fn authentication_code(key: &FlowKey, signed: &[u8]) -> [u8; CODE_BYTES] {
    let code = key.secret.siphash(&[signed]).to_be_bytes();
    let mut out = [0; CODE_BYTES];
    out.copy_from_slice(&code[..CODE_BYTES]);
    out
}
