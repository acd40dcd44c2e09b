//! Drives one admission policy and one target through virtual time in steps of one millisecond.

use super::{AdmissionControl, TargetModel};
use basilstep_core::{
    admission::{AdmissionAction, AdmissionEvent, CostClass, RequestId, RequestOutcome},
    context::Context,
};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The mean service time of a request at full speed.
pub const SERVICE_MS: f64 = 50.0;

/// A completed request, as its caller sees it.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// The ID of the request.
    pub id: RequestId,
    /// The time since the arrival.
    pub after_ms: u64,
    /// How the request ended.
    pub kind: CompletionKind,
}

/// The ways in which a request ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompletionKind {
    /// Answered in time.
    Answered,
    /// Refused without having run.
    Refused {
        /// When the caller may retry; 0 if the refusal names no time.
        retry_after_ms: u32,
    },
    /// Sent, and lost when the target crashed.
    Lost,
    /// Not answered before the deadline.
    TimedOut,
}

#[derive(Clone, Copy, Debug)]
#[expect(
    clippy::struct_field_names,
    reason = "each field is a time in milliseconds"
)]
struct OpenRequest {
    arrived_ms: u64,
    deadline_ms: u64,
    sent_ms: Option<u64>,
}

/// The admission policy, the target and the open requests.
#[derive(Debug)]
pub struct Harness<A> {
    /// The target.
    pub target: TargetModel,
    /// The virtual time and the random source, for policy and target.
    pub context: Context,
    admission: A,
    open: BTreeMap<RequestId, OpenRequest>,
    deadlines: BTreeSet<(u64, RequestId)>,
    next_id: u64,
    completions: Vec<Completion>,
}

impl<A: AdmissionControl> Harness<A> {
    /// Creates a harness with an admission policy in front of a target.
    pub fn new(admission: A, target: TargetModel, seed: u64) -> Self {
        Self {
            target,
            context: Context::new(seed),
            admission,
            open: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            next_id: 0,
            completions: Vec::new(),
        }
    }

    /// Adds a request with a deadline after `timeout_ms` and returns its ID.
    pub fn arrive(&mut self, timeout_ms: u64) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let deadline_ms = self.context.now_ms + timeout_ms;
        let open = OpenRequest {
            arrived_ms: self.context.now_ms,
            deadline_ms,
            sent_ms: None,
        };
        self.open.insert(id, open);
        self.deadlines.insert((deadline_ms, id));
        self.handle(AdmissionEvent::Arrived {
            id,
            deadline_ms,
            class: CostClass::default(),
        });
        id
    }

    /// Returns whether admission considers the target impaired.
    pub fn is_impaired(&self) -> bool {
        self.admission.is_impaired()
    }

    /// Returns the admission policy.
    pub fn admission(&self) -> &A {
        &self.admission
    }

    /// Cancels all open requests, as a close of their flows does, and returns their IDs.
    pub fn cancel_all(&mut self) -> Vec<RequestId> {
        let open = std::mem::take(&mut self.open);
        self.deadlines.clear();
        for id in open.keys() {
            self.target.cancel(*id);
            self.handle(AdmissionEvent::Cancelled { id: *id });
        }
        open.into_keys().collect()
    }

    /// Crashes the target.
    pub fn crash(&mut self) {
        let lost = self.target.crash(self.context.now_ms);
        self.lose_requests(lost);
    }

    /// Advances by one millisecond and returns the requests completed since the last call.
    pub fn step(&mut self) -> Vec<Completion> {
        self.context.advance(1);
        let ended = self.target.step(self.context.now_ms);
        for id in ended.answered {
            self.complete(id, CompletionKind::Answered);
            self.report_outcome(id, RequestOutcome::Ok);
        }
        self.lose_requests(ended.lost);
        self.expire_deadlines();
        let due = self.admission.wake_at_ms();
        if due.is_some_and(|due_ms| due_ms <= self.context.now_ms) {
            self.handle(AdmissionEvent::Tick);
        }
        std::mem::take(&mut self.completions)
    }

    fn lose_requests(&mut self, lost: Vec<RequestId>) {
        for id in lost {
            self.complete(id, CompletionKind::Lost);
            self.report_outcome(id, RequestOutcome::TargetGone);
        }
    }

    fn expire_deadlines(&mut self) {
        while let Some((deadline_ms, id)) = self.deadlines.first().copied() {
            if deadline_ms > self.context.now_ms {
                return;
            }
            self.deadlines.pop_first();
            let Some(open) = self.open.get(&id).copied() else {
                continue;
            };
            self.complete(id, CompletionKind::TimedOut);
            self.target.cancel(id);
            if open.sent_ms.is_some() {
                self.report_outcome(id, RequestOutcome::TimedOut);
            } else {
                self.open.remove(&id);
                self.handle(AdmissionEvent::Cancelled { id });
            }
        }
    }

    fn report_outcome(&mut self, id: RequestId, outcome: RequestOutcome) {
        let open = self.open.remove(&id);
        let sent_ms = open.and_then(|open| open.sent_ms);
        let Some(sent_ms) = sent_ms else {
            return;
        };
        self.handle(AdmissionEvent::Answered {
            id,
            latency_ms: (self.context.now_ms - sent_ms) as u32,
            outcome,
        });
    }

    fn complete(&mut self, id: RequestId, kind: CompletionKind) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        self.deadlines.remove(&(open.deadline_ms, id));
        self.completions.push(Completion {
            id,
            after_ms: self.context.now_ms - open.arrived_ms,
            kind,
        });
    }

    fn handle(&mut self, event: AdmissionEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.admission.handle(event, &mut self.context) {
                events.extend(self.execute(action));
            }
        }
    }

    fn execute(&mut self, action: AdmissionAction) -> Option<AdmissionEvent> {
        match action {
            AdmissionAction::Run { id } => self.send(id),
            AdmissionAction::Refuse {
                id, retry_after_ms, ..
            } => {
                self.complete(id, CompletionKind::Refused { retry_after_ms });
                self.open.remove(&id);
                None
            }
            _ => None,
        }
    }

    /// Sends a request. A refused connection means that no byte was sent, so the request was not
    /// run.
    fn send(&mut self, id: RequestId) -> Option<AdmissionEvent> {
        let uniform: f64 = self.context.rng.random();
        let work_ms = SERVICE_MS * self.target.service_times().factor(uniform);
        if self.target.send(id, work_ms, self.context.now_ms) {
            self.open.get_mut(&id)?.sent_ms = Some(self.context.now_ms);
            return None;
        }
        self.complete(id, CompletionKind::Refused { retry_after_ms: 0 });
        self.open.remove(&id);
        Some(AdmissionEvent::Answered {
            id,
            latency_ms: 0,
            outcome: RequestOutcome::TargetGone,
        })
    }
}
