//! Tests the simulated caller against a server that refuses, loses and mixes up responses.

mod support;

use basilstep_bench::fakes::caller::{
    Caller, CallerCounts, CallerRecorder, CallerSettings, ExpectedFailures, Flow, FlowState, Kind,
    NextStep, OfferOutcome, Operation,
};
use rstest::rstest;
use std::time::Duration;
use support::{Reply, SERVICE, ScriptedServer, TARGET, TICKET};
use tokio::time;

const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_POLLS: usize = 2_000;

/// Attempts the operation as a caller does, until it ends.
async fn run_to_end(server: &ScriptedServer, mut operation: Operation, recorder: &CallerRecorder) {
    let mut flow_state = FlowState {
        ticket: Some(TICKET.to_owned()),
        target: None,
    };
    for _ in 0..20 {
        let flow = Flow::open(&server.flow_settings()).await.expect("a flow");
        loop {
            match operation
                .attempt(&flow, SERVICE, &mut flow_state, recorder)
                .await
            {
                NextStep::Ended => return,
                NextStep::Retry(wait) => time::sleep(wait).await,
                NextStep::Resend | NextStep::OpenNewFlow => break,
            }
        }
    }
    panic!("the operation never ended");
}

#[rstest]
#[case::complete(&[], OfferOutcome::Answered, 1)]
#[case::refused_then_complete(&[Reply::Code(101), Reply::Code(108)], OfferOutcome::Answered, 3)]
#[case::always_refused(&[Reply::Code(101); 10], OfferOutcome::NotRun, 10)]
#[case::unknown(&[Reply::Code(201)], OfferOutcome::Unknown, 1)]
#[case::refused_then_unknown(&[Reply::Code(101), Reply::Code(204)], OfferOutcome::Unknown, 2)]
#[case::lost_then_complete(&[Reply::Close(302)], OfferOutcome::Answered, 2)]
#[case::lost_then_unknown(&[Reply::Close(302), Reply::Code(203)], OfferOutcome::Unknown, 2)]
#[case::status_without_code(&[Reply::Status(500)], OfferOutcome::Unknown, 1)]
#[tokio::test]
async fn offer_ends(#[case] replies: &[Reply], #[case] outcome: OfferOutcome, #[case] sent: usize) {
    let server = ScriptedServer::start(replies);
    let recorder = CallerRecorder::default();
    run_to_end(
        &server,
        Operation::offer("offer".to_owned(), false),
        &recorder,
    )
    .await;
    assert_eq!(recorder.offer_outcomes()["offer"], outcome);
    assert_eq!(server.keys(), vec![format!("{TICKET}.offer"); sent]);
    assert_eq!(recorder.counts().requests_sent, sent as u64);
}

#[tokio::test]
async fn single_attempt_offer_is_not_retried() {
    let server = ScriptedServer::start(&[Reply::Code(101)]);
    let recorder = CallerRecorder::default();
    run_to_end(
        &server,
        Operation::offer("offer".to_owned(), true),
        &recorder,
    )
    .await;
    assert_eq!(recorder.offer_outcomes()["offer"], OfferOutcome::NotRun);
    assert_eq!(server.keys().len(), 1);
}

#[tokio::test]
async fn key_is_rebuilt_with_the_ticket_of_the_refusal() {
    let server = ScriptedServer::start(&[Reply::Code(104)]);
    let recorder = CallerRecorder::default();
    let mut operation = Operation::offer("offer".to_owned(), false);
    let flow = Flow::open(&server.flow_settings()).await.expect("a flow");
    let mut flow_state = FlowState::default();
    let next = operation
        .attempt(&flow, SERVICE, &mut flow_state, &recorder)
        .await;
    assert_eq!(next, NextStep::Retry(Duration::ZERO));
    let next = operation
        .attempt(&flow, SERVICE, &mut flow_state, &recorder)
        .await;
    assert_eq!(next, NextStep::Ended);
    assert_eq!(
        server.keys(),
        ["none.offer".to_owned(), format!("{TICKET}.offer")]
    );
}

