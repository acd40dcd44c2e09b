mod hedges;

use super::{
    AgentDirectory, AgentStatus, FailedAttempt, FailureReason, IdempotencyKey, MethodClass,
    RequestArrival, RequestDecision, RequestResolution, RequestSettings, RequestTracker,
    RetryDecision, SendPermit, Ticket, TicketKey,
};
use crate::{
    address::{AgentAddress, Incarnation},
    codes::ResultCode,
    context::Context,
    crypto::ClusterKey,
};
use proptest::{
    prelude::{Strategy, any, prop_oneof},
    prop_assert, prop_assert_eq,
    test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner},
};
use rstest::rstest;
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
};

const NO_RETRIES: RequestSettings = RequestSettings {
    deadline_ms: 10_000,
    require_ticket: true,
    record_limit: 100,
    record_limit_bytes: 1_000,
    record_retention_ms: 8_000,
    recorded_answer_limit_bytes: 100,
    retry_limit: 0,
    retry_budget_percent: 0,
    hedge_percent: 0,
    hedge_quantile_percent: 95,
    hedge_min_delay_ms: 20,
};

struct Directory(AgentStatus);

impl AgentDirectory for Directory {
    fn status(&self, _agent: AgentAddress, _incarnation: Incarnation) -> AgentStatus {
        self.0
    }
}

const REACHABLE: Directory = Directory(AgentStatus::Reachable);

fn ticket_key() -> TicketKey {
    TicketKey::new(&ClusterKey::new([7; 32]))
}

fn agent(number: u8) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, number), 7_000))
}

fn open(settings: RequestSettings, number: u8, context: &mut Context) -> RequestTracker {
    RequestTracker::new(
        settings,
        ticket_key(),
        agent(number),
        Incarnation(1),
        context,
    )
}

fn single(settings: RequestSettings) -> (RequestTracker, Context) {
    let mut context = Context::new(1);
    let requests = open(settings, 1, &mut context);
    (requests, context)
}

fn key_of(requests: &mut RequestTracker, suffix: &str, now_ms: u64) -> IdempotencyKey {
    let ticket = requests.issue_ticket(5, now_ms);
    let key = requests.parse_key(&format!("{ticket}.{suffix}"));
    key.expect("an issued key is valid")
}

fn arrival(key: Option<&IdempotencyKey>) -> RequestArrival<'_> {
    RequestArrival {
        method: MethodClass::NonIdempotent,
        key,
        deadline_ms: u64::MAX,
        recorded_by_relay: false,
    }
}

fn end(key: Option<&IdempotencyKey>, sent: bool, failure: FailureReason) -> FailedAttempt<'_> {
    FailedAttempt {
        method: MethodClass::NonIdempotent,
        key,
        sent,
        may_have_run: false,
        failure,
        attempts: 1,
        deadline_ms: 10_000,
    }
}

const RUN_RECORDED: RequestDecision = RequestDecision::RunHere { recorded: true };

#[test]
fn ticket_survives_its_text_form() {
    let ticket = Ticket {
        agent: agent(9),
        incarnation: Incarnation(1_700_000_000),
        run: 77,
        epoch: 3,
        flow: 12,
    };
    let text = ticket_key().encode(&ticket);
    assert_eq!(text.len(), 60);
    assert_eq!(ticket_key().decode(&text), Some(ticket));
}

#[rstest]
#[case::changed_digit(|text: &str| format!("{}{}", if text.starts_with('0') { '1' } else { '0' }, &text[1..]))]
#[case::upper_case(str::to_uppercase)]
#[case::shortened(|text: &str| text[2..].to_owned())]
#[case::lengthened(|text: &str| format!("{text}00"))]
#[case::empty(|_: &str| String::new())]
fn changed_ticket_text_is_rejected(#[case] change: impl Fn(&str) -> String) {
    let (mut requests, _) = single(NO_RETRIES);
    let text = requests.issue_ticket(0xabcd_ef01, 0);
    assert_eq!(ticket_key().decode(&change(&text)), None);
}

