//! One run: a warm target, then a load beyond its capacity.

use super::{
    super::target_model::{
        AdmissionControl, Harness, SERVICE_MS, ServiceTimes, TargetModel, TargetSettings,
    },
    callers::{Callers, Counts},
};
use rand::RngExt;

/// The number of slots of the target.
pub const SLOTS: u32 = 9;
/// How long the load is held.
pub const MEASURED_MS: u64 = 60_000;
/// How long the target runs below its capacity beforehand.
const WARM_RUN_MS: u64 = 45_000;
/// The load beforehand, as a share of the capacity.
const WARM_SHARE: f64 = 0.7;
/// The steady load around the burst, as a share of the capacity.
const BURST_SHARE: f64 = 0.5;
/// The number of requests in the burst.
const BURST_REQUESTS: u32 = 600;

/// The shape of the load over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadShape {
    /// A steady multiple of the capacity.
    Steady(f64),
    /// Half the capacity, and one burst of requests within a millisecond.
    Burst,
}

/// One case of the experiment.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// The shape of the load over time.
    pub shape: LoadShape,
    /// The callers' retry budget per hundred requests; `None` for no limit.
    pub budget_percent: Option<u32>,
    /// How the service times vary.
    pub service_times: ServiceTimes,
}

/// Runs one admission policy and returns the callers' counts while the load is held.
pub fn run_admission<A: AdmissionControl>(admission: A, case: &Case, seed: u64) -> Counts {
    let settings = TargetSettings {
        slots: SLOTS,
        warm_up_ms: 1_000.0,
        crash_after_ms: None,
        down_ms: 0,
        service_times: case.service_times,
    };
    let mut harness = Harness::new(admission, TargetModel::new(settings, 1.0), seed);
    let mut callers = Callers::new(case.budget_percent);
    let mut arrivals = Arrivals::default();
    for _ in 0..WARM_RUN_MS {
        step(&mut harness, &mut callers, &mut arrivals, WARM_SHARE, 0);
    }
    callers.take_counts();
    let (load, burst) = match case.shape {
        LoadShape::Steady(load) => (load, 0),
        LoadShape::Burst => (BURST_SHARE, BURST_REQUESTS),
    };
    step(&mut harness, &mut callers, &mut arrivals, load, burst);
    for _ in 1..MEASURED_MS {
        step(&mut harness, &mut callers, &mut arrivals, load, 0);
    }
    callers.take_counts()
}

fn step<A: AdmissionControl>(
    harness: &mut Harness<A>,
    callers: &mut Callers,
    arrivals: &mut Arrivals,
    load: f64,
    extra: u32,
) {
    let new_requests = arrivals.next(harness, load) + extra;
    callers.arrive(harness, new_requests);
    for completion in harness.step() {
        callers.on_completion(harness, &completion);
    }
}

/// Arrivals with exponentially distributed gaps.
#[derive(Default)]
struct Arrivals {
    next_in_ms: f64,
}

impl Arrivals {
    fn next<A: AdmissionControl>(&mut self, harness: &mut Harness<A>, load: f64) -> u32 {
        let mean_gap_ms = SERVICE_MS / (f64::from(SLOTS) * load);
        let mut count = 0;
        self.next_in_ms -= 1.0;
        while self.next_in_ms <= 0.0 {
            let uniform: f64 = harness.context.rng.random();
            self.next_in_ms += -mean_gap_ms * (1.0 - uniform).ln();
            count += 1;
        }
        count
    }
}
