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

/// The bytes of an IPv4 and a UDP header.
pub const IP_UDP_BYTES: usize = 28;

/// The largest membership message, in bytes.
pub const MESSAGE_LIMIT_BYTES: usize = 1_150;

/// How many records of at most 25 bytes a [`Difference`] carries.
const RECORDS_PER_DATAGRAM: usize = 30;

/// How many pieces of evidence a [`Difference`] carries.
const EVIDENCE_PER_DATAGRAM: usize = 30;

/// How many states a [`Difference`] asks for.
const WANTED_PER_DATAGRAM: usize = 50;

/// Marks evidence of silence.
const SILENT_BIT: u16 = 0x8000;

/// A datagram between members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipMessage {
    /// A member tells a watcher that it is alive.
    Heartbeat(Heartbeat),
    /// A member tells a watcher its whole record.
    Announce(Announce),
    /// A watcher answers.
    Ack(Ack),
    /// Asks a member for a sign of life.
    Probe,
    /// Answers a probe, or tells a former watcher that it no longer watches.
    ProbeAnswer(ProbeAnswer),
    /// Spreads news between balancers.
    Gossip(Gossip),
    /// Asks a peer to compare its view, bucket by bucket.
    BucketDigests {
        /// A digest of each bucket of the sender's view.
        digests: Vec<[u8; 2]>,
    },
    /// Answers with the states of the live members in some buckets that differ.
    BucketStates(BucketStates),
    /// Answers with what one side lacks.
    Difference(Difference),
    /// Asks for the settings above a version.
    PullSettings {
        /// What the sender has.
        above_version: u64,
        /// The service that the sender serves, if it is an agent.
        service: Option<ServiceId>,
    },
    /// Answers with the settings above a version.
    Settings(SettingsDelta),
    /// Answers that the settings asked for are too large for a datagram.
    SettingsOverTcp {
        /// What the answer would bring.
        version: u64,
    },
    /// An agent tells a watcher that another agent has not acknowledged an offer.
    UnresponsiveAgent {
        /// The agent that is silent.
        agent: AgentAddress,
    },
}

/// A sign of life.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The member.
    pub address: SocketAddrV4,
    /// Its current state.
    pub state_checksum: StateChecksum,
    /// The settings version in force at the member.
    pub settings_version: u64,
    /// A hash of the peers that it knows.
    pub peers_checksum: [u8; 2],
    /// Whether the watcher is to acknowledge.
    pub wants_ack: bool,
}

/// A whole record with a sign of life; always acknowledged.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announce {
    /// The record.
    pub record: MemberRecord,
    /// The settings version in force at the member.
    pub settings_version: u64,
    /// A hash of the peers that it knows.
    pub peers_checksum: [u8; 2],
}

/// A watcher's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// The state of the member that the watcher knows, if it knows the member.
    pub state_checksum: Option<StateChecksum>,
    /// Whether the watcher has too many members to watch.
    pub busy: bool,
    /// The settings version in force at the watcher.
    pub settings_version: u64,
    /// Some live balancers.
    pub balancers: Vec<BalancerRecord>,
    /// The other agents of the member's service, when its list is out of date.
    pub peers: Option<Vec<AgentRecord>>,
}

/// An answer to a probe.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeAnswer {
    /// The member.
    pub address: SocketAddrV4,
    /// Its current state.
    pub state_checksum: StateChecksum,
    /// Whether the receiver is one of its watchers.
    pub is_watched_by_receiver: bool,
}

/// News from one balancer to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// A digest of the sender's view.
    pub digest: u32,
    /// How many members are in it.
    pub members: u32,
    /// The settings version in force at the sender.
    pub settings_version: u64,
    /// The age of the last answer that any balancer got from the store, as far as known.
    pub store_age_ms: Option<u64>,
    /// The domains that are silent or were so lately.
    pub domains: Vec<DomainEvidence>,
    /// New and changed records.
    pub records: Vec<MemberRecord>,
    /// Members that went silent or were heard again.
    pub evidence: Vec<Evidence>,
}

/// What somebody observed of a member, in six bytes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// The state of the member that was observed.
    pub state: StateHash,
    /// The age in milliseconds, with a bit that is set if the member was silent.
    age_and_silence: [u8; 2],
}

/// What somebody observed of a whole failure domain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainEvidence {
    /// The domain.
    pub domain: DomainId,
    /// Whether it was silent.
    pub silent: bool,
    /// How long ago.
    pub age_ms: u32,
}

