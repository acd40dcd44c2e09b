mod hedging;

use crate::shared_state::SharedState;
use basilstep_core::{
    address::{AgentAddress, Incarnation},
    admission::{Admission, AdmissionAction, AdmissionEvent, AdmissionView, CostClass, RequestId},
    codes::ResultCode,
    context::Context,
    domains::{OverflowRelays, OverflowSettings},
    membership::AgentRecord,
    requests::{
        AgentDirectory, AgentStatus, FailedAttempt, IdempotencyKey, RequestArrival,
        RequestDecision, RequestTracker, RequestsView, RetryDecision, SendPermit, TicketKey,
    },
    settings::DomainSet,
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{Notify, futures::Notified, oneshot},
    time::sleep,
};

/// The longest sleep of the timer; bounds the delay when a change of the wake-up time is missed.
const MAX_TIMER_SLEEP_MS: u64 = 1_000;

/// The decision of admission on a request.
#[derive(Clone, Copy, Debug)]
pub enum AdmissionResult {
    /// The request may be sent to the target now.
    Admitted,
    /// The request was refused and not run.
    Refused(Refusal),
}

/// The reason for a refusal and the time to retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub code: ResultCode,
    /// The time after which the caller should retry.
    pub retry_after_ms: u32,
}

/// Coordinates at-most-once handling, admission and overflow for the requests of one agent.
///
/// All state is behind one lock, which is never held across an `await`.
#[derive(Debug)]
pub struct Dispatcher {
    shared: Arc<SharedState>,
    state: Mutex<DispatcherState>,
    run_finished: Notify,
    timer_changed: Notify,
}

#[derive(Debug)]
struct DispatcherState {
    requests: RequestTracker,
    admission: Admission,
    overflow: OverflowRelays,
    context: Context,
    waiting: BTreeMap<RequestId, oneshot::Sender<AdmissionResult>>,
    next_id: u64,
    /// When the next line about second copies may be written.
    next_hedge_log_ms: u64,
}

impl DispatcherState {
    /// Chooses an agent that may have room for a request.
    fn choose_relay(
        &mut self,
        peers: &[AgentRecord],
        domains_out: &DomainSet,
    ) -> Option<AgentAddress> {
        self.overflow
            .choose_peer(peers, domains_out, &mut self.context)
    }
}

impl Dispatcher {
    /// Creates the dispatcher of a newly started agent.
    pub fn new(shared: Arc<SharedState>) -> Arc<Self> {
        let active_settings = shared.active_settings();
        let mut context = shared.clock.new_context();
        let requests = RequestTracker::new(
            active_settings.requests.clone(),
            TicketKey::new(&shared.settings.common.cluster_key),
            shared.address(),
            shared.incarnation,
            &mut context,
        );
        let admission = Admission::new(active_settings.admission.clone(), context.now_ms);
        let state = DispatcherState {
            requests,
            admission,
            overflow: OverflowRelays::new(OverflowSettings::default()),
            context,
            waiting: BTreeMap::new(),
            next_id: 0,
            next_hedge_log_ms: 0,
        };
        Arc::new(Self {
            shared,
            state: Mutex::new(state),
            run_finished: Notify::new(),
            timer_changed: Notify::new(),
        })
    }

