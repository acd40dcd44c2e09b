//! Planned restarts of balancers and agents beside living targets, whose flows stay open.

use super::{
    fleet::{data_text, entry},
    support::{
        caller::Caller,
        fleet::{Fleet, SERVICE},
        packet::Packet,
        target::Target,
    },
};
use rstest::rstest;
use rustix::process::Signal;
use serde_json::json;
use std::time::Duration;
use tokio::time::sleep;

const FORMER_SERVICE: &str = "former";
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// The time after its start from which a balancer resets lost flows whose requests may not be
/// repeated.
const SETTLE_TIME: Duration = Duration::from_millis(1_800);

/// How long an agent stays away while a request waits.
const AWAY_TIME: Duration = Duration::from_secs(1);

/// Two balancers and two agents with their targets, and a flow that is open at the first target.
struct RollingFleet {
    fleet: Fleet,
    caller: Caller,
    opened: Packet,
    balancers: [usize; 2],
    agents: [usize; 2],
    targets: Vec<Target>,
}

impl RollingFleet {
    async fn start(name: &str, kind: &str, services: [&str; 2]) -> Self {
        let mut fleet = Fleet::start(name).await;
        write_route(&fleet, 1, kind, services[0]);
        let balancers = [fleet.start_balancer(1), fleet.start_balancer(2)];
        let (first, target) = fleet.start_agent_of(services[0], 11).await;
        for balancer in [1, 2] {
            fleet.await_ready(balancer).await;
        }
        let caller = Caller::open(fleet.ip(200), fleet.ports.packets).await;
        let balancer = fleet.address(2, fleet.ports.packets);
        let opened = caller.open_flow(balancer, 40_060, entry()).await.unwrap();
        let (second, other_target) = fleet.start_agent_of(services[1], 12).await;
        for balancer in [1, 2] {
            fleet.await_agents(balancer, 2).await;
        }
        Self {
            fleet,
            caller,
            opened,
            balancers,
            agents: [first, second],
            targets: vec![target, other_target],
        }
    }

    /// Stops a process and waits for its end.
    async fn stop(&mut self, process: usize) {
        self.fleet.processes[process].signal(Signal::TERM);
        while self.fleet.processes[process].has_ended().is_none() {
            sleep(Duration::from_millis(5)).await;
        }
    }

    async fn roll_balancer(&mut self, number: u8) {
        let index = usize::from(number) - 1;
        self.stop(self.balancers[index]).await;
        self.balancers[index] = self.fleet.start_balancer(number);
        self.fleet.await_ready(number).await;
    }

    async fn request(&self, balancer: u8, text: &str) -> Option<Packet> {
        let address = self.fleet.address(balancer, self.fleet.ports.packets);
        self.caller.request(address, &self.opened, text).await
    }
}

/// Writes a configuration whose route leads to a service.
fn write_route(fleet: &Fleet, version: u64, kind: &str, service: &str) {
    let entry = entry();
    let config = json!({
        "Version": version,
        "Routes": [{"Name": "r1", "Hostname": entry.ip().to_string(),
                    "Prefix": format!("/{}/", entry.port()), "Type": kind,
                    "TimeoutMs": 2_500, "Service": service}],
        "Services": [{"Name": service, "MaxConnections": 2_000}],
        "Limits": {"IdleTimeoutMs": 50_000},
    });
    fleet.store.put("op/config", Some(&config));
}

/// Guards against balancers that start after a route was led to another service, and reset the flows
/// that are open at the former one.
#[tokio::test]
async fn flow_at_a_former_service_survives_a_roll_of_all_processes() {
    let services = [FORMER_SERVICE, SERVICE];
    let mut rolling = RollingFleet::start("moved-route", "unsafe", services).await;
    write_route(&rolling.fleet, 2, "unsafe", SERVICE);
    for balancer in [1, 2] {
        let fleet = &rolling.fleet;
        assert!(fleet.is_in_force_within(balancer, 2, APPLY_LIMIT).await);
    }
    for (process, (number, service)) in rolling
        .agents
        .into_iter()
        .zip([11, 12].into_iter().zip(services))
    {
        rolling.stop(process).await;
        rolling.fleet.restart_agent_of(service, number);
    }
    for balancer in [1, 2] {
        rolling.roll_balancer(balancer).await;
        sleep(SETTLE_TIME).await;
    }
    for balancer in [1, 2] {
        let text = format!("through {balancer}");
        let answer = rolling.request(balancer, &text).await.unwrap();
        assert_eq!(data_text(&answer), format!("target-11 answers {text}"));
    }
    assert_eq!(rolling.targets.len(), services.len());
}

/// Guards against a balancer that starts while an agent is being restarted and takes the agents that
/// report to it for all that may hold a flow.
#[rstest]
#[case::idempotent("safe")]
#[case::not_idempotent("unsafe")]
#[tokio::test]
async fn flow_of_an_agent_that_is_away_survives_the_start_of_a_balancer(#[case] kind: &str) {
    let name = format!("away-{kind}");
    let mut rolling = RollingFleet::start(&name, kind, [SERVICE, SERVICE]).await;
    rolling.stop(rolling.agents[0]).await;
    rolling.roll_balancer(1).await;
    sleep(SETTLE_TIME).await;
    let RollingFleet {
        mut fleet,
        caller,
        opened,
        ..
    } = rolling;
    let balancer = fleet.address(1, fleet.ports.packets);
    let (answer, ()) = tokio::join!(caller.request(balancer, &opened, "meanwhile"), async {
        sleep(AWAY_TIME).await;
        fleet.restart_agent_of(SERVICE, 11);
    });
    assert_eq!(data_text(&answer.unwrap()), "target-11 answers meanwhile");
}

/// Guards against agents that answer for their targets a constant time after they have started, while
/// operators allow flows to be idle for longer.
#[tokio::test]
#[ignore = "takes 35 s"]
async fn flow_that_is_idle_within_the_limit_survives_a_roll_of_both_classes() {
    let mut rolling = RollingFleet::start("idle", "unsafe", [SERVICE, SERVICE]).await;
    sleep(Duration::from_secs(1)).await;
    for (process, number) in rolling.agents.into_iter().zip([11, 12]) {
        rolling.stop(process).await;
        rolling.fleet.restart_agent_of(SERVICE, number);
    }
    sleep(Duration::from_secs(23)).await;
    rolling.roll_balancer(1).await;
    sleep(SETTLE_TIME * 2).await;
    let answer = rolling.request(1, "late").await.unwrap();
    assert_eq!(data_text(&answer), "target-11 answers late");
}
