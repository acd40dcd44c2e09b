//! The slowest confirmations with and without second offers, in virtual time.

use super::{agent_ip, balancer_with_settings, context, flow, held, syn};
use crate::flows::{
    BalancerFlows, FlowKey, FlowSettings, RequestKind,
    balancer::{DueHedge, NextHop, Verdict},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

const AGENTS: u8 = 20;
const FLOWS: u16 = 4_000;
const START_MS: u64 = 10_000;
const GAP_MS: u64 = 5;
const TICK_MS: u64 = 50;

/// One first offer in this many goes to a target that hangs at that moment.
const HANG_INTERVAL: u64 = 20;

/// The times at which callers send their SYNs, after the first one.
const RETRANSMISSIONS_MS: [u64; 2] = [200, 600];

/// What happens next to a flow.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Syn(u32),
    Confirmed(Ipv4Addr),
}

/// A balancer, the answers of its targets, and the time that each flow takes to open.
struct Model {
    balancer: BalancerFlows,
    events: BTreeSet<(u64, FlowKey, Event)>,
    first_agents: BTreeMap<FlowKey, Ipv4Addr>,
    delays_ms: BTreeMap<FlowKey, u64>,
}

impl Model {
    fn run(budget_percent: u16) -> Self {
        let mut settings = FlowSettings::default();
        settings.hedging.budget_percent = budget_percent;
        settings.target_health.is_enabled = true;
        let (balancer, _) = balancer_with_settings(&settings, AGENTS, RequestKind::Idempotent);
        let mut model = Self {
            balancer,
            events: BTreeSet::new(),
            first_agents: BTreeMap::new(),
            delays_ms: BTreeMap::new(),
        };
        for number in 0..FLOWS {
            let at_ms = START_MS + u64::from(number) * GAP_MS;
            model.events.insert((at_ms, flow(number), Event::Syn(0)));
        }
        let end_ms = START_MS + u64::from(FLOWS) * GAP_MS + 2_000;
        for now_ms in START_MS..end_ms {
            model.step(now_ms);
        }
        model
    }

    fn step(&mut self, now_ms: u64) {
        if now_ms.is_multiple_of(250) {
            for number in 1..=AGENTS {
                let report = super::report(super::TargetPhase::Serving);
                let ctx = context(now_ms);
                self.balancer.on_report(agent_ip(number), report, &ctx);
            }
        }
        let mut is_packet_batch = false;
        while let Some((at_ms, flow, event)) = self.events.first().copied()
            && at_ms <= now_ms
        {
            self.events.pop_first();
            match event {
                Event::Syn(number) => {
                    is_packet_batch = true;
                    self.send_syn(flow, number, now_ms);
                }
                Event::Confirmed(agent) => self.confirm(agent, flow, now_ms),
            }
        }
        if is_packet_batch || now_ms.is_multiple_of(TICK_MS) {
            for hedge in self.balancer.take_due_hedges(&context(now_ms)) {
                self.send_hedge(&hedge, now_ms);
            }
        }
    }

    fn send_syn(&mut self, flow: FlowKey, number: u32, now_ms: u64) {
        if self.delays_ms.contains_key(&flow) {
            return;
        }
        let segment = syn(flow, number);
        let verdict = self.balancer.on_packet(&segment, &context(now_ms));
        self.balancer.watch_syn(&segment, &[], &context(now_ms));
        if let Some(after_ms) = RETRANSMISSIONS_MS.get(number as usize) {
            let sent_ms = started_ms(flow) + after_ms;
            self.events.insert((sent_ms, flow, Event::Syn(number + 1)));
        }
        if let Verdict::Forward(next_hop) = verdict {
            self.first_agents.entry(flow).or_insert(next_hop.agent);
            self.answer(flow, next_hop, now_ms);
        }
    }

    fn send_hedge(&mut self, hedge: &DueHedge, now_ms: u64) {
        if let Ok(next_hop) = hedge.result {
            self.answer(hedge.segment.flow_of_caller(), next_hop, now_ms);
        }
    }

    /// The target answers after 2 to 11 ms, unless it hangs.
    fn answer(&mut self, flow: FlowKey, next_hop: NextHop, now_ms: u64) {
        let is_first = self.first_agents.get(&flow) == Some(&next_hop.agent);
        if is_first && flow.hash().is_multiple_of(HANG_INTERVAL) {
            return;
        }
        let delay_ms = 2 + flow.hash() / HANG_INTERVAL % 10;
        let confirmed = Event::Confirmed(next_hop.agent);
        self.events.insert((now_ms + delay_ms, flow, confirmed));
    }

    fn confirm(&mut self, agent: Ipv4Addr, flow: FlowKey, now_ms: u64) {
        let delay_ms = now_ms - started_ms(flow);
        self.delays_ms.entry(flow).or_insert(delay_ms);
        self.balancer
            .on_held_flows(agent, &held(0, flow), &context(now_ms));
    }

    /// Returns the delay that is not exceeded by the given share of the flows, in thousandths.
    fn delay_ms(&self, permille: usize) -> u64 {
        let mut sorted: Vec<u64> = self.delays_ms.values().copied().collect();
        sorted.sort_unstable();
        sorted[(sorted.len() * permille / 1_000).min(sorted.len() - 1)]
    }

    fn summary(&self, name: &str) -> String {
        format!(
            "{name}: p95 {} ms, p99 {} ms, p99.9 {} ms, highest {} ms; {:?}",
            self.delay_ms(950),
            self.delay_ms(990),
            self.delay_ms(999),
            self.delay_ms(1_000),
            self.balancer.hedge_counts(),
        )
    }
}

fn started_ms(flow: FlowKey) -> u64 {
    START_MS + u64::from(flow.caller.port()) * GAP_MS
}

/// One first offer in 20 goes to a target that hangs. Guards against second offers that do not help
/// the slowest flows, or that exceed their budget.
#[test]
fn second_offers_shorten_the_slowest_confirmations() {
    let without = Model::run(0);
    let within = Model::run(10);
    let scarce = Model::run(2);
    println!("{}", without.summary("without second offers"));
    println!("{}", within.summary("budget of 10 percent"));
    println!("{}", scarce.summary("budget of 2 percent"));
    for model in [&without, &within, &scarce] {
        assert_eq!(model.delays_ms.len(), usize::from(FLOWS));
        let counts = model.balancer.hedge_counts();
        assert!(counts.won <= counts.sent);
    }
    assert!(without.delay_ms(990) >= 200);
    assert!(within.delay_ms(990) <= 50);
    assert!(scarce.balancer.hedge_counts().sent <= u64::from(FLOWS) * 2 / 100 + 10);
    assert!(scarce.balancer.hedge_counts().refused_by_budget > 0);
}
