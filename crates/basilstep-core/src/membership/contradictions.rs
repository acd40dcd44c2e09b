use crate::context::Context;
use rand::RngExt;
use std::{collections::BTreeMap, net::SocketAddrV4};

/// The maximum random delay before the first probe, so that the first answers spare other balancers
/// their probes.
const MAX_CONTRADICTION_DELAY_MS: u64 = 2_000;

/// The live members that another balancer considers silent on old evidence.
#[derive(Clone, Debug, Default)]
pub struct Contradictions {
    pub(super) open: BTreeMap<SocketAddrV4, ContradictionProbe>,
    pub(super) next_probe_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ContradictionProbe {
    pub(super) sent: u8,
    pub(super) next_ms: u64,
}

impl Contradictions {
    /// Records a contradiction, which a probe will resolve.
    pub fn add(&mut self, member: SocketAddrV4, ctx: &mut Context) {
        let delay_ms = ctx.rng.random_range(0..MAX_CONTRADICTION_DELAY_MS);
        let probing = ContradictionProbe {
            sent: 0,
            next_ms: ctx.now_ms + delay_ms,
        };
        self.open.entry(member).or_insert(probing);
    }

    /// Removes the contradiction about a member that sent a message or has fresh evidence; returns
    /// whether there was one.
    pub fn resolve(&mut self, member: SocketAddrV4) -> bool {
        self.open.remove(&member).is_some()
    }

    pub(super) fn next(&self, now_ms: u64) -> Option<SocketAddrV4> {
        let is_due = |(_, probing): &(_, &ContradictionProbe)| probing.next_ms <= now_ms;
        self.open.iter().find(is_due).map(|(member, _)| *member)
    }
}
