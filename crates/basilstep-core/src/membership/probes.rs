use super::messages::{MembershipAction, MembershipMessage};
use std::net::SocketAddrV4;

/// How long a probe is unanswered when a member is suspected; a suspicion is dated back by this
/// time.
///
/// An answer to the suspicion is therefore newer than the suspicion, by more than the error that
/// the ages of evidence accumulate in transit.
pub const UNANSWERED_PROBE_MS: u64 = 150;

/// The time between two probes of each silent domain.
pub const SILENT_DOMAIN_PROBE_INTERVAL_MS: u64 = 5_000;

/// Returns the action that probes a member.
pub fn probe(to: SocketAddrV4) -> MembershipAction {
    MembershipAction::Send {
        to,
        message: MembershipMessage::Probe,
    }
}
