use crate::flows::key::FlowKey;
use std::collections::BTreeMap;

/// An unanswered request.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    order: u64,
    requested_ms: u64,
    started_ms: Option<u64>,
    is_interrupted: bool,
}

/// A request that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedRequest {
    /// The time since the request arrived.
    pub age_ms: u64,
    /// The time since the target began to process it; `None` if it was still queued.
    pub processing_ms: Option<u64>,
    /// The agent did not run for a part of this time, which is left out: the times are lower bounds.
    pub is_interrupted: bool,
}

/// The unanswered requests at a target, and which of them it is processing.
///
/// A target is assumed to process requests in the order of their arrival, as many at once as its
/// capacity. So each answer shows how long the request took without its time in the queue, also
/// while the queue never empties.
#[derive(Clone, Debug, Default)]
pub struct ServiceSlots {
    requests: BTreeMap<FlowKey, OpenRequest>,
    queued: BTreeMap<u64, FlowKey>,
    next_order: u64,
}

impl ServiceSlots {
    /// Records data of a caller; more data of an unanswered request restarts its time.
    pub fn on_request(&mut self, key: FlowKey, capacity: u16, now_ms: u64) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.requested_ms = now_ms;
            request.started_ms = request.started_ms.map(|_| now_ms);
            request.is_interrupted = false;
            return;
        }
        let order = self.next_order;
        self.next_order += 1;
        self.queued.insert(order, key);
        let request = OpenRequest {
            order,
            requested_ms: now_ms,
            started_ms: None,
            is_interrupted: false,
        };
        self.requests.insert(key, request);
        self.start_queued(capacity, now_ms);
    }

    /// Removes a request; the next queued one takes its place.
    pub fn remove(&mut self, key: &FlowKey, capacity: u16, now_ms: u64) -> Option<EndedRequest> {
        let request = self.requests.remove(key)?;
        self.queued.remove(&request.order);
        self.start_queued(capacity, now_ms);
        Some(EndedRequest {
            age_ms: now_ms.saturating_sub(request.requested_ms),
            processing_ms: request
                .started_ms
                .map(|started_ms| now_ms.saturating_sub(started_ms)),
            is_interrupted: request.is_interrupted,
        })
    }

    /// Leaves a time in which the agent did not run out of the times of all unanswered requests.
    pub fn skip(&mut self, duration_ms: u64) {
        for request in self.requests.values_mut() {
            request.requested_ms += duration_ms;
            request.started_ms = request
                .started_ms
                .map(|started_ms| started_ms + duration_ms);
            request.is_interrupted = true;
        }
    }

    /// Returns the flows of all unanswered requests.
    pub fn flows(&self) -> impl Iterator<Item = &FlowKey> {
        self.requests.keys()
    }

    /// Returns how long each request has been processed that has not ended.
    pub fn processing_times_ms(&self, now_ms: u64) -> impl Iterator<Item = u64> + '_ {
        self.requests
            .values()
            .filter_map(move |request| Some(now_ms.saturating_sub(request.started_ms?)))
    }

    fn start_queued(&mut self, capacity: u16, now_ms: u64) {
        while self.requests.len() - self.queued.len() < usize::from(capacity) {
            let Some((_, key)) = self.queued.pop_first() else {
                return;
            };
            if let Some(request) = self.requests.get_mut(&key) {
                request.started_ms = Some(now_ms);
            }
        }
    }
}
