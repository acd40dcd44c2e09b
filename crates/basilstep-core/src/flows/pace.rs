use super::{key::rendezvous, settings::FlowSettings};
use std::net::Ipv4Addr;

/// Who is to get a sign of life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Round {
    /// Nothing has changed: those whose turn it is.
    Regular,
    /// Something has changed that all have to know.
    Everyone,
}

/// How often signs of life go to each of many balancers.
///
/// Their number grows with the square of the fleet. Beyond [`FlowSettings::pace_all`] balancers,
/// those of other domains get only every second, third or at least fourth one, in turns.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    beat: u64,
}

impl Pace {
    /// Begins the next round.
    pub const fn advance(&mut self) {
        self.beat += 1;
    }

    /// Tells whether a balancer of another domain has its turn in this round.
    pub fn is_turn_of(self, balancer: Ipv4Addr, slowness: u16) -> bool {
        let place = rendezvous(0, balancer).wrapping_add(self.beat);
        place.is_multiple_of(u64::from(slowness))
    }
}

/// Returns after how many rounds each of `balancers` in other domains has its turn.
pub fn slowness(balancers: usize, settings: &FlowSettings) -> u16 {
    let rounds = balancers.div_ceil(settings.pace_all.max(1));
    u16::try_from(rounds)
        .unwrap_or(u16::MAX)
        .clamp(1, settings.slowest_pace.max(1))
}
