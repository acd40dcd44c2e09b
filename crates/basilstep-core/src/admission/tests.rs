use super::{
    Admission, AdmissionAction, AdmissionEvent, AdmissionSettings, CostClass, RequestId,
    RequestOutcome,
};
use crate::{codes::ResultCode, context::Context};
use proptest::{
    prelude::{Just, Strategy, any, prop_oneof},
    prop_assert,
    test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner},
};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

const SERVICE_MS: u64 = 50;
const FULL_LIMIT: u32 = 8;

/// Drives admission control and keeps the state that an agent would keep.
struct Driver {
    admission: Admission,
    context: Context,
    next_id: u64,
    running: BTreeMap<RequestId, u64>,
    queued: BTreeSet<RequestId>,
    wait_ends_ms: BTreeMap<RequestId, u64>,
    refused: Vec<(ResultCode, u32)>,
}

impl Driver {
    fn new(settings: AdmissionSettings) -> Self {
        Self {
            admission: Admission::new(settings, 0),
            context: Context::new(1),
            next_id: 0,
            running: BTreeMap::new(),
            queued: BTreeSet::new(),
            wait_ends_ms: BTreeMap::new(),
            refused: Vec::new(),
        }
    }

    fn handle(&mut self, event: AdmissionEvent) -> Vec<AdmissionAction> {
        let actions = self.admission.handle(event, &mut self.context);
        for action in &actions {
            self.take(*action);
        }
        actions
    }

    fn take(&mut self, action: AdmissionAction) {
        match action {
            AdmissionAction::Run { id } => {
                self.queued.remove(&id);
                self.running.insert(id, self.context.now_ms);
            }
            AdmissionAction::Queue { id } => {
                self.queued.insert(id);
            }
            AdmissionAction::Refuse {
                id,
                code,
                retry_after_ms,
            } => {
                assert!(
                    !self.running.contains_key(&id),
                    "a request is refused after it was sent"
                );
                self.queued.remove(&id);
                self.refused.push((code, retry_after_ms));
            }
            AdmissionAction::AcceptConnection | AdmissionAction::RefuseConnection { .. } => {}
        }
    }

    fn arrive(&mut self, timeout_ms: u64) -> Vec<AdmissionAction> {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let longest_ms = timeout_ms.min(u64::from(settings().queue_wait_ms));
        self.wait_ends_ms
            .insert(id, self.context.now_ms + longest_ms);
        self.handle(AdmissionEvent::Arrived {
            id,
            deadline_ms: self.context.now_ms + timeout_ms,
            class: CostClass::default(),
        })
    }

    fn finish(&mut self, id: RequestId, outcome: RequestOutcome) -> Vec<AdmissionAction> {
        let sent_ms = self.running.remove(&id).expect("the request is running");
        let latency_ms = (self.context.now_ms - sent_ms) as u32;
        self.handle(AdmissionEvent::Answered {
            id,
            latency_ms,
            outcome,
        })
    }

    /// Answers all requests in flight after `latency_ms`, repeatedly, and keeps the limit used up.
    fn serve(&mut self, length_ms: u64, latency_ms: u64) {
        let end_ms = self.context.now_ms + length_ms;
        while self.context.now_ms < end_ms {
            while self.admission.view().in_flight < self.admission.view().limit {
                self.arrive(10_000);
            }
            self.context.advance(latency_ms);
            let due: Vec<RequestId> = self.running.keys().copied().collect();
            for id in due {
                self.finish(id, RequestOutcome::Ok);
            }
        }
    }

    fn warm(settings: AdmissionSettings) -> Self {
        let mut driver = Self::new(settings);
        driver.serve(20_000, SERVICE_MS);
        assert_eq!(driver.limit(), FULL_LIMIT);
        driver
    }

    fn limit(&self) -> u32 {
        self.admission.view().limit
    }

    fn fill(&mut self) {
        while self.admission.view().in_flight < self.limit() {
            self.arrive(10_000);
        }
    }

    fn first_running(&self) -> RequestId {
        *self.running.keys().next().expect("a request is running")
    }
}

fn settings() -> AdmissionSettings {
    AdmissionSettings {
        request_limit: FULL_LIMIT,
        queue_limit: 4,
        connection_limit: 3,
        ..AdmissionSettings::default()
    }
}

