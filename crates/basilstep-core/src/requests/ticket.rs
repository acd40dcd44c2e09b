//! Tickets: what an agent gives its callers to build idempotency keys on.

use crate::{
    address::{AgentAddress, Incarnation},
    crypto::{ClusterKey, SipHashKey, decode_hex, encode_hex},
};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

const PURPOSE: &str = "ticket";
const SIGNED_BYTES: usize = 22;
const CODE_BYTES: usize = 8;
const IP_BYTES: usize = 4;

/// What a ticket says: which run of which agent minted it, when, for which flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Ticket {
    /// The agent that minted it.
    pub agent: AgentAddress,
    /// The run of the agent.
    pub incarnation: Incarnation,
    /// A random number of the run, in case two runs start within one second.
    pub run: u32,
    /// The epoch of the agent's records in which it was minted.
    pub epoch: u32,
    /// Tells the flows of the agent apart.
    pub flow: u32,
}

/// Signs and checks tickets; all agents share it.
#[derive(Clone, Copy, Debug)]
pub struct TicketKey(SipHashKey);

impl TicketKey {
    /// Derives the key from the cluster key.
    pub fn new(cluster_key: &ClusterKey) -> Self {
        Self(cluster_key.derive(PURPOSE))
    }

    /// Writes a ticket as text that is safe in URLs and headers.
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

    /// Reads a ticket; `None` for any text that no agent of the cluster wrote.
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

/// Each ticket has one spelling, so that two spellings never make two keys of one.
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