#[tokio::test]
async fn key_is_kept_when_an_earlier_attempt_may_have_run() {
    let server = ScriptedServer::start(&[Reply::Close(302), Reply::Code(104)]);
    let recorder = CallerRecorder::default();
    run_to_end(
        &server,
        Operation::offer("offer".to_owned(), false),
        &recorder,
    )
    .await;
    assert_eq!(server.keys(), vec![format!("{TICKET}.offer"); 3]);
}

fn answer_counts(counts: &CallerCounts) -> (u64, u64, u64) {
    (
        counts.answers_whole,
        counts.answers_wrong,
        counts.answers_foreign,
    )
}

#[rstest]
#[case::own(Reply::Whole, (1, 0, 0))]
#[case::of_another(Reply::OfAnother, (0, 1, 0))]
#[case::of_another_service(Reply::OfAnotherService, (0, 0, 1))]
#[tokio::test]
async fn response_is_checked(#[case] reply: Reply, #[case] expected: (u64, u64, u64)) {
    let server = ScriptedServer::start(&[reply]);
    let recorder = CallerRecorder::default();
    run_to_end(
        &server,
        Operation::offer("offer".to_owned(), false),
        &recorder,
    )
    .await;
    assert_eq!(answer_counts(&recorder.counts()), expected);
}

#[rstest]
#[case::upload(Operation::upload("u-1".to_owned(), 50_000))]
#[case::quote(Operation::quote("q-1".to_owned()))]
#[tokio::test]
async fn other_requests_get_complete_responses(#[case] operation: Operation) {
    let server = ScriptedServer::start(&[]);
    let recorder = CallerRecorder::default();
    assert_ne!(operation.kind(), Kind::Offer);
    run_to_end(&server, operation, &recorder).await;
    assert_eq!(answer_counts(&recorder.counts()), (1, 0, 0));
}

fn spawn_caller(
    server: &ScriptedServer,
    recorder: &CallerRecorder,
    out: &ExpectedFailures,
) -> Caller {
    let settings = CallerSettings {
        name: "caller".to_owned(),
        service: SERVICE.to_owned(),
        flow: server.flow_settings(),
        interval_ms: 2,
        seed: 1,
    };
    Caller::spawn(settings, recorder.clone(), out.clone())
}

async fn wait_until(recorder: &CallerRecorder, holds: impl Fn(&CallerCounts) -> bool) {
    for _ in 0..MAX_POLLS {
        if holds(&recorder.counts()) {
            return;
        }
        time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out; the last counts are: {:?}", recorder.counts());
}

#[rstest]
#[case::closed_by_the_agent(302, &[], (1, 0))]
#[case::reported_out_but_is_in(301, &[], (1, 0))]
#[case::out(301, &[TARGET], (0, 1))]
#[tokio::test]
async fn lost_flow_is_classified_by_its_domain(
    #[case] code: u32,
    #[case] out: &[&str],
    #[case] expected: (u64, u64),
) {
    let server = ScriptedServer::start(&[Reply::Whole, Reply::Close(code)]);
    let recorder = CallerRecorder::default();
    let expected_failures = ExpectedFailures::default();
    expected_failures.set_in_out_domains(out.iter().map(|target| (*target).to_owned()));
    let caller = spawn_caller(&server, &recorder, &expected_failures);
    wait_until(&recorder, |counts| counts.flows_opened == 2).await;
    caller.stop();
    caller.join().await;
    let counts = recorder.counts();
    assert_eq!((counts.flows_broken, counts.flows_given_up), expected);
    assert_eq!(counts.answers_lost, 1);
}

#[tokio::test]
async fn caller_resends_a_lost_offer_under_its_key() {
    let server = ScriptedServer::start(&[Reply::Close(302)]);
    let recorder = CallerRecorder::default();
    let caller = spawn_caller(&server, &recorder, &ExpectedFailures::default());
    wait_until(&recorder, |_| server.keys().len() >= 2).await;
    caller.stop();
    caller.join().await;
    let keys = server.keys();
    assert_eq!(keys[0], keys[1]);
    assert!(
        recorder
            .offer_outcomes()
            .values()
            .all(|outcome| *outcome == OfferOutcome::Answered)
    );
}