fn long_queue() -> AdmissionSettings {
    AdmissionSettings {
        queue_limit: 64,
        ..settings()
    }
}

#[test]
fn starts_with_one_in_flight_and_queues_the_next() {
    let mut driver = Driver::new(settings());
    assert!(matches!(
        driver.arrive(1_000)[..],
        [AdmissionAction::Run { .. }]
    ));
    assert!(matches!(
        driver.arrive(1_000)[..],
        [AdmissionAction::Queue { .. }]
    ));
}

#[test]
fn ramp_takes_the_configured_time_of_busy_answers() {
    let mut driver = Driver::new(settings());
    driver.serve(4_000, SERVICE_MS);
    assert!(driver.limit() < FULL_LIMIT);
    driver.serve(1_500, SERVICE_MS);
    assert_eq!(driver.limit(), FULL_LIMIT);
    assert!(!driver.admission.view().cold);
}

#[test]
fn limit_does_not_grow_while_it_is_not_used() {
    let mut driver = Driver::new(settings());
    driver.serve(3_000, SERVICE_MS);
    let before = driver.limit();
    assert!(before > 1);
    for _ in 0..200 {
        driver.arrive(1_000);
        driver.context.advance(SERVICE_MS);
        driver.finish(driver.first_running(), RequestOutcome::Ok);
    }
    assert_eq!(driver.limit(), before);
}

#[rstest]
#[case::shed(RequestOutcome::Shed { retry_after_ms: None }, FULL_LIMIT / 2)]
#[case::timeout(RequestOutcome::TimedOut, FULL_LIMIT / 2)]
#[case::single_error(RequestOutcome::Error, FULL_LIMIT)]
#[case::target_gone(RequestOutcome::TargetGone, 1)]
fn one_bad_answer_moves_the_limit(#[case] outcome: RequestOutcome, #[case] limit: u32) {
    let mut driver = Driver::warm(settings());
    driver.fill();
    driver.context.advance(SERVICE_MS);
    driver.finish(driver.first_running(), outcome);
    assert_eq!(driver.limit(), limit);
}

#[rstest]
#[case::shed(RequestOutcome::Shed { retry_after_ms: None }, FULL_LIMIT / 2)]
#[case::errors(RequestOutcome::Error, FULL_LIMIT / 2)]
fn answers_of_one_round_trip_halve_the_limit_once(
    #[case] outcome: RequestOutcome,
    #[case] limit: u32,
) {
    let mut driver = Driver::warm(settings());
    driver.fill();
    driver.context.advance(SERVICE_MS);
    for _ in 0..FULL_LIMIT {
        driver.finish(driver.first_running(), outcome);
    }
    assert_eq!(driver.limit(), limit);
}

#[test]
fn second_round_of_sheds_means_that_the_target_is_cold() {
    let mut driver = Driver::warm(settings());
    for _ in 0..2 {
        driver.fill();
        driver.context.advance(SERVICE_MS);
        for _ in 0..driver.running.len() {
            let shed = RequestOutcome::Shed {
                retry_after_ms: None,
            };
            driver.finish(driver.first_running(), shed);
        }
    }
    assert_eq!(driver.limit(), 1);
    assert!(driver.admission.view().cold);
}

#[test]
fn limit_returns_to_the_good_level_within_a_few_round_trips_after_one_shed() {
    let mut driver = Driver::warm(settings());
    driver.fill();
    driver.context.advance(SERVICE_MS);
    driver.finish(driver.first_running(), RequestOutcome::TimedOut);
    driver.serve(8 * SERVICE_MS, SERVICE_MS);
    assert_eq!(driver.limit(), FULL_LIMIT - 1);
}

#[test]
fn slow_answers_at_a_level_that_was_good_turn_the_target_cold() {
    let mut driver = Driver::warm(settings());
    driver.fill();
    for _ in 0..3 {
        driver.context.advance(4 * SERVICE_MS);
        driver.finish(driver.first_running(), RequestOutcome::Ok);
    }
    assert!(driver.admission.view().cold);
    assert_eq!(driver.limit(), 1);
}

