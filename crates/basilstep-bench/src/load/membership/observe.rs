//! Compares the views of the balancers with what really runs.

use super::{
    fleet::{Fleet, Node},
    traffic::summary,
};
use basilstep_core::{
    address::AgentAddress,
    membership::{AgentPhase, MembershipCounters},
};
use serde_json::{Value, json};
use std::collections::BTreeSet;

const STEP_MS: u64 = 100;
const CHECK_EVERY_STEPS: u64 = 5;
const RECHECK_EVERY_STEPS: u64 = 50;

/// How many dead members the detection time is taken of.
const DEAD_SAMPLE: usize = 100;

/// Follows one scenario from the moment of its fault.
#[derive(Debug)]
pub struct Observer {
    fault_ms: u64,
    watched_dead: Vec<usize>,
    pending: BTreeSet<(usize, usize)>,
    detected_ms: Vec<f64>,
    false_removals: BTreeSet<(usize, usize)>,
    out_before: BTreeSet<(usize, usize)>,
    converged_ms: Option<u64>,
    steps: u64,
}

impl Observer {
    /// Starts at the moment of a fault that stopped `dead`.
    pub fn start(fleet: &mut Fleet, dead: &[usize]) -> Self {
        fleet.changed.clear();
        let step = (dead.len() / DEAD_SAMPLE).max(1);
        let agents = dead.iter().filter(|index| **index >= fleet.shape.balancers);
        let watched_dead: Vec<usize> = agents.copied().step_by(step).collect();
        let viewers: Vec<usize> = fleet.balancers().map(|(index, _)| index).collect();
        let pending = watched_dead
            .iter()
            .flat_map(|dead| viewers.iter().map(|viewer| (*viewer, *dead)))
            .collect();
        Self {
            fault_ms: fleet.now_ms(),
            watched_dead,
            pending,
            detected_ms: Vec::new(),
            false_removals: BTreeSet::new(),
            out_before: BTreeSet::new(),
            converged_ms: None,
            steps: 0,
        }
    }

    /// Runs for a time and observes every 100 ms.
    pub fn run(&mut self, fleet: &mut Fleet, duration_ms: u64) {
        let end_ms = fleet.now_ms() + duration_ms;
        while fleet.now_ms() < end_ms {
            fleet.run_until(fleet.now_ms() + STEP_MS);
            self.look(fleet);
        }
    }

    /// Measures convergence anew from now on.
    ///
    /// What is out of a view already is not removed from it once more.
    pub fn expect_convergence(&mut self, fleet: &Fleet) {
        for (viewer, _) in fleet.balancers() {
            for agent in fleet.agent_indices() {
                if sees(fleet, viewer, agent) == Some(Seen::Out) {
                    self.out_before.insert((viewer, agent));
                }
            }
        }
        self.fault_ms = fleet.now_ms();
        self.converged_ms = None;
    }

    /// Tells whether the views have agreed with what runs since the last change.
    pub fn is_converged(&self) -> bool {
        self.converged_ms.is_some()
    }

    /// Returns the figures.
    pub fn report(&self) -> Value {
        json!({
            "dead_agents_sampled": self.watched_dead.len(),
            "out_of_placement_ms": summary(self.detected_ms.clone()),
            "views_that_missed_a_dead_agent": self.pending.len(),
            "false_removals": self.false_removals.len(),
            "converged_ms": self.converged_ms,
        })
    }

    /// Returns what the balancers counted themselves.
    pub fn counters(fleet: &Fleet) -> Value {
        let sum = |count: fn(MembershipCounters) -> u64| -> u64 {
            let balancers = fleet.balancers();
            balancers
                .map(|(_, balancer)| count(balancer.counters()))
                .sum()
        };
        json!({
            "suspected": sum(|counters| counters.suspected),
            "domains_suspected": sum(|counters| counters.domains_suspected),
            "refuted": sum(|counters| counters.refuted),
            "pauses": sum(|counters| counters.pauses),
            "syncs": sum(|counters| counters.syncs),
        })
    }

    fn look(&mut self, fleet: &mut Fleet) {
        self.check_dead(fleet);
        self.check_changes(fleet);
        self.steps += 1;
        let every = if self.is_converged() {
            RECHECK_EVERY_STEPS
        } else {
            CHECK_EVERY_STEPS
        };
        if !self.steps.is_multiple_of(every) {
            return;
        }
        let agree = fleet.balancers().all(|(viewer, _)| agrees(fleet, viewer));
        if !agree {
            self.converged_ms = None;
        } else if self.converged_ms.is_none() {
            self.converged_ms = Some(fleet.now_ms() - self.fault_ms);
        }
    }

    fn check_dead(&mut self, fleet: &Fleet) {
        let now_ms = fleet.now_ms();
        let is_out = |(viewer, dead): &(usize, usize)| {
            let Node::Balancer(balancer) = &fleet.nodes[*viewer] else {
                return true;
            };
            let address = AgentAddress(fleet.address(*dead));
            !balancer
                .agent(address, now_ms)
                .is_some_and(|(_, live)| live)
        };
        let out: Vec<(usize, usize)> = self.pending.iter().copied().filter(is_out).collect();
        for pair in out {
            self.pending.remove(&pair);
            self.detected_ms.push((now_ms - self.fault_ms) as f64);
        }
    }

    /// Looks at each changed service for live agents that fell out of placement.
    fn check_changes(&mut self, fleet: &mut Fleet) {
        let changed = std::mem::take(&mut fleet.changed);
        let first_agent = fleet.shape.balancers;
        for change in changed {
            let size = fleet.shape.agents_a_service;
            let start = first_agent + usize::from(change.service.0) * size;
            let agents = (start..start + size).filter(|index| *index < fleet.nodes.len());
            for agent in agents {
                let is_fair = fleet.is_running(agent) && fleet.is_reachable(change.balancer, agent);
                let pair = (change.balancer, agent);
                match sees(fleet, change.balancer, agent) {
                    Some(Seen::In) => {
                        self.out_before.remove(&pair);
                    }
                    Some(Seen::Out) if is_fair && !self.out_before.contains(&pair) => {
                        self.false_removals.insert(pair);
                    }
                    _ => {}
                }
            }
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Seen {
    In,
    Out,
    Older,
}

fn sees(fleet: &Fleet, viewer: usize, agent: usize) -> Option<Seen> {
    let Node::Balancer(balancer) = &fleet.nodes[viewer] else {
        return None;
    };
    let address = AgentAddress(fleet.address(agent));
    let (record, live) = balancer.agent(address, fleet.now_ms())?;
    let truth = fleet.record(agent);
    if record.phase == AgentPhase::Down {
        return None;
    }
    Some(match (live, record.incarnation < truth.incarnation) {
        (_, true) => Seen::Older,
        (true, false) => Seen::In,
        (false, false) => Seen::Out,
    })
}

/// Tells whether a balancer's view holds exactly the agents that run and can be reached from it.
fn agrees(fleet: &Fleet, viewer: usize) -> bool {
    let Node::Balancer(balancer) = &fleet.nodes[viewer] else {
        return true;
    };
    let mut expected = fleet
        .agent_indices()
        .filter(|agent| fleet.is_running(*agent) && fleet.is_reachable(viewer, *agent))
        .count();
    for (record, live) in balancer.agents(fleet.now_ms()) {
        if !live {
            continue;
        }
        let index = Fleet::index(record.address.0);
        let is_current = record.incarnation == fleet.record(index).incarnation;
        if !fleet.is_running(index) || !fleet.is_reachable(viewer, index) || !is_current {
            return false;
        }
        expected -= 1;
    }
    expected == 0
}
