//! Runs the commands that query processes against control ports with scripted dumps.

use basilstep_bench::fakes::store::FakeStore;
use basilstep_core::{codes::ResultCode, crypto::ClusterKey};
use basilstep_node::{
    control::{ControlHandler, ControlResponse, ControlServer},
    counters::CodeCounters,
    keys::NodeKeys,
};
use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::{Value, json};
use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
};
use tokio::process::Command;

const KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
const OTHER_KEY: &str = "ff0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// A port below the range that the kernel assigns, on which nothing listens.
const UNUSED_PORT: u16 = 1;

/// A process that responds with one dump.
struct ScriptedProcess {
    dump: Value,
}

impl ControlHandler for ScriptedProcess {
    type Stream = Full<Bytes>;

    async fn handle(&self, method: &Method, path: &str, _: Bytes) -> ControlResponse {
        match (method.as_str(), path) {
            ("GET", "/dump") => ControlResponse::json(&self.dump),
            ("POST", "/drain") => ControlResponse::json(&json!({})),
            _ => ControlResponse::code(ResultCode::NotFound),
        }
    }

    async fn stream(&self, _: Request<Incoming>) -> Response<Self::Stream> {
        Response::default()
    }
}

struct TestEnvironment {
    store: FakeStore,
    processes: Vec<ControlServer>,
}

impl TestEnvironment {
    async fn new() -> Self {
        let listen = (Ipv4Addr::LOCALHOST, 0).into();
        let store = FakeStore::bind(listen, Vec::new()).await.unwrap();
        Self {
            store,
            processes: Vec::new(),
        }
    }

    async fn spawn(&mut self, dump: Value) -> SocketAddrV4 {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let keys = NodeKeys::derive(&ClusterKey::from_hex(KEY).unwrap());
        let process = Arc::new(ScriptedProcess { dump });
        let counters = Arc::new(CodeCounters::default());
        let server = ControlServer::spawn(any, keys.control, counters, process).await;
        let server = server.unwrap();
        let address = match server.address() {
            SocketAddr::V4(address) => address,
            SocketAddr::V6(address) => panic!("{address} is not an IPv4 address"),
        };
        self.processes.push(server);
        address
    }

    async fn spawn_balancer(&mut self, settings_version: u64, control: Value) -> SocketAddrV4 {
        let dump = json!({ "settings_version": settings_version, "control": control });
        let address = self.spawn(dump).await;
        self.lease(address);
        address
    }

    async fn spawn_agent(&mut self, settings_version: u64, draining: bool) -> SocketAddrV4 {
        let dump = json!({
            "settings_version": settings_version,
            "domain": "north",
            "domain_out": true,
            "target": "127.0.0.1:1",
            "target_up": true,
            "draining": draining,
            "open_flows": 3,
        });
        self.spawn(dump).await
    }

    fn lease(&self, address: SocketAddrV4) {
        let record = json!({ "address": address, "domain": 0, "incarnation": 1 });
        let key = format!("basilstep-live/balancers/{address}");
        self.store.put(&key, &record.to_string());
    }

    async fn run_with(&self, key: &str, line: &str) -> (u64, Value) {
        let output = Command::new(env!("CARGO_BIN_EXE_basilstep-ctl"))
            .args(line.split_whitespace())
            .arg("--json")
            .env("BASILSTEP_STORE", self.store.url())
            .env("BASILSTEP_CLUSTER_KEY", key)
            .output()
            .await
            .unwrap();
        let printed: Value = serde_json::from_slice(&output.stdout).unwrap();
        (printed["code"].as_u64().unwrap(), printed)
    }

    async fn run(&self, line: &str) -> (u64, Value) {
        self.run_with(KEY, line).await
    }
}

fn known_agent(address: SocketAddrV4, phase: &str) -> Value {
    json!({ "address": address, "service": 1, "domain": 0, "phase": phase })
}

#[tokio::test]
async fn wait_succeeds_when_balancers_and_agents_have_the_version() {
    let mut environment = TestEnvironment::new().await;
    let agent = environment.spawn_agent(7, false).await;
    let control = json!({ "agents": [known_agent(agent, "serving")] });
    environment.spawn_balancer(8, control).await;
    let (code, printed) = environment.run("wait --until 7").await;
    assert_eq!((code, &printed["result"]["in_force"]), (0, &json!(2)));
}

