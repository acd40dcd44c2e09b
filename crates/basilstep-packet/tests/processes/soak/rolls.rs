//! Planned work only: balancers and agents are rolled in series that overlap, while targets are busy,
//! operators change routes and limits, and other writers call the agents.

use super::{
    cluster::{Cluster, Machine},
    faults::stop_process,
};
use crate::support::target::TARGET_VERSION;
use basilstep_node::http::HttpClient;
use http::Method;
use rand_chacha::{ChaCha8Rng, rand_core::Rng};
use serde_json::json;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const MAX_PAUSE_MS: u32 = 900;
const MAX_GAP_MS: u32 = 700;
const MAX_AWAY_MS: u32 = 1_500;
const MAX_ANSWER_DELAY_MS: u32 = 40;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How processes of one class are rolled.
#[derive(Clone, Copy, Debug)]
struct Series {
    gap: Duration,
    away: Duration,
}

/// Injects planned work for `duration` and waits until the last series has ended.
pub async fn inject(cluster: &Arc<Cluster>, mut random: ChaCha8Rng, duration: Duration) {
    let until = Instant::now() + duration;
    let mut running = JoinSet::new();
    while Instant::now() < until {
        let series = Series {
            gap: draw(&mut random, MAX_GAP_MS),
            away: draw(&mut random, MAX_AWAY_MS),
        };
        let index = random.next_u32() as usize % cluster.agents.len();
        match random.next_u32() % 6 {
            0 => _ = running.spawn(roll_agents(Arc::clone(cluster), series)),
            1 => _ = running.spawn(roll_balancers(Arc::clone(cluster), series)),
            2 => {
                running.spawn(roll_agents(Arc::clone(cluster), series));
                running.spawn(roll_balancers(Arc::clone(cluster), series));
            }
            3 => call_as_other_writer(cluster, &cluster.agents[index]).await,
            4 => cluster.configuration.change(&cluster.fleet),
            _ => {
                let delay_ms = random.next_u32() % MAX_ANSWER_DELAY_MS;
                set_answer_delay(&cluster.agents[index], delay_ms).await;
            }
        }
        sleep(draw(&mut random, MAX_PAUSE_MS)).await;
    }
    while let Some(ended) = running.join_next().await {
        ended.unwrap();
    }
}

async fn roll_agents(cluster: Arc<Cluster>, series: Series) {
    roll(&cluster, &cluster.agents, series).await;
}

async fn roll_balancers(cluster: Arc<Cluster>, series: Series) {
    roll(&cluster, &cluster.balancers, series).await;
}

async fn roll(cluster: &Cluster, machines: &[Machine], series: Series) {
    for machine in machines {
        if let Ok(mut process) = machine.process.try_lock() {
            machine.record_disturbance();
            stop_process(cluster, machine, &mut process).await;
            sleep(series.away).await;
            // The time within which a balancer has its settings counts from its start.
            machine.record_disturbance();
            *process = cluster.launch(machine).await;
            machine.record_disturbance();
        }
        sleep(series.gap).await;
    }
}

/// Sends heartbeats that are not those of the agent's own target: of another address, and with a
/// missing field.
async fn call_as_other_writer(cluster: &Cluster, agent: &Machine) {
    let fleet = &cluster.fleet;
    let mut client = HttpClient::new(fleet.address(agent.number, fleet.ports.control));
    let Some(agent_target) = &agent.agent_target else {
        return;
    };
    let mut body = json!({
        "Service": super::SERVICES[agent_target.service], "Zone": agent.zone,
        "Version": TARGET_VERSION, "Capacity": 1, "State": "draining", "WarmupLeftMs": 0,
        "Sequence": 1, "born": u64::MAX,
        "Address": fleet.address(agent.number + 1, fleet.ports.target).to_string(),
    });
    for _ in 0..2 {
        let text = body.to_string();
        let path = "/instances/another";
        let call = client.call(Method::PUT, path, text.as_bytes(), CALL_TIMEOUT);
        // The agent may be away.
        if let Ok(reply) = call.await
            && !reply.status.is_client_error()
        {
            cluster.invariants.record_violation(format!(
                "agent {} accepted {text}: {}",
                agent.number, reply.status
            ));
        }
        let own = fleet.address(agent.number, fleet.ports.target).to_string();
        body["Address"] = json!(own);
        body["Zone"] = json!(null);
    }
}

async fn set_answer_delay(agent: &Machine, delay_ms: u32) {
    if let Some(agent_target) = &agent.agent_target {
        let running = agent_target.running.lock().await;
        let delay = &running.target.log.answer_delay_ms;
        delay.store(delay_ms, Ordering::SeqCst);
    }
}

fn draw(random: &mut ChaCha8Rng, range_ms: u32) -> Duration {
    Duration::from_millis(u64::from(random.next_u32() % range_ms))
}
