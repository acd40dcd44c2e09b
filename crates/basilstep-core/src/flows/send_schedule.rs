use super::{balancer_list::BalancerList, key::rendezvous, settings::FlowSettings};
use crate::address::DomainId;
use std::net::Ipv4Addr;

/// Who is to get a sign of life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recipients {
    /// Nothing has changed: those whose turn it is.
    Scheduled,
    /// Something has changed that all have to know.
    All,
}

/// How often signs of life go to each of many balancers.
///
/// Their number grows with the square of the fleet. Beyond [`FlowSettings::pace_all`] balancers,
/// those of other domains get only every second, third or at least fourth one, in turns.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendSchedule {
    heartbeat: u64,
}

impl SendSchedule {
    /// Begins the next round of a process in `domain` and returns the balancers that it is for;
    /// `always` is among them whether it is its turn or not.
    pub fn next_round(
        &mut self,
        round: Recipients,
        always: Option<Ipv4Addr>,
        balancers: &BalancerList,
        domain: DomainId,
        settings: &FlowSettings,
    ) -> Vec<Ipv4Addr> {
        self.heartbeat += 1;
        balancers
            .addresses()
            .filter(|balancer| {
                let rounds_between_sends =
                    rounds_between_sends(*balancer, balancers, domain, settings);
                round == Recipients::All
                    || Some(*balancer) == always
                    || self.is_turn_of(*balancer, rounds_between_sends)
            })
            .collect()
    }

    fn is_turn_of(self, balancer: Ipv4Addr, rounds_between_sends: u16) -> bool {
        let place = rendezvous(0, balancer).wrapping_add(self.heartbeat);
        place.is_multiple_of(u64::from(rounds_between_sends))
    }
}

/// Returns after how many rounds of a process in `domain` a balancer has its turn.
pub fn rounds_between_sends(
    balancer: Ipv4Addr,
    balancers: &BalancerList,
    domain: DomainId,
    settings: &FlowSettings,
) -> u16 {
    if balancers.domain_of(balancer) == Some(domain) {
        return 1;
    }
    let rounds = balancers.len().div_ceil(settings.pace_all.max(1));
    u16::try_from(rounds)
        .unwrap_or(u16::MAX)
        .clamp(1, settings.slowest_pace.max(1))
}
