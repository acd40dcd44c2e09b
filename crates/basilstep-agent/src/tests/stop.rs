//! Requests and flows of an agent that stops.

use super::{
    SERVER_NAME, ScriptedTarget, TEST_TIMEOUT, TestAgent, get, request, send,
    target::End::{Close, KeepOpen},
    until,
};
use crate::{
    controller::{CollectDump, PhaseChanged},
    stop::{StopStage, finish_work},
};
use basilstep_bench::fakes::caller::{Flow, FlowResponse, RequestError};
use basilstep_core::{codes::ResultCode, membership::AgentPhase};
use bytes::Bytes;
use h3::error::{Code, StreamError};
use quinn::{ClientConfig, Endpoint, crypto::rustls::QuicClientConfig};
use rstest::rstest;
use rustls::{RootCertStore, crypto::ring};
use std::{net::Ipv4Addr, sync::Arc, time::Duration};
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

impl TestAgent {
    fn stop(&self) -> JoinHandle<()> {
        let shared = Arc::clone(&self.shared);
        let dispatcher = Arc::clone(&self.dispatcher);
        let controller = self.controller.clone();
        tokio::spawn(async move { finish_work(&shared, &dispatcher, &controller).await })
    }

    /// Opens a connection whose HTTP/3 layer is left to the test.
    async fn connect(&self) -> (Endpoint, quinn::Connection) {
        let mut roots = RootCertStore::empty();
        roots.add(self.root.clone()).expect("a valid certificate");
        let provider = Arc::new(ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .expect("the provider has TLS 1.3")
            .with_root_certificates(roots)
            .with_no_client_auth();
        tls.alpn_protocols = vec![b"h3".to_vec()];
        let tls = QuicClientConfig::try_from(tls).expect("a valid configuration");
        let mut endpoint = Endpoint::client((Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
        endpoint.set_default_client_config(ClientConfig::new(Arc::new(tls)));
        let address = self.endpoint.local_addr().expect("an address");
        let connecting = endpoint
            .connect(address, SERVER_NAME)
            .expect("a valid name");
        let connection = connecting.await.expect("the agent accepts it");
        (endpoint, connection)
    }
}

/// Guards against a stop that leaves callers on their flows until it closes them.
#[tokio::test]
async fn stopping_agent_asks_for_new_flows_and_finishes_accepted_requests() {
    let target = ScriptedTarget::spawn_held(WHOLE, KeepOpen).await;
    let agent = TestAgent::spawn(target.address).await;
    let flow = Arc::new(agent.open_flow().await);
    let running = spawn_get(&flow);
    until(|| async { target.requests() == 1 }).await;
    let queued = spawn_get(&flow);
    until(|| async { agent.dispatcher.admission_view().queued == 1 }).await;
    let stop = agent.stop();
    until(|| async { matches!(get(&flow).await, Err(RequestError::GoAway)) }).await;
    target.release();
    for request in [running, queued] {
        let response = request
            .await
            .expect("no panic")
            .expect("a complete response");
        assert_eq!(response.body, "whole");
    }
    Arc::into_inner(flow)
        .expect("no request is left")
        .close()
        .await;
    stop.await.expect("no panic");
    assert_eq!(target.requests(), 2);
}

/// Guards against a stop that cuts off requests without a flow: relayed by another agent.
#[tokio::test]
async fn stopping_agent_finishes_requests_that_another_agent_relayed() {
    let target = ScriptedTarget::spawn_held(WHOLE, Close).await;
    let serving = TestAgent::spawn(target.address).await;
    let relaying = TestAgent::spawn_relaying_to(&serving).await;
    let flow = Arc::new(relaying.open_flow_before_drain().await);
    let running = spawn_get(&flow);
    until(|| async { target.requests() == 1 }).await;
    let stop = serving.stop();
    // The former stop ended after the final announcement, with the request still running.
    sleep(Duration::from_millis(600)).await;
    assert!(!stop.is_finished());
    target.release();
    let response = running
        .await
        .expect("no panic")
        .expect("a complete response");
    assert_eq!(response.body, "whole");
    stop.await.expect("no panic");
}

/// Guards against queued requests that are cut off, or reported as run, when the wait is over.
#[tokio::test]
async fn queued_request_is_refused_as_not_run_when_flows_are_closed() {
    let target = ScriptedTarget::spawn_held(WHOLE, KeepOpen).await;
    let agent = TestAgent::spawn_with_stop_wait(target.address, 0).await;
    let flow = Arc::new(agent.open_flow().await);
    let _running = spawn_get(&flow);
    until(|| async { target.requests() == 1 }).await;
    let request = Arc::clone(&flow);
    let queued =
        tokio::spawn(async move { send(&request, "POST", &[], Bytes::from_static(b"x")).await });
    until(|| async { agent.dispatcher.admission_view().queued == 1 }).await;
    let retry_tokens = agent.dispatcher.requests_view().retry_tokens;
    agent.stop().await.expect("no panic");
    let response = queued
        .await
        .expect("no panic")
        .expect("a complete response");
    assert_eq!(response.code, Some(ResultCode::Draining));
    // A retry would be refused too, and its backoff could outlast the flow.
    let tokens_left = agent.dispatcher.requests_view().retry_tokens;
    assert_eq!(tokens_left, retry_tokens);
    assert_eq!(target.requests(), 1);
}

/// Guards against a first request that runs although the GOAWAY of its flow states request 0.
#[tokio::test]
async fn flow_without_requests_runs_none_after_the_stop_began() {
    let target = ScriptedTarget::spawn(WHOLE, Close).await;
    let agent = TestAgent::spawn(target.address).await;
    let flow = agent.open_flow().await;
    agent.shared.set_stop_stage(StopStage::Finishing);
    let response = get(&flow).await;
    assert!(response.is_err(), "{response:?}");
    assert_eq!(target.requests(), 0);
}

/// Guards against requests after a GOAWAY that are neither run nor rejected.
#[rstest]
#[case::asked_to_move(StopStage::Finishing, 0)]
#[case::closed(StopStage::Closing, 0)]
#[case::closed_after_a_request(StopStage::Closing, 1)]
#[tokio::test]
async fn requests_of_a_caller_that_has_not_read_the_goaway_are_all_rejected(
    #[case] stage: StopStage,
    #[case] run_before: u32,
) {
    let target = ScriptedTarget::spawn(WHOLE, Close).await;
    let agent = TestAgent::spawn(target.address).await;
    let (endpoint, connection) = agent.connect().await;
    let transport = h3_quinn::Connection::new(connection);
    // The driver, which would read the GOAWAY, is never polled.
    let (_driver, mut sender) = h3::client::new(transport).await.expect("a flow");
    for _ in 0..run_before {
        let stream = sender.send_request(request("GET", &[])).await;
        let mut stream = stream.expect("the flow is open");
        stream.finish().await.expect("the flow is open");
        stream.recv_response().await.expect("the target answers");
    }
    until(|| async { agent.shared.active_requests.count() == 0 }).await;
    agent.shared.set_stop_stage(stage);
    for _ in 0..5 {
        let stream = sender.send_request(request("GET", &[])).await;
        let mut stream = stream.expect("the flow is open");
        let response = timeout(TEST_TIMEOUT, stream.recv_response());
        let response = response.await.expect("the agent rejects it in time");
        let is_rejected = matches!(
            response,
            Err(StreamError::RemoteTerminate {
                code: Code::H3_REQUEST_REJECTED,
                ..
            })
        );
        assert!(is_rejected, "{response:?}");
    }
    assert_eq!(target.requests(), run_before);
    drop(endpoint);
}

fn spawn_get(flow: &Arc<Flow>) -> JoinHandle<Result<FlowResponse, RequestError>> {
    let flow = Arc::clone(flow);
    tokio::spawn(async move { get(&flow).await })
}

/// Guards against a health check that announces a stopped agent as draining again.
#[tokio::test]
async fn stopped_agent_stays_down() {
    let target = ScriptedTarget::spawn(WHOLE, Close).await;
    let agent = TestAgent::spawn(target.address).await;
    for phase in [AgentPhase::Down, AgentPhase::Draining] {
        agent
            .controller
            .send(PhaseChanged(phase))
            .await
            .expect("it runs");
    }
    let dump = agent.controller.send(CollectDump).await.expect("it runs");
    let dump = serde_json::to_value(dump).expect("a dump is JSON");
    assert_eq!(dump["phase"], "down");
}
