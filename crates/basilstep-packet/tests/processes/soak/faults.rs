//! The faults of a soak test, drawn from its seed; they may overlap.

use super::cluster::{AgentTarget, Cluster, Machine, RunningTarget, ZONES};
use crate::support::{fleet::Process, proxy::ProxyMode, target::Target};
use rand_chacha::{ChaCha8Rng, rand_core::Rng};
use rustix::process::Signal;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const MAX_FAULT_INTERVAL_MS: u32 = 500;

/// The time limit for a process to stop after SIGTERM; a balancer takes 1.8 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// The time after the operators' write during which a domain may still get new flows.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
const DOMAIN_OUT_DURATION: Duration = Duration::from_millis(6_500);

const PROXY_MODES: [ProxyMode; 4] = [
    ProxyMode::Delay,
    ProxyMode::Stall,
    ProxyMode::StallAnswers,
    ProxyMode::Reset,
];

/// A fault: its kind, the random number that selects the machine, and its duration.
#[derive(Clone, Copy, Debug)]
struct Fault {
    kind: FaultKind,
    random_index: usize,
    duration: Duration,
}

#[derive(Clone, Copy, Debug)]
enum FaultKind {
    Kill,
    Terminate,
    Pause,
    Reload,
    EndTarget,
    DrainTarget,
    CutStore,
    CutHeartbeats,
    EndLeases,
    DropHistory,
    Configure,
    TakeDomainOut,
}

/// The kinds to draw from; the most disruptive ones are listed twice.
const FAULT_KINDS: [FaultKind; 16] = [
    FaultKind::Kill,
    FaultKind::Kill,
    FaultKind::Terminate,
    FaultKind::Terminate,
    FaultKind::Pause,
    FaultKind::Pause,
    FaultKind::Reload,
    FaultKind::EndTarget,
    FaultKind::EndTarget,
    FaultKind::DrainTarget,
    FaultKind::CutStore,
    FaultKind::CutHeartbeats,
    FaultKind::EndLeases,
    FaultKind::DropHistory,
    FaultKind::Configure,
    FaultKind::TakeDomainOut,
];

/// Injects faults for `duration` and waits until the last one has ended.
pub async fn inject(cluster: &Arc<Cluster>, mut random: ChaCha8Rng, duration: Duration) {
    let until = Instant::now() + duration;
    let mut running = JoinSet::new();
    while Instant::now() < until {
        let fault = Fault {
            kind: FAULT_KINDS[random.next_u32() as usize % FAULT_KINDS.len()],
            random_index: random.next_u32() as usize,
            duration: Duration::from_millis(u64::from(200 + random.next_u32() % 2_300)),
        };
        running.spawn(apply_fault(Arc::clone(cluster), fault));
        sleep(Duration::from_millis(u64::from(
            random.next_u32() % MAX_FAULT_INTERVAL_MS,
        )))
        .await;
    }
    while let Some(ended) = running.join_next().await {
        ended.unwrap();
    }
}

async fn apply_fault(cluster: Arc<Cluster>, fault: Fault) {
    let machines = cluster.balancers.len() + cluster.agents.len();
    let index = fault.random_index % machines;
    let machine = cluster
        .balancers
        .get(index)
        .unwrap_or_else(|| &cluster.agents[index.saturating_sub(cluster.balancers.len())]);
    let agent = &cluster.agents[fault.random_index % cluster.agents.len()];
    let mode = PROXY_MODES[fault.random_index % PROXY_MODES.len()];
    match fault.kind {
        FaultKind::Kill => kill(&cluster, machine, fault.duration).await,
        FaultKind::Terminate => terminate(&cluster, machine).await,
        FaultKind::Pause => pause(&cluster, machine, fault.duration).await,
        FaultKind::Reload => machine.process.lock().await.signal(Signal::HUP),
        FaultKind::EndTarget => end_target(&cluster, agent, fault.duration).await,
        FaultKind::DrainTarget => drain_target(&cluster, agent, fault.duration).await,
        FaultKind::CutStore => {
            machine.record_disturbance();
            machine.store.set(mode);
            sleep(fault.duration).await;
            machine.store.set(ProxyMode::Pass);
            machine.record_disturbance();
        }
        FaultKind::CutHeartbeats => cut_heartbeats(&cluster, agent, mode, fault.duration).await,
        FaultKind::EndLeases => cluster.fleet.store.end_leases(),
        FaultKind::DropHistory => {
            cluster.configuration.record_store_disturbance();
            cluster.fleet.store.drop_history();
        }
        FaultKind::Configure => cluster.configuration.change(&cluster.fleet),
        FaultKind::TakeDomainOut => {
            take_domain_out(&cluster, fault.random_index % ZONES.len()).await;
        }
    }
}

