//! Which targets of a service are slow or fail, compared to the others.

use super::agent_table::{AgentState, RankingScope};
use crate::flows::{key::rendezvous, settings::TargetHealthSettings};
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

/// The minimum time between two updates of the ranking; agents report every 250 ms.
const UPDATE_INTERVAL_MS: u64 = 100;

/// The number of targets with a known service time below which none counts as slow or avoided.
const MIN_KNOWN: usize = 3;

/// What placement makes of the health of a target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It gets its full share of the new flows.
    Normal,
    /// It gets a smaller share of the new flows.
    Slow,
    /// It gets probe flows only.
    Avoided,
}

/// A target that begins or ceases to count as slow or avoided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StandingChange {
    /// The agent of the target.
    pub agent: Ipv4Addr,
    /// What it counted as before.
    pub before: Standing,
    /// What it counts as now.
    pub after: Standing,
    /// How long it takes for a request that was not queued, as if it was warm; 0 if there is no fresh
    /// report.
    pub service_time_ms: u16,
    /// The share of its requests that ended without an answer, in thousandths.
    pub failure_permille: u16,
}

/// A target that counts as slow or avoided.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RankedTarget {
    /// What it counts as.
    pub standing: Standing,
    /// How many times slower than others it counts.
    pub slowdown: f64,
    /// When the next probe flow is due.
    #[serde(skip)]
    next_probe_ms: u64,
}

/// The health of a target by a fresh report of its agent.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// The agent.
    pub agent: Ipv4Addr,
    /// The time for a request that was not queued, as if the target was warm; 0 if unknown.
    pub service_time_ms: f64,
    /// The share of requests that ended without an answer, in thousandths.
    pub failure_permille: u16,
}

/// The health of the targets of one service.
pub type ServiceMeasurements = Vec<Measurement>;

/// The targets that count as slow or avoided; all others count as normal.
///
/// It is updated at intervals, not for each SYN: a service may have thousands of agents.
#[derive(Clone, Debug, Default)]
pub struct TargetRanking {
    targets: BTreeMap<Ipv4Addr, RankedTarget>,
    next_update_ms: u64,
    now_ms: u64,
    probe_period_ms: u64,
}

impl TargetRanking {
    /// Records the time; returns whether the ranking is to be updated now.
    pub const fn try_begin_update(&mut self, now_ms: u64) -> bool {
        self.now_ms = now_ms;
        if now_ms < self.next_update_ms {
            return false;
        }
        self.next_update_ms = now_ms + UPDATE_INTERVAL_MS;
        true
    }

    /// Ranks the targets of all services; returns those that count as something else than before.
    pub fn update(
        &mut self,
        services: &[ServiceMeasurements],
        scope: &RankingScope<'_>,
        settings: &TargetHealthSettings,
    ) -> Vec<StandingChange> {
        // The balancers share the probe flows, so that their number does not grow with that of the
        // balancers.
        self.probe_period_ms = settings
            .probe_interval_ms
            .saturating_mul(scope.balancers.max(1) as u64)
            .max(1);
        let mut ranked = BTreeMap::new();
        for rank in services.iter().flat_map(|service| rank(service, settings)) {
            ranked.insert(rank.measurement.agent, rank);
        }
        let changes = self.changes_to(&ranked, services);
        let before = std::mem::take(&mut self.targets);
        self.targets = ranked
            .into_iter()
            .map(|(agent, rank)| {
                let next_probe_ms = before.get(&agent).map_or_else(
                    || {
                        self.probe_time_ms(
                            rendezvous(scope.probe_phase, agent) % self.probe_period_ms,
                        )
                    },
                    |target| target.next_probe_ms,
                );
                let target = RankedTarget {
                    standing: rank.standing,
                    slowdown: rank.slowdown,
                    next_probe_ms,
                };
                (agent, target)
            })
            .collect();
        changes
    }

    /// Returns how many times slower than others a target counts.
    pub fn slowdown_of(&self, agent: Ipv4Addr) -> f64 {
        self.targets
            .get(&agent)
            .map_or(1.0, |target| target.slowdown)
    }

    /// Returns whether a target is to get a probe flow, which detects its recovery.
    ///
    /// A slow target with requests at work shows its speed without one.
    pub fn is_probe_due(&self, agent: Ipv4Addr, state: &AgentState) -> bool {
        self.targets.get(&agent).is_some_and(|target| {
            let needs_probe = target.standing == Standing::Avoided || state.report.at_work == 0;
            needs_probe && self.now_ms >= target.next_probe_ms
        })
    }

    /// Returns what placement makes of the health of a target.
    pub fn standing_of(&self, agent: Ipv4Addr) -> Standing {
        self.targets
            .get(&agent)
            .map_or(Standing::Normal, |target| target.standing)
    }