#[test]
fn silence_stops_sending_then_turns_the_target_cold() {
    let mut driver = Driver::warm(settings());
    while driver.admission.view().in_flight + 1 < driver.limit() {
        driver.arrive(10_000);
    }
    let unresponsive_ms = driver.admission.wake_at_ms().expect("silence is due");
    driver.context.now_ms = unresponsive_ms;
    driver.handle(AdmissionEvent::Tick);
    assert!(matches!(
        driver.arrive(10_000)[..],
        [AdmissionAction::Queue { .. }]
    ));
    assert!(!driver.admission.view().cold);
    driver.context.advance(10 * SERVICE_MS);
    driver.handle(AdmissionEvent::Tick);
    assert!(driver.admission.view().cold);
    assert_eq!(driver.admission.load_permille(), u16::MAX);
}

#[test]
fn announced_start_falls_to_the_cold_limit() {
    let mut driver = Driver::warm(settings());
    driver.handle(AdmissionEvent::TargetStarted);
    assert_eq!(driver.limit(), 1);
}

#[test]
fn target_that_refuses_connections_is_tried_again_after_a_pause_by_one_request() {
    let mut driver = Driver::warm(settings());
    driver.arrive(10_000);
    driver.finish(driver.first_running(), RequestOutcome::TargetGone);
    let refusal = driver.arrive(10_000);
    assert!(driver.running.is_empty(), "{refusal:?}");
    driver.context.advance(500);
    driver.handle(AdmissionEvent::Tick);
    driver.fill();
    assert_eq!(driver.running.len(), 1);
}

#[rstest]
#[case::reports_up(true, 1)]
#[case::reports_down(false, 0)]
fn health_hint_only_shortens_a_pause(#[case] up: bool, #[case] running: usize) {
    let mut driver = Driver::warm(settings());
    driver.arrive(10_000);
    driver.finish(driver.first_running(), RequestOutcome::TargetGone);
    driver.handle(AdmissionEvent::HealthHint { up });
    driver.arrive(10_000);
    assert_eq!(driver.running.len(), running);
}

#[test]
fn health_hint_does_not_stop_a_target_that_answers() {
    let mut driver = Driver::warm(settings());
    driver.handle(AdmissionEvent::HealthHint { up: false });
    assert!(matches!(
        driver.arrive(1_000)[..],
        [AdmissionAction::Run { .. }]
    ));
}

#[rstest]
#[case::idle_in_between(false, 1)]
#[case::answered_in_between(true, FULL_LIMIT)]
fn target_that_was_down_and_unresponsive_counts_as_restarted(
    #[case] answered: bool,
    #[case] limit: u32,
) {
    let mut driver = Driver::warm(settings());
    driver.handle(AdmissionEvent::HealthHint { up: false });
    if answered {
        driver.arrive(1_000);
        driver.context.advance(SERVICE_MS);
        driver.finish(driver.first_running(), RequestOutcome::Ok);
    }
    driver.handle(AdmissionEvent::HealthHint { up: true });
    assert_eq!(driver.limit(), limit);
}

#[test]
fn earliest_deadline_runs_first() {
    let mut driver = Driver::new(settings());
    driver.arrive(10_000);
    driver.arrive(9_000);
    driver.arrive(8_000);
    driver.context.advance(SERVICE_MS);
    let actions = driver.finish(RequestId(0), RequestOutcome::Ok);
    assert_eq!(actions, [AdmissionAction::Run { id: RequestId(2) }]);
}

#[test]
fn request_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut driver = Driver::warm(settings());
    driver.fill();
    let actions = driver.arrive(SERVICE_MS);
    assert!(matches!(
        actions[..],
        [AdmissionAction::Refuse {
            code: ResultCode::Overloaded,
            ..
        }]
    ));
}

#[test]
fn request_that_would_wait_too_long_is_refused_at_once() {
    let mut driver = Driver::warm(long_queue());
    driver.fill();
    for _ in 0..60 {
        driver.arrive(10_000);
    }
    let turns_in_wait = u64::from(settings().queue_wait_ms) / SERVICE_MS;
    assert!(driver.queued.len() as u64 <= turns_in_wait * u64::from(FULL_LIMIT));
    assert!(!driver.queued.is_empty());
}

#[test]
fn request_whose_deadline_has_passed_is_refused_even_with_a_free_slot() {
    let mut driver = Driver::new(settings());
    let actions = driver.arrive(0);
    assert!(matches!(
        actions[..],
        [AdmissionAction::Refuse {
            code: ResultCode::DeadlineBeforeRun,
            ..
        }]
    ));
}

