//! Tickets, which an agent issues to its callers for use in idempotency keys.

use crate::{
    address::{AgentAddress, Incarnation},
    crypto::{ClusterKey, SipHashKey, decode_hex, encode_hex},
};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

const TICKET_KEY_PURPOSE: &str = "ticket";
/// The length of the signed part: IP address, port, incarnation, run, epoch and flow.
const SIGNED_BYTES: usize = 22;
const CODE_BYTES: usize = 8;
const IP_BYTES: usize = 4;

/// The contents of a ticket: the agent and run that issued it, the epoch and the flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Ticket {
    /// The agent that issued it.
    pub agent: AgentAddress,
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// A random number that distinguishes runs that start within one second.
    pub run: u32,
    /// The epoch of the agent's records in which it was issued.
    pub epoch: u32,
    /// The number of the flow at the agent.
    pub flow: u32,
}

/// The key that signs and verifies tickets, shared by all agents.
#[derive(Clone, Copy, Debug)]
pub struct TicketKey(SipHashKey);

impl TicketKey {
    /// Derives the key from the cluster key.
    pub fn new(cluster_key: &ClusterKey) -> Self {
        Self(cluster_key.derive(TICKET_KEY_PURPOSE))
    }

    /// Encodes and signs a ticket as text that is safe in URLs and headers.
    pub fn encode(&self, ticket: &Ticket) -> String {
        let mut bytes = Vec::with_capacity(SIGNED_BYTES + CODE_BYTES);
        bytes.extend_from_slice(&ticket.agent.0.ip().octets());
        bytes.extend_from_slice(&ticket.agent.0.port().to_be_bytes());
        for number in [ticket.incarnation.0, ticket.run, ticket.epoch, ticket.flow] {
            bytes.extend_from_slice(&number.to_be_bytes());
        }
        let code = self.0.siphash(&[&bytes]);
        bytes.extend_from_slice(&code.to_be_bytes());
        encode_hex(&bytes)
    }

    /// Verifies and decodes a ticket; returns `None` for text that no agent of the cluster issued.
    pub fn decode(&self, text: &str) -> Option<Ticket> {
        if text.len() != 2 * (SIGNED_BYTES + CODE_BYTES) || !is_canonical_hex(text) {
            return None;
        }
        let bytes = decode_hex(text)?;
        let (signed, code) = bytes.split_at_checked(SIGNED_BYTES)?;
        if self.0.siphash(&[signed]).to_be_bytes() != code {
            return None;
        }
        read_signed(signed)
    }
}

/// Returns whether the text has the only accepted spelling, lower-case hexadecimal digits.
///
/// With several spellings one ticket could be used in different keys.
fn is_canonical_hex(text: &str) -> bool {
    text.bytes()
        .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
}

fn read_signed(signed: &[u8]) -> Option<Ticket> {
    let (ip, rest) = signed.split_first_chunk::<IP_BYTES>()?;
    let (port, rest) = rest.split_first_chunk()?;
    let (incarnation, rest) = rest.split_first_chunk()?;
    let (run, rest) = rest.split_first_chunk()?;
    let (epoch, rest) = rest.split_first_chunk()?;
    let (flow, _) = rest.split_first_chunk()?;
    let address = SocketAddrV4::new(Ipv4Addr::from(*ip), u16::from_be_bytes(*port));
    Some(Ticket {
        agent: AgentAddress(address),
        incarnation: Incarnation(u32::from_be_bytes(*incarnation)),
        run: u32::from_be_bytes(*run),
        epoch: u32::from_be_bytes(*epoch),
        flow: u32::from_be_bytes(*flow),
    })
}
