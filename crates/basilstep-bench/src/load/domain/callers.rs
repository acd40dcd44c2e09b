//! Callers, their flows and their requests.

use super::balancer::FLOW_KEYS;
use basilstep_core::{
    address::Incarnation,
    context::Context,
    membership::AgentRecord,
    token::{FlowToken, TOKEN_BYTES},
};
use rand::{Rng, RngExt};
use std::net::{Ipv4Addr, SocketAddr};

/// The size of the first packet of a flow.
const OPENING_BYTES: usize = 1_200;
/// The length of the connection ID that a caller chooses.
const FIRST_ID_BYTES: usize = 8;
/// The first byte of an initial packet (long header).
const LONG_HEADER: u8 = 0xc0;
/// The first byte of a packet of an open flow (short header).
const SHORT_HEADER: u8 = 0x40;
/// The size of a packet of an open flow.
const SHORT_BYTES: usize = 64;

/// One caller. A new caller replaces it when its flow ends normally.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The source address.
    pub address: SocketAddr,
    /// The open flow, if there is one.
    pub flow: Option<Flow>,
    /// The number of flows opened so far; distinguishes a scheduled end of an earlier flow.
    pub generation: u32,
    /// When the last flow was lost; set while there is no other flow.
    pub lost_ms: Option<u64>,
    /// The requests that wait for an open flow.
    pub waiting: Vec<Request>,
}

/// An open flow.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// The index of the agent.
    pub agent: usize,
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// The connection ID that the agent issued.
    pub token: [u8; TOKEN_BYTES],
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The index of the caller.
    pub caller: usize,
    /// The deadline of the request.
    pub deadline_ms: u64,
    /// Whether the request must not run twice; it then counts double in the score.
    pub is_non_idempotent: bool,
    /// The number of this attempt, from 1.
    pub attempt: u32,
    /// The agent that relayed the request, if any.
    pub relayed_by: Option<usize>,
}

/// The first packet of a new flow.
#[derive(Clone, Debug)]
pub struct FirstPacket {
    /// The connection ID that the caller chose.
    pub id: [u8; FIRST_ID_BYTES],
    /// The datagram.
    pub datagram: Vec<u8>,
}

impl Caller {
    /// Creates a caller without a flow.
    pub fn new(context: &mut Context) -> Self {
        let ip = Ipv4Addr::from_bits(context.rng.next_u32());
        let port: u16 = context.rng.random();
        Self {
            address: SocketAddr::from((ip, port)),
            flow: None,
            generation: 0,
            lost_ms: None,
            waiting: Vec::new(),
        }
    }
}

impl Flow {
    /// Creates an open flow at an agent.
    pub fn new(agent: usize, record: &AgentRecord) -> Self {
        let token = FlowToken {
            agent: record.address,
            service: record.service,
            domain: record.domain,
            incarnation_low: record.incarnation.0 as u16,
            nonce: [0; 3],
        };
        Self {
            agent,
            incarnation: record.incarnation,
            token: token.encode(&FLOW_KEYS.current),
        }
    }

    /// Returns a packet of the flow.
    pub fn datagram(&self) -> [u8; SHORT_BYTES] {
        let mut datagram = [0; SHORT_BYTES];
        datagram[0] = SHORT_HEADER;
        datagram[1..=TOKEN_BYTES].copy_from_slice(&self.token);
        datagram
    }
}

impl FirstPacket {
    /// Chooses a random connection ID and encodes the packet.
    pub fn new(context: &mut Context) -> Self {
        let id: [u8; FIRST_ID_BYTES] = context.rng.random();
        let head = [LONG_HEADER, 0, 0, 0, 1, FIRST_ID_BYTES as u8];
        let mut datagram = vec![0; OPENING_BYTES];
        datagram[..head.len()].copy_from_slice(&head);
        datagram[head.len()..head.len() + FIRST_ID_BYTES].copy_from_slice(&id);
        Self { id, datagram }
    }
}
