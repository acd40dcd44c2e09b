use super::probes::UNANSWERED_PROBE_MS;
use crate::address::DomainId;
use std::{collections::BTreeMap, net::SocketAddrV4};

/// The agents that other agents reported as unresponsive and that have not answered a probe yet.
#[derive(Clone, Debug, Default)]
pub struct FailureReports {
    pub(super) open: BTreeMap<SocketAddrV4, ReportedAgent>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedAgent {
    pub(super) domain: DomainId,
    pub(super) probed_ms: u64,
    /// Whether another member of the domain has responded since, which shows that the domain has
    /// not failed.
    pub(super) has_domain_responded: bool,
}

impl FailureReports {
    /// Records that a member is alive: neither it nor its whole domain has failed.
    pub(super) fn on_liveness_evidence(&mut self, address: SocketAddrV4, domain: DomainId) {
        self.open.remove(&address);
        for reported in self.open.values_mut() {
            reported.has_domain_responded |= reported.domain == domain;
        }
    }

    /// Removes the agents whose probe timed out and returns those to suspect: the ones in domains
    /// with another member that responded.
    pub(super) fn take_unresponsive(&mut self, now_ms: u64) -> Vec<SocketAddrV4> {
        let is_due = |reported: &ReportedAgent| now_ms >= reported.probed_ms + UNANSWERED_PROBE_MS;
        let due: Vec<(SocketAddrV4, ReportedAgent)> = self
            .open
            .iter()
            .filter(|(_, reported)| is_due(reported))
            .map(|(address, reported)| (*address, *reported))
            .collect();
        self.open.retain(|_, reported| !is_due(reported));
        due.into_iter()
            .filter(|(_, reported)| reported.has_domain_responded)
            .map(|(address, _)| address)
            .collect()
    }
}
