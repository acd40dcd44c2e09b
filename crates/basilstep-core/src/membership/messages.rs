use super::{
    member::{MemberRecord, StateChecksum, StateHash},
    record::{AgentRecord, BalancerRecord},
    settings_delta::SettingsDelta,
};
use crate::{
    address::{AgentAddress, BalancerAddress, DomainId, ServiceId},
    wire::AUTHENTICATION_OVERHEAD_BYTES,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The length of an IPv4 header and a UDP header.
pub const IP_UDP_BYTES: usize = 28;

/// The maximum length of an encoded membership message.
pub const MESSAGE_LIMIT_BYTES: usize = 1_150;

/// The maximum number of records, of at most 25 bytes each, in a [`ViewDifference`].
const MAX_RECORDS_PER_DATAGRAM: usize = 30;

/// The maximum number of evidence items in a [`ViewDifference`].
const MAX_EVIDENCE_PER_DATAGRAM: usize = 30;

/// The maximum number of requested states in a [`ViewDifference`].
const MAX_WANTED_PER_DATAGRAM: usize = 50;

/// The bit that marks evidence of silence.
const SILENT_BIT: u16 = 0x8000;

/// A message between members, sent as one datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipMessage {
    /// A member tells a watcher that it is alive.
    Heartbeat(Heartbeat),
    /// A member sends a watcher its whole record.
    Announce(Announce),
    /// A watcher acknowledges a heartbeat or an announcement.
    Ack(Ack),
    /// Asks a member to confirm that it is alive.
    Probe,
    /// Answers a probe, or tells a former watcher that it is no longer one.
    ProbeAnswer(ProbeAnswer),
    /// Spreads state changes between balancers.
    Gossip(Gossip),
    /// Asks a peer to compare its view with the sender's, bucket by bucket.
    BucketDigests {
        /// A digest of each bucket of the sender's view.
        digests: Vec<[u8; 2]>,
    },
    /// Answers [`MembershipMessage::BucketDigests`] with the states of the live members in buckets
    /// that differ.
    BucketStates(BucketStates),
    /// Answers with the records and evidence that one side lacks.
    Difference(ViewDifference),
    /// Asks for the settings newer than a version.
    PullSettings {
        /// The version that the sender has.
        above_version: u64,
        /// The service of the sender, if it is an agent.
        service: Option<ServiceId>,
    },
    /// Answers with the settings newer than a version.
    Settings(SettingsDelta),
    /// Answers that the requested settings are too large for a datagram.
    SettingsOverTcp {
        /// The version that the requested settings lead to.
        version: u64,
    },
    /// An agent reports to a watcher that another agent has not acknowledged an offer.
    UnresponsiveAgent {
        /// The agent that did not answer.
        agent: AgentAddress,
    },
}

/// A heartbeat of a member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The address of the member.
    pub address: SocketAddrV4,
    /// The checksum of its current state.
    pub state_checksum: StateChecksum,
    /// The settings version in force at the member.
    pub settings_version: u64,
    /// A checksum of the peers that the member knows.
    pub peers_checksum: [u8; 2],
    /// Whether the watcher must acknowledge the heartbeat.
    pub wants_ack: bool,
}

/// The whole record of a member; counts as a heartbeat and is always acknowledged.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announce {
    /// The record.
    pub record: MemberRecord,
    /// The settings version in force at the member.
    pub settings_version: u64,
    /// A checksum of the peers that the member knows.
    pub peers_checksum: [u8; 2],
}

/// A watcher's acknowledgement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// The checksum of the state in the watcher's view, if it knows the member.
    pub state_checksum: Option<StateChecksum>,
    /// Whether the watcher watches too many members.
    pub busy: bool,
    /// The settings version in force at the watcher.
    pub settings_version: u64,
    /// A random sample of live balancers.
    pub balancers: Vec<BalancerRecord>,
    /// The other agents of the member's service, if the member's list is out of date.
    pub peers: Option<Vec<AgentRecord>>,
}

/// An answer to a probe.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeAnswer {
    /// The address of the member.
    pub address: SocketAddrV4,
    /// The checksum of its current state.
    pub state_checksum: StateChecksum,
    /// Whether the receiver is one of its watchers.
    pub is_watched_by_receiver: bool,
}

/// State changes that a balancer sends to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// A digest of the sender's view.
    pub digest: u32,
    /// The number of members in that view.
    pub members: u32,
    /// The settings version in force at the sender.
    pub settings_version: u64,
    /// The age of the last known answer of the store to any balancer.
    pub store_age_ms: Option<u64>,
    /// The domains that are silent or were recently.
    pub domains: Vec<DomainEvidence>,
    /// New and changed records.
    pub records: Vec<MemberRecord>,
    /// Evidence about members that became silent or sent messages again.
    pub evidence: Vec<Evidence>,
}

/// An observation that a member is silent or alive, in six bytes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// The state of the observed member.
    pub state: StateHash,
    /// The age in milliseconds, with [`SILENT_BIT`] set if the member was silent.
    age_and_silence: [u8; 2],
}

