use super::record::{AgentPhase, AgentRecord, BalancerRecord};
use crate::address::{AgentAddress, BalancerAddress, DomainId, Incarnation, ServiceId};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::{hash::Hasher, net::SocketAddrV4};

/// What any process, agent or balancer, announces about itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Where the process takes datagrams.
    pub address: SocketAddrV4,
    /// Its failure domain.
    pub domain: DomainId,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// Rises with each change within one incarnation.
    pub revision: u16,
    /// Whether it takes new work.
    pub phase: AgentPhase,
    /// What it does.
    pub role: MemberRole,
}

/// The duty of a member with its particulars.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberRole {
    /// Stands beside a target.
    Agent {
        /// The service that the target serves.
        service: ServiceId,
        /// The capacity of the target relative to others of its service.
        weight: u8,
    },
    /// Carries packets and watches other members.
    Balancer,
}

/// Identifies one state of one member in two bytes.
///
/// It is a hash of the incarnation and the revision, so that a heartbeat need not carry both.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct StateChecksum([u8; 2]);

/// Names one state of one member among all members in four bytes.
///
/// Two states of a whole fleet share a hash with a probability of less than one in a hundred;
/// evidence that hits the wrong member is refuted like any other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StateHash([u8; 4]);

impl MemberRecord {
    /// Returns the run check of this state.
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

    /// Returns a hash that names this state of this member in evidence.
    pub fn state_hash(&self) -> StateHash {
        StateHash((self.hash() as u32).to_be_bytes())
    }

    /// Returns the order of this state among the states of the same member.
    pub fn recency(&self) -> (Incarnation, u16) {
        (self.incarnation, self.revision)
    }

    /// Returns the service of an agent.
    pub fn service(&self) -> Option<ServiceId> {
        match self.role {
            MemberRole::Agent { service, .. } => Some(service),
            MemberRole::Balancer => None,
        }
    }

    /// Returns the record as that of an agent, if it is one.
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

    /// Returns the record as that of a balancer, if it is one.
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

/// Returns the rendezvous score of a candidate for a subject; the highest score wins.
pub fn rendezvous_score(subject: SocketAddrV4, candidate: SocketAddrV4) -> u64 {
    hash_words(&[address_bits(subject), address_bits(candidate)])
}

/// Returns an address as one number.
pub(super) fn address_bits(address: SocketAddrV4) -> u64 {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}

/// Hashes numbers in a way that is the same in every process.
pub(super) fn hash_words(words: &[u64]) -> u64 {
    let mut hasher = SipHasher13::new();
    for word in words {
        hasher.write_u64(*word);
    }
    hasher.finish()
}
