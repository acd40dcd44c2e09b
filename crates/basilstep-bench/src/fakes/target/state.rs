use super::{super::now_ms, TargetArgs};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    fs::{self, File},
    io::{self, Write},
    path::Path,
    time::{Duration, Instant},
};

const FAULTS: [&str; 7] = [
    "no-shed",
    "refuse",
    "hang",
    "slow",
    "lose-answer",
    "sick-health",
    "lie-idle",
];
const TURN_COLD: &str = "turn-cold";
const SLOW_FACTOR: u32 = 10;
/// A target falls over above this multiple of its current capacity.
const FALL_OVER_FACTOR: f64 = 2.0;
const FALLEN_OVER_MS: u64 = 2_000;
const MAX_RECORDED_OPERATIONS: usize = 1_000_000;

/// The counts of a target, at `GET /admin/counts`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct TargetCounts {
    /// Runs by kind: `boards`, `offers`, `uploads` and `quotes`.
    pub runs: BTreeMap<String, u64>,
    /// Offers that ran more than once at this target.
    pub ran_twice: u64,
    /// How often it fell over: lost its warmth and failed all requests for 2 s.
    pub fell_over: u64,
    /// Requests refused with 503.
    pub shed: u64,
    /// Requests whose deadline passed before they were served.
    pub deadline_passed: u64,
    /// Requests whose connection was closed before the response.
    pub cancelled: u64,
    /// Requests addressed to another service.
    pub misrouted: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// The highest number of requests in flight.
    pub max_in_flight: u32,
    /// Open boards.
    pub boards_open: u32,
    /// Time of the last request, in ms since the epoch; 0 if there was none.
    pub last_request_ms: u64,
}

/// The load report, at `GET /load`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: u32,
    /// The number of requests that may be in flight.
    pub slots: u32,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) counts: TargetCounts,
    pub(super) runs_by_operation: BTreeMap<String, u32>,
    faults: BTreeSet<String>,
    draining: bool,
    answered_work_ms: f64,
    fallen_over_until: Option<Instant>,
    pub(super) reported: LoadReport,
    journal: Option<File>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    FallenOver,
    Shed,
}

impl State {
    /// Restores the runs of earlier processes from the journal and opens it for new ones.
    pub(super) fn open(journal: Option<&Path>) -> io::Result<Self> {
        let mut state = Self::default();
        let Some(path) = journal else {
            return Ok(state);
        };
        if path.exists() {
            for operation in fs::read_to_string(path)?.lines() {
                state.count_offer(operation);
            }
        }
        let journal = File::options().create(true).append(true).open(path)?;
        state.journal = Some(journal);
        Ok(state)
    }

    pub(super) fn has_fault(&self, fault: &str) -> bool {
        self.faults.contains(fault)
    }

    /// Switches a fault on or off; returns `false` if the name is unknown.
    pub(super) fn set_fault(&mut self, fault: &str, on: bool) -> bool {
        if fault == TURN_COLD {
            self.answered_work_ms = 0.0;
            return true;
        }
        if !FAULTS.contains(&fault) {
            return false;
        }
        if on {
            self.faults.insert(fault.to_owned());
        } else {
            self.faults.remove(fault);
        }
        true
    }

    pub(super) fn set_draining(&mut self, on: bool) {
        self.draining = on;
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining
    }

    pub(super) fn has_fallen_over(&self, now: Instant) -> bool {
        self.fallen_over_until.is_some_and(|until| now < until)
    }

    /// Returns how many concurrent requests the target can serve at its current warmth.
    pub(super) fn capacity(&self, args: &TargetArgs) -> f64 {
        let warmth = self.answered_work_ms / f64::from(args.cold_ms.max(1));
        1.0 + f64::from(args.slots.saturating_sub(1)) * warmth.min(1.0)
    }

    /// Takes a slot for a request or refuses it.
    pub(super) fn admit(&mut self, args: &TargetArgs, now: Instant) -> Result<(), Refusal> {
        self.counts.last_request_ms = now_ms();
        if self.has_fallen_over(now) {
            return Err(Refusal::FallenOver);
        }
        let full = self.counts.in_flight >= args.slots && !self.has_fault("no-shed");
        if full || self.has_fault("refuse") || self.draining {
            self.counts.shed += 1;
            return Err(Refusal::Shed);
        }
        let wanted = self.counts.in_flight + 1;
        if f64::from(wanted) > FALL_OVER_FACTOR * self.capacity(args) {
            self.counts.fell_over += 1;
            self.answered_work_ms = 0.0;
            self.fallen_over_until = Some(now + Duration::from_millis(FALLEN_OVER_MS));
            return Err(Refusal::FallenOver);
        }
        self.counts.in_flight = wanted;
        self.counts.max_in_flight = self.counts.max_in_flight.max(wanted);
        Ok(())
    }

    /// Releases a slot.
    pub(super) fn release_slot(&mut self) {
        self.counts.in_flight -= 1;
    }

    /// Adds the service time of an answered request, which warms the target.
    pub(super) fn record_answered_work(&mut self, args: &TargetArgs) {
        self.answered_work_ms += f64::from(args.service_ms);
    }

    pub(super) fn count_run(&mut self, kind: &str, operation: &str) {
        *self.counts.runs.entry(kind.to_owned()).or_default() += 1;
        let may_record = self.runs_by_operation.len() < MAX_RECORDED_OPERATIONS;
        if kind != "offers" || !may_record {
            return;
        }
        if let Some(journal) = &mut self.journal
            && let Err(error) = journal.write_all(format!("{operation}\n").as_bytes())
        {
            eprintln!("cannot record the run of {operation} in the journal: {error}");
        }
        self.count_offer(operation);
    }

    fn count_offer(&mut self, operation: &str) {
        let runs = self
            .runs_by_operation
            .entry(operation.to_owned())
            .or_default();
        *runs += 1;
        if *runs == 2 {
            self.counts.ran_twice += 1;
        }
    }

    pub(super) fn service_time(&self, args: &TargetArgs) -> Duration {
        let utilization = f64::from(self.counts.in_flight) / self.capacity(args);
        let base = Duration::from_millis(u64::from(args.service_ms));
        let slow = if self.has_fault("slow") {
            SLOW_FACTOR
        } else {
            1
        };
        base.mul_f64(utilization.max(1.0)) * slow
    }

    /// Updates the load report, which therefore lags behind the load.
    pub(super) fn update_report(&mut self, args: &TargetArgs) {
        let reports_idle = self.has_fault("lie-idle");
        self.reported = LoadReport {
            in_flight: if reports_idle {
                0
            } else {
                self.counts.in_flight
            },
            slots: args.slots,
        };
    }
}
