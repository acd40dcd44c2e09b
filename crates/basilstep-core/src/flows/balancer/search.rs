use crate::flows::key::FlowKey;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
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
    /// How many agents have refused to open the flow because of their load.
    pub load_refusals: usize,
    /// The SYN may have waited at an agent, so that another wait would exceed the bound on both.
    pub has_waited: bool,
    /// The agent in the flow's hint does not hold the flow.
    pub is_hint_wrong: bool,
    /// When a packet was last sent to all agents that had not answered.
    sent_ms: Option<u64>,
    /// The agents that were asked since their state last changed.
    asked: BTreeSet<Ipv4Addr>,
    /// A packet of the flow, for agents that start during the search.
    packet: Vec<u8>,
    /// The acknowledgement number in the caller's last packet.
    pub caller_acknowledged: u32,
    started_ms: u64,
}

/// The maximum delay of the advertisement of a new flow; between domains it takes 2 ms.
const ADVERTISEMENT_DELAY_MS: u64 = 40;

/// The maximum time in which all agents answer; between domains it takes a few milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 100;

impl Search {
    /// Returns the agents that have refused the flow of a search, none if there is no search.
    pub fn refusals(search: Option<&Self>) -> &BTreeSet<Ipv4Addr> {
        search.map_or(&NO_AGENTS, |search| &search.refused_by)
    }

    /// Returns when the first packet of the flow came.
    pub const fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// Returns whether an agent has refused, or an advertisement of a new flow would have arrived
    /// by now.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        !self.refused_by.is_empty() || now_ms >= self.started_ms + ADVERTISEMENT_DELAY_MS
    }

    /// Records that an agent is sent a packet of the flow.
    pub fn record_asked(&mut self, agent: Ipv4Addr) {
        self.asked.insert(agent);
    }

    /// Keeps a packet of the flow for agents that start during the search.
    pub fn keep_packet(&mut self, packet: &[u8]) {
        packet.clone_into(&mut self.packet);
    }

    /// Takes the packet that an agent has to be sent because it has neither been asked nor refused.
    fn ask_for_packet(&mut self, agent: Ipv4Addr) -> Option<Vec<u8>> {
        let is_asked = self.refused_by.contains(&agent) || self.asked.contains(&agent);
        if is_asked || self.packet.is_empty() {
            return None;
        }
        self.record_asked(agent);
        Some(self.packet.clone())
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
        Search::refusals(self.get(flow))
    }

    /// Returns the search for a flow, if there is one.
    pub fn get(&self, flow: &FlowKey) -> Option<&Search> {
        self.searches.get(flow)
    }

    /// Returns the search for a flow, if there is one, for modification.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut Search> {
        self.searches.get_mut(flow)
    }

    /// Returns the flows whose holder is being searched for, without those that are being opened.
    pub fn pending(&self) -> impl Iterator<Item = (&FlowKey, &Search)> {
        self.searches
            .iter()
            .filter(|(_, search)| search.sent_ms.is_some())
    }

    /// Returns a packet of each flow to `addresses` for which an agent has neither been asked nor
    /// refused, and records that it is asked.
    pub fn take_packets_for(
        &mut self,
        agent: Ipv4Addr,
        addresses: &BTreeSet<SocketAddrV4>,
    ) -> Vec<Vec<u8>> {
        self.searches
            .iter_mut()
            .filter(|(flow, _)| addresses.contains(&flow.service_address))
            .filter_map(|(_, search)| search.ask_for_packet(agent))
            .collect()
    }

    /// Records that an agent has another incarnation or phase: its target may answer now what it did
    /// not answer before, and so the agent is asked again.
    pub fn on_agent_changed(&mut self, agent: Ipv4Addr) {
        for search in self.searches.values_mut() {
            search.asked.remove(&agent);
        }
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