#[test]
fn at_four_times_the_capacity_each_queued_request_is_answered_in_time() {
    let mut driver = Driver::warm(long_queue());
    for turn in 0..4_000_u64 {
        driver.context.advance(1);
        if turn * 4 % (SERVICE_MS / u64::from(FULL_LIMIT)) < 4 {
            driver.arrive(120);
        }
        let due_ms = driver.context.now_ms - SERVICE_MS;
        let is_due = |sent_ms: &u64| *sent_ms <= due_ms;
        let due = driver.running.iter().filter(|(_, sent_ms)| is_due(sent_ms));
        let due: Vec<RequestId> = due.map(|(id, _)| *id).collect();
        for id in due {
            driver.finish(id, RequestOutcome::Ok);
        }
        let now_ms = driver.context.now_ms;
        let mut waits = driver.queued.iter().map(|id| driver.wait_ends_ms[id]);
        assert!(
            waits.all(|end_ms| end_ms >= now_ms + SERVICE_MS),
            "a queued request cannot be answered in time"
        );
    }
    assert!(driver.refused.len() > 1_000);
}

#[test]
fn retry_times_of_a_burst_are_spread_over_the_time_that_the_burst_needs() {
    let mut driver = Driver::warm(settings());
    driver.fill();
    for _ in 0..200 {
        driver.arrive(SERVICE_MS);
    }
    let times: Vec<u32> = driver.refused.iter().map(|(_, ms)| *ms).collect();
    let seconds: BTreeSet<u32> = times.iter().map(|ms| ms / 250).collect();
    let needed_ms = 200 * SERVICE_MS as u32 / FULL_LIMIT;
    assert!(times.iter().copied().max() > Some(needed_ms));
    assert!(seconds.len() > 8, "{seconds:?}");
}

#[test]
fn drain_refuses_queued_and_new_requests_and_keeps_running_ones() {
    let mut driver = Driver::new(settings());
    driver.arrive(10_000);
    driver.arrive(10_000);
    let actions = driver.handle(AdmissionEvent::DrainAnnounced);
    assert!(matches!(
        actions[..],
        [AdmissionAction::Refuse {
            id: RequestId(1),
            code: ResultCode::Draining,
            ..
        }]
    ));
    driver.arrive(10_000);
    assert_eq!(driver.refused.len(), 2);
    assert_eq!(driver.running.len(), 1);
    assert_eq!(driver.admission.load_permille(), u16::MAX);
}

#[test]
fn long_response_frees_its_slot_and_takes_a_connection() {
    let mut driver = Driver::new(settings());
    driver.arrive(10_000);
    driver.handle(AdmissionEvent::StreamBegan {
        id: RequestId(0),
        latency_ms: 10,
    });
    let view = driver.admission.view();
    assert_eq!((view.in_flight, view.connections), (0, 1));
    driver.handle(AdmissionEvent::StreamEnded);
    assert_eq!(driver.admission.view().connections, 0);
}

#[test]
fn connections_are_limited_apart_from_requests() {
    let mut driver = Driver::new(settings());
    for _ in 0..3 {
        let actions = driver.handle(AdmissionEvent::ConnectionOffered);
        assert_eq!(actions, [AdmissionAction::AcceptConnection]);
    }
    let actions = driver.handle(AdmissionEvent::ConnectionOffered);
    assert!(matches!(
        actions[..],
        [AdmissionAction::RefuseConnection {
            code: ResultCode::ConnectionsFull,
            ..
        }]
    ));
    assert_eq!(driver.admission.load_permille(), u16::MAX);
    driver.handle(AdmissionEvent::ConnectionClosed);
    assert!(driver.admission.load_permille() < 1_000);
}

#[test]
fn cold_target_without_free_slot_accepts_no_flows_and_has_a_lower_weight() {
    let mut driver = Driver::new(settings());
    assert_eq!(driver.admission.flow_refusal(), None);
    assert_eq!(driver.admission.ramped_weight(16), 2);
    driver.arrive(1_000);
    assert_eq!(
        driver.admission.flow_refusal(),
        Some(ResultCode::Overloaded)
    );
    assert!(driver.admission.is_impaired());
    let warm = Driver::warm(settings());
    assert_eq!(warm.admission.ramped_weight(16), 16);
    assert!(!warm.admission.is_impaired());
}

