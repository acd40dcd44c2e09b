//! Requests that wait for a slot, the earliest deadline first.

use super::{CostClass, RequestId};
use std::collections::BTreeMap;

/// A newcomer is queued if it is expected to start within this share of its longest wait.
const NEWCOMER_WAIT_SHARE: f64 = 0.7;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    /// The request.
    pub(super) id: RequestId,
    /// Its group of cost.
    pub(super) class: CostClass,
    /// When its caller stops waiting.
    pub(super) deadline_ms: u64,
    /// When it has waited for its longest.
    pub(super) expires_ms: u64,
}

/// How fast the queue empties.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainRate {
    /// The time until the first request may be sent.
    pub(super) starts_after_ms: u64,
    /// The time that one request takes at the target.
    pub(super) service_ms: f64,
    /// The requests that run at the same time.
    pub(super) slots: u32,
}

/// The bounded queue; its bound is kept by the caller.
#[derive(Debug, Default)]
pub(super) struct DeadlineQueue {
    waiting: BTreeMap<(u64, RequestId), Waiting>,
}

impl DrainRate {
    /// Returns how long the request at `position` (from 0) waits for its slot.
    pub(super) fn wait_ms(&self, position: usize) -> u64 {
        let turns = (position + 1) as f64 / f64::from(self.slots.max(1));
        self.starts_after_ms + (turns * self.service_ms) as u64
    }

    /// Tells whether a request at `position` can still be answered in time.
    pub(super) fn is_feasible(&self, position: usize, waiting: &Waiting, now_ms: u64) -> bool {
        self.is_feasible_by(position, waiting, now_ms, waiting.expires_ms)
    }

    /// Tells whether a newcomer at `position` will be answered in time even if the target becomes
    /// a little slower, so that hardly any request is refused after it has waited.
    pub(super) fn is_feasible_with_margin(
        &self,
        position: usize,
        waiting: &Waiting,
        now_ms: u64,
    ) -> bool {
        let longest_ms = waiting.expires_ms.saturating_sub(now_ms);
        let start_by_ms = now_ms + (longest_ms as f64 * NEWCOMER_WAIT_SHARE) as u64;
        self.is_feasible_by(position, waiting, now_ms, start_by_ms)
    }

    fn is_feasible_by(
        &self,
        position: usize,
        waiting: &Waiting,
        now_ms: u64,
        start_by_ms: u64,
    ) -> bool {
        let starts_ms = now_ms + self.wait_ms(position);
        let ends_ms = starts_ms + self.service_ms as u64;
        let is_live = now_ms < waiting.expires_ms && now_ms < waiting.deadline_ms;
        is_live && starts_ms <= start_by_ms && ends_ms <= waiting.deadline_ms
    }
}

impl DeadlineQueue {
    /// Returns how many requests wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many waiting requests would run before a newcomer.
    pub(super) fn position(&self, newcomer: &Waiting) -> usize {
        self.waiting.range(..key(newcomer)).count()
    }

    /// Adds a request.
    pub(super) fn push(&mut self, waiting: Waiting) {
        self.waiting.insert(key(&waiting), waiting);
    }

    /// Takes the request with the earliest deadline.
    pub(super) fn pop(&mut self) -> Option<Waiting> {
        self.waiting.pop_first().map(|(_, waiting)| waiting)
    }

    /// Takes a request out; tells whether it was there.
    pub(super) fn remove(&mut self, id: RequestId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|_, waiting| waiting.id != id);
        before != self.waiting.len()
    }

    /// Takes out each request that can no longer be answered in time.
    pub(super) fn take_infeasible(&mut self, rate: &DrainRate, now_ms: u64) -> Vec<Waiting> {
        let mut position = 0;
        let mut infeasible = Vec::new();
        for waiting in self.waiting.values() {
            if rate.is_feasible(position, waiting, now_ms) {
                position += 1;
            } else {
                infeasible.push(*waiting);
            }
        }
        for waiting in &infeasible {
            self.waiting.remove(&key(waiting));
        }
        infeasible
    }

    /// Takes all requests out.
    pub(super) fn take_all(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// Returns the earliest time at which a request has waited for its longest.
    pub(super) fn next_expiry_ms(&self) -> Option<u64> {
        self.waiting
            .values()
            .map(|waiting| waiting.expires_ms.min(waiting.deadline_ms))
            .min()
    }
}

fn key(waiting: &Waiting) -> (u64, RequestId) {
    (waiting.deadline_ms, waiting.id)
}
