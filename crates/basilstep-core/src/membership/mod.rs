//! Cluster membership of agents and balancers: announcements, failure detection and gossip.
//!
//! An [`Announcer`] sends the state of its process to two watchers, which are balancers. A
//! [`Membership`] monitors the processes that chose its balancer as a watcher, spreads state
//! changes by gossip and merges what it receives, so that the views of all balancers converge.
//!
//! A member that sends nothing for too long is suspected. Other balancers can refute the suspicion
//! until its refutation window ends; only then does the member leave placement.

mod acks;
mod announcer;
mod contradictions;
mod dissemination;
mod failure_detector;
mod failure_reports;
mod gossip;
mod join;
mod member;
mod member_table;
mod merge;
mod messages;
mod probes;
mod queries;
mod receive;
mod record;
mod reports;
mod settings;
mod settings_delta;
mod state;
mod store_freshness;
mod suspicion;
mod sync;
#[cfg(test)]
mod tests;

pub use announcer::Announcer;
pub use member::{MemberRecord, MemberRole, StateChecksum, StateHash, rendezvous_score};
pub use messages::{
    Ack, Announce, BucketStates, DomainEvidence, Evidence, Gossip, Heartbeat, MembershipAction,
    MembershipMessage, MembershipSnapshot, ProbeAnswer, SnapshotMember, ViewDifference,
};
pub use record::{AgentPhase, AgentRecord, BalancerRecord};
pub use settings::MembershipSettings;
pub use settings_delta::SettingsDelta;
pub use state::{Membership, MembershipCounters};
