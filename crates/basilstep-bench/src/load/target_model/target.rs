//! A modelled target that starts cold, slows down under overload and crashes under lasting
//! overload.

use basilstep_core::admission::RequestId;
use std::collections::BTreeMap;

/// The share of the current capacity at which a target warms up at full speed.
const WARMING_SHARE: f64 = 0.5;
/// The multiple of the current capacity beyond which a target crashes.
const CRASH_RATIO: f64 = 2.0;

/// The spread of even service times around their mean, as a share of it.
const EVEN_SPREAD: f64 = 0.4;

/// The distribution of service times around their mean.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceTimes {
    /// Uniformly, within a narrow range.
    Even,
    /// Exponentially: many short ones and a few that are several times the mean.
    Exponential,
}

impl ServiceTimes {
    /// Returns the name that the figures use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Even => "even",
            Self::Exponential => "exponential",
        }
    }

    /// Converts a uniform random number between 0 and 1 to a factor with a mean of 1.
    pub fn factor(self, uniform: f64) -> f64 {
        match self {
            Self::Even => 1.0 + EVEN_SPREAD * (2.0 * uniform - 1.0),
            Self::Exponential => -(1.0 - uniform).ln(),
        }
    }
}

/// The settings of a modelled target.
#[derive(Clone, Copy, Debug)]
pub struct TargetSettings {
    /// The number of requests that a warm target serves at full speed.
    pub slots: u32,
    /// The warm-up time under load.
    pub warm_up_ms: f64,
    /// How long the target withstands more than twice its current capacity; `None` for no limit.
    pub crash_after_ms: Option<u64>,
    /// How long the target refuses connections after a crash.
    pub down_ms: u64,
    /// The distribution of service times.
    pub service_times: ServiceTimes,
}

/// A modelled target. All requests in flight share its current speed equally.
#[derive(Debug)]
pub struct TargetModel {
    settings: TargetSettings,
    warmth: f64,
    remaining_ms: BTreeMap<RequestId, f64>,
    down_until_ms: u64,
    overloaded_ms: u64,
    crashes: u32,
    above_capacity_ms: u64,
    peak_load_ratio: f64,
}

/// The requests that ended in one millisecond.
#[derive(Debug, Default)]
pub struct StepResult {
    /// The answered requests.
    pub answered: Vec<RequestId>,
    /// The requests that were lost because the target crashed.
    pub lost: Vec<RequestId>,
}

impl TargetModel {
    /// Creates a target; `warmth` is 0 for a cold target and 1 for a warm one.
    pub fn new(settings: TargetSettings, warmth: f64) -> Self {
        Self {
            settings,
            warmth,
            remaining_ms: BTreeMap::new(),
            down_until_ms: 0,
            overloaded_ms: 0,
            crashes: 0,
            above_capacity_ms: 0,
            peak_load_ratio: 0.0,
        }
    }

    /// Returns the number of requests that the target serves at full speed now.
    pub fn current_capacity(&self) -> f64 {
        1.0 + f64::from(self.settings.slots - 1) * self.warmth
    }

    /// Returns the distribution of service times.
    pub fn service_times(&self) -> ServiceTimes {
        self.settings.service_times
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u32 {
        self.crashes
    }

    /// Returns the time for which more requests were in flight than the current capacity.
    pub fn above_capacity_ms(&self) -> u64 {
        self.above_capacity_ms
    }

    /// Returns the largest ratio of requests in flight to the current capacity.
    pub fn peak_load_ratio(&self) -> f64 {
        self.peak_load_ratio
    }

    /// Resets the counts but not the state.
    pub fn reset_counts(&mut self) {
        self.crashes = 0;
        self.above_capacity_ms = 0;
        self.peak_load_ratio = 0.0;
    }

    /// Turns the target cold unannounced; requests in flight continue.
    pub fn turn_cold(&mut self) {
        self.warmth = 0.0;
    }

    /// Adds a request of `work_ms` at full speed; returns false when connections are refused.
    pub fn send(&mut self, id: RequestId, work_ms: f64, now_ms: u64) -> bool {
        if now_ms < self.down_until_ms {
            return false;
        }
        self.remaining_ms.insert(id, work_ms);
        true
    }

    /// Removes a cancelled request.
    pub fn cancel(&mut self, id: RequestId) {
        self.remaining_ms.remove(&id);
    }

    /// Advances by one millisecond.
    pub fn step(&mut self, now_ms: u64) -> StepResult {
        let load = self.remaining_ms.len() as f64;
        self.record_load(load);
        if self.exceeds_overload_limit(load) {
            return StepResult {
                lost: self.crash(now_ms),
                ..StepResult::default()
            };
        }
        let speed = (self.current_capacity() / load.max(1.0)).min(1.0);
        for remaining in self.remaining_ms.values_mut() {
            *remaining -= speed;
        }
        let is_done = |remaining: &f64| *remaining <= 0.0;
        let done = self.remaining_ms.iter().filter(|(_, left)| is_done(left));
        let answered: Vec<RequestId> = done.map(|(id, _)| *id).collect();
        self.remaining_ms.retain(|_, left| !is_done(left));
        self.warm_up(load);
        StepResult {
            answered,
            lost: Vec::new(),
        }
    }

    /// Crashes at once and returns the lost requests.
    pub fn crash(&mut self, now_ms: u64) -> Vec<RequestId> {
        self.crashes += 1;
        self.overloaded_ms = 0;
        self.warmth = 0.0;
        self.down_until_ms = now_ms + self.settings.down_ms;
        std::mem::take(&mut self.remaining_ms).into_keys().collect()
    }

    fn record_load(&mut self, load: f64) {
        let ratio = load / self.current_capacity();
        self.peak_load_ratio = self.peak_load_ratio.max(ratio);
        self.above_capacity_ms += u64::from(ratio > 1.0);
    }

    fn exceeds_overload_limit(&mut self, load: f64) -> bool {
        if load <= CRASH_RATIO * self.current_capacity() {
            self.overloaded_ms = 0;
            return false;
        }
        self.overloaded_ms += 1;
        let limit_ms = self.settings.crash_after_ms;
        limit_ms.is_some_and(|limit_ms| self.overloaded_ms > limit_ms)
    }

    fn warm_up(&mut self, load: f64) {
        let pace = (load / (WARMING_SHARE * self.current_capacity())).min(1.0);
        self.warmth = (self.warmth + pace / self.settings.warm_up_ms).min(1.0);
    }
}