    /// Spawns the admission timer and the task that applies settings changes.
    pub fn spawn_background_tasks(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).run_timer());
        tokio::spawn(Arc::clone(self).apply_settings_changes());
    }

    /// Returns the current time.
    pub fn now_ms(&self) -> u64 {
        self.shared.clock.now_ms()
    }

    /// Returns the deadline of a request with the given timeout; `None` applies the default.
    pub fn deadline_ms(&self, timeout_ms: Option<u32>) -> u64 {
        self.lock().requests.deadline_ms(timeout_ms, self.now_ms())
    }

    /// Issues the ticket for the next response on a flow.
    pub fn issue_ticket(&self, flow: u32) -> String {
        let now_ms = self.now_ms();
        self.lock().requests.issue_ticket(flow, now_ms)
    }

    /// Parses an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::BadRequest`] when the key is malformed.
    pub fn parse_key(&self, text: &str) -> Result<IdempotencyKey, ResultCode> {
        self.lock().requests.parse_key(text)
    }

    /// Decides what to do with a request that has arrived.
    pub fn on_arrival(&self, arrival: &RequestArrival<'_>) -> RequestDecision {
        let directory = PeerDirectory {
            peers: self.shared.peers(),
            domains_out: self.shared.active_settings().domains_out,
        };
        let mut state = self.lock();
        let state = &mut *state;
        // An agent whose target is down relays new requests, like a draining agent.
        let relays = self.shared.is_draining() || !self.shared.is_target_up();
        state.requests.set_draining(relays);
        state.requests.arrive(arrival, &directory, &state.context)
    }

    /// Waits until any run ends; a duplicate then checks whether it was the run it waits for.
    pub fn run_finished(&self) -> Notified<'_> {
        self.run_finished.notified()
    }

    /// Returns whether the first byte of a request may be sent.
    pub fn permit_send(&self, key: Option<&IdempotencyKey>) -> SendPermit {
        self.lock().requests.permit_send(key)
    }

    /// Records the complete response of a run.
    pub fn complete(&self, key: Option<&IdempotencyKey>, response: &[u8]) {
        self.lock().requests.complete(key, response);
        self.run_finished.notify_waiters();
    }

    /// Chooses an agent to relay a request to that was not run here, if it may be relayed.
    pub fn choose_overflow_peer(&self, attempt: &FailedAttempt<'_>) -> Option<AgentAddress> {
        let peers = self.shared.peers();
        let domains_out = self.shared.active_settings().domains_out;
        let mut state = self.lock();
        let peer = state.choose_relay(&peers, &domains_out);
        peer.filter(|_| state.requests.should_relay_overflow(attempt, true))
    }

    /// Records whether an agent accepted a request that was relayed to it as overflow.
    pub fn note_overflow_result(&self, peer: AgentAddress, had_room: bool) {
        let mut state = self.lock();
        let now_ms = state.context.now_ms;
        if had_room {
            state.overflow.on_answer(peer);
        } else {
            state.overflow.on_refusal(peer, now_ms);
        }
    }

    /// Decides whether to retry after an attempt that failed without a response.
    pub fn on_failed_attempt(&self, attempt: &FailedAttempt<'_>) -> RetryDecision {
        let decision = {
            let mut state = self.lock();
            let state = &mut *state;
            state.requests.fail(attempt, &mut state.context)
        };
        self.run_finished.notify_waiters();
        decision
    }

    /// Waits until admission admits or refuses a request.
    pub async fn admit(
        self: &Arc<Self>,
        deadline_ms: u64,
        class: CostClass,
    ) -> (AdmissionSlot, AdmissionResult) {
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut state = self.lock();
            state.next_id += 1;
            let id = RequestId(state.next_id);
            state.waiting.insert(id, sender);
            id
        };
        let slot = AdmissionSlot {
            dispatcher: Arc::clone(self),
            id,
            is_released: false,
        };
        self.handle_admission_event(AdmissionEvent::Arrived {
            id,
            deadline_ms,
            class,
        });
        let lost = Refusal {
            code: ResultCode::Overloaded,
            retry_after_ms: 0,
        };
        let admitted = receiver.await.unwrap_or(AdmissionResult::Refused(lost));
        (slot, admitted)
    }

    /// Passes one event to admission and executes the resulting actions; returns the refusal when a
    /// connection was refused.
    pub fn handle_admission_event(&self, event: AdmissionEvent) -> Option<Refusal> {
        let mut refusal = None;
        let mut state = self.lock();
        let state = &mut *state;
        let actions = state.admission.handle(event, &mut state.context);
        for action in actions {
            match action {
                AdmissionAction::Run { id } => {
                    notify_waiting(&mut state.waiting, id, AdmissionResult::Admitted);
                }
                AdmissionAction::Refuse {
                    id,
                    code,
                    retry_after_ms,
                } => {
                    let refused = Refusal {
                        code,
                        retry_after_ms,
                    };
                    notify_waiting(&mut state.waiting, id, AdmissionResult::Refused(refused));
                }
                AdmissionAction::RefuseConnection {
                    code,
                    retry_after_ms,
                } => {
                    refusal = Some(Refusal {
                        code,
                        retry_after_ms,
                    });
                }
                AdmissionAction::Queue { .. } | AdmissionAction::AcceptConnection => {}
            }
        }
        self.update_admission_hint(&state.admission);
        self.timer_changed.notify_one();
        refusal
    }

    /// Passes the state of admission to placement: a cold target has a lower weight.
    fn update_admission_hint(&self, admission: &Admission) {
        let weight = admission.ramped_weight(self.shared.settings.target_weight);
        // Overload does not close the agent to new flows: a cold target at its limit already has
        // the lowest weight, and when all targets of a service are cold, flows must still open
        // somewhere.
        let flow_refusal = admission
            .flow_refusal()
            .filter(|code| *code != ResultCode::Overloaded);
        self.shared.set_admission_hint(weight, flow_refusal);
    }

    /// Returns the state of admission, for dumps.
    pub fn admission_view(&self) -> AdmissionView {
        self.lock().admission.view()
    }

    /// Returns the state of requests, for dumps.
    pub fn requests_view(&self) -> RequestsView {
        self.lock().requests.view()
    }

    async fn run_timer(self: Arc<Self>) {
        loop {
            let now_ms = self.now_ms();
            let wake_ms = self.lock().admission.wake_at_ms();
            let sleep_ms = wake_ms
                .map_or(MAX_TIMER_SLEEP_MS, |wake_ms| wake_ms.saturating_sub(now_ms))
                .clamp(1, MAX_TIMER_SLEEP_MS);
            tokio::select! {
                () = sleep(Duration::from_millis(sleep_ms)) => {}
                () = self.timer_changed.notified() => {}
            }
            if wake_ms.is_some_and(|wake_ms| self.now_ms() >= wake_ms) {
                self.handle_admission_event(AdmissionEvent::Tick);
            }
        }
    }

    async fn apply_settings_changes(self: Arc<Self>) {
        let mut active_settings = self.shared.watch_active_settings();
        while active_settings.changed().await.is_ok() {
            let settings = Arc::clone(&active_settings.borrow_and_update());
            self.lock()
                .requests
                .change_settings(settings.requests.clone());
            self.handle_admission_event(AdmissionEvent::SettingsChanged(
                settings.admission.clone(),
            ));
        }
    }

    /// Locks the state and refreshes its time.
    fn lock(&self) -> MutexGuard<'_, DispatcherState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        self.shared.clock.refresh(&mut state.context);
        state
    }
}

