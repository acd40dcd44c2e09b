//! One run: warms the target up if the scenario needs it, triggers the event and records the
//! recovery.

use super::{
    super::target_model::{AdmissionControl, Harness, SERVICE_MS, TargetModel, TargetSettings},
    figures::Figures,
};
use rand::RngExt;

/// The offered load as a share of the warm target's capacity.
const OFFERED_SHARE: f64 = 0.9;
/// How long a target runs warm before the event.
pub const WARM_RUN_MS: u64 = 15_000;
/// How long requests are counted after the event.
const MEASURED_MS: u64 = 30_000;
/// The deadline of a request after its arrival.
pub const TIMEOUT_MS: u64 = 2_000;

/// The event that makes the target cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The target starts cold under the full offered load.
    JoinsCold,
    /// The target turns cold unannounced while it carries the full load.
    TurnsCold,
    /// The target crashes, refuses connections for a while and returns cold.
    Crashes,
}

/// One scenario of the experiment.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The event that makes the target cold.
    pub event: Event,
    /// The settings of the modelled target.
    pub target: TargetSettings,
    /// Whether the scenario is plotted.
    pub is_plotted: bool,
}

impl Event {
    /// Returns the name that the figures use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::JoinsCold => "joins cold",
            Self::TurnsCold => "turns cold unannounced",
            Self::Crashes => "falls over and returns cold",
        }
    }
}

/// Runs one policy through one scenario.
pub fn run_scenario<A: AdmissionControl>(admission: A, scenario: &Scenario, seed: u64) -> Figures {
    let warmth = f64::from(scenario.event != Event::JoinsCold);
    let mut harness = Harness::new(admission, TargetModel::new(scenario.target, warmth), seed);
    let mut arrivals = Arrivals::new(scenario.target.slots, OFFERED_SHARE);
    if scenario.event != Event::JoinsCold {
        for _ in 0..WARM_RUN_MS {
            arrivals.arrive(&mut harness);
            harness.step();
        }
    }
    harness.target.reset_counts();
    match scenario.event {
        Event::JoinsCold => {}
        Event::TurnsCold => harness.target.turn_cold(),
        Event::Crashes => harness.crash(),
    }
    measure(&mut harness, &mut arrivals)
}

fn measure<A: AdmissionControl>(harness: &mut Harness<A>, arrivals: &mut Arrivals) -> Figures {
    let mut figures = Figures::default();
    for elapsed_ms in 0..MEASURED_MS {
        figures.offered += arrivals.arrive(harness);
        for completion in harness.step() {
            figures.add(&completion, elapsed_ms);
        }
    }
    let offered_per_second = f64::from(figures.offered) * 1_000.0 / MEASURED_MS as f64;
    figures.finish(&harness.target, offered_per_second);
    figures
}

/// Arrivals at a fixed mean rate, with uniformly distributed gaps.
pub struct Arrivals {
    mean_gap_ms: f64,
    next_in_ms: f64,
}

impl Arrivals {
    /// Creates arrivals that offer `share` of a warm target's capacity.
    pub fn new(slots: u32, share: f64) -> Self {
        Self {
            mean_gap_ms: SERVICE_MS / (f64::from(slots) * share),
            next_in_ms: 0.0,
        }
    }

    /// Generates the requests of one millisecond and returns their number.
    pub fn arrive<A: AdmissionControl>(&mut self, harness: &mut Harness<A>) -> u32 {
        let mut count = 0;
        self.next_in_ms -= 1.0;
        while self.next_in_ms <= 0.0 {
            let gap_share = 2.0 * harness.context.rng.random::<f64>();
            self.next_in_ms += self.mean_gap_ms * gap_share;
            harness.arrive(TIMEOUT_MS);
            count += 1;
        }
        count
    }
}
