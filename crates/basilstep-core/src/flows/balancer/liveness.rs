use super::roster::AgentState;
use crate::{address::DomainId, flows::settings::FlowSettings};
use std::{collections::BTreeMap, net::Ipv4Addr};

/// How many processes of a domain must have been heard before silence of all of them counts.
///
/// At the slowest pace eight processes give eight signs of life a second; that all of those of
/// 800 ms are lost on the way is out of the question.
const MIN_DOMAIN_PROCESSES: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Probe {
    since_ms: u64,
    sent_ms: Option<u64>,
}

/// The processes of a domain that were heard, and when one of them last was.
#[derive(Clone, Debug, Default)]
struct DomainActivity {
    last_ms: u64,
    heard_ms: BTreeMap<Ipv4Addr, u64>,
}

/// Tells which agents are silent.
///
/// An agent whose reports all come here is silent as soon as they stay away. One that reports seldom
/// is asked for a report when packets are on their way to it, and its whole domain is silent when
/// nobody there is heard, since domains lose power as a whole.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    probes: BTreeMap<Ipv4Addr, Probe>,
    domains: BTreeMap<DomainId, DomainActivity>,
}

impl Liveness {
    /// Takes a sign of life of a process.
    pub fn record_activity(&mut self, process: Ipv4Addr, domain: DomainId, now_ms: u64) {
        self.probes.remove(&process);
        let activity = self.domains.entry(domain).or_default();
        activity.last_ms = now_ms;
        activity.heard_ms.insert(process, now_ms);
    }

    /// Takes note of a packet for an agent; begins a probe if its last report is old.
    pub fn record_packet(
        &mut self,
        agent: Ipv4Addr,
        state: &AgentState,
        settings: &FlowSettings,
        now_ms: u64,
    ) {
        let is_rarely_reporting = state.report.slowness > 1;
        if is_rarely_reporting && now_ms >= state.heard_ms + settings.report_interval_ms {
            self.probes.entry(agent).or_insert(Probe {
                since_ms: now_ms,
                sent_ms: None,
            });
        }
    }

    /// Ends the probe of an agent that has answered something other than a report, or is forgotten.
    pub fn end_probe(&mut self, agent: Ipv4Addr) {
        self.probes.remove(&agent);
    }

    /// Takes the agents that are to be asked now, once in each report interval.
    pub fn take_probes(&mut self, settings: &FlowSettings, now_ms: u64) -> Vec<Ipv4Addr> {
        let interval_ms = settings.report_interval_ms;
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

    /// Forgets processes that have not been heard since `before_ms`.
    pub fn forget(&mut self, before_ms: u64) {
        for activity in self.domains.values_mut() {
            activity.heard_ms.retain(|_, at_ms| *at_ms >= before_ms);
        }
    }

    /// Makes all silence begin anew, after the process stood still and could hear nobody.
    pub fn restart_timers(&mut self, now_ms: u64) {
        for probe in self.probes.values_mut() {
            probe.since_ms = now_ms;
        }
        for activity in self.domains.values_mut() {
            activity.last_ms = now_ms;
        }
    }

    /// Tells whether an agent has been silent for `limit_ms`, a limit for one whose reports all come
    /// here.
    pub fn is_silent(
        &self,
        agent: Ipv4Addr,
        state: &AgentState,
        limit_ms: u64,
        settings: &FlowSettings,
        now_ms: u64,
    ) -> bool {
        if state.report.slowness <= 1 {
            return !state.is_heard_within(limit_ms, now_ms);
        }
        // A probe begins with the first report that would have stayed away.
        let answer_within_ms = limit_ms.saturating_sub(settings.report_interval_ms);
        let is_unanswered = self
            .probes
            .get(&agent)
            .is_some_and(|probe| now_ms >= probe.since_ms + answer_within_ms);
        is_unanswered
            || !state.is_heard_within(limit_ms, now_ms)
            || self.is_domain_silent(state.report.domain, limit_ms, now_ms)
    }

    fn is_domain_silent(&self, domain: DomainId, limit_ms: u64, now_ms: u64) -> bool {
        self.domains.get(&domain).is_some_and(|activity| {
            activity.heard_ms.len() >= MIN_DOMAIN_PROCESSES && now_ms >= activity.last_ms + limit_ms
        })
    }
}
