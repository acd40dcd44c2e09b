use super::{
    announcer::peers_checksum,
    messages::{Ack, MembershipAction, MembershipMessage},
    record::{AgentRecord, BalancerRecord},
    state::Membership,
};
use crate::context::Context;
use std::net::SocketAddrV4;

/// The number of balancers that an acknowledgement lists.
const BALANCERS_PER_ACK: usize = 1;

/// Up to this number of watched members a balancer is never considered busy.
const BUSY_MIN_MEMBERS: usize = 8;

impl Membership {
    pub(super) fn acknowledge(
        &mut self,
        to: SocketAddrV4,
        address: SocketAddrV4,
        peers: Option<Vec<AgentRecord>>,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        let state_checksum = self.table.get(address).map(|m| m.record.state_checksum());
        let ack = Ack {
            state_checksum,
            busy: self.is_busy(ctx.now_ms),
            settings_version: self.settings_version,
            balancers: self.sample_balancers(ctx),
            peers,
        };
        actions.push(MembershipAction::Send {
            to,
            message: MembershipMessage::Ack(ack),
        });
    }

    fn sample_balancers(&mut self, ctx: &mut Context) -> Vec<BalancerRecord> {
        let sample: Vec<SocketAddrV4> = (0..BALANCERS_PER_ACK)
            .filter_map(|_| self.random_peer(ctx))
            .collect();
        sample
            .into_iter()
            .filter_map(|address| self.table.get(address)?.record.as_balancer())
            .collect()
    }

    /// Returns whether this balancer watches clearly more members than its fair share.
    fn is_busy(&self, now_ms: u64) -> bool {
        let balancers = self.table.balancers().len().max(1);
        let share = self.settings.watchers * self.table.members().len() / balancers;
        let limit = share + share / 4 + 1;
        !self.is_settling(now_ms) && self.detector.active_count() > limit.max(BUSY_MIN_MEMBERS)
    }

    /// Returns the other agents of the member's service if the member's list of them is out of
    /// date.
    pub(super) fn outdated_peers(
        &self,
        address: SocketAddrV4,
        known: [u8; 2],
        now_ms: u64,
    ) -> Option<Vec<AgentRecord>> {
        let service = self.table.get(address)?.record.service()?;
        let peers: Vec<AgentRecord> = self
            .agents_of(service, now_ms)
            .into_iter()
            .filter(|agent| agent.address.0 != address)
            .collect();
        (peers_checksum(&peers) != known).then_some(peers)
    }
}
