use crate::address::DomainId;
use std::net::SocketAddrV4;

/// A suspicion that takes effect at the end of its refutation window.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PendingSuspicion {
    /// When the refutation window ends.
    pub at_ms: u64,
    /// The member or domain that is suspected.
    pub subject: SuspicionSubject,
}

/// What a suspicion concerns.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SuspicionSubject {
    /// A single member.
    Member(SocketAddrV4),
    /// A whole domain.
    Domain(DomainId),
}
