//! Compares the balancers' views with the members that actually run.

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

/// The number of dead members for which the detection time is measured.
const DEAD_SAMPLE: usize = 100;

/// Records the figures of one scenario from its fault onwards.
#[derive(Debug)]
pub struct Observer {
    fault_ms: u64,
    sampled_dead: Vec<usize>,
    undetected: BTreeSet<(usize, usize)>,
    detected_ms: Vec<f64>,
    false_removals: BTreeSet<(usize, usize)>,
    already_removed: BTreeSet<(usize, usize)>,
    converged_ms: Option<u64>,
    steps: u64,
}

impl Observer {
    /// Starts to record at a fault that stopped the members in `dead`.
    pub fn start(fleet: &mut Fleet, dead: &[usize]) -> Self {
        fleet.view_changes.clear();
        let step = (dead.len() / DEAD_SAMPLE).max(1);
        let agents = dead.iter().filter(|index| **index >= fleet.size.balancers);
        let sampled_dead: Vec<usize> = agents.copied().step_by(step).collect();
        let viewers: Vec<usize> = fleet.balancers().map(|(index, _)| index).collect();
        let undetected = sampled_dead
            .iter()
            .flat_map(|dead| viewers.iter().map(|viewer| (*viewer, *dead)))
            .collect();
        Self {
            fault_ms: fleet.now_ms(),
            sampled_dead,
            undetected,
            detected_ms: Vec::new(),
            false_removals: BTreeSet::new(),
            already_removed: BTreeSet::new(),
            converged_ms: None,
            steps: 0,
        }
    }

    /// Runs the fleet for a time and checks the views every 100 ms.
    pub fn run(&mut self, fleet: &mut Fleet, duration_ms: u64) {
        let end_ms = fleet.now_ms() + duration_ms;
        while fleet.now_ms() < end_ms {
            fleet.run_until(fleet.now_ms() + STEP_MS);
            self.check_views(fleet);
        }
    }

    /// Restarts the measurement of convergence.
    ///
    /// Agents that are already missing from a view do not count as removed again.
    pub fn restart_convergence(&mut self, fleet: &Fleet) {
        for (viewer, _) in fleet.balancers() {
            for agent in fleet.agent_indices() {
                if view_state(fleet, viewer, agent) == Some(ViewState::Removed) {
                    self.already_removed.insert((viewer, agent));
                }
            }
        }
        self.fault_ms = fleet.now_ms();
        self.converged_ms = None;
    }

    /// Returns whether all views have matched the running members since the last change.
    pub fn is_converged(&self) -> bool {
        self.converged_ms.is_some()
    }

    /// Returns the figures.
    pub fn report(&self) -> Value {
        json!({
            "dead_agents_sampled": self.sampled_dead.len(),
            "out_of_placement_ms": summary(self.detected_ms.clone()),
            "views_that_missed_a_dead_agent": self.undetected.len(),
            "false_removals": self.false_removals.len(),
            "converged_ms": self.converged_ms,
        })
    }

    /// Returns the sums of the balancers' own counters.
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

    fn check_views(&mut self, fleet: &mut Fleet) {
        self.check_detections(fleet);
        self.check_false_removals(fleet);
        self.steps += 1;
        let every = if self.is_converged() {
            RECHECK_EVERY_STEPS
        } else {
            CHECK_EVERY_STEPS
        };
        if !self.steps.is_multiple_of(every) {
            return;
        }
        let all_correct = fleet
            .balancers()
            .all(|(viewer, _)| has_correct_view(fleet, viewer));
        if !all_correct {
            self.converged_ms = None;
        } else if self.converged_ms.is_none() {
            self.converged_ms = Some(fleet.now_ms() - self.fault_ms);
        }
    }

    fn check_detections(&mut self, fleet: &Fleet) {
        let now_ms = fleet.now_ms();
        let is_detected = |(viewer, dead): &(usize, usize)| {
            let Node::Balancer(balancer) = &fleet.nodes[*viewer] else {
                return true;
            };
            let address = AgentAddress(fleet.address(*dead));
            !balancer
                .agent(address, now_ms)
                .is_some_and(|(_, live)| live)
        };
        let detected: Vec<(usize, usize)> = self
            .undetected
            .iter()
            .copied()
            .filter(is_detected)
            .collect();
        for pair in detected {
            self.undetected.remove(&pair);
            self.detected_ms.push((now_ms - self.fault_ms) as f64);
        }
    }

    /// Checks each changed service for live agents that were removed from placement.
    fn check_false_removals(&mut self, fleet: &mut Fleet) {
        let view_changes = std::mem::take(&mut fleet.view_changes);
        let first_agent = fleet.size.balancers;
        for change in view_changes {
            let size = fleet.size.agents_per_service;
            let start = first_agent + usize::from(change.service.0) * size;
            let agents = (start..start + size).filter(|index| *index < fleet.nodes.len());
            for agent in agents {
                let should_be_live =
                    fleet.is_running(agent) && fleet.is_reachable(change.balancer, agent);
                let pair = (change.balancer, agent);
                match view_state(fleet, change.balancer, agent) {
                    Some(ViewState::Live) => {
                        self.already_removed.remove(&pair);
                    }
                    Some(ViewState::Removed)
                        if should_be_live && !self.already_removed.contains(&pair) =>
                    {
                        self.false_removals.insert(pair);
                    }
                    _ => {}
                }
            }
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ViewState {
    Live,
    Removed,
    OldIncarnation,
}

fn view_state(fleet: &Fleet, viewer: usize, agent: usize) -> Option<ViewState> {
    let Node::Balancer(balancer) = &fleet.nodes[viewer] else {
        return None;
    };
    let address = AgentAddress(fleet.address(agent));
    let (record, live) = balancer.agent(address, fleet.now_ms())?;
    let actual = fleet.record(agent);
    if record.phase == AgentPhase::Down {
        return None;
    }
    Some(match (live, record.incarnation < actual.incarnation) {
        (_, true) => ViewState::OldIncarnation,
        (true, false) => ViewState::Live,
        (false, false) => ViewState::Removed,
    })
}

/// Returns whether a balancer's view holds exactly the running agents that it can reach.
fn has_correct_view(fleet: &Fleet, viewer: usize) -> bool {
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
        let index = Fleet::index_of(record.address.0);
        let is_current = record.incarnation == fleet.record(index).incarnation;
        if !fleet.is_running(index) || !fleet.is_reachable(viewer, index) || !is_current {
            return false;
        }
        expected -= 1;
    }
    expected == 0
}
