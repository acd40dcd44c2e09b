use super::OverflowSettings;
use crate::{
    address::AgentAddress,
    context::Context,
    membership::{AgentPhase, AgentRecord},
    settings::DomainSet,
};
use rand::seq::IteratorRandom;
use serde::Serialize;
use std::collections::BTreeMap;

/// Selects the agent that gets a request that this agent's target has no capacity for.
///
/// An agent does not know the load of other agents and learns from their answers. One that refuses
/// is skipped for a pause that doubles with each refusal and halves with each answer, so that few
/// requests go to agents without capacity.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OverflowRelays {
    settings: OverflowSettings,
    full: BTreeMap<AgentAddress, RefusingPeer>,
}

/// An agent that refused a relayed request.
#[derive(Clone, Copy, Debug, Serialize)]
struct RefusingPeer {
    until_ms: u64,
    pause_ms: u64,
}

impl OverflowRelays {
    /// Creates a state in which every agent may have capacity.
    pub fn new(settings: OverflowSettings) -> Self {
        Self {
            settings,
            full: BTreeMap::new(),
        }
    }

    /// Selects a random agent that gets a request, or `None` if no known agent may have capacity.
    pub fn choose_peer(
        &self,
        peers: &[AgentRecord],
        out: &DomainSet,
        context: &mut Context,
    ) -> Option<AgentAddress> {
        let now_ms = context.now_ms;
        let may_have_room = |peer: &&AgentRecord| {
            let is_serving = peer.phase == AgentPhase::Serving && !out.contains(peer.domain);
            is_serving && !self.is_paused(peer.address, now_ms)
        };
        peers
            .iter()
            .filter(may_have_room)
            .map(|peer| peer.address)
            .choose(&mut context.rng)
    }

    /// Records that an agent refused a relayed request.
    ///
    /// Refusals while the agent is already skipped are ignored: they answer requests relayed before
    /// the pause.
    pub fn on_refusal(&mut self, peer: AgentAddress, now_ms: u64) {
        if self.is_paused(peer, now_ms) {
            return;
        }
        self.forget_expired(now_ms);
        let last = self.full.get(&peer);
        let pause_ms = last.map_or(self.settings.pause_min_ms, |last| last.pause_ms * 2);
        let pause_ms = pause_ms.min(self.settings.pause_max_ms);
        let full = RefusingPeer {
            until_ms: now_ms + pause_ms,
            pause_ms,
        };
        self.full.insert(peer, full);
    }

    /// Records that an agent answered a relayed request, which shortens its next pause.
    ///
    /// One answer does not show that the agent has capacity for more, so the pause is only halved.
    pub fn on_answer(&mut self, peer: AgentAddress) {
        let Some(full) = self.full.get_mut(&peer) else {
            return;
        };
        full.pause_ms /= 2;
        if full.pause_ms < self.settings.pause_min_ms {
            self.full.remove(&peer);
        }
    }

    /// Returns the number of agents whose refusals are remembered.
    pub fn refusing_peer_count(&self) -> usize {
        self.full.len()
    }

    fn is_paused(&self, peer: AgentAddress, now_ms: u64) -> bool {
        self.full
            .get(&peer)
            .is_some_and(|full| now_ms < full.until_ms)
    }

    /// Forgets agents that have not refused anything for the longest pause.
    fn forget_expired(&mut self, now_ms: u64) {
        let keep_ms = self.settings.pause_max_ms;
        self.full.retain(|_, full| now_ms < full.until_ms + keep_ms);
    }
}
