//! Invariants that must hold at all times, checked against what callers and targets observe.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
};
use tokio::time::{Duration, Instant};

/// The time after a disturbance during which flows with idempotent requests may be reset.
///
/// A silent agent is given up after 1.5 s, and the reset is sent with the caller's next packet.
const IDEMPOTENT_RESET_WINDOW: Duration = Duration::from_secs(4);

/// A reset that a caller received on an open flow.
#[derive(Clone, Debug)]
pub struct Reset {
    pub flow: SocketAddrV4,
    pub target_id: Option<String>,
    pub run: u32,
    pub is_idempotent: bool,
}

/// Counts events and collects violations.
#[derive(Debug, Default)]
pub struct Invariants {
    violations: Mutex<Vec<String>>,
    /// The current run of each target.
    runs: Mutex<BTreeMap<String, u32>>,
    disturbed: Mutex<Option<Instant>>,
    opened: AtomicU32,
    unopened: AtomicU32,
    answers: AtomicU32,
    resets: AtomicU32,
    unanswered: AtomicU32,
}

impl Invariants {
    pub fn record_violation(&self, what: String) {
        self.violations.lock().unwrap().push(what);
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().unwrap().clone()
    }

    pub fn record_opened_flow(&self) {
        self.opened.fetch_add(1, Ordering::SeqCst);
    }

    pub fn record_unopened_flow(&self) {
        self.unopened.fetch_add(1, Ordering::SeqCst);
    }

    pub fn record_answer(&self) {
        self.answers.fetch_add(1, Ordering::SeqCst);
    }

    pub fn record_unanswered_request(&self) {
        self.unanswered.fetch_add(1, Ordering::SeqCst);
    }

    /// Records the current run of a target; all flows of earlier runs are lost.
    pub fn record_run(&self, target: &str, run: u32) {
        self.runs.lock().unwrap().insert(target.to_owned(), run);
    }

    /// Records that a process is stopped, paused or cut off, or that it continues.
    pub fn record_disturbance(&self) {
        *self.disturbed.lock().unwrap() = Some(Instant::now());
    }

    /// Checks that a flow is reset only if its target has ended, or, for idempotent requests, shortly
    /// after a disturbance.
    pub fn check_reset(&self, reset: &Reset) {
        self.resets.fetch_add(1, Ordering::SeqCst);
        let Some(target_id) = &reset.target_id else {
            // The flow's target is not known before the first answer.
            return;
        };
        let is_running = self.runs.lock().unwrap().get(target_id) == Some(&reset.run);
        let disturbed = *self.disturbed.lock().unwrap();
        let is_disturbed = disturbed.is_some_and(|at| at.elapsed() < IDEMPOTENT_RESET_WINDOW);
        if is_running && !(reset.is_idempotent && is_disturbed) {
            self.record_violation(format!(
                "flow {} was reset while {target_id} (run {}) runs",
                reset.flow, reset.run
            ));
        }
    }

    pub fn summary(&self) -> String {
        let count = |counter: &AtomicU32| counter.load(Ordering::SeqCst);
        format!(
            "{} flows opened, {} not, {} answers, {} resets, {} requests given up",
            count(&self.opened),
            count(&self.unopened),
            count(&self.answers),
            count(&self.resets),
            count(&self.unanswered)
        )
    }
}
