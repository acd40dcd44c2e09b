use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    str::FromStr,
    time::Duration,
};

const REORDER_DELAY: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
pub(super) struct Faults {
    cut: BTreeSet<Ipv4Addr>,
    pub(super) blind: BTreeSet<Ipv4Addr>,
    silence: BTreeSet<SocketAddr>,
    delay_ms: u64,
    lose_permille: u16,
    duplicate_permille: u16,
    reorder_permille: u16,
}

/// What is to be done with one packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Fate {
    pub(super) copies: usize,
    pub(super) delay: Duration,
}

impl Faults {
    pub(super) fn switch(&mut self, name: &str, value: &str, on: bool) -> Option<()> {
        match name {
            "cut" => switch_member(&mut self.cut, value, on),
            "blind" => switch_member(&mut self.blind, value, on),
            "silence" => switch_member(&mut self.silence, value, on),
            "delay" => switch_number(&mut self.delay_ms, value, on),
            "lose" => switch_number(&mut self.lose_permille, value, on),
            "duplicate" => switch_number(&mut self.duplicate_permille, value, on),
            "reorder" => switch_number(&mut self.reorder_permille, value, on),
            _ => None,
        }
    }

    /// Returns what becomes of a packet, or `None` when it is lost.
    pub(super) fn fate(&self, caller: SocketAddr, balancer: Ipv4Addr) -> Option<Fate> {
        let cut = self.cut.contains(&balancer) || self.silence.contains(&caller);
        if cut || happens(self.lose_permille) {
            return None;
        }
        let reordered = happens(self.reorder_permille);
        let extra = if reordered {
            REORDER_DELAY
        } else {
            Duration::ZERO
        };
        Some(Fate {
            copies: 1 + usize::from(happens(self.duplicate_permille)),
            delay: Duration::from_millis(self.delay_ms) + extra,
        })
    }
}

fn switch_member<T: FromStr + Ord>(set: &mut BTreeSet<T>, value: &str, on: bool) -> Option<()> {
    let member = value.parse().ok()?;
    if on {
        set.insert(member);
    } else {
        set.remove(&member);
    }
    Some(())
}

fn switch_number<T: FromStr + Default>(number: &mut T, value: &str, on: bool) -> Option<()> {
    let value = value.parse().ok()?;
    *number = if on { value } else { T::default() };
    Some(())
}

fn happens(permille: u16) -> bool {
    permille > 0 && rand::random_range(0..1_000) < permille
}
