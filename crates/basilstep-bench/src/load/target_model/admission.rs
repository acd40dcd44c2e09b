//! Admission in front of the target: the product's and the simpler policies that it is compared
//! with.

use basilstep_core::{
    admission::{Admission, AdmissionAction, AdmissionEvent, RequestId, RequestOutcome},
    codes::ResultCode,
    context::Context,
};
use std::collections::VecDeque;

/// Decides which requests are sent to the target.
pub trait AdmissionControl {
    /// Handles one event and returns the resulting actions.
    fn handle(&mut self, event: AdmissionEvent, context: &mut Context) -> Vec<AdmissionAction>;

    /// Returns when the next tick is due.
    fn wake_at_ms(&self) -> Option<u64> {
        None
    }

    /// Returns whether the target is considered impaired.
    fn is_impaired(&self) -> bool {
        false
    }
}

impl AdmissionControl for Admission {
    fn handle(&mut self, event: AdmissionEvent, context: &mut Context) -> Vec<AdmissionAction> {
        Admission::handle(self, event, context)
    }

    fn wake_at_ms(&self) -> Option<u64> {
        Admission::wake_at_ms(self)
    }

    fn is_impaired(&self) -> bool {
        Admission::is_impaired(self)
    }
}

/// Sends every request at once.
#[derive(Debug, Default)]
pub struct NoLimit;

impl AdmissionControl for NoLimit {
    fn handle(&mut self, event: AdmissionEvent, _context: &mut Context) -> Vec<AdmissionAction> {
        match event {
            AdmissionEvent::Arrived { id, .. } => vec![AdmissionAction::Run { id }],
            _ => Vec::new(),
        }
    }
}

/// Sends requests up to a fixed limit; the rest wait first in, first out, up to a time limit.
#[derive(Debug)]
pub struct FifoQueue {
    limit: usize,
    wait_ms: u64,
    in_flight: usize,
    queue: VecDeque<(RequestId, u64)>,
}

impl FifoQueue {
    /// Creates an empty queue.
    pub fn new(limit: u32, wait_ms: u64) -> Self {
        Self {
            limit: limit as usize,
            wait_ms,
            in_flight: 0,
            queue: VecDeque::new(),
        }
    }

    fn set_limit(&mut self, limit: f64) {
        self.limit = limit as usize;
    }

    fn dispatch(&mut self, now_ms: u64) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        while let Some((id, since_ms)) = self.queue.front().copied() {
            if now_ms >= since_ms + self.wait_ms {
                actions.push(AdmissionAction::Refuse {
                    id,
                    code: ResultCode::Overloaded,
                    retry_after_ms: 0,
                });
            } else if self.in_flight < self.limit {
                self.in_flight += 1;
                actions.push(AdmissionAction::Run { id });
            } else {
                break;
            }
            self.queue.pop_front();
        }
        actions
    }

    fn cancel(&mut self, id: RequestId) {
        let before = self.queue.len();
        self.queue.retain(|(queued, _)| *queued != id);
        if before == self.queue.len() {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
    }
}

impl AdmissionControl for FifoQueue {
    fn handle(&mut self, event: AdmissionEvent, context: &mut Context) -> Vec<AdmissionAction> {
        match event {
            AdmissionEvent::Arrived { id, .. } => self.queue.push_back((id, context.now_ms)),
            AdmissionEvent::Answered { .. } => self.in_flight = self.in_flight.saturating_sub(1),
            AdmissionEvent::Cancelled { id } => self.cancel(id),
            _ => {}
        }
        self.dispatch(context.now_ms)
    }

    fn wake_at_ms(&self) -> Option<u64> {
        let first = self.queue.front();
        first.map(|(_, since_ms)| since_ms + self.wait_ms)
    }
}

/// Additive increase, multiplicative decrease on latency and failures; ignores whether a target is
/// cold.
#[derive(Debug)]
pub struct Aimd {
    queue: FifoQueue,
    limit: f64,
    max_limit: f64,
    min_latency_ms: u32,
    next_decrease_ms: u64,
}

impl Aimd {
    /// A latency beyond this multiple of the minimum counts as overload.
    const LATENCY_RATIO: u32 = 3;

    /// Creates a policy with an initial limit of one request in flight.
    pub fn new(max_limit: u32, wait_ms: u64) -> Self {
        Self {
            queue: FifoQueue::new(1, wait_ms),
            limit: 1.0,
            max_limit: f64::from(max_limit),
            min_latency_ms: u32::MAX,
            next_decrease_ms: 0,
        }
    }

    fn update_limit(&mut self, latency_ms: u32, outcome: RequestOutcome, now_ms: u64) {
        let slow_ms = self.min_latency_ms.saturating_mul(Self::LATENCY_RATIO);
        if outcome == RequestOutcome::Ok && latency_ms <= slow_ms {
            self.min_latency_ms = self.min_latency_ms.min(latency_ms.max(1));
            self.limit = (self.limit + 1.0 / self.limit).min(self.max_limit);
        } else if now_ms >= self.next_decrease_ms {
            self.limit = (self.limit / 2.0).max(1.0);
            self.next_decrease_ms = now_ms + u64::from(latency_ms);
        }
        self.queue.set_limit(self.limit);
    }
}

impl AdmissionControl for Aimd {
    fn handle(&mut self, event: AdmissionEvent, context: &mut Context) -> Vec<AdmissionAction> {
        if let AdmissionEvent::Answered {
            latency_ms,
            outcome,
            ..
        } = event
        {
            self.update_limit(latency_ms, outcome, context.now_ms);
        }
        self.queue.handle(event, context)
    }

    fn wake_at_ms(&self) -> Option<u64> {
        self.queue.wake_at_ms()
    }
}

/// Wraps another policy and names the same retry time in each refusal.
#[derive(Debug)]
pub struct FixedRetry<A> {
    /// The wrapped policy.
    pub inner: A,
    /// The retry time of each refusal.
    pub retry_after_ms: u32,
}

impl<A: AdmissionControl> AdmissionControl for FixedRetry<A> {
    fn handle(&mut self, event: AdmissionEvent, context: &mut Context) -> Vec<AdmissionAction> {
        let mut actions = self.inner.handle(event, context);
        for action in &mut actions {
            if let AdmissionAction::Refuse { retry_after_ms, .. } = action {
                *retry_after_ms = self.retry_after_ms;
            }
        }
        actions
    }

    fn wake_at_ms(&self) -> Option<u64> {
        self.inner.wake_at_ms()
    }
}