#[test]
fn ticket_of_another_cluster_is_rejected() {
    let (mut requests, _) = single(NO_RETRIES);
    let other = TicketKey::new(&ClusterKey::new([8; 32]));
    assert_eq!(other.decode(&requests.issue_ticket(1, 0)), None);
}

#[rstest]
#[case::empty("")]
#[case::long(&"x".repeat(129))]
fn key_that_is_empty_or_too_long_is_a_bad_request(#[case] text: &str) {
    let (requests, _) = single(NO_RETRIES);
    assert_eq!(requests.parse_key(text), Err(ResultCode::BadRequest));
}

#[test]
fn key_runs_once_and_its_answer_is_repeated() {
    let (mut requests, context) = single(NO_RETRIES);
    let key = key_of(&mut requests, "a", 0);
    assert_eq!(
        requests.arrive(&arrival(Some(&key)), &REACHABLE, &context),
        RUN_RECORDED
    );
    assert_eq!(
        requests.arrive(&arrival(Some(&key)), &REACHABLE, &context),
        RequestDecision::AwaitRunning
    );
    assert_eq!(requests.permit_send(Some(&key)), SendPermit::Send);
    assert_eq!(requests.permit_send(Some(&key)), SendPermit::DoNotSend);
    requests.complete(Some(&key), b"bought");
    let repeated = RequestDecision::RepeatRecordedAnswer(b"bought"[..].into());
    assert_eq!(
        requests.arrive(&arrival(Some(&key)), &REACHABLE, &context),
        repeated
    );
}

#[test]
fn answer_too_large_to_keep_is_not_repeated_and_not_run_again() {
    let (mut requests, context) = single(NO_RETRIES);
    let key = key_of(&mut requests, "a", 0);
    requests.arrive(&arrival(Some(&key)), &REACHABLE, &context);
    requests.permit_send(Some(&key));
    requests.complete(Some(&key), &[0; 101]);
    let unknown = RequestDecision::OutcomeUnknown(ResultCode::AnswerNotKept);
    assert_eq!(
        requests.arrive(&arrival(Some(&key)), &REACHABLE, &context),
        unknown
    );
}

#[rstest]
#[case::connect_refused(
    false,
    FailureReason::TargetLost,
    RequestResolution::NotRun(ResultCode::TargetUnreachable)
)]
#[case::refused(
    false,
    FailureReason::Refused(ResultCode::Overloaded),
    RequestResolution::NotRun(ResultCode::Overloaded)
)]
#[case::deadline_queued(
    false,
    FailureReason::DeadlinePassed,
    RequestResolution::NotRun(ResultCode::DeadlineBeforeRun)
)]
#[case::shed(
    true,
    FailureReason::TargetShed,
    RequestResolution::NotRun(ResultCode::TargetShed)
)]
#[case::relay_answers_not_run(
    true,
    FailureReason::RelayRefused(ResultCode::Overloaded),
    RequestResolution::NotRun(ResultCode::Overloaded)
)]
#[case::relay_sends_unexpected_code(
    true,
    FailureReason::RelayRefused(ResultCode::Done),
    RequestResolution::Unknown(ResultCode::RelayLost)
)]
#[case::target_lost(
    true,
    FailureReason::TargetLost,
    RequestResolution::Unknown(ResultCode::TargetLost)
)]
#[case::deadline_sent(
    true,
    FailureReason::DeadlinePassed,
    RequestResolution::Unknown(ResultCode::DeadlineAfterSend)
)]
#[case::relay_lost(
    true,
    FailureReason::RelayLost,
    RequestResolution::Unknown(ResultCode::RelayLost)
)]
#[case::relay_unknown(
    true,
    FailureReason::RelayUnknown(ResultCode::TargetLost),
    RequestResolution::Unknown(ResultCode::TargetLost)
)]
fn failure_has_the_expected_resolution(
    #[case] sent: bool,
    #[case] failure: FailureReason,
    #[case] resolution: RequestResolution,
) {
    let (mut requests, mut context) = single(NO_RETRIES);
    let key = key_of(&mut requests, "a", 0);
    requests.arrive(&arrival(Some(&key)), &REACHABLE, &context);
    if sent {
        requests.permit_send(Some(&key));
    }
    let after = requests.fail(&end(Some(&key), sent, failure), &mut context);
    assert_eq!(after, RetryDecision::Final(resolution));
    let duplicate = requests.arrive(&arrival(Some(&key)), &REACHABLE, &context);
    match resolution {
        RequestResolution::NotRun(_) => assert_eq!(duplicate, RUN_RECORDED),
        RequestResolution::Unknown(code) => {
            assert_eq!(duplicate, RequestDecision::OutcomeUnknown(code));
        }
    }
}

