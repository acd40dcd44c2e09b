//! Heartbeats that are not those of the agent's own target.

use super::{
    fleet::{data_text, entry},
    support::{caller::Caller, fleet::Fleet},
};
use basilstep_node::http::HttpClient;
use http::Method;
use serde_json::{Value, json};
use std::time::Duration;

const AGENT: u8 = 11;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns a heartbeat with all fields, of an incarnation that started after that of the target.
fn later_heartbeat(fleet: &Fleet) -> Value {
    json!({"Service": "quotes", "Address": fleet.address(AGENT, fleet.ports.target).to_string(),
           "Zone": "east", "Version": "v1", "Capacity": 3, "State": "draining",
           "WarmupLeftMs": 60_000, "Sequence": 1, "born": 1_800_000_000_000_u64})
}

/// Returns what the agent believes of its target, apart from what each heartbeat changes.
async fn target_state(client: &mut HttpClient) -> Value {
    let call = client.call(Method::GET, "/state", &[], CALL_TIMEOUT);
    let mut state: Value = serde_json::from_slice(&call.await.unwrap().body).unwrap();
    let mut target = state["target"].take();
    target["heard_ms"] = Value::Null;
    target["cold_until_ms"] = Value::Null;
    target["last"]["sequence"] = Value::Null;
    target
}

/// Guards against other writers that end the living incarnation of the target, whose flows are reset,
/// or replace its state.
#[tokio::test]
async fn calls_of_other_writers_change_nothing() {
    let mut fleet = Fleet::start("other-writers").await;
    fleet.configure(1, entry());
    fleet.start_balancer(1);
    let _target = fleet.start_agent(AGENT).await;
    fleet.await_ready(1).await;
    let caller = Caller::open(fleet.ip(200), fleet.ports.packets).await;
    let balancer = fleet.address(1, fleet.ports.packets);
    let opened = caller.open_flow(balancer, 40_050, entry()).await.unwrap();
    let mut client = HttpClient::new(fleet.address(AGENT, fleet.ports.control));
    let before = target_state(&mut client).await;

    let other_address = fleet.address(12, fleet.ports.target).to_string();
    let changes = [
        ("Service", json!("another")),
        ("Address", json!(other_address)),
        ("Zone", json!(null)),
        ("Version", json!(2)),
        ("State", json!("paused")),
        ("WarmupLeftMs", json!("0")),
        ("WarmupLeftMs", json!(1e308)),
        ("born", json!(u64::MAX)),
    ];
    for (field, value) in changes {
        let mut body = later_heartbeat(&fleet);
        body[field] = value;
        let body = body.to_string();
        let path = "/instances/another";
        let call = client.call(Method::PUT, path, body.as_bytes(), CALL_TIMEOUT);
        let status = call.await.unwrap().status;
        assert!(status.is_client_error(), "{status} for {body}");
    }
    let call = client.call(Method::DELETE, "/instances/another", &[], CALL_TIMEOUT);
    call.await.unwrap();

    assert_eq!(target_state(&mut client).await, before);
    let answer = caller.request(balancer, &opened, "after").await.unwrap();
    assert_eq!(data_text(&answer), "target-11 answers after");
}
