use super::{
    AgentDirectory, AgentStatus, FailedAttempt, FailureReason, IdempotencyKey, MethodClass,
    RequestArrival, RequestDecision, RequestResolution, RequestSettings, RequestsView,
    RetryDecision, SendPermit, Ticket, TicketKey,
    hedges::RequestHedges,
    records::{KeyLookup, KeyRecord, KeyRecords},
    resolve::{resolve, resolve_foreign},
    retry::RetryBudget,
};
use crate::{
    address::{AgentAddress, Incarnation},
    codes::ResultCode,
    context::Context,
};
use rand::RngExt;
use std::sync::Arc;

/// The maximum length of an idempotency key in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// The request handling of one agent: records of idempotency keys and the retry budget.
#[derive(Debug)]
pub struct RequestTracker {
    pub(super) settings: RequestSettings,
    ticket_key: TicketKey,
    agent: AgentAddress,
    incarnation: Incarnation,
    run: u32,
    draining: bool,
    records: KeyRecords,
    pub(super) retries: RetryBudget,
    pub(super) hedges: RequestHedges,
    repeated: u64,
    joined: u64,
    unknown: u64,
}

impl RequestTracker {
    /// Creates the state of a new run of the agent.
    ///
    /// The random number generator must be seeded differently in each run, or a restart within one
    /// second could accept tickets of the earlier run as its own.
    pub fn new(
        settings: RequestSettings,
        ticket_key: TicketKey,
        agent: AgentAddress,
        incarnation: Incarnation,
        context: &mut Context,
    ) -> Self {
        Self {
            hedges: RequestHedges::new(&settings),
            settings,
            ticket_key,
            agent,
            incarnation,
            run: context.rng.random(),
            draining: false,
            records: KeyRecords::new(context.now_ms),
            retries: RetryBudget::new(),
            repeated: 0,
            joined: 0,
            unknown: 0,
        }
    }

    /// Applies changed settings.
    pub fn change_settings(&mut self, settings: RequestSettings) {
        self.hedges.change_settings(&settings);
        self.settings = settings;
    }

    /// Sets whether the agent is draining.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Returns the deadline of a request; `timeout_ms` is the timeout that its caller set.
    pub fn deadline_ms(&self, timeout_ms: Option<u32>, now_ms: u64) -> u64 {
        now_ms + u64::from(timeout_ms.unwrap_or(self.settings.deadline_ms))
    }

    /// Issues the ticket that the caller of a flow receives with its next answer.
    pub fn issue_ticket(&mut self, flow: u32, now_ms: u64) -> String {
        self.records.advance(&self.settings, now_ms);
        self.ticket_key.encode(&Ticket {
            agent: self.agent,
            incarnation: self.incarnation,
            run: self.run,
            epoch: self.records.current_epoch(),
            flow,
        })
    }

    /// Parses the value of an `Idempotency-Key` header.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::BadRequest`] when it is empty or too long.
    pub fn parse_key(&self, text: &str) -> Result<IdempotencyKey, ResultCode> {
        if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES {
            return Err(ResultCode::BadRequest);
        }
        let ticketed = self.parse_ticketed(text);
        Ok(ticketed.unwrap_or_else(|| IdempotencyKey::Plain(text.to_owned())))
    }

    /// Decides which action to take on a request that arrived.
    ///
    /// After [`RequestDecision::RunHere`] or [`RequestDecision::RelayDraining`] the agent calls
    /// [`RequestTracker::permit_send`] before it sends the first byte, and ends each attempt with
    /// [`RequestTracker::complete`] or [`RequestTracker::fail`]. It passes the key to them if the
    /// decision has `recorded` set.
    pub fn arrive(
        &mut self,
        arrival: &RequestArrival<'_>,
        directory: &impl AgentDirectory,
        context: &Context,
    ) -> RequestDecision {
        self.records.advance(&self.settings, context.now_ms);
        let decision = self.decide(arrival, directory, context.now_ms);
        self.update_counters(&decision);
        decision
    }

    /// Decides whether the first byte of a request may be sent to the target or to a relay.
    ///
    /// A permit is granted once for each attempt at a recorded key. For requests without a record,
    /// `key` is `None`.
    pub fn permit_send(&mut self, key: Option<&IdempotencyKey>) -> SendPermit {
        let Some(key) = key else {
            return SendPermit::Send;
        };
        if self.records.look_up(key) != KeyLookup::Known(KeyRecord::Accepted) {
            return SendPermit::DoNotSend;
        }
        self.records.replace(key, KeyRecord::Sent, &self.settings);
        SendPermit::Send
    }