#[rstest]
#[case::relay_unreachable(
    FailureReason::TargetLost,
    RequestResolution::Unknown(ResultCode::RelayLost)
)]
#[case::deadline(
    FailureReason::DeadlinePassed,
    RequestResolution::Unknown(ResultCode::DeadlineAfterSend)
)]
#[case::issuer_refused(
    FailureReason::RelayRefused(ResultCode::Overloaded),
    RequestResolution::NotRun(ResultCode::Overloaded)
)]
fn only_the_issuing_agent_reports_a_foreign_key_as_not_run(
    #[case] failure: FailureReason,
    #[case] resolution: RequestResolution,
) {
    let (mut issuer, mut context) = single(NO_RETRIES);
    let mut other = open(NO_RETRIES, 2, &mut context);
    let key = key_of(&mut issuer, "a", 0);
    let after = other.fail(&end(Some(&key), false, failure), &mut context);
    assert_eq!(after, RetryDecision::Final(resolution));
}

#[rstest]
#[case::reachable(AgentStatus::Reachable, RequestDecision::RelayTo(agent(1)))]
#[case::gone(
    AgentStatus::Gone,
    RequestDecision::OutcomeUnknown(ResultCode::TicketAgentGone)
)]
#[case::domain_out(
    AgentStatus::DomainOut,
    RequestDecision::OutcomeUnknown(ResultCode::TicketAgentGone)
)]
fn key_of_another_agent_is_relayed_to_its_issuer(
    #[case] status: AgentStatus,
    #[case] decision: RequestDecision,
) {
    let (mut issuer, mut context) = single(NO_RETRIES);
    let mut other = open(NO_RETRIES, 2, &mut context);
    let key = key_of(&mut issuer, "a", 0);
    let taken = other.arrive(&arrival(Some(&key)), &Directory(status), &context);
    assert_eq!(taken, decision);
}

#[test]
fn key_of_an_earlier_run_within_the_same_second_is_not_run() {
    let (mut earlier, mut context) = single(NO_RETRIES);
    let key = key_of(&mut earlier, "a", 0);
    let mut later = open(NO_RETRIES, 1, &mut context);
    let unknown = RequestDecision::OutcomeUnknown(ResultCode::TicketAgentGone);
    assert_eq!(
        later.arrive(&arrival(Some(&key)), &REACHABLE, &context),
        unknown
    );
}

#[rstest]
#[case::age(8, 20_000)]
#[case::count(200, 0)]
fn evicted_key_is_never_run_again(#[case] keys: u32, #[case] pause_ms: u64) {
    let (mut requests, mut context) = single(NO_RETRIES);
    let first = key_of(&mut requests, "first", 0);
    let late = key_of(&mut requests, "late", 0);
    requests.arrive(&arrival(Some(&first)), &REACHABLE, &context);
    requests.permit_send(Some(&first));
    requests.complete(Some(&first), b"bought");
    for number in 0..keys {
        let key = key_of(&mut requests, &number.to_string(), context.now_ms);
        requests.arrive(&arrival(Some(&key)), &REACHABLE, &context);
    }
    context.advance(pause_ms);
    let unknown = RequestDecision::OutcomeUnknown(ResultCode::RecordEvicted);
    for key in [&first, &late] {
        requests.issue_ticket(1, context.now_ms);
        let decision = requests.arrive(&arrival(Some(key)), &REACHABLE, &context);
        assert_eq!(decision, unknown);
    }
    assert!(requests.view().records <= NO_RETRIES.record_limit);
}