#[tokio::test]
async fn wait_names_the_processes_that_are_behind_on_timeout() {
    let mut environment = TestEnvironment::new().await;
    let agent = environment.spawn_agent(6, false).await;
    let control = json!({ "agents": [known_agent(agent, "serving")] });
    environment.spawn_balancer(8, control).await;
    let (code, printed) = environment.run("wait --until 7 --timeout-s 0").await;
    assert_eq!(code, 512);
    let message = printed["message"].as_str().unwrap();
    assert!(message.contains(&format!("{agent} at 6")), "{message}");
    let line = "wait --until 7 --timeout-s 0 --balancers-only";
    assert_eq!(environment.run(line).await.0, 0);
}

#[tokio::test]
async fn wait_lists_an_unreachable_balancer() {
    let mut environment = TestEnvironment::new().await;
    environment.spawn_balancer(8, json!({})).await;
    let silent = SocketAddrV4::new(Ipv4Addr::LOCALHOST, UNUSED_PORT);
    environment.lease(silent);
    let (code, printed) = environment.run("wait --until 7").await;
    let unreachable = &printed["result"]["unreachable"];
    assert_eq!((code, unreachable), (0, &json!([silent])));
}

#[tokio::test]
async fn domain_status_shows_open_flows_in_a_domain_that_is_out() {
    let mut environment = TestEnvironment::new().await;
    let agent = environment.spawn_agent(7, false).await;
    let control = json!({
        "domains": {
            "north": { "id": 0, "state": "out" },
            "south": { "id": 1, "state": "in" },
        },
        "agents": [known_agent(agent, "serving")],
    });
    environment.spawn_balancer(7, control).await;
    let (_, printed) = environment.run("domain status").await;
    let domains = &printed["result"]["domains"];
    assert_eq!(domains["north"]["open_flows"], 3);
    assert_eq!(domains["north"]["balancers"][0]["state"], "out");
    assert_eq!(domains["south"]["open_flows"], Value::Null);
}

#[tokio::test]
async fn explain_lists_each_reason_why_a_target_gets_no_new_flows() {
    let mut environment = TestEnvironment::new().await;
    let agent = environment.spawn_agent(7, true).await;
    let control = json!({ "agents": [known_agent(agent, "draining")] });
    let first = environment.spawn_balancer(7, control).await;
    let second = environment.spawn_balancer(7, json!({})).await;
    let (_, printed) = environment.run(&format!("explain target {agent}")).await;
    let reasons = printed["result"]["reasons"].to_string();
    for reason in [
        "it is draining",
        "its failure domain north is out",
        &format!("balancer {first} reports it as Draining"),
        &format!("balancer {second} does not know it"),
    ] {
        assert!(reasons.contains(reason), "{reason} is not in {reasons}");
    }
}

#[tokio::test]
async fn explain_versions_shows_rejected_and_unserved_records() {
    let mut environment = TestEnvironment::new().await;
    let control = json!({
        "store_is_behind": true,
        "rejections": { "domains/x": { "version": 4, "code": 502, "reason": "malformed" } },
        "unserved": { "teams/a/services/x": { "version": 5, "code": 504, "reason": "taken" } },
    });
    environment.spawn_balancer(7, control.clone()).await;
    let (_, printed) = environment.run("explain versions").await;
    let balancer = &printed["result"]["balancers"][0];
    assert_eq!(balancer["version"], 7);
    for part in ["store_is_behind", "rejections", "unserved"] {
        assert_eq!(balancer[part], control[part]);
    }
}

#[tokio::test]
async fn request_with_another_cluster_key_is_rejected() {
    let mut environment = TestEnvironment::new().await;
    let agent = environment.spawn_agent(7, false).await;
    for line in ["dump", "drain"] {
        let line = format!("{line} {agent}");
        assert_eq!(environment.run_with(OTHER_KEY, &line).await.0, 601);
        assert_eq!(environment.run(&line).await.0, 0);
    }
}