    /// Records the whole answer of a request that ran.
    pub fn complete(&mut self, key: Option<&IdempotencyKey>, answer: &[u8]) {
        let Some(key) = key else {
            return;
        };
        let fits = answer.len() <= self.settings.recorded_answer_limit_bytes as usize;
        let record = if fits {
            KeyRecord::Answered(Arc::from(answer))
        } else {
            KeyRecord::AnswerNotKept
        };
        self.records.replace(key, record, &self.settings);
    }

    /// Decides what follows a failed attempt: a retry if that is safe, in time and within the
    /// budget, and otherwise the final resolution.
    pub fn fail(&mut self, end: &FailedAttempt<'_>, context: &mut Context) -> RetryDecision {
        let resolution = if self.is_foreign(end.key) {
            resolve_foreign(end.failure)
        } else {
            resolve(end.sent, end.failure)
        };
        let did_not_run = matches!(resolution, RequestResolution::NotRun(_));
        if did_not_run || end.method == MethodClass::Idempotent {
            let backoff_ms = self.retries.take(&self.settings, end, context);
            if let Some(backoff_ms) = backoff_ms {
                self.allow_resend(end.key);
                return RetryDecision::RetryAfter {
                    backoff_ms,
                    may_have_run: end.may_have_run || !did_not_run,
                };
            }
        }
        let resolution = match resolution {
            // The last attempt did not run, but an earlier one may have.
            RequestResolution::NotRun(_) if end.may_have_run => {
                RequestResolution::Unknown(ResultCode::TargetLost)
            }
            resolution => resolution,
        };
        self.record_resolution(end.key, resolution);
        RetryDecision::Final(resolution)
    }

    /// Returns whether a request that admission refused is relayed to another agent, marked as
    /// recorded by this one, instead of calling [`RequestTracker::fail`].
    ///
    /// Each request is relayed at most once, and only while another agent may have free capacity;
    /// see [`crate::domains::OverflowRelays`]. A request that was itself relayed is not relayed
    /// again. The record, if any, is left unchanged.
    pub fn should_relay_overflow(
        &self,
        end: &FailedAttempt<'_>,
        another_has_capacity: bool,
    ) -> bool {
        let is_first = end.attempts == 1 && !end.sent;
        let was_refused = matches!(
            end.failure,
            FailureReason::Refused(ResultCode::Overloaded | ResultCode::TargetUnreachable)
                | FailureReason::TargetLost
        );
        another_has_capacity && is_first && was_refused && !self.is_foreign(end.key)
    }

    /// Returns the state for dumps and metrics.
    pub fn view(&self) -> RequestsView {
        RequestsView {
            records: self.records.count(),
            record_bytes: self.records.bytes(),
            oldest_epoch: self.records.oldest_epoch(),
            current_epoch: self.records.current_epoch(),
            retry_tokens: self.retries.tokens(),
            repeated: self.repeated,
            joined: self.joined,
            unknown: self.unknown,
            hedges: self.hedges.counts(),
        }
    }

    fn decide(
        &mut self,
        arrival: &RequestArrival<'_>,
        directory: &impl AgentDirectory,
        now_ms: u64,
    ) -> RequestDecision {
        if arrival.deadline_ms <= now_ms {
            return self.decide_expired(arrival);
        }
        if arrival.recorded_by_relay {
            return self.decide_recorded_by_relay();
        }
        if arrival.method == MethodClass::Idempotent {
            return self.run_or_relay(false);
        }
        match arrival.key {
            Some(key @ IdempotencyKey::Ticketed { ticket, .. }) => {
                self.decide_ticketed(key, ticket, directory)
            }
            Some(key) => self.decide_plain(key),
            None if self.settings.require_ticket => {
                RequestDecision::Refuse(ResultCode::TicketRequired)
            }
            None => self.run_or_relay(false),
        }
    }

    /// Handles a request after its deadline.
    ///
    /// A late duplicate may have run before, so only a request without a record is reported as not
    /// run.
    fn decide_expired(&self, arrival: &RequestArrival<'_>) -> RequestDecision {
        let not_run = RequestDecision::Refuse(ResultCode::DeadlineBeforeRun);
        let (MethodClass::NonIdempotent, Some(key)) = (arrival.method, arrival.key) else {
            return not_run;
        };
        if key.ticket().is_some_and(|ticket| !self.is_own(ticket)) {
            return RequestDecision::OutcomeUnknown(ResultCode::DeadlineAfterSend);
        }
        match self.records.look_up(key) {
            KeyLookup::Fresh => not_run,
            KeyLookup::Known(KeyRecord::Accepted | KeyRecord::Sent) => {
                RequestDecision::OutcomeUnknown(ResultCode::KeyInProgress)
            }
            KeyLookup::Known(record) => decide_known(record),
            KeyLookup::Evicted => RequestDecision::OutcomeUnknown(ResultCode::RecordEvicted),
        }
    }

