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

/// Decides which other agent gets a request that the own target has no room for.
///
/// An agent knows no load of others. It learns from their answers: one that refuses is passed
/// over for a time that doubles with each refusal and halves with each answer, so that few
/// requests go to agents without room.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OverflowRelays {
    settings: OverflowSettings,
    full: BTreeMap<AgentAddress, RefusingPeer>,
}

/// An agent that has refused what was passed on to it.
#[derive(Clone, Copy, Debug, Serialize)]
struct RefusingPeer {
    until_ms: u64,
    pause_ms: u64,
}

impl OverflowRelays {
    /// Creates a state in which any agent may have room.
    pub fn new(settings: OverflowSettings) -> Self {
        Self {
            settings,
            full: BTreeMap::new(),
        }
    }

    /// Draws the agent that gets a request; `None` when none is known that may have room.
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

    /// Notes that an agent has refused what was passed on to it.
    ///
    /// A refusal while the agent is already passed over counts once: it belongs to the same
    /// moment.
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

    /// Notes that an agent has answered what was passed on to it: its next pause is shorter.
    ///
    /// One answer does not mean that it has room for the rest, so the pause is only halved.
    pub fn on_answer(&mut self, peer: AgentAddress) {
        let Some(full) = self.full.get_mut(&peer) else {
            return;
        };
        full.pause_ms /= 2;
        if full.pause_ms < self.settings.pause_min_ms {
            self.full.remove(&peer);
        }
    }

    /// Returns the number of agents of which a refusal is remembered.
    pub fn refusing_peers(&self) -> usize {
        self.full.len()
    }

    fn is_paused(&self, peer: AgentAddress, now_ms: u64) -> bool {
        self.full
            .get(&peer)
            .is_some_and(|full| now_ms < full.until_ms)
    }

    /// Forgets agents that have not refused for the longest pause.
    fn forget_expired(&mut self, now_ms: u64) {
        let keep_ms = self.settings.pause_max_ms;
        self.full.retain(|_, full| now_ms < full.until_ms + keep_ms);
    }
}