pub async fn kill(cluster: &Cluster, machine: &Machine, duration: Duration) {
    let Ok(mut process) = machine.process.try_lock() else {
        return;
    };
    cluster.disturb(machine);
    process.kill();
    sleep(duration).await;
    *process = cluster.launch(machine).await;
    cluster.disturb(machine);
}

pub async fn terminate(cluster: &Cluster, machine: &Machine) {
    let Ok(mut process) = machine.process.try_lock() else {
        return;
    };
    cluster.disturb(machine);
    stop_process(cluster, machine, &mut process).await;
    *process = cluster.launch(machine).await;
    cluster.disturb(machine);
}

/// Stops a process on purpose and waits for its end.
pub async fn stop_process(cluster: &Cluster, machine: &Machine, process: &mut Process) {
    process.signal(Signal::TERM);
    if !has_ended_within(process, STOP_TIMEOUT).await {
        cluster
            .invariants
            .record_violation(format!("machine {} did not stop in time", machine.number));
        process.kill();
    }
}

async fn has_ended_within(process: &mut Process, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while process.has_ended().is_none() {
        if Instant::now() > until {
            return false;
        }
        sleep(Duration::from_millis(20)).await;
    }
    true
}

async fn pause(cluster: &Cluster, machine: &Machine, duration: Duration) {
    let Ok(process) = machine.process.try_lock() else {
        return;
    };
    cluster.disturb(machine);
    process.signal(Signal::STOP);
    sleep(duration).await;
    process.signal(Signal::CONT);
    cluster.disturb(machine);
}

async fn end_target(cluster: &Cluster, machine: &Machine, duration: Duration) {
    let Some(AgentTarget { running, .. }) = &machine.agent_target else {
        return;
    };
    let Ok(mut running) = running.try_lock() else {
        return;
    };
    let run = running.run + 1;
    // The flows are lost from now on, even if the agent does not learn of the end from heartbeats.
    let name = format!("target-{}", machine.number);
    cluster.invariants.record_run(&name, run);
    let ended = std::mem::replace(&mut running.target, Target::absent());
    check_drained_target(cluster, machine, &ended);
    ended.end().await;
    sleep(duration).await;
    if let Some(next) = cluster.start_target(machine, run).await {
        *running = next;
    }
}

/// Sets a target to draining, and ends it after `duration`.
async fn drain_target(cluster: &Cluster, machine: &Machine, duration: Duration) {
    let Some(AgentTarget { running, .. }) = &machine.agent_target else {
        return;
    };
    let is_draining = |running: &RunningTarget| {
        let draining = &running.target.log.is_draining;
        draining.swap(true, Ordering::SeqCst)
    };
    match running.try_lock() {
        Ok(running) if !is_draining(&running) => {}
        _ => return,
    }
    sleep(duration).await;
    end_target(cluster, machine, Duration::from_millis(100)).await;
}

fn check_drained_target(cluster: &Cluster, machine: &Machine, target: &Target) {
    let late = target.log.opened_while_draining.load(Ordering::SeqCst);
    if late > 0 {
        cluster.invariants.record_violation(format!(
            "target-{} got {late} new flows after it had left",
            machine.number
        ));
    }
}

async fn cut_heartbeats(cluster: &Cluster, machine: &Machine, mode: ProxyMode, duration: Duration) {
    let Some(agent_target) = &machine.agent_target else {
        return;
    };
    cluster.invariants.record_disturbance();
    agent_target.heartbeats.set(mode);
    sleep(duration).await;
    agent_target.heartbeats.set(ProxyMode::Pass);
    cluster.invariants.record_disturbance();
}

async fn take_domain_out(cluster: &Cluster, index: usize) {
    // Two faults on the same zone would end each other early.
    let Ok(_operator) = cluster.operators[index].try_lock() else {
        return;
    };
    let zone = ZONES[index];
    let key = format!("op/evacuate/{zone}");
    cluster.fleet.store.put(&key, Some(&serde_json::json!({})));
    let began = Instant::now();
    sleep(DOMAIN_OUT_DURATION).await;
    let drained_from = began + DRAIN_TIMEOUT;
    for machine in cluster.agents.iter().filter(|agent| agent.zone == zone) {
        let Some(agent_target) = &machine.agent_target else {
            continue;
        };
        let running = agent_target.running.lock().await;
        let opened_at = running.target.log.opened_at.lock().unwrap();
        let late = opened_at.iter().filter(|at| **at > drained_from).count();
        if late > 0 {
            cluster.invariants.record_violation(format!(
                "target-{} got {late} new flows more than {DRAIN_TIMEOUT:?} after {zone} was out",
                machine.number
            ));
        }
    }
    cluster.fleet.store.put(&key, None);
}
