use super::{balancer_list::BalancerList, key::rendezvous, settings::FlowSettings};
use crate::address::DomainId;
use std::net::Ipv4Addr;

/// The balancers that get a report or heartbeat in a round.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recipients {
    /// Nothing has changed: the balancers whose turn it is.
    Scheduled,
    /// Something has changed that every balancer has to know.
    All,
}

/// The schedule by which reports or heartbeats go to each of many balancers.
///
/// Their total number grows with the square of the fleet. Beyond [`FlowSettings::pace_all`]
/// balancers, those of other domains get only every second, third or at least fourth one, in turns.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendSchedule {
    round_number: u64,
}

impl SendSchedule {
    /// Starts the next round of a process in `domain` and returns the balancers that get a message;
    /// `always` is included even if it is not its turn.
    pub fn next_round(
        &mut self,
        recipients: Recipients,
        always: Option<Ipv4Addr>,
        balancers: &BalancerList,
        domain: DomainId,
        settings: &FlowSettings,
    ) -> Vec<Ipv4Addr> {
        self.round_number += 1;
        balancers
            .addresses()
            .filter(|balancer| {
                let send_period_rounds = send_period_rounds(*balancer, balancers, domain, settings);
                recipients == Recipients::All
                    || Some(*balancer) == always
                    || self.is_turn_of(*balancer, send_period_rounds)
            })
            .collect()
    }

    fn is_turn_of(self, balancer: Ipv4Addr, send_period_rounds: u16) -> bool {
        let place = rendezvous(0, balancer).wrapping_add(self.round_number);
        place.is_multiple_of(u64::from(send_period_rounds))
    }
}

/// Returns every how many rounds of a process in `domain` a balancer gets a message.
pub fn send_period_rounds(
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
