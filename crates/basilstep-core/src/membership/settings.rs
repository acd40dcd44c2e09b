use serde::{Deserialize, Serialize};

/// The settings of announcements, failure detection and gossip.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// The time between two heartbeats to the same watcher.
    pub heartbeat_interval_ms: u64,
    /// How many balancers watch each process.
    pub watchers: usize,
    /// Every how many heartbeats a watcher is asked to acknowledge.
    pub acknowledge_every: u64,
    /// How many unanswered requests make a process replace a watcher.
    pub unanswered_limit: u8,
    /// The time between repeats of an announcement that was not acknowledged.
    pub announce_repeat_ms: u64,
    /// How long a replaced or overloaded watcher is not chosen again.
    pub avoid_ms: u64,
    /// The silence after which a watcher probes a member.
    pub probe_after_ms: u64,
    /// The silence after which a watcher probes all that it watches in the member's domain.
    pub check_domain_after_ms: u64,
    /// The silence after which a watcher suspects a member.
    pub suspect_after_ms: u64,
    /// The additional silence required when the watcher has too few members in the domain to judge
    /// the whole domain.
    pub lone_witness_ms: u64,
    /// The time that others have to refute a suspicion, from the probe that was not answered.
    pub refute_window_ms: u64,
    /// How many silent members of a domain a watcher needs to suspect the domain as a whole.
    pub domain_witnesses: usize,
    /// A balancer that has heard nobody at all for this long takes itself to be isolated and
    /// suspects nobody.
    pub life_window_ms: u64,
    /// A gap between ticks above which the process was paused.
    pub pause_limit_ms: u64,
    /// The time between two periodic gossip datagrams.
    pub gossip_interval_ms: u64,
    /// How many peers get news at once.
    pub fanout: usize,
    /// How often a process passes on one item.
    pub sends_per_item: u8,
    /// How often it does when there is news of many members.
    pub busy_sends_per_item: u8,
    /// How often it does while its own view is incomplete.
    pub settling_sends_per_item: u8,
    /// The rate at which a balancer sends gossip, with IP and UDP headers.
    pub gossip_bytes_per_s: u64,
    /// How many bytes of gossip a balancer may send at once.
    pub gossip_burst_bytes: u64,
    /// The rate while the balancer's view is younger than `settle_ms`.
    pub joining_bytes_per_s: u64,
    /// How long after its start a balancer's view is taken to be incomplete.
    pub settle_ms: u64,
    /// The least time between two comparisons of the view with a peer.
    pub sync_interval_ms: u64,
    /// The least time between two comparisons while the balancer's view is new.
    pub settling_sync_interval_ms: u64,
    /// The age above which hearsay of silence leads to a probe instead of a removal.
    pub hearsay_limit_ms: u64,
    /// How many probes a second are spent on contradictions between views.
    pub probes_per_s: u64,
    /// How long silent and stopped members are remembered.
    pub forget_after_ms: u64,
    /// How many balancers watch the store.
    pub store_watchers: usize,
    /// The age of the last known store answer above which any balancer watches the store itself.
    pub store_stale_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval_ms: 1_000,
            watchers: 2,
            acknowledge_every: 8,
            unanswered_limit: 3,
            announce_repeat_ms: 500,
            avoid_ms: 30_000,
            probe_after_ms: 1_200,
            check_domain_after_ms: 1_350,
            suspect_after_ms: 1_550,
            lone_witness_ms: 150,
            refute_window_ms: 600,
            domain_witnesses: 3,
            life_window_ms: 300,
            pause_limit_ms: 1_000,
            gossip_interval_ms: 500,
            fanout: 2,
            sends_per_item: 10,
            busy_sends_per_item: 7,
            settling_sends_per_item: 2,
            gossip_bytes_per_s: 600,
            gossip_burst_bytes: 6_000,
            joining_bytes_per_s: 12_000,
            settle_ms: 30_000,
            sync_interval_ms: 5_000,
            settling_sync_interval_ms: 1_000,
            hearsay_limit_ms: 5_000,
            probes_per_s: 5,
            forget_after_ms: 3_600_000,
            store_watchers: 3,
            store_stale_ms: 10_000,
        }
    }
}
