//! Answers that end early, come early, or come twice.

use super::{
    ScriptedTarget, TestAgent, get, open_flow, request, send,
    target::End::{self, Close, KeepOpen, Reset},
    until,
};
use basilstep_core::codes::ResultCode;
use bytes::Bytes;
use rstest::rstest;
use std::time::Duration;
use tokio::time::sleep;

const SHORT_OF_LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart";
const CHUNKS_WITHOUT_END: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";
const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\npart";
const HTTP_1_0: &str = "HTTP/1.0 200 OK\r\n\r\npart";
const EVENTS_WITHOUT_END: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    transfer-encoding: chunked\r\n\r\n4\r\npart\r\n";
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
const TWICE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole\
    HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother";
const WITH_CODE: &str = "HTTP/1.1 200 OK\r\nbasilstep-code: 101\r\ncontent-length: 5\r\n\r\nwhole";
/// More than the buffers of a connection on loopback hold.
const UPLOAD_BYTES: usize = 16 << 20;

/// Guards against a truncated answer that reaches the caller as a complete one.
#[rstest]
#[case::short_of_its_length(SHORT_OF_LENGTH, Close)]
#[case::chunks_without_the_last(CHUNKS_WITHOUT_END, Close)]
#[case::events_without_the_last(EVENTS_WITHOUT_END, Close)]
#[case::reset_without_a_length(WITHOUT_LENGTH, Reset)]
#[case::reset_of_http_1_0(HTTP_1_0, Reset)]
#[tokio::test]
async fn truncated_answer_is_never_complete(
    #[case] answer: &'static str,
    #[case] end: End,
    #[values(false, true)] is_relayed: bool,
) {
    let target = ScriptedTarget::spawn(answer, end).await;
    let (_serving, flow) = open_flow(&target, is_relayed).await;
    let response = get(&flow).await;
    assert!(response.is_err(), "{response:?}");
}

/// Guards against an answer that ends with the caller's deadline and looks complete.
#[rstest]
#[tokio::test]
async fn answer_cut_by_its_deadline_is_never_complete(
    #[values(WITHOUT_LENGTH, HTTP_1_0)] answer: &'static str,
    #[values(false, true)] is_relayed: bool,
) {
    let target = ScriptedTarget::spawn(answer, KeepOpen).await;
    let (_serving, flow) = open_flow(&target, is_relayed).await;
    let deadline = [("basilstep-deadline-ms", "300")];
    let response = send(&flow, "GET", &deadline, Bytes::new()).await;
    assert!(response.is_err(), "{response:?}");
}

/// Guards against a truncated answer that is recorded, and repeated to duplicates as complete.
#[rstest]
#[tokio::test]
async fn truncated_answer_is_not_recorded(#[values(false, true)] is_relayed: bool) {
    let target = ScriptedTarget::spawn(CHUNKS_WITHOUT_END, Close).await;
    let (_serving, flow) = open_flow(&target, is_relayed).await;
    for _ in 0..2 {
        let key = [("idempotency-key", "1")];
        let response = send(&flow, "POST", &key, Bytes::from_static(b"x")).await;
        let code = response.expect("a complete response").code;
        assert_eq!(code, Some(ResultCode::TargetLost));
    }
    assert_eq!(target.requests(), 1);
}

/// Guards against a recorded answer that is too large and makes its healthy target look lost.
#[tokio::test]
async fn recorded_answer_that_is_too_large_says_that_the_request_ran() {
    let length = (8 << 20) + 1;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    let target = ScriptedTarget::spawn((head + &"x".repeat(length)).leak(), KeepOpen).await;
    let (agent, flow) = open_flow(&target, false).await;
    let key = [("idempotency-key", "1")];
    for _ in 0..2 {
        let response = send(&flow, "POST", &key, Bytes::from_static(b"x")).await;
        let code = response.expect("a complete response").code;
        assert_eq!(code, Some(ResultCode::AnswerNotKept));
    }
    assert_eq!(agent.shared.own_load().flow_refusal, None);
    assert_eq!(target.requests(), 1);
}

