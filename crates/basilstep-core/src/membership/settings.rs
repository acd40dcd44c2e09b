use serde::{Deserialize, Serialize};

/// The settings of announcements, failure detection and gossip.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// The time between two heartbeats to the same watcher.
    pub heartbeat_interval_ms: u64,
    /// How many balancers watch each process.
    pub watchers: usize,
    /// A watcher is asked to acknowledge one heartbeat out of this many.
    pub acknowledge_every: u64,
    /// A process replaces a watcher that has left more requests than this unanswered.
    pub unanswered_limit: u8,
    /// The time between retransmissions of an unacknowledged announcement.
    pub announce_repeat_ms: u64,
    /// How long a replaced or overloaded watcher is not selected again.
    pub avoid_ms: u64,
    /// The silence after which a watcher probes a member.
    pub probe_after_ms: u64,
    /// The silence after which a watcher probes every member that it watches in the silent member's
    /// domain.
    pub check_domain_after_ms: u64,
    /// The silence after which a watcher suspects a member.
    pub suspect_after_ms: u64,
    /// The additional silence before a suspicion when the watcher watches too few members of the
    /// domain to tell a failed member from a failed domain.
    pub lone_witness_ms: u64,
    /// How long other balancers can refute a suspicion, counted from the unanswered probe.
    pub refute_window_ms: u64,
    /// How many members of a domain a watcher must watch, with none of them answering, to suspect
    /// the domain as a whole.
    pub domain_witnesses: usize,
    /// A balancer that has received nothing from any member for this long considers itself isolated
    /// and suspects no member.
    pub life_window_ms: u64,
    /// A longer gap between two ticks means that the process was paused.
    pub pause_limit_ms: u64,
    /// The time between two periodic gossip datagrams.
    pub gossip_interval_ms: u64,
    /// How many peers new gossip items are sent to at once.
    pub fanout: usize,
    /// How many times a process sends one gossip item.
    pub sends_per_item: u8,
    /// How many times it sends an item when items about many members are queued.
    pub busy_sends_per_item: u8,
    /// How many times it sends an item while its own view is incomplete.
    pub settling_sends_per_item: u8,
    /// The rate limit of a balancer's gossip, IP and UDP headers included.
    pub gossip_bytes_per_s: u64,
    /// The largest burst of gossip that a balancer may send.
    pub gossip_burst_bytes: u64,
    /// The rate limit of gossip during the first `settle_ms` after the start.
    pub joining_bytes_per_s: u64,
    /// How long after its start a balancer's view may be incomplete.
    pub settle_ms: u64,
    /// The minimum time between two comparisons of the view with a peer's.
    pub sync_interval_ms: u64,
    /// The minimum time between two comparisons while the balancer's view is new.
    pub settling_sync_interval_ms: u64,
    /// The age above which another balancer's evidence of silence leads to a probe instead of a
    /// suspicion.
    pub hearsay_limit_ms: u64,
    /// The rate limit of probes that resolve contradictions between views.
    pub probes_per_s: u64,
    /// How long silent and stopped members are kept in the view.
    pub forget_after_ms: u64,
    /// How many balancers watch the store.
    pub store_watchers: usize,
    /// When the last known answer of the store to any balancer is older than this, every balancer
    /// watches the store itself.
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
