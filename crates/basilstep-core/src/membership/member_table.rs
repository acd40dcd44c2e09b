use super::{
    member::{MemberRecord, StateChecksum, StateHash, hash_words},
    record::AgentPhase,
};
use crate::address::{DomainId, ServiceId};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// The number of buckets into which members are hashed to compare two views.
pub const BUCKET_COUNT: usize = 256;

/// All members that a balancer knows, merged from all records and evidence that it received.
///
/// The states of a member are ordered by incarnation, then revision, then the time of the evidence;
/// at the same time, evidence of silence wins over evidence of life. A merge keeps the greatest
/// state, so the order of arrival does not matter.
#[derive(Clone, Debug)]
pub struct MemberTable {
    refute_window_ms: u64,
    members: BTreeMap<SocketAddrV4, Member>,
    by_service: BTreeMap<ServiceId, BTreeSet<SocketAddrV4>>,
    balancers: BTreeSet<SocketAddrV4>,
    domains: BTreeMap<DomainId, DomainStatus>,
    by_state: BTreeMap<StateHash, SocketAddrV4>,
    buckets: Vec<u64>,
}

/// A member with the latest evidence about it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Member {
    /// The latest record.
    pub record: MemberRecord,
    /// Whether the latest evidence says that the member is silent.
    pub silent: bool,
    /// The time of the latest evidence.
    pub stamp_ms: u64,
    /// The time of the first evidence of the current silence, if the member is silent.
    pub silent_since_ms: u64,
}

/// The latest evidence about a whole domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DomainStatus {
    /// Whether the evidence says that the domain is silent.
    pub silent: bool,
    /// The time of the evidence.
    pub stamp_ms: u64,
}

/// The outcome of merging a record or evidence into the view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeResult {
    /// It changed the view.
    Changed,
    /// The view already held it.
    Unchanged,
    /// The view holds something newer.
    Outdated,
    /// It concerns a member or a state of a member that the view does not hold.
    Unknown,
}

impl MemberTable {
    /// Creates an empty table; suspicions take effect after `refute_window_ms`.
    pub fn new(refute_window_ms: u64) -> Self {
        Self {
            refute_window_ms,
            members: BTreeMap::new(),
            by_service: BTreeMap::new(),
            balancers: BTreeSet::new(),
            domains: BTreeMap::new(),
            by_state: BTreeMap::new(),
            buckets: vec![0; BUCKET_COUNT],
        }
    }

    /// Returns all members, keyed by address.
    pub fn members(&self) -> &BTreeMap<SocketAddrV4, Member> {
        &self.members
    }

