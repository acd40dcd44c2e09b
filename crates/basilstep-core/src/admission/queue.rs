//! The queue of requests that wait for a slot, ordered by deadline.

use super::{CostClass, RequestId};
use std::collections::BTreeMap;

/// A new request is queued if it is expected to start within this share of its maximum wait.
const NEW_REQUEST_WAIT_SHARE: f64 = 0.7;

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    /// The request.
    pub(super) id: RequestId,
    /// Its cost class.
    pub(super) class: CostClass,
    /// The time at which its caller stops waiting.
    pub(super) deadline_ms: u64,
    /// The time at which its maximum wait ends.
    pub(super) expires_ms: u64,
}

/// The rate at which the queue drains.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainRate {
    /// The time until the first request may be sent.
    pub(super) starts_after_ms: u64,
    /// The service time of one request at the target.
    pub(super) service_ms: f64,
    /// The number of requests that run concurrently.
    pub(super) slots: u32,
}

/// The queue, whose length its user bounds.
#[derive(Debug, Default)]
pub(super) struct DeadlineQueue {
    waiting: BTreeMap<(u64, RequestId), QueuedRequest>,
}

impl DrainRate {
    /// Returns how long the request at `position` (from 0) waits for a slot.
    pub(super) fn wait_ms(&self, position: usize) -> u64 {
        let turns = (position + 1) as f64 / f64::from(self.slots.max(1));
        self.starts_after_ms + (turns * self.service_ms) as u64
    }

    /// Returns whether a request at `position` can still be answered in time.
    pub(super) fn is_feasible(
        &self,
        position: usize,
        waiting: &QueuedRequest,
        now_ms: u64,
    ) -> bool {
        self.is_feasible_by(position, waiting, now_ms, waiting.expires_ms)
    }

    /// Returns whether a new request at `position` will be answered in time even if the target
    /// becomes slightly slower, so that few requests are refused after they have waited.
    pub(super) fn is_feasible_with_margin(
        &self,
        position: usize,
        waiting: &QueuedRequest,
        now_ms: u64,
    ) -> bool {
        let longest_ms = waiting.expires_ms.saturating_sub(now_ms);
        let start_by_ms = now_ms + (longest_ms as f64 * NEW_REQUEST_WAIT_SHARE) as u64;
        self.is_feasible_by(position, waiting, now_ms, start_by_ms)
    }

    fn is_feasible_by(
        &self,
        position: usize,
        waiting: &QueuedRequest,
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
    /// Returns the number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of queued requests that run before a new one.
    pub(super) fn position(&self, newcomer: &QueuedRequest) -> usize {
        self.waiting.range(..key(newcomer)).count()
    }

    /// Adds a request.
    pub(super) fn push(&mut self, waiting: QueuedRequest) {
        self.waiting.insert(key(&waiting), waiting);
    }

    /// Removes and returns the request with the earliest deadline.
    pub(super) fn pop(&mut self) -> Option<QueuedRequest> {
        self.waiting.pop_first().map(|(_, waiting)| waiting)
    }

    /// Removes a request; returns whether it was queued.
    pub(super) fn remove(&mut self, id: RequestId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|_, waiting| waiting.id != id);
        before != self.waiting.len()
    }

    /// Removes and returns the requests that can no longer be answered in time.
    pub(super) fn take_infeasible(&mut self, rate: &DrainRate, now_ms: u64) -> Vec<QueuedRequest> {
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

    /// Removes and returns all requests.
    pub(super) fn take_all(&mut self) -> Vec<QueuedRequest> {
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// Returns the earliest time at which the deadline or the maximum wait of a request ends.
    pub(super) fn next_expiry_ms(&self) -> Option<u64> {
        self.waiting
            .values()
            .map(|waiting| waiting.expires_ms.min(waiting.deadline_ms))
            .min()
    }
}

fn key(waiting: &QueuedRequest) -> (u64, RequestId) {
    (waiting.deadline_ms, waiting.id)
}