fn notify_waiting(
    waiting: &mut BTreeMap<RequestId, oneshot::Sender<AdmissionResult>>,
    id: RequestId,
    admitted: AdmissionResult,
) {
    if let Some(sender) = waiting.remove(&id) {
        // When the caller has gone, dropping its slot cancels the request.
        let _ = sender.send(admitted);
    }
}

/// The place of a request in admission; dropping it before it is released cancels the request.
#[derive(Debug)]
pub struct AdmissionSlot {
    dispatcher: Arc<Dispatcher>,
    id: RequestId,
    is_released: bool,
}

impl AdmissionSlot {
    /// Releases the slot and reports the outcome of the request.
    pub fn complete(mut self, latency_ms: u32, outcome: basilstep_core::admission::RequestOutcome) {
        self.is_released = true;
        self.dispatcher
            .handle_admission_event(AdmissionEvent::Answered {
                id: self.id,
                latency_ms,
                outcome,
            });
    }

    /// Releases the request's slot and counts its response as a long-lived stream instead.
    pub fn into_stream(mut self, latency_ms: u32) -> StreamSlot {
        self.is_released = true;
        self.dispatcher
            .handle_admission_event(AdmissionEvent::StreamBegan {
                id: self.id,
                latency_ms,
            });
        StreamSlot {
            dispatcher: Arc::clone(&self.dispatcher),
        }
    }
}

impl Drop for AdmissionSlot {
    fn drop(&mut self) {
        self.dispatcher.lock().waiting.remove(&self.id);
        if !self.is_released {
            self.dispatcher
                .handle_admission_event(AdmissionEvent::Cancelled { id: self.id });
        }
    }
}

/// A long-lived response in progress.
#[derive(Debug)]
pub struct StreamSlot {
    dispatcher: Arc<Dispatcher>,
}

impl Drop for StreamSlot {
    fn drop(&mut self) {
        self.dispatcher
            .handle_admission_event(AdmissionEvent::StreamEnded);
    }
}

/// The status of the other agents of the service.
struct PeerDirectory {
    peers: Arc<[AgentRecord]>,
    domains_out: DomainSet,
}

impl AgentDirectory for PeerDirectory {
    fn status(&self, agent: AgentAddress, incarnation: Incarnation) -> AgentStatus {
        let Some(peer) = self.peers.iter().find(|peer| peer.address == agent) else {
            return AgentStatus::Reachable;
        };
        if self.domains_out.contains(peer.domain) {
            AgentStatus::DomainOut
        } else if peer.incarnation > incarnation {
            AgentStatus::Gone
        } else {
            AgentStatus::Reachable
        }
    }
}
