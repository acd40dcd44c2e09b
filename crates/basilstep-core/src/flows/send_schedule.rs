use super::{
    balancer_list::BalancerList,
    key::{ProcessIncarnation, rendezvous},
    settings::FlowSettings,
};
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

/// How often balancers of other domains get a message of a process; those of its own domain get each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pace {
    /// They rely on each message, as on the heartbeats of balancers that watch the store.
    Active,
    /// They only need to know that the process exists, and probe it when they need to know more.
    Idle,
}

/// The schedule by which reports or heartbeats go to each of many balancers.
///
/// Their total number grows with the square of the fleet. Beyond [`LivenessSettings::pace_all`]
/// balancers, those of other domains get a message only now and then, in turns.
///
/// [`LivenessSettings::pace_all`]: super::settings::LivenessSettings::pace_all
#[derive(Clone, Copy, Debug)]
pub struct SendSchedule {
    /// Differs between processes, so that the messages of many do not come at the same time.
    phase: u64,
    interval_number: u64,
}

impl SendSchedule {
    /// Creates the schedule of a process.
    pub fn new(incarnation: ProcessIncarnation) -> Self {
        Self {
            phase: u64::from(incarnation.0),
            interval_number: 0,
        }
    }

    /// Starts the next send interval of a process in `domain` and returns the balancers that get a
    /// message; `always` is included even if it is not its turn.
    pub fn next_interval(
        &mut self,
        recipients: Recipients,
        always: Option<Ipv4Addr>,
        balancers: &BalancerList,
        domain: DomainId,
        pace: Pace,
        settings: &FlowSettings,
    ) -> Vec<Ipv4Addr> {
        self.interval_number += 1;
        balancers
            .addresses()
            .filter(|balancer| {
                let send_period_intervals =
                    send_period_intervals(*balancer, balancers, domain, pace, settings);
                recipients == Recipients::All
                    || Some(*balancer) == always
                    || self.is_turn_of(*balancer, send_period_intervals)
            })
            .collect()
    }

    fn is_turn_of(self, balancer: Ipv4Addr, send_period_intervals: u16) -> bool {
        let place = rendezvous(self.phase, balancer).wrapping_add(self.interval_number);
        place.is_multiple_of(u64::from(send_period_intervals))
    }
}

/// Returns the number of send intervals after which a process in `domain` sends a balancer the next
/// message.
pub fn send_period_intervals(
    balancer: Ipv4Addr,
    balancers: &BalancerList,
    domain: DomainId,
    pace: Pace,
    settings: &FlowSettings,
) -> u16 {
    let liveness = &settings.liveness;
    let is_own_domain = balancers.domain_of(balancer) == Some(domain);
    if is_own_domain || balancers.len() <= liveness.pace_all {
        return 1;
    }
    let (per_interval, slowest) = match pace {
        Pace::Active => (liveness.pace_all, liveness.slowest_pace),
        Pace::Idle => (liveness.idle_per_interval, liveness.slowest_idle_pace),
    };
    let intervals = balancers.len().div_ceil(per_interval.max(1));
    u16::try_from(intervals)
        .unwrap_or(u16::MAX)
        .clamp(1, slowest.max(1))
}