#[test]
fn bytes_of_recorded_answers_are_bounded() {
    let (mut requests, context) = single(NO_RETRIES);
    for number in 0..50 {
        let key = key_of(&mut requests, &number.to_string(), 0);
        requests.arrive(&arrival(Some(&key)), &REACHABLE, &context);
        requests.permit_send(Some(&key));
        requests.complete(Some(&key), &[0; 100]);
        assert!(requests.view().record_bytes <= NO_RETRIES.record_limit_bytes);
    }
}

#[rstest]
#[case::no_key(None, true, RequestDecision::Refuse(ResultCode::TicketRequired))]
#[case::plain_key(
    Some("mine"),
    true,
    RequestDecision::Refuse(ResultCode::TicketRequired)
)]
#[case::no_key_allowed(None, false, RequestDecision::RunHere { recorded: false })]
#[case::plain_key_allowed(Some("mine"), false, RequestDecision::RunHere { recorded: true })]
fn key_without_a_ticket(
    #[case] text: Option<&str>,
    #[case] require_ticket: bool,
    #[case] decision: RequestDecision,
) {
    let (mut requests, context) = single(RequestSettings {
        require_ticket,
        ..NO_RETRIES
    });
    let key = text.map(|text| requests.parse_key(text).expect("it is short"));
    let taken = requests.arrive(&arrival(key.as_ref()), &REACHABLE, &context);
    assert_eq!(taken, decision);
}

#[test]
fn draining_agent_keeps_the_record_and_relays_the_run() {
    let (mut requests, context) = single(NO_RETRIES);
    let key = key_of(&mut requests, "a", 0);
    requests.set_draining(true);
    let relayed = RequestDecision::RelayDraining { recorded: true };
    assert_eq!(
        requests.arrive(&arrival(Some(&key)), &REACHABLE, &context),
        relayed
    );
    assert_eq!(
        requests.arrive(&arrival(Some(&key)), &REACHABLE, &context),
        RequestDecision::AwaitRunning
    );
}

#[rstest]
#[case::serving(false, RequestDecision::RunHere { recorded: false })]
#[case::draining_too(true, RequestDecision::Refuse(ResultCode::Draining))]
fn request_recorded_by_its_relay_runs_without_a_record(
    #[case] draining: bool,
    #[case] decision: RequestDecision,
) {
    let (mut issuer, mut context) = single(NO_RETRIES);
    let mut other = open(NO_RETRIES, 2, &mut context);
    other.set_draining(draining);
    let key = key_of(&mut issuer, "a", 0);
    let relayed = RequestArrival {
        recorded_by_relay: true,
        ..arrival(Some(&key))
    };
    assert_eq!(other.arrive(&relayed, &REACHABLE, &context), decision);
}

#[test]
fn late_duplicate_of_a_running_key_is_not_reported_as_not_run() {
    let (mut requests, context) = single(NO_RETRIES);
    let key = key_of(&mut requests, "a", 0);
    requests.arrive(&arrival(Some(&key)), &REACHABLE, &context);
    let late = RequestArrival {
        deadline_ms: 0,
        ..arrival(Some(&key))
    };
    let unknown = RequestDecision::OutcomeUnknown(ResultCode::KeyInProgress);
    assert_eq!(requests.arrive(&late, &REACHABLE, &context), unknown);
}