/// An observation that a whole failure domain is silent or alive.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainEvidence {
    /// The domain.
    pub domain: DomainId,
    /// Whether the domain was silent.
    pub silent: bool,
    /// The age of the observation.
    pub age_ms: u32,
}

/// The states of all live members in some buckets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BucketStates {
    /// The buckets.
    pub buckets: Vec<u8>,
    /// The states of the members in them.
    pub states: Vec<StateHash>,
}

/// The differences between two views in the compared buckets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewDifference {
    /// Records that the receiver lacks.
    pub records: Vec<MemberRecord>,
    /// Evidence about members that are live in the receiver's view and silent in the sender's.
    pub evidence: Vec<Evidence>,
    /// States whose records the sender requests.
    pub wanted: Vec<StateHash>,
}

/// The whole view of a balancer, for a balancer that joins.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MembershipSnapshot {
    /// All members.
    pub members: Vec<SnapshotMember>,
    /// The domains that are silent or were recently.
    pub domains: Vec<DomainEvidence>,
    /// The settings version in force at the sender.
    pub settings_version: u64,
}

/// A member in a [`MembershipSnapshot`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMember {
    /// The record of the member.
    pub record: MemberRecord,
    /// How long the member has been silent, if it is.
    pub silent_ms: Option<u64>,
}

/// An action that the I/O layer carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// The address of the receiver.
        to: SocketAddrV4,
        /// The message, to be authenticated with the key derived for `gossip`.
        message: MembershipMessage,
    },
    /// The agents of a service that are in placement have changed.
    AgentsChanged {
        /// The service.
        service: ServiceId,
    },
    /// The live balancers have changed.
    BalancersChanged,
    /// Fetch a [`MembershipSnapshot`] over TCP and merge it.
    FetchSnapshot {
        /// The balancer that has the snapshot.
        from: BalancerAddress,
    },
    /// A peer has newer settings: fetch those newer than the version in force here.
    FetchSettings {
        /// The process that has the settings.
        from: SocketAddrV4,
        /// The version of that process.
        version: u64,
    },
    /// A peer's settings are too large for a datagram: fetch them over TCP.
    FetchSettingsOverTcp {
        /// The process that has the settings.
        from: SocketAddrV4,
        /// The version of that process.
        version: u64,
    },
    /// Put settings in force, then report their version with `set_settings_version`.
    ApplySettings {
        /// The changed settings.
        delta: SettingsDelta,
    },
    /// Send a peer the settings newer than a version, as returned by
    /// [`SettingsDelta::into_message`].
    ServeSettings {
        /// The process that asked.
        to: SocketAddrV4,
        /// The version that it has.
        above_version: u64,
        /// The service of that process, if it is an agent.
        service: Option<ServiceId>,
    },
}

impl MembershipMessage {
    /// Returns the length of the encoded message.
    pub fn encoded_bytes(&self) -> usize {
        encoded_bytes(self)
    }

    /// Returns the length of the message on the network, with the authentication code and the UDP
    /// and IP headers.
    pub fn network_bytes(&self) -> usize {
        self.encoded_bytes() + AUTHENTICATION_OVERHEAD_BYTES + IP_UDP_BYTES
    }
}

/// Returns the length of any encoded value.
pub(super) fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX / 2)
}

impl ViewDifference {
    /// Returns whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.evidence.is_empty() && self.wanted.is_empty()
    }

    /// Removes and returns as much as fits into one datagram.
    #[must_use]
    pub fn split_off_datagram(&mut self) -> Self {
        Self {
            records: take(&mut self.records, MAX_RECORDS_PER_DATAGRAM),
            evidence: take(&mut self.evidence, MAX_EVIDENCE_PER_DATAGRAM),
            wanted: take(&mut self.wanted, MAX_WANTED_PER_DATAGRAM),
        }
    }
}

fn take<T>(list: &mut Vec<T>, limit: usize) -> Vec<T> {
    let rest = list.split_off(limit.min(list.len()));
    std::mem::replace(list, rest)
}

impl Evidence {
    /// Creates evidence observed at `stamp_ms`; an age that does not fit is capped.
    pub fn new(state: StateHash, silent: bool, stamp_ms: u64, now_ms: u64) -> Self {
        let age_ms = now_ms.saturating_sub(stamp_ms);
        let age_ms = age_ms.min(u64::from(SILENT_BIT - 1)) as u16;
        let age_and_silence = if silent { age_ms | SILENT_BIT } else { age_ms };
        Self {
            state,
            age_and_silence: age_and_silence.to_be_bytes(),
        }
    }

    /// Returns whether the member was silent.
    pub const fn is_silent(&self) -> bool {
        u16::from_be_bytes(self.age_and_silence) & SILENT_BIT != 0
    }

    /// Returns the time of the observation.
    pub fn stamp_ms(&self, now_ms: u64) -> u64 {
        let age_ms = u16::from_be_bytes(self.age_and_silence) & !SILENT_BIT;
        now_ms.saturating_sub(u64::from(age_ms))
    }
}

impl DomainEvidence {
    /// Returns the time of the observation.
    pub fn stamp_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(u64::from(self.age_ms))
    }
}
