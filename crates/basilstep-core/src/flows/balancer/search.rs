use crate::flows::key::FlowKey;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

/// The most searches that a balancer keeps; the oldest by key make room.
const SEARCH_LIMIT: usize = 8_192;

/// The agents that have said no to one flow.
#[derive(Clone, Debug, Default)]
pub struct Search {
    /// Agents that do not hold the flow, or that refused to open it.
    pub refused_by: BTreeSet<Ipv4Addr>,
    started_ms: u64,
}

/// The flows whose holder is searched or that an agent has refused to open.
#[derive(Clone, Debug, Default)]
pub struct Searches {
    searches: BTreeMap<FlowKey, Search>,
}

impl Searches {
    /// Returns the search for a flow, begun anew if it is older than `search_ms`.
    pub fn entry(&mut self, flow: FlowKey, now_ms: u64, search_ms: u64) -> &mut Search {
        if self.searches.len() >= SEARCH_LIMIT && !self.searches.contains_key(&flow) {
            self.searches.pop_first();
        }
        let search = self.searches.entry(flow).or_default();
        if now_ms >= search.started_ms + search_ms {
            *search = Search {
                refused_by: BTreeSet::new(),
                started_ms: now_ms,
            };
        }
        search
    }

    /// Returns who has refused a flow so far.
    pub fn refused_by(&self, flow: &FlowKey) -> BTreeSet<Ipv4Addr> {
        self.searches
            .get(flow)
            .map(|search| search.refused_by.clone())
            .unwrap_or_default()
    }

    /// Ends the search for a flow.
    pub fn end(&mut self, flow: &FlowKey) {
        self.searches.remove(flow);
    }

    /// Drops searches begun before `before_ms`.
    pub fn forget(&mut self, before_ms: u64) {
        self.searches
            .retain(|_, search| search.started_ms >= before_ms);
    }
}