#[test]
fn slower_requests_at_the_cold_limit_are_not_overload() {
    let mut driver = Driver::new(settings());
    driver.serve(300, 10);
    driver.serve(2 * 5_000, 2 * SERVICE_MS);
    assert_eq!(driver.limit(), FULL_LIMIT);
    assert_eq!(driver.admission.view().cold_turns, 0);
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(u64),
    Finish(usize, RequestOutcome),
    Cancel(u64),
    Advance(u64),
    Restart,
    Hint(bool),
    Limit(u32),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        6 => Just(RequestOutcome::Ok),
        1 => Just(RequestOutcome::Error),
        1 => Just(RequestOutcome::TimedOut),
        1 => Just(RequestOutcome::Shed { retry_after_ms: Some(300) }),
        1 => Just(RequestOutcome::TargetGone),
    ];
    let step = prop_oneof![
        8 => (0_u64..2_000).prop_map(Step::Arrive),
        8 => (any::<usize>(), outcome).prop_map(|(index, outcome)| Step::Finish(index, outcome)),
        1 => (0_u64..200).prop_map(Step::Cancel),
        6 => (0_u64..120).prop_map(Step::Advance),
        1 => Just(Step::Restart),
        1 => any::<bool>().prop_map(Step::Hint),
        1 => (1_u32..12).prop_map(Step::Limit),
    ];
    proptest::collection::vec(step, 1..300)
}

fn apply(driver: &mut Driver, step: &Step) {
    match step {
        Step::Arrive(timeout_ms) => drop(driver.arrive(*timeout_ms)),
        Step::Finish(index, outcome) => {
            let count = driver.running.len().max(1);
            if let Some(id) = driver.running.keys().nth(index % count).copied() {
                driver.finish(id, *outcome);
            }
        }
        Step::Cancel(id) => {
            let id = RequestId(*id);
            driver.running.remove(&id);
            driver.queued.remove(&id);
            driver.handle(AdmissionEvent::Cancelled { id });
        }
        Step::Advance(step_ms) => {
            driver.context.advance(*step_ms);
            driver.handle(AdmissionEvent::Tick);
        }
        Step::Restart => drop(driver.handle(AdmissionEvent::TargetStarted)),
        Step::Hint(up) => drop(driver.handle(AdmissionEvent::HealthHint { up: *up })),
        Step::Limit(request_limit) => {
            let changed = AdmissionSettings {
                request_limit: *request_limit,
                ..settings()
            };
            drop(driver.handle(AdmissionEvent::SettingsChanged(changed)));
        }
    }
}

#[test]
fn any_order_of_events_keeps_the_limits() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(200), rng);
    runner
        .run(&steps(), |steps| {
            let mut driver = Driver::new(settings());
            for step in &steps {
                let before = driver.running.len();
                apply(&mut driver, step);
                check(&driver, before)?;
            }
            Ok(())
        })
        .expect("the limits hold");
}

fn check(driver: &Driver, running_before: usize) -> Result<(), TestCaseError> {
    let view = driver.admission.view();
    let running = driver.running.len();
    let sent_over_limit = running > running_before && running > view.limit as usize;
    prop_assert!(
        !sent_over_limit,
        "more requests are in flight than the limit: {view:?}"
    );
    prop_assert!(view.in_flight as usize == running);
    prop_assert!(view.queued as usize == driver.queued.len());
    prop_assert!(view.queued <= settings().queue_limit);
    let now_ms = driver.context.now_ms;
    let mut wait_ends = driver.queued.iter().map(|id| driver.wait_ends_ms[id]);
    prop_assert!(
        wait_ends.all(|end_ms| end_ms > now_ms),
        "a queued request is past its maximum wait"
    );
    let wake_ms = driver.admission.wake_at_ms();
    let wakes_later = wake_ms.is_none_or(|at_ms| at_ms > driver.context.now_ms);
    prop_assert!(wakes_later, "the wake time is in the past");
    prop_assert!(
        wake_ms.is_some() || view.queued == 0,
        "requests are queued without a wake time"
    );
    Ok(())
}