/// All live members in some buckets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BucketStates {
    /// Which buckets.
    pub buckets: Vec<u8>,
    /// The states of their members.
    pub states: Vec<StateHash>,
}

/// How two views differ in the buckets that were compared.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Records that the receiver lacks.
    pub records: Vec<MemberRecord>,
    /// Members that the receiver takes to be live and the sender to be silent.
    pub evidence: Vec<Evidence>,
    /// States of which the sender wants the record.
    pub wanted: Vec<StateHash>,
}

/// The whole view of a balancer, for one that joins.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// All members.
    pub members: Vec<SnapshotMember>,
    /// The domains that are silent or were so lately.
    pub domains: Vec<DomainEvidence>,
    /// The settings version in force at the sender.
    pub settings_version: u64,
}

/// A member in a [`Snapshot`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMember {
    /// Its record.
    pub record: MemberRecord,
    /// How long it has been silent, if it is.
    pub silent_ms: Option<u64>,
}

/// What the shell is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// The message, to be sealed under the key for `gossip`.
        message: MembershipMessage,
    },
    /// The agents of a service in placement have changed.
    AgentsChanged {
        /// The service.
        service: ServiceId,
    },
    /// The live balancers have changed.
    BalancersChanged,
    /// Get a [`Snapshot`] over TCP and merge it.
    FetchSnapshot {
        /// Who has it.
        from: BalancerAddress,
    },
    /// A peer has newer settings: get those above the version in force here.
    FetchSettings {
        /// Who has them.
        from: SocketAddrV4,
        /// The version that it has.
        version: u64,
    },
    /// A peer's settings are too large for a datagram: get them over TCP.
    FetchSettingsOverTcp {
        /// Who has them.
        from: SocketAddrV4,
        /// The version that it has.
        version: u64,
    },
    /// Put settings in force, then tell the version.
    ApplySettings {
        /// What changed.
        delta: SettingsDelta,
    },
    /// Send a peer the settings above a version, as [`SettingsDelta::into_message`].
    ServeSettings {
        /// Who asked.
        to: SocketAddrV4,
        /// What it has.
        above_version: u64,
        /// The service that it serves, if it is an agent.
        service: Option<ServiceId>,
    },
}

impl MembershipMessage {
    /// Returns the length of the encoded message.
    pub fn encoded_bytes(&self) -> usize {
        encoded_bytes(self)
    }

    /// Returns the bytes that the message takes on the network, with seal, UDP and IP headers.
    pub fn network_bytes(&self) -> usize {
        self.encoded_bytes() + AUTHENTICATION_OVERHEAD_BYTES + IP_UDP_BYTES
    }
}

/// Returns the length of any encoded value.
pub(super) fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX / 2)
}

impl Difference {
    /// Tells whether there is nothing to say.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.evidence.is_empty() && self.wanted.is_empty()
    }

    /// Takes as much out of it as fits a datagram.
    #[must_use]
    pub fn split_off_datagram(&mut self) -> Self {
        Self {
            records: take(&mut self.records, RECORDS_PER_DATAGRAM),
            evidence: take(&mut self.evidence, EVIDENCE_PER_DATAGRAM),
            wanted: take(&mut self.wanted, WANTED_PER_DATAGRAM),
        }
    }
}

fn take<T>(list: &mut Vec<T>, limit: usize) -> Vec<T> {
    let rest = list.split_off(limit.min(list.len()));
    std::mem::replace(list, rest)
}

impl Evidence {
    /// Describes an observation made at `stamp_ms`; a greater age than fits is capped.
    pub fn new(state: StateHash, silent: bool, stamp_ms: u64, now_ms: u64) -> Self {
        let age_ms = now_ms.saturating_sub(stamp_ms);
        let age_ms = age_ms.min(u64::from(SILENT_BIT - 1)) as u16;
        let age_and_silence = if silent { age_ms | SILENT_BIT } else { age_ms };
        Self {
            state,
            age_and_silence: age_and_silence.to_be_bytes(),
        }
    }

    /// Tells whether the member was silent.
    pub const fn is_silent(&self) -> bool {
        u16::from_be_bytes(self.age_and_silence) & SILENT_BIT != 0
    }

    /// Returns when it was observed.
    pub fn stamp_ms(&self, now_ms: u64) -> u64 {
        let age_ms = u16::from_be_bytes(self.age_and_silence) & !SILENT_BIT;
        now_ms.saturating_sub(u64::from(age_ms))
    }
}

impl DomainEvidence {
    /// Returns when it was observed.
    pub fn stamp_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(u64::from(self.age_ms))
    }
}
