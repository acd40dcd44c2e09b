use super::record::{AgentPhase, AgentRecord, BalancerRecord};
use crate::address::{AgentAddress, BalancerAddress, DomainId, Incarnation, ServiceId};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::{hash::Hasher, net::SocketAddrV4};

/// The record that a process, agent or balancer, announces about itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The address where the process receives datagrams.
    pub address: SocketAddrV4,
    /// The failure domain of the process.
    pub domain: DomainId,
    /// The incarnation of the process, which rises with each restart.
    pub incarnation: Incarnation,
    /// Incremented with each change within one incarnation.
    pub revision: u16,
    /// Whether the process accepts new work.
    pub phase: AgentPhase,
    /// Whether the process is an agent or a balancer.
    pub role: MemberRole,
}

/// The role of a member, with the fields that only this role has.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberRole {
    /// Runs next to a target.
    Agent {
        /// The service that the target belongs to.
        service: ServiceId,
        /// The capacity of the target relative to other targets of the service.
        weight: u8,
    },
    /// Forwards packets and watches other members.
    Balancer,
}

/// Identifies one state of a known member in two bytes.
///
/// It is a hash of the address, the incarnation and the revision, so that a heartbeat need not
/// carry incarnation and revision.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct StateChecksum([u8; 2]);

/// Identifies one state of one member among all members in four bytes.
///
/// The probability that any two states in a whole fleet share a hash is below one in a hundred.
/// Evidence attributed to the wrong member is refuted like any other evidence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StateHash([u8; 4]);

impl MemberRecord {
    /// Returns the checksum of this state.
    pub fn state_checksum(&self) -> StateChecksum {
        let hash = self.hash();
        StateChecksum([hash as u8, (hash >> 8) as u8])
    }

    /// Returns a hash of the address, the incarnation and the revision.
    pub fn hash(&self) -> u64 {
        hash_words(&[
            address_bits(self.address),
            u64::from(self.incarnation.0),
            u64::from(self.revision),
        ])
    }

    /// Returns the hash that identifies this state in evidence.
    pub fn state_hash(&self) -> StateHash {
        StateHash((self.hash() as u32).to_be_bytes())
    }

    /// Returns the key that orders the states of one member from the oldest to the newest.
    pub fn recency(&self) -> (Incarnation, u16) {
        (self.incarnation, self.revision)
    }

    /// Returns the service of an agent, or `None` for a balancer.
    pub fn service(&self) -> Option<ServiceId> {
        match self.role {
            MemberRole::Agent { service, .. } => Some(service),
            MemberRole::Balancer => None,
        }
    }

    /// Returns the agent's record, or `None` for a balancer.
    pub fn as_agent(&self) -> Option<AgentRecord> {
        let MemberRole::Agent { service, weight } = self.role else {
            return None;
        };
        Some(AgentRecord {
            address: AgentAddress(self.address),
            service,
            domain: self.domain,
            incarnation: self.incarnation,
            revision: self.revision,
            weight,
            phase: self.phase,
        })
    }

    /// Returns the balancer's record, or `None` for an agent.
    pub fn as_balancer(&self) -> Option<BalancerRecord> {
        (self.role == MemberRole::Balancer).then_some(BalancerRecord {
            address: BalancerAddress(self.address),
            domain: self.domain,
            incarnation: self.incarnation,
        })
    }
}

impl From<AgentRecord> for MemberRecord {
    fn from(record: AgentRecord) -> Self {
        Self {
            address: record.address.0,
            domain: record.domain,
            incarnation: record.incarnation,
            revision: record.revision,
            phase: record.phase,
            role: MemberRole::Agent {
                service: record.service,
                weight: record.weight,
            },
        }
    }
}

impl From<BalancerRecord> for MemberRecord {
    fn from(record: BalancerRecord) -> Self {
        Self {
            address: record.address.0,
            domain: record.domain,
            incarnation: record.incarnation,
            revision: 0,
            phase: AgentPhase::Serving,
            role: MemberRole::Balancer,
        }
    }
}

/// Returns the rendezvous-hashing score of a candidate for a subject; the highest score wins.
pub fn rendezvous_score(subject: SocketAddrV4, candidate: SocketAddrV4) -> u64 {
    hash_words(&[address_bits(subject), address_bits(candidate)])
}

/// Returns an IP address and a port packed into one integer.
pub(super) fn address_bits(address: SocketAddrV4) -> u64 {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}

/// Hashes integers to the same value in every process.
pub(super) fn hash_words(words: &[u64]) -> u64 {
    let mut hasher = SipHasher13::new();
    for word in words {
        hasher.write_u64(*word);
    }
    hasher.finish()
}