#[rstest]
#[case::non_idempotent_sent(MethodClass::NonIdempotent, true, false)]
#[case::non_idempotent_unsent(MethodClass::NonIdempotent, false, true)]
#[case::idempotent_sent(MethodClass::Idempotent, true, true)]
fn only_attempts_that_are_safe_to_repeat_are_retried(
    #[case] method: MethodClass,
    #[case] sent: bool,
    #[case] retried: bool,
) {
    let (mut requests, mut context) = single(RequestSettings::default());
    let end = FailedAttempt {
        method,
        ..end(None, sent, FailureReason::TargetLost)
    };
    let after = requests.fail(&end, &mut context);
    assert_eq!(matches!(after, RetryDecision::RetryAfter { .. }), retried);
}

/// Guards against a request that is reported as not run because only its last attempt did not run.
#[test]
fn retried_request_whose_first_attempt_may_have_run_is_not_reported_as_not_run() {
    let (mut requests, mut context) = single(RequestSettings::default());
    let mut failed = FailedAttempt {
        method: MethodClass::Idempotent,
        ..end(None, true, FailureReason::TargetLost)
    };
    let RetryDecision::RetryAfter { may_have_run, .. } = requests.fail(&failed, &mut context)
    else {
        panic!("an idempotent request is retried");
    };
    failed = FailedAttempt {
        sent: false,
        may_have_run,
        attempts: u32::MAX,
        ..failed
    };
    let unknown = RequestResolution::Unknown(ResultCode::TargetLost);
    let after = requests.fail(&failed, &mut context);
    assert_eq!(after, RetryDecision::Final(unknown));
}

/// Guards against a request that is reported as not run because its retries, the last one included,
/// were refused after an attempt with an unknown outcome.
#[rstest]
#[case::target_lost(FailureReason::TargetLost, FailureReason::TargetShed)]
#[case::relay_lost(
    FailureReason::RelayLost,
    FailureReason::RelayRefused(ResultCode::Overloaded)
)]
#[case::late(
    FailureReason::TargetLost,
    FailureReason::Refused(ResultCode::DeadlineBeforeRun)
)]
fn unknown_outcome_survives_refused_retries(
    #[case] first: FailureReason,
    #[case] refusal: FailureReason,
) {
    let (mut requests, mut context) = single(RequestSettings::default());
    let mut failed = FailedAttempt {
        method: MethodClass::Idempotent,
        ..end(None, true, first)
    };
    while let RetryDecision::RetryAfter { may_have_run, .. } = requests.fail(&failed, &mut context)
    {
        assert!(may_have_run);
        failed = FailedAttempt {
            sent: false,
            may_have_run,
            failure: refusal,
            attempts: failed.attempts + 1,
            ..failed
        };
    }
    assert!(failed.attempts > 1);
    let unknown = RequestResolution::Unknown(ResultCode::TargetLost);
    let last = requests.fail(&failed, &mut context);
    assert_eq!(last, RetryDecision::Final(unknown));
}

#[rstest]
#[case::cold_target(true, 1, false, FailureReason::Refused(ResultCode::Overloaded), true)]
#[case::connect_refused(true, 1, false, FailureReason::TargetLost, true)]
#[case::ordinary_overload(false, 1, false, FailureReason::Refused(ResultCode::Overloaded), false)]
#[case::second_attempt(true, 2, false, FailureReason::Refused(ResultCode::Overloaded), false)]
#[case::sent(true, 1, true, FailureReason::TargetLost, false)]
#[case::late(
    true,
    1,
    false,
    FailureReason::Refused(ResultCode::DeadlineBeforeRun),
    false
)]
fn overflow_of_an_impaired_target_is_relayed_once(
    #[case] impaired: bool,
    #[case] attempts: u32,
    #[case] sent: bool,
    #[case] failure: FailureReason,
    #[case] relayed: bool,
) {
    let (mut requests, mut context) = single(NO_RETRIES);
    let key = key_of(&mut requests, "a", 0);
    requests.arrive(&arrival(Some(&key)), &REACHABLE, &context);
    let end = FailedAttempt {
        attempts,
        ..end(Some(&key), sent, failure)
    };
    assert_eq!(requests.should_relay_overflow(&end, impaired), relayed);
    let other = open(NO_RETRIES, 2, &mut context);
    assert!(
        !other.should_relay_overflow(&end, impaired),
        "a foreign key is not relayed"
    );
    assert_eq!(requests.permit_send(Some(&key)), SendPermit::Send);
}