/// Guards against a second answer that reaches the caller of a later request.
#[rstest]
#[tokio::test]
async fn second_answer_reaches_nobody(#[values(false, true)] is_relayed: bool) {
    let target = ScriptedTarget::spawn(TWICE, KeepOpen).await;
    let (_serving, flow) = open_flow(&target, is_relayed).await;
    for _ in 0..3 {
        let response = get(&flow).await.expect("a complete response");
        assert_eq!(response.body, "whole");
    }
    assert_eq!(target.requests(), 3);
}

/// Guards against the loss of an answer that is sent, and followed by a close, during an upload.
#[rstest]
#[tokio::test]
async fn early_answer_to_an_upload_is_delivered(#[values(false, true)] is_relayed: bool) {
    let target = ScriptedTarget::spawn(WHOLE, Close).await;
    let (_serving, flow) = open_flow(&target, is_relayed).await;
    let response = send(&flow, "POST", &[], Bytes::from(vec![7; UPLOAD_BYTES])).await;
    let response = response.expect("a complete response");
    assert_eq!((response.code, &response.body[..]), (None, &b"whole"[..]));
}

/// Guards against a target whose own header makes a request that ran look like one that did not.
#[rstest]
#[tokio::test]
async fn result_code_of_a_target_is_not_taken_for_an_agents(
    #[values(false, true)] is_relayed: bool,
) {
    let target = ScriptedTarget::spawn(WITH_CODE, KeepOpen).await;
    let (_serving, flow) = open_flow(&target, is_relayed).await;
    let response = get(&flow).await.expect("a complete response");
    assert_eq!((response.code, target.requests()), (None, 1));
}

/// Guards against a caller that breaks off its upload and makes its healthy target look lost.
#[rstest]
#[tokio::test]
async fn upload_that_its_caller_breaks_off_says_nothing_about_the_target(
    #[values(false, true)] is_relayed: bool,
) {
    let target = ScriptedTarget::spawn_held(WHOLE, KeepOpen).await;
    let (serving, flow) = open_flow(&target, is_relayed).await;
    let upload = flow.begin_upload(request("POST", &[]), Bytes::from_static(b"part"));
    let upload = upload.await.expect("the flow is open");
    until(|| async { target.requests() == 1 }).await;
    upload.break_off();
    until(|| async { serving.dispatcher.admission_view().in_flight == 0 }).await;
    assert_eq!(serving.shared.own_load().flow_refusal, None);
}

/// Guards against work that is run again, or reported as not run, after its answer was lost on the
/// way from a relayed agent.
#[rstest]
#[case::without_a_key(&[])]
#[case::under_a_key(&[("idempotency-key", "1")])]
#[tokio::test]
async fn answer_lost_between_agents_leaves_the_outcome_unknown(
    #[case] headers: &[(&str, &str)],
    #[values("", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n", SHORT_OF_LENGTH)] answer: &'static str,
) {
    let peer = ScriptedTarget::spawn(answer, Close).await;
    let relaying = TestAgent::spawn(peer.address).await;
    relaying.set_peer(peer.address);
    let flow = relaying.open_flow_before_drain().await;
    let response = send(&flow, "POST", headers, Bytes::from_static(b"x")).await;
    let is_not_run =
        response.is_ok_and(|response| response.code.is_none_or(|code| !code.is_outcome_unknown()));
    assert_eq!((is_not_run, peer.requests()), (false, 1));
}

/// Guards against an agent that wakes from a pause and starts requests that the relaying agent has
/// given up.
#[tokio::test]
async fn relayed_request_that_was_given_up_during_a_pause_is_not_started() {
    let target = ScriptedTarget::spawn(WHOLE, Close).await;
    let serving = TestAgent::spawn(target.address).await;
    let _waiting = serving.relay_request();
    until(|| async { target.requests() == 1 }).await;
    // No task of the agent runs until the connection is closed again, as during a pause.
    drop(serving.relay_request());
    sleep(Duration::from_millis(100)).await;
    assert_eq!(target.requests(), 1);
}
