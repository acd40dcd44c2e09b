//! The adaptive limit of requests in flight at a target.

use super::AdmissionSettings;

/// The number of probes above the known good level in a time of `ramp_ms`, at first.
const PROBES_PER_RAMP: u32 = 8;
/// The maximum time between two probes above the known good level.
const PROBE_INTERVAL_MAX_MS: u64 = 60_000;
/// A reduction below the good level divides the limit by at least this.
const MIN_REDUCTION_DIVISOR: f64 = 2.0;
/// After this many reductions without a round of good answers between them the target counts as
/// cold.
const DECREASES_UNTIL_COLD: u32 = 2;

/// The limit in force and the state of its control loop.
///
/// The limit of a cold target ramps up from the cold limit. The limit of a warm target rises to the
/// good level, the highest at which the target is known to answer in time, and then probes one step
/// above it from time to time.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    /// The limit, fractional while it grows.
    level: f64,
    cold: bool,
    /// The good level; 0 while it is unknown.
    good_level: f64,
    epoch: u64,
    decreases_in_row: u32,
    good_in_epoch: u32,
    next_probe_ms: u64,
    probe_interval_ms: u64,
}

impl ConcurrencyLimit {
    /// Creates the limit of a target that has just started.
    pub(super) fn new(settings: &AdmissionSettings) -> Self {
        Self {
            level: f64::from(settings.cold_limit()),
            cold: true,
            good_level: 0.0,
            epoch: 0,
            decreases_in_row: 0,
            good_in_epoch: 0,
            next_probe_ms: 0,
            probe_interval_ms: first_probe_interval_ms(settings),
        }
    }

    /// Returns the maximum number of requests in flight.
    pub(super) fn in_force(&self) -> u32 {
        self.level as u32
    }

    /// Returns whether the target counts as cold.
    pub(super) fn is_cold(&self) -> bool {
        self.cold
    }

    /// Returns the number of the current epoch; each reduction begins a new one.
    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Marks the target as cold and resets the limit to the cold limit.
    pub(super) fn turn_cold(&mut self, settings: &AdmissionSettings) {
        self.level = f64::from(settings.cold_limit());
        self.cold = true;
        self.good_level = 0.0;
        self.probe_interval_ms = first_probe_interval_ms(settings);
        self.decreases_in_row = 0;
        self.begin_epoch();
    }

    /// Reduces the limit after a slowdown at the current level; returns whether the target turned
    /// cold.
    ///
    /// A slowdown at a level that was good before means that the target is cold. During the ramp it
    /// means that the limit rose faster than the capacity of the target, so the limit is divided
    /// by the slowdown.
    pub(super) fn apply_slowdown(&mut self, settings: &AdmissionSettings, ratio: f64) -> bool {
        if !self.cold {
            self.turn_cold(settings);
            return true;
        }
        let slots = f64::from(self.in_force());
        self.level = (slots / ratio.max(MIN_REDUCTION_DIVISOR)).floor();
        self.clamp_level(settings);
        self.begin_epoch();
        false
    }

    /// Halves the limit on overload, or ends a probe; returns whether the target turned cold.
    pub(super) fn reduce(&mut self, settings: &AdmissionSettings, now_ms: u64) -> bool {
        let cold_level = f64::from(settings.cold_limit());
        let probing = !self.cold && self.good_level >= cold_level && self.level > self.good_level;
        if probing {
            self.level = self.good_level;
            self.probe_interval_ms = (self.probe_interval_ms * 2).min(PROBE_INTERVAL_MAX_MS);
            self.next_probe_ms = now_ms + self.probe_interval_ms;
            self.begin_epoch();
            return false;
        }
        self.decreases_in_row += 1;
        if self.decreases_in_row >= DECREASES_UNTIL_COLD || self.in_force() <= settings.cold_limit()
        {
            self.turn_cold(settings);
            return true;
        }
        let failed_level = self.level.floor();
        self.good_level = (failed_level - 1.0).max(cold_level);
        self.level = (failed_level / MIN_REDUCTION_DIVISOR).max(cold_level);
        self.cold = false;
        self.next_probe_ms = now_ms + self.probe_interval_ms;
        self.begin_epoch();
        false
    }

    /// Raises the limit after a good answer to a request that was sent while the limit was used up.
    ///
    /// `busy_ms` is the time for which the request occupied its slot.
    pub(super) fn grow(&mut self, settings: &AdmissionSettings, now_ms: u64, busy_ms: f64) {
        let slots = f64::from(self.in_force().max(1));
        self.note_good_answer();
        if self.cold {
            self.ramp(settings, busy_ms / slots);
        } else if self.level < self.good_level {
            self.level = (self.level + 1.0 / slots).min(self.good_level);
        } else {
            self.probe(now_ms);
        }
        self.clamp_level(settings);
    }

    /// Clamps the limit to the range that the settings allow.
    pub(super) fn clamp_level(&mut self, settings: &AdmissionSettings) {
        let full_level = f64::from(settings.full_limit());
        let cold_level = f64::from(settings.cold_limit());
        self.level = self.level.clamp(cold_level, full_level);
        self.good_level = self.good_level.min(full_level);
        if self.cold && self.level >= full_level {
            self.cold = false;
            self.good_level = full_level;
        }
    }

    /// Raises the limit exponentially: from cold to full in `ramp_ms` of fully busy time.
    fn ramp(&mut self, settings: &AdmissionSettings, busy_ms: f64) {
        let span = f64::from(settings.full_limit()) / f64::from(settings.cold_limit());
        let share = busy_ms / f64::from(settings.ramp_ms.max(1));
        self.level *= span.powf(share);
    }

    fn probe(&mut self, now_ms: u64) {
        if now_ms < self.next_probe_ms {
            return;
        }
        self.good_level = self.level;
        self.level += 1.0;
        self.next_probe_ms = now_ms + self.probe_interval_ms;
    }

    fn note_good_answer(&mut self) {
        self.good_in_epoch = self.good_in_epoch.saturating_add(1);
        if self.good_in_epoch > self.in_force() {
            self.decreases_in_row = 0;
        }
    }

    fn begin_epoch(&mut self) {
        self.epoch += 1;
        self.good_in_epoch = 0;
    }
}

fn first_probe_interval_ms(settings: &AdmissionSettings) -> u64 {
    u64::from((settings.ramp_ms / PROBES_PER_RAMP).max(1))
}