#[rstest]
#[case::too_many_attempts(3, 10_000)]
#[case::no_time_left(1, 0)]
fn retry_ends_with_its_count_and_its_deadline(#[case] attempts: u32, #[case] deadline_ms: u64) {
    let (mut requests, mut context) = single(RequestSettings::default());
    let end = FailedAttempt {
        attempts,
        deadline_ms,
        ..end(None, false, FailureReason::TargetLost)
    };
    let after = requests.fail(&end, &mut context);
    assert!(matches!(
        after,
        RetryDecision::Final(RequestResolution::NotRun(_))
    ));
}

#[test]
fn retries_stay_within_a_tenth_of_the_requests() {
    let (mut requests, mut context) = single(RequestSettings::default());
    let mut retries = 0;
    for _ in 0..1_000 {
        let read = RequestArrival {
            method: MethodClass::Idempotent,
            ..arrival(None)
        };
        requests.arrive(&read, &REACHABLE, &context);
        let after = requests.fail(&end(None, false, FailureReason::TargetLost), &mut context);
        retries += u32::from(matches!(after, RetryDecision::RetryAfter { .. }));
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

#[test]
fn duplicates_that_wait_add_nothing_to_the_budget_of_retries() {
    let (mut requests, mut context) = single(RequestSettings::default());
    let key = key_of(&mut requests, "a", 0);
    for _ in 0..10 {
        requests.fail(&end(None, false, FailureReason::TargetLost), &mut context);
    }
    assert_eq!(requests.view().retry_tokens, 0);
    for _ in 0..100 {
        requests.arrive(&arrival(Some(&key)), &REACHABLE, &context);
    }
    assert_eq!(requests.view().retry_tokens, 0);
}

/// Two agents, their callers and the state that agents keep of attempts in progress.
struct Cluster {
    agents: Vec<RequestTracker>,
    context: Context,
    keys: Vec<IdempotencyKey>,
    open: Vec<Attempt>,
    runs: BTreeMap<IdempotencyKey, u32>,
    reported_not_run: BTreeMap<IdempotencyKey, u32>,
}

#[derive(Clone, Debug)]
struct Attempt {
    agent: usize,
    key: IdempotencyKey,
    sent: bool,
}

#[derive(Clone, Debug)]
enum Step {
    IssueKey(usize),
    Arrive(usize, usize),
    Send(usize),
    Complete(usize),
    Fail(usize),
    Restart(usize),
    Drain(usize, bool),
    Advance(u64),
}

fn cluster_settings() -> RequestSettings {
    RequestSettings {
        record_limit: 6,
        record_retention_ms: 400,
        retry_limit: 2,
        retry_budget_percent: 50,
        ..NO_RETRIES
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        2 => (0_usize..2).prop_map(Step::IssueKey),
        8 => (0_usize..2, any::<usize>()).prop_map(|(agent, key)| Step::Arrive(agent, key)),
        6 => any::<usize>().prop_map(Step::Send),
        4 => any::<usize>().prop_map(Step::Complete),
        4 => any::<usize>().prop_map(Step::Fail),
        1 => (0_usize..2).prop_map(Step::Restart),
        1 => (0_usize..2, any::<bool>()).prop_map(|(agent, on)| Step::Drain(agent, on)),
        2 => (0_u64..200).prop_map(Step::Advance),
    ];
    proptest::collection::vec(step, 1..200)
}

impl Cluster {
    fn new() -> Self {
        let mut context = Context::new(3);
        let agents = (0..2)
            .map(|number| open(cluster_settings(), number, &mut context))
            .collect();
        Self {
            agents,
            context,
            keys: Vec::new(),
            open: Vec::new(),
            runs: BTreeMap::new(),
            reported_not_run: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::IssueKey(agent) => {
                let suffix = self.keys.len().to_string();
                let key = key_of(&mut self.agents[*agent], &suffix, self.context.now_ms);
                self.keys.push(key);
            }
            Step::Arrive(agent, key) if !self.keys.is_empty() => {
                let key = self.keys[key % self.keys.len()].clone();
                self.arrive(*agent, key);
            }
            Step::Send(index) => self.send(*index),
            Step::Complete(index) => self.complete(*index),
            Step::Fail(index) => self.fail(*index),
            Step::Restart(agent) => {
                self.open.retain(|attempt| attempt.agent != *agent);
                let number = *agent as u8;
                self.agents[*agent] = open(cluster_settings(), number, &mut self.context);
            }
            Step::Drain(agent, draining) => self.agents[*agent].set_draining(*draining),
            Step::Advance(step_ms) => self.context.advance(*step_ms),
            Step::Arrive(..) => {}
        }
    }

    fn arrive(&mut self, agent: usize, key: IdempotencyKey) {
        let decision = self.agents[agent].arrive(&arrival(Some(&key)), &REACHABLE, &self.context);
        match decision {
            RequestDecision::RunHere { .. } | RequestDecision::RelayDraining { .. } => {
                self.open.push(Attempt {
                    agent,
                    key,
                    sent: false,
                });
            }
            RequestDecision::RelayTo(issuer) => {
                let other = usize::from(issuer.0.ip().octets()[3]);
                assert_ne!(other, agent, "relayed to itself");
                self.arrive(other, key);
            }
            _ => {}
        }
    }

    fn send(&mut self, index: usize) {
        let count = self.open.len().max(1);
        let Some(attempt) = self.open.get_mut(index % count) else {
            return;
        };
        let permit = self.agents[attempt.agent].permit_send(Some(&attempt.key));
        if permit == SendPermit::Send {
            attempt.sent = true;
            *self.runs.entry(attempt.key.clone()).or_default() += 1;
        }
    }

    fn complete(&mut self, index: usize) {
        let Some(attempt) = self.take(index, true) else {
            return;
        };
        self.agents[attempt.agent].complete(Some(&attempt.key), b"done");
    }

    fn fail(&mut self, index: usize) {
        let Some(attempt) = self.take(index, false) else {
            return;
        };
        let end = end(Some(&attempt.key), attempt.sent, FailureReason::TargetLost);
        let after = self.agents[attempt.agent].fail(&end, &mut self.context);
        match after {
            RetryDecision::RetryAfter { .. } => self.open.push(attempt),
            RetryDecision::Final(RequestResolution::NotRun(_)) => {
                let runs = self.runs.get(&attempt.key).copied().unwrap_or(0);
                self.reported_not_run.insert(attempt.key, runs);
            }
            RetryDecision::Final(RequestResolution::Unknown(_)) => {}
        }
    }

    fn take(&mut self, index: usize, must_be_sent: bool) -> Option<Attempt> {
        let count = self.open.len().max(1);
        let attempt = self.open.get(index % count)?;
        (attempt.sent || !must_be_sent).then(|| self.open.remove(index % count))
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (key, runs) in &self.runs {
            prop_assert!(*runs <= 1, "{key:?} ran {runs} times");
        }
        for (key, runs) in &self.reported_not_run {
            prop_assert_eq!(*runs, 0, "{:?} was reported as not run", key);
        }
        for requests in &self.agents {
            prop_assert!(requests.view().records <= cluster_settings().record_limit);
        }
        Ok(())
    }
}

#[test]
fn no_key_runs_twice_and_none_that_ran_is_reported_as_not_run() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(400), rng);
    runner
        .run(&steps(), |steps| {
            let mut cluster = Cluster::new();
            for step in &steps {
                cluster.apply(step);
                cluster.check()?;
            }
            Ok(())
        })
        .expect("no key runs twice");
}