    fn decide_recorded_by_relay(&self) -> RequestDecision {
        if self.draining {
            return RequestDecision::Refuse(ResultCode::Draining);
        }
        RequestDecision::RunHere { recorded: false }
    }

    fn decide_plain(&mut self, key: &IdempotencyKey) -> RequestDecision {
        let is_fresh = self.records.look_up(key) == KeyLookup::Fresh;
        if is_fresh && self.settings.require_ticket {
            return RequestDecision::Refuse(ResultCode::TicketRequired);
        }
        self.decide_recorded(key)
    }

    fn decide_ticketed(
        &mut self,
        key: &IdempotencyKey,
        ticket: &Ticket,
        directory: &impl AgentDirectory,
    ) -> RequestDecision {
        if self.is_own(ticket) {
            return self.decide_recorded(key);
        }
        let unknown = RequestDecision::OutcomeUnknown(ResultCode::TicketAgentGone);
        if ticket.agent == self.agent {
            return unknown;
        }
        match directory.status(ticket.agent, ticket.incarnation) {
            AgentStatus::Reachable => RequestDecision::RelayTo(ticket.agent),
            AgentStatus::Gone | AgentStatus::DomainOut => unknown,
        }
    }

    fn decide_recorded(&mut self, key: &IdempotencyKey) -> RequestDecision {
        match self.records.look_up(key) {
            KeyLookup::Fresh => {
                self.records.accept(key, &self.settings);
                self.run_or_relay(true)
            }
            KeyLookup::Known(record) => decide_known(record),
            KeyLookup::Evicted => RequestDecision::OutcomeUnknown(ResultCode::RecordEvicted),
        }
    }

    fn run_or_relay(&self, recorded: bool) -> RequestDecision {
        if self.draining {
            return RequestDecision::RelayDraining { recorded };
        }
        RequestDecision::RunHere { recorded }
    }

    fn is_own(&self, ticket: &Ticket) -> bool {
        ticket.agent == self.agent
            && ticket.incarnation == self.incarnation
            && ticket.run == self.run
    }

    fn is_foreign(&self, key: Option<&IdempotencyKey>) -> bool {
        key.and_then(IdempotencyKey::ticket)
            .is_some_and(|ticket| !self.is_own(ticket))
    }

    fn parse_ticketed(&self, text: &str) -> Option<IdempotencyKey> {
        let (ticket, suffix) = text.split_once('.')?;
        let ticket = self.ticket_key.decode(ticket)?;
        IdempotencyKey::is_valid_suffix(suffix).then(|| IdempotencyKey::Ticketed {
            ticket,
            suffix: suffix.to_owned(),
        })
    }

    /// Allows another send for a key whose attempt did not run.
    fn allow_resend(&mut self, key: Option<&IdempotencyKey>) {
        let Some(key) = key else {
            return;
        };
        if self.records.look_up(key) == KeyLookup::Known(KeyRecord::Sent) {
            self.records
                .replace(key, KeyRecord::Accepted, &self.settings);
        }
    }

    fn record_resolution(&mut self, key: Option<&IdempotencyKey>, resolution: RequestResolution) {
        if let RequestResolution::Unknown(_) = resolution {
            self.unknown += 1;
        }
        let Some(key) = key else {
            return;
        };
        match resolution {
            RequestResolution::NotRun(_) => self.records.release(key),
            RequestResolution::Unknown(code) if self.records.is_unfinished(key) => {
                let record = KeyRecord::Unknown(code);
                self.records.replace(key, record, &self.settings);
            }
            RequestResolution::Unknown(_) => {}
        }
    }

    fn update_counters(&mut self, decision: &RequestDecision) {
        match decision {
            RequestDecision::RunHere { .. } | RequestDecision::RelayDraining { .. } => {
                self.retries.add_request(&self.settings);
            }
            RequestDecision::RepeatRecordedAnswer(_) => self.repeated += 1,
            RequestDecision::AwaitRunning => self.joined += 1,
            RequestDecision::OutcomeUnknown(_) => self.unknown += 1,
            _ => {}
        }
    }
}

fn decide_known(record: KeyRecord) -> RequestDecision {
    match record {
        KeyRecord::Accepted | KeyRecord::Sent => RequestDecision::AwaitRunning,
        KeyRecord::Answered(answer) => RequestDecision::RepeatRecordedAnswer(answer),
        KeyRecord::AnswerNotKept => RequestDecision::OutcomeUnknown(ResultCode::AnswerNotKept),
        KeyRecord::Unknown(code) => RequestDecision::OutcomeUnknown(code),
    }
}
