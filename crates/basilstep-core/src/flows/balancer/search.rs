use crate::flows::key::FlowKey;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

/// The maximum number of searches that a balancer keeps; beyond it the one with the lowest key is
/// evicted.
const SEARCH_LIMIT: usize = 8_192;

static NO_AGENTS: BTreeSet<Ipv4Addr> = BTreeSet::new();

/// The agents that have refused the packets of one flow.
#[derive(Clone, Debug, Default)]
pub struct Search {
    /// Agents that do not hold the flow, or that refused to open it.
    pub refused_by: BTreeSet<Ipv4Addr>,
    /// The agent in the flow's hint does not hold the flow.
    pub is_hint_wrong: bool,
    /// When a packet was last sent to all agents that had not answered.
    sent_ms: Option<u64>,
    /// The acknowledgement number in the caller's last packet.
    pub caller_acknowledged: u32,
    started_ms: u64,
}

/// The maximum delay of the advertisement of a new flow; between domains it takes 2 ms.
const ADVERTISEMENT_DELAY_MS: u64 = 40;

/// The maximum time in which a target that has not sent a heartbeat to its agent returns a packet of
/// a flow that it does not hold; a running target does so in milliseconds.
const UNKNOWN_TARGET_TIMEOUT_MS: u64 = 200;

/// The maximum time in which all agents answer; between domains it takes a few milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 100;

impl Search {
    /// Returns whether an agent has refused, or an advertisement of a new flow would have arrived
    /// by now.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        !self.refused_by.is_empty() || now_ms >= self.started_ms + ADVERTISEMENT_DELAY_MS
    }

    /// Returns whether running targets would have answered by now even if their agents have
    /// received no heartbeat from them.
    pub const fn has_unknown_target_timed_out(&self, now_ms: u64) -> bool {
        now_ms >= self.started_ms + UNKNOWN_TARGET_TIMEOUT_MS
    }

    /// Returns whether a packet may be sent to all agents that have not answered, and if so records
    /// that it is.
    pub fn try_send(&mut self, now_ms: u64) -> bool {
        let is_pending = self
            .sent_ms
            .is_some_and(|sent_ms| now_ms < sent_ms + ANSWER_TIMEOUT_MS);
        if !is_pending {
            self.sent_ms = Some(now_ms);
        }
        !is_pending
    }
}

/// The flows whose holder is being searched for, or that an agent has refused to open.
#[derive(Clone, Debug, Default)]
pub struct Searches {
    searches: BTreeMap<FlowKey, Search>,
}

impl Searches {
    /// Returns the search for a flow; one that is older than `search_ms` starts again.
    pub fn entry(&mut self, flow: FlowKey, now_ms: u64, search_ms: u64) -> &mut Search {
        if self.searches.len() >= SEARCH_LIMIT && !self.searches.contains_key(&flow) {
            self.searches.pop_first();
        }
        let search = self.searches.entry(flow).or_default();
        if now_ms >= search.started_ms + search_ms {
            *search = Search {
                started_ms: now_ms,
                ..Search::default()
            };
        }
        search
    }

    /// Returns the agents that have refused a flow so far.
    pub fn refused_by(&self, flow: &FlowKey) -> &BTreeSet<Ipv4Addr> {
        self.get(flow)
            .map_or(&NO_AGENTS, |search| &search.refused_by)
    }

    /// Returns the search for a flow, if there is one.
    pub fn get(&self, flow: &FlowKey) -> Option<&Search> {
        self.searches.get(flow)
    }

    /// Returns the flows whose holder is being searched for, without those that are being opened.
    pub fn pending(&self) -> impl Iterator<Item = (&FlowKey, &Search)> {
        self.searches
            .iter()
            .filter(|(_, search)| search.sent_ms.is_some())
    }

    /// Ends the search for a flow.
    pub fn end(&mut self, flow: &FlowKey) {
        self.searches.remove(flow);
    }

    /// Removes searches that were started before `before_ms`.
    pub fn forget(&mut self, before_ms: u64) {
        self.searches
            .retain(|_, search| search.started_ms >= before_ms);
    }
}
