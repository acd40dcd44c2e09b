use super::{balancer_list::BalancerList, key::rendezvous, settings::FlowSettings};
use crate::address::DomainId;
use std::net::Ipv4Addr;

/// The balancers that get a report or heartbeat in one send interval.
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
    interval_number: u64,
}

impl SendSchedule {
    /// Starts the next send interval of a process in `domain` and returns the balancers that get a
    /// message; `always` is included even if it is not its turn.
    pub fn next_interval(
        &mut self,
        recipients: Recipients,
        always: Option<Ipv4Addr>,
        balancers: &BalancerList,
        domain: DomainId,
        settings: &FlowSettings,
    ) -> Vec<Ipv4Addr> {
        self.interval_number += 1;
        balancers
            .addresses()
            .filter(|balancer| {
                let send_period_intervals =
                    send_period_intervals(*balancer, balancers, domain, settings);
                recipients == Recipients::All
                    || Some(*balancer) == always
                    || self.is_turn_of(*balancer, send_period_intervals)
            })
            .collect()
    }

    fn is_turn_of(self, balancer: Ipv4Addr, send_period_intervals: u16) -> bool {
        let place = rendezvous(0, balancer).wrapping_add(self.interval_number);
        place.is_multiple_of(u64::from(send_period_intervals))
    }
}

/// Returns the number of send intervals after which a process in `domain` sends a balancer the next
/// message.
pub fn send_period_intervals(
    balancer: Ipv4Addr,
    balancers: &BalancerList,
    domain: DomainId,
    settings: &FlowSettings,
) -> u16 {
    if balancers.domain_of(balancer) == Some(domain) {
        return 1;
    }
    let intervals = balancers.len().div_ceil(settings.liveness.pace_all.max(1));
    u16::try_from(intervals)
        .unwrap_or(u16::MAX)
        .clamp(1, settings.liveness.slowest_pace.max(1))
}
