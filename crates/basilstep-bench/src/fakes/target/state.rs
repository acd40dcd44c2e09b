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
/// A target falls over above this many times the load that it can bear.
const FALL_OVER_FACTOR: f64 = 2.0;
const FALLEN_MS: u64 = 2_000;
const MAX_RECORDED_OPERATIONS: usize = 1_000_000;

/// What a target has counted, at `GET /admin/counts`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct TargetCounts {
    /// Runs by kind: `boards`, `offers`, `uploads` and `quotes`.
    pub runs: BTreeMap<String, u64>,
    /// Offers that ran more than once at this target.
    pub ran_twice: u64,
    /// How often it fell over.
    pub fell_over: u64,
    /// Requests refused with 503.
    pub shed: u64,
    /// Requests whose deadline passed here.
    pub deadline_passed: u64,
    /// Requests whose connection was closed before the answer.
    pub cancelled: u64,
    /// Requests that were sent for another service.
    pub misrouted: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// The most requests in flight.
    pub max_in_flight: u32,
    /// Boards that are open.
    pub boards_open: u32,
    /// Time of the last request, in ms since the epoch; 0 when there was none.
    pub last_request_ms: u64,
}

/// The load report, at `GET /load`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that can be in flight.
    pub slots: u32,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) counts: TargetCounts,
    pub(super) runs_by_operation: BTreeMap<String, u32>,
    faults: BTreeSet<String>,
    draining: bool,
    answered_work_ms: f64,
    fallen_until: Option<Instant>,
    pub(super) reported: LoadReport,
    journal: Option<File>,
}

/// Why a request does not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    FallenOver,
    Shed,
}

impl State {
    /// Reads which offers ran before the process was killed, and notes those to come.
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

    pub(super) fn has(&self, fault: &str) -> bool {
        self.faults.contains(fault)
    }

    /// Switches a fault; `false` when there is none of this name.
    pub(super) fn switch(&mut self, fault: &str, on: bool) -> bool {
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

    pub(super) fn drain(&mut self, on: bool) {
        self.draining = on;
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining
    }

    pub(super) fn is_fallen(&self, now: Instant) -> bool {
        self.fallen_until.is_some_and(|until| now < until)
    }

    /// Returns how many requests at a time the target can bear.
    pub(super) fn bearable(&self, args: &TargetArgs) -> f64 {
        let warmth = self.answered_work_ms / f64::from(args.cold_ms.max(1));
        1.0 + f64::from(args.slots.saturating_sub(1)) * warmth.min(1.0)
    }

    /// Takes a slot for a request.
    pub(super) fn arrive(&mut self, args: &TargetArgs, now: Instant) -> Result<(), Refusal> {
        self.counts.last_request_ms = now_ms();
        if self.is_fallen(now) {
            return Err(Refusal::FallenOver);
        }
        let full = self.counts.in_flight >= args.slots && !self.has("no-shed");
        if full || self.has("refuse") || self.draining {
            self.counts.shed += 1;
            return Err(Refusal::Shed);
        }
        let wanted = self.counts.in_flight + 1;
        if f64::from(wanted) > FALL_OVER_FACTOR * self.bearable(args) {
            self.counts.fell_over += 1;
            self.answered_work_ms = 0.0;
            self.fallen_until = Some(now + Duration::from_millis(FALLEN_MS));
            return Err(Refusal::FallenOver);
        }
        self.counts.in_flight = wanted;
        self.counts.max_in_flight = self.counts.max_in_flight.max(wanted);
        Ok(())
    }

    /// Frees a slot.
    pub(super) fn leave(&mut self) {
        self.counts.in_flight -= 1;
    }

    /// Counts the work of an answered request, which warms the target.
    pub(super) fn answer(&mut self, args: &TargetArgs) {
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
            eprintln!("cannot note that {operation} runs: {error}");
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
        let crowding = f64::from(self.counts.in_flight) / self.bearable(args);
        let base = Duration::from_millis(u64::from(args.service_ms));
        let slow = if self.has("slow") { SLOW_FACTOR } else { 1 };
        base.mul_f64(crowding.max(1.0)) * slow
    }

    /// Renews the load report, which is older than the load by the lag of the report.
    pub(super) fn report(&mut self, args: &TargetArgs) {
        let lies = self.has("lie-idle");
        self.reported = LoadReport {
            in_flight: if lies { 0 } else { self.counts.in_flight },
            slots: args.slots,
        };
    }
}
