use super::agent_table::AgentState;
use crate::{address::DomainId, flows::settings::FlowSettings};
use std::{collections::BTreeMap, net::Ipv4Addr};

/// How many messages a domain must be expected to send within a time before its silence for that
/// time counts as its failure; the loss of all of them is practically impossible.
const MIN_EXPECTED_MESSAGES: u64 = 8;

#[derive(Clone, Copy, Debug)]
struct Probe {
    since_ms: u64,
    sent_ms: Option<u64>,
}

/// When the last message arrived from each process of a domain, and from any of them.
#[derive(Clone, Debug, Default)]
struct DomainActivity {
    last_ms: u64,
    last_message_ms: BTreeMap<Ipv4Addr, u64>,
}

/// Detects silent agents.
///
/// An agent that sends every report to this balancer is silent as soon as its reports stop. One
/// that reports rarely is probed when packets have to be forwarded to it; and it counts as silent
/// if no message arrives from any process of its domain, since power failures hit whole domains.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    probes: BTreeMap<Ipv4Addr, Probe>,
    domains: BTreeMap<DomainId, DomainActivity>,
}

impl Liveness {
    /// Records a message from a process.
    pub fn record_activity(&mut self, process: Ipv4Addr, domain: DomainId, now_ms: u64) {
        self.probes.remove(&process);
        let activity = self.domains.entry(domain).or_default();
        activity.last_ms = now_ms;
        activity.last_message_ms.insert(process, now_ms);
    }

    /// Records a packet for an agent; starts a probe if the agent's last report is old.
    pub fn record_packet(
        &mut self,
        agent: Ipv4Addr,
        state: &AgentState,
        settings: &FlowSettings,
        now_ms: u64,
    ) {
        let is_rarely_reporting = state.report.slowness > 1;
        if is_rarely_reporting && now_ms >= state.reported_ms + settings.liveness.report_interval_ms
        {
            self.probes.entry(agent).or_insert(Probe {
                since_ms: now_ms,
                sent_ms: None,
            });
        }
    }

    /// Ends the probe of an agent that has sent something other than a report, or is forgotten.
    pub fn end_probe(&mut self, agent: Ipv4Addr) {
        self.probes.remove(&agent);
    }

    /// Takes the agents that are to be probed now, each at most once per report interval.
    pub fn take_probes(&mut self, settings: &FlowSettings, now_ms: u64) -> Vec<Ipv4Addr> {
        let interval_ms = settings.liveness.report_interval_ms;
        let mut due = Vec::new();
        for (agent, probe) in &mut self.probes {
            if probe
                .sent_ms
                .is_none_or(|at_ms| now_ms >= at_ms + interval_ms)
            {
                probe.sent_ms = Some(now_ms);
                due.push(*agent);
            }
        }
        due
    }

    /// Removes processes that have sent no message since `before_ms`.
    pub fn forget(&mut self, before_ms: u64) {
        for activity in self.domains.values_mut() {
            activity
                .last_message_ms
                .retain(|_, at_ms| *at_ms >= before_ms);
        }
    }

    /// Restarts all silence timers after a pause of this process, during which it could receive
    /// nothing.
    pub fn restart_timers(&mut self, now_ms: u64) {
        for probe in self.probes.values_mut() {
            probe.since_ms = now_ms;
        }
        for activity in self.domains.values_mut() {
            activity.last_ms = now_ms;
        }
    }

    /// Returns whether an agent has been silent for `limit_ms`, the limit for an agent that sends
    /// every report here.
    pub fn is_silent(
        &self,
        agent: Ipv4Addr,
        state: &AgentState,
        limit_ms: u64,
        settings: &FlowSettings,
        now_ms: u64,
    ) -> bool {
        if state.report.slowness <= 1 {
            return !state.has_reported_within(limit_ms, now_ms);
        }
        // A probe starts at the time of the first missing report.
        let answer_within_ms = limit_ms.saturating_sub(settings.liveness.report_interval_ms);
        let is_unanswered = self
            .probes
            .get(&agent)
            .is_some_and(|probe| now_ms >= probe.since_ms + answer_within_ms);
        is_unanswered
            || !state.has_reported_within(limit_ms, now_ms)
            || self.is_domain_silent(state, limit_ms, settings, now_ms)
    }

    /// Returns whether the domain of an agent has been silent for `limit_ms`, in which its processes,
    /// at the pace of this agent, send a number of messages.
    fn is_domain_silent(
        &self,
        state: &AgentState,
        limit_ms: u64,
        settings: &FlowSettings,
        now_ms: u64,
    ) -> bool {
        let interval_ms = settings.liveness.report_interval_ms * u64::from(state.report.slowness);
        self.domains
            .get(&state.report.domain)
            .is_some_and(|activity| {
                let processes = activity.last_message_ms.len() as u64;
                processes * limit_ms >= MIN_EXPECTED_MESSAGES * interval_ms
                    && now_ms >= activity.last_ms + limit_ms
            })
    }
}