    /// Returns the member at an address.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Member> {
        self.members.get(&address)
    }

    /// Returns the member whose current state has a hash.
    pub fn find_by_state(&self, state: StateHash) -> Option<&Member> {
        self.get(*self.by_state.get(&state)?)
    }

    /// Returns the addresses of all balancers, live or not.
    pub fn balancers(&self) -> &BTreeSet<SocketAddrV4> {
        &self.balancers
    }

    /// Returns the balancers of a domain, live or not.
    pub fn balancers_in(&self, domain: DomainId) -> Vec<SocketAddrV4> {
        let is_in_domain = |member: &&Member| member.record.domain == domain;
        let members = self
            .balancers
            .iter()
            .filter_map(|address| self.get(*address));
        members
            .filter(is_in_domain)
            .map(|member| member.record.address)
            .collect()
    }

    /// Returns the agents of a service, live or not.
    pub fn agents_of(&self, service: ServiceId) -> impl Iterator<Item = &Member> {
        self.by_service
            .get(&service)
            .into_iter()
            .flatten()
            .filter_map(|address| self.members.get(address))
    }

    /// Returns the services that have agents in a domain.
    pub fn services_in(&self, domain: DomainId) -> BTreeSet<ServiceId> {
        self.members
            .values()
            .filter(|member| member.record.domain == domain)
            .filter_map(|member| member.record.service())
            .collect()
    }

    /// Returns the latest evidence about each domain.
    pub fn domains(&self) -> &BTreeMap<DomainId, DomainStatus> {
        &self.domains
    }

    /// Returns whether a domain is suspected or known to be silent.
    pub fn is_domain_unresponsive(&self, domain: DomainId) -> bool {
        self.domains
            .get(&domain)
            .is_some_and(|status| status.silent)
    }

    /// Returns whether a member is live: it has not stopped, and neither it nor its domain has been
    /// silent for longer than the refutation window.
    pub fn is_live(&self, member: &Member, now_ms: u64) -> bool {
        let is_expired = |stamp_ms: u64| now_ms >= stamp_ms + self.refute_window_ms;
        if member.record.phase == AgentPhase::Down {
            return false;
        }
        if member.silent && is_expired(member.silent_since_ms) {
            return false;
        }
        let domain = self.domains.get(&member.record.domain);
        !domain.is_some_and(|status| {
            status.silent && is_expired(status.stamp_ms) && member.stamp_ms <= status.stamp_ms
        })
    }

    /// Merges a record that was received at `stamp_ms`.
    ///
    /// The stop of an unknown member is kept, so that an older record that arrives later does not
    /// bring the member back. It counts as unchanged: views that have forgotten the member need
    /// not learn of it again.
    pub fn merge_record(&mut self, record: MemberRecord, stamp_ms: u64) -> MergeResult {
        let old = self.members.get(&record.address).copied();
        match old {
            Some(old) if old.record.recency() > record.recency() => return MergeResult::Outdated,
            Some(old) if old.record.recency() == record.recency() => return MergeResult::Unchanged,
            _ => {}
        }
        let is_unknown_stop = old.is_none() && record.phase == AgentPhase::Down;
        self.replace(Member {
            record,
            silent: false,
            stamp_ms,
            silent_since_ms: 0,
        });
        if is_unknown_stop {
            MergeResult::Unchanged
        } else {
            MergeResult::Changed
        }
    }

    /// Merges evidence that a member is silent or alive.
    pub fn merge_evidence(
        &mut self,
        address: SocketAddrV4,
        state_checksum: StateChecksum,
        silent: bool,
        stamp_ms: u64,
    ) -> MergeResult {
        let Some(old) = self.members.get(&address).copied() else {
            return MergeResult::Unknown;
        };
        if old.record.state_checksum() != state_checksum {
            return MergeResult::Unknown;
        }
        if (stamp_ms, silent) <= (old.stamp_ms, old.silent) {
            return if old.silent == silent {
                MergeResult::Unchanged
            } else {
                MergeResult::Outdated
            };
        }
        let silent_since_ms = if old.silent {
            old.silent_since_ms
        } else {
            stamp_ms
        };
        let new = Member {
            silent,
            stamp_ms,
            silent_since_ms,
            ..old
        };
        self.xor_into_bucket(&old);
        self.xor_into_bucket(&new);
        self.members.insert(address, new);
        if old.silent == silent {
            MergeResult::Unchanged
        } else {
            MergeResult::Changed
        }
    }

    /// Merges evidence about a whole domain.
    pub fn merge_domain(&mut self, domain: DomainId, silent: bool, stamp_ms: u64) -> MergeResult {
        let old = self.domains.get(&domain).copied().unwrap_or(DomainStatus {
            silent: false,
            stamp_ms: 0,
        });
        let is_older = (stamp_ms, silent) <= (old.stamp_ms, old.silent);
        if is_older || (old.silent && silent) {
            let is_same = old.silent == silent;
            return if is_same {
                MergeResult::Unchanged
            } else {
                MergeResult::Outdated
            };
        }
        self.domains
            .insert(domain, DomainStatus { silent, stamp_ms });
        if old.silent == silent {
            MergeResult::Unchanged
        } else {
            MergeResult::Changed
        }
    }

    /// Removes the members that stopped or went silent before `before_ms` and returns how many.
    pub fn forget_gone(&mut self, before_ms: u64) -> usize {
        let gone: Vec<SocketAddrV4> = self
            .members
            .values()
            .filter(|member| !is_in_digest(member) && member.stamp_ms < before_ms)
            .map(|member| member.record.address)
            .collect();
        for address in &gone {
            self.remove(*address);
        }
        gone.len()
    }

    /// Returns a digest of each bucket, over the members that are neither silent nor stopped.
    pub fn bucket_digests(&self) -> Vec<[u8; 2]> {
        self.buckets
            .iter()
            .map(|sum| [*sum as u8, (*sum >> 8) as u8])
            .collect()
    }

    /// Returns a digest of the whole view.
    pub fn digest(&self) -> u32 {
        self.buckets.iter().fold(0, |sum, bucket| sum ^ bucket) as u32
    }

    /// Returns the members in the given buckets that are neither silent nor stopped.
    pub fn members_in_buckets(&self, buckets: &BTreeSet<u8>) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| is_in_digest(member) && buckets.contains(&bucket_of(&member.record)))
    }

    fn replace(&mut self, member: Member) {
        let address = member.record.address;
        self.remove(address);
        if let Some(service) = member.record.service() {
            self.by_service.entry(service).or_default().insert(address);
        } else {
            self.balancers.insert(address);
        }
        self.by_state.insert(member.record.state_hash(), address);
        self.xor_into_bucket(&member);
        self.members.insert(address, member);
    }

    fn remove(&mut self, address: SocketAddrV4) {
        let Some(old) = self.members.remove(&address) else {
            return;
        };
        self.xor_into_bucket(&old);
        self.by_state.remove(&old.record.state_hash());
        self.balancers.remove(&address);
        let Some(service) = old.record.service() else {
            return;
        };
        if let Some(agents) = self.by_service.get_mut(&service) {
            agents.remove(&address);
            if agents.is_empty() {
                self.by_service.remove(&service);
            }
        }
    }

    fn xor_into_bucket(&mut self, member: &Member) {
        if is_in_digest(member) {
            let bucket = usize::from(bucket_of(&member.record));
            self.buckets[bucket] ^= member.record.hash();
        }
    }
}

fn is_in_digest(member: &Member) -> bool {
    !member.silent && member.record.phase != AgentPhase::Down
}

/// Returns the bucket of a record.
pub fn bucket_of(record: &MemberRecord) -> u8 {
    hash_words(&[super::member::address_bits(record.address)]) as u8
}