    /// Records that a new flow was sent to an agent.
    pub fn record_offer(&mut self, agent: Ipv4Addr) {
        let next_probe_ms = self.probe_time_ms(self.probe_period_ms);
        if let Some(target) = self.targets.get_mut(&agent) {
            target.next_probe_ms = next_probe_ms;
        }
    }

    /// Removes an agent that is forgotten.
    pub fn forget(&mut self, agent: Ipv4Addr) {
        self.targets.remove(&agent);
    }

    /// Returns the targets that count as slow or avoided.
    pub fn iter(&self) -> impl Iterator<Item = (&Ipv4Addr, &RankedTarget)> {
        self.targets.iter()
    }

    /// Returns the time after `delay_ms`, which is practically never if the interval is set so.
    const fn probe_time_ms(&self, delay_ms: u64) -> u64 {
        self.now_ms.saturating_add(delay_ms)
    }

    fn changes_to(
        &self,
        ranked: &BTreeMap<Ipv4Addr, Rank>,
        services: &[ServiceMeasurements],
    ) -> Vec<StandingChange> {
        let agents: BTreeSet<Ipv4Addr> =
            ranked.keys().chain(self.targets.keys()).copied().collect();
        agents
            .into_iter()
            .filter_map(|agent| {
                let before = self.standing_of(agent);
                let after = ranked
                    .get(&agent)
                    .map_or(Standing::Normal, |rank| rank.standing);
                (after != before).then(|| standing_change(agent, before, after, services))
            })
            .collect()
    }
}

fn standing_change(
    agent: Ipv4Addr,
    before: Standing,
    after: Standing,
    services: &[ServiceMeasurements],
) -> StandingChange {
    let measurement = services
        .iter()
        .flatten()
        .find(|measurement| measurement.agent == agent);
    StandingChange {
        agent,
        before,
        after,
        service_time_ms: measurement
            .map_or(0, |measurement| measurement.service_time_ms.round() as u16),
        failure_permille: measurement.map_or(0, |measurement| measurement.failure_permille),
    }
}

#[derive(Clone, Copy, Debug)]
struct Rank {
    measurement: Measurement,
    standing: Standing,
    slowdown: f64,
}

/// Returns the targets of one service that count as slow or avoided.
///
/// They are at most a share of the service's targets, the worst first: if nearly all look bad, the
/// cause is likely not the targets.
fn rank(service: &[Measurement], settings: &TargetHealthSettings) -> Vec<Rank> {
    let Some(median_ms) = median_service_time_ms(service) else {
        return Vec::new();
    };
    let mut ranks: Vec<Rank> = service
        .iter()
        .map(|measurement| Rank {
            measurement: *measurement,
            standing: standing_of(measurement, median_ms, settings),
            slowdown: slowdown_of(measurement, median_ms, settings),
        })
        .filter(|rank| rank.standing != Standing::Normal)
        .collect();
    ranks.sort_by(|left, right| {
        right
            .standing
            .cmp(&left.standing)
            .then_with(|| right.badness().total_cmp(&left.badness()))
            .then_with(|| left.measurement.agent.cmp(&right.measurement.agent))
    });
    ranks.truncate((service.len() as f64 * settings.max_avoided_share) as usize);
    ranks
}

impl Rank {
    fn badness(&self) -> f64 {
        match self.standing {
            Standing::Avoided => f64::from(self.measurement.failure_permille),
            Standing::Normal | Standing::Slow => self.slowdown,
        }
    }
}

/// Returns the median of the known service times, the lower one of an even number; `None` if too few
/// are known.
fn median_service_time_ms(service: &[Measurement]) -> Option<f64> {
    let mut known_ms: Vec<f64> = service
        .iter()
        .map(|measurement| measurement.service_time_ms)
        .filter(|service_time_ms| *service_time_ms > 0.0)
        .collect();
    if known_ms.len() < MIN_KNOWN {
        return None;
    }
    let middle = (known_ms.len() - 1) / 2;
    let (_, median_ms, _) = known_ms.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median_ms)
}

fn standing_of(
    measurement: &Measurement,
    median_ms: f64,
    settings: &TargetHealthSettings,
) -> Standing {
    if settings.failure_permille > 0 && measurement.failure_permille >= settings.failure_permille {
        Standing::Avoided
    } else if settings.is_slower(measurement.service_time_ms, median_ms) {
        Standing::Slow
    } else {
        Standing::Normal
    }
}

fn slowdown_of(measurement: &Measurement, median_ms: f64, settings: &TargetHealthSettings) -> f64 {
    if settings.is_slower(measurement.service_time_ms, median_ms) {
        (measurement.service_time_ms / median_ms).clamp(1.0, settings.max_slowdown.max(1.0))
    } else {
        1.0
    }
}
