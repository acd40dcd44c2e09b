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

/// How to deliver one packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Delivery {
    pub(super) copies: usize,
    pub(super) delay: Duration,
}

impl Faults {
    pub(super) fn set_fault(&mut self, name: &str, value: &str, on: bool) -> Option<()> {
        match name {
            "cut" => set_member(&mut self.cut, value, on),
            "blind" => set_member(&mut self.blind, value, on),
            "silence" => set_member(&mut self.silence, value, on),
            "delay" => set_number(&mut self.delay_ms, value, on),
            "lose" => set_number(&mut self.lose_permille, value, on),
            "duplicate" => set_number(&mut self.duplicate_permille, value, on),
            "reorder" => set_number(&mut self.reorder_permille, value, on),
            _ => None,
        }
    }

    /// Returns how to deliver a packet, or `None` if it is lost.
    pub(super) fn delivery(&self, caller: SocketAddr, balancer: Ipv4Addr) -> Option<Delivery> {
        let is_lost = self.cut.contains(&balancer) || self.silence.contains(&caller);
        if is_lost || occurs(self.lose_permille) {
            return None;
        }
        let reordered = occurs(self.reorder_permille);
        let reorder_delay = if reordered {
            REORDER_DELAY
        } else {
            Duration::ZERO
        };
        Some(Delivery {
            copies: 1 + usize::from(occurs(self.duplicate_permille)),
            delay: Duration::from_millis(self.delay_ms) + reorder_delay,
        })
    }
}

fn set_member<T: FromStr + Ord>(set: &mut BTreeSet<T>, value: &str, on: bool) -> Option<()> {
    let member = value.parse().ok()?;
    if on {
        set.insert(member);
    } else {
        set.remove(&member);
    }
    Some(())
}

fn set_number<T: FromStr + Default>(number: &mut T, value: &str, on: bool) -> Option<()> {
    let value = value.parse().ok()?;
    *number = if on { value } else { T::default() };
    Some(())
}

fn occurs(permille: u16) -> bool {
    permille > 0 && rand::random_range(0..1_000) < permille
}
