//! The faults of a soak, drawn from its seed; they come in series and overlap.

use super::{
    proxy::Manner,
    world::{App, Machine, Running, World, ZONES, configure},
};
use crate::support::{fleet::Process, target::Target};
use rand_chacha::{ChaCha8Rng, rand_core::Rng};
use rustix::process::Signal;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const GAP_MS: u32 = 500;

/// A stop on purpose takes 1.8 s at a balancer.
const STOP_WITHIN: Duration = Duration::from_secs(5);

/// How long after the operator's write a domain may still get new flows.
const QUIET_WITHIN: Duration = Duration::from_secs(5);
const OUT_FOR: Duration = Duration::from_millis(6_500);

const MANNERS: [Manner; 4] = [
    Manner::Delay,
    Manner::Silent,
    Manner::NoAnswers,
    Manner::Reset,
];

/// What happens, to which machine, and how long it lasts.
#[derive(Clone, Copy, Debug)]
struct Fault {
    kind: Kind,
    draw: usize,
    lasting: Duration,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Kill,
    Terminate,
    Pause,
    HangUp,
    EndTarget,
    DrainTarget,
    CutStore,
    CutPings,
    EndLeases,
    DropHistory,
    Configure,
    TakeDomainOut,
}

/// More of what hurts most.
const KINDS: [Kind; 16] = [
    Kind::Kill,
    Kind::Kill,
    Kind::Terminate,
    Kind::Terminate,
    Kind::Pause,
    Kind::Pause,
    Kind::HangUp,
    Kind::EndTarget,
    Kind::EndTarget,
    Kind::DrainTarget,
    Kind::CutStore,
    Kind::CutPings,
    Kind::EndLeases,
    Kind::DropHistory,
    Kind::Configure,
    Kind::TakeDomainOut,
];

/// Injects faults for `duration` and waits until the last one is over.
pub async fn inject(world: &Arc<World>, mut random: ChaCha8Rng, duration: Duration) {
    let versions = Arc::new(AtomicU64::new(1));
    let until = Instant::now() + duration;
    let mut running = JoinSet::new();
    while Instant::now() < until {
        let fault = Fault {
            kind: KINDS[random.next_u32() as usize % KINDS.len()],
            draw: random.next_u32() as usize,
            lasting: Duration::from_millis(u64::from(200 + random.next_u32() % 2_300)),
        };
        running.spawn(carry_out(Arc::clone(world), fault, Arc::clone(&versions)));
        sleep(Duration::from_millis(u64::from(random.next_u32() % GAP_MS))).await;
    }
    while let Some(ended) = running.join_next().await {
        ended.unwrap();
    }
}

async fn carry_out(world: Arc<World>, fault: Fault, versions: Arc<AtomicU64>) {
    let machines = world.balancers.len() + world.agents.len();
    let place = fault.draw % machines;
    let machine = world
        .balancers
        .get(place)
        .unwrap_or_else(|| &world.agents[place.saturating_sub(world.balancers.len())]);
    let agent = &world.agents[fault.draw % world.agents.len()];
    let manner = MANNERS[fault.draw % MANNERS.len()];
    match fault.kind {
        Kind::Kill => kill(&world, machine, fault.lasting).await,
        Kind::Terminate => terminate(&world, machine).await,
        Kind::Pause => pause(&world, machine, fault.lasting).await,
        Kind::HangUp => machine.process.lock().await.signal(Signal::HUP),
        Kind::EndTarget => end_target(&world, agent, fault.lasting).await,
        Kind::DrainTarget => drain_target(&world, agent, fault.lasting).await,
        Kind::CutStore => {
            machine.store.set(manner);
            sleep(fault.lasting).await;
            machine.store.set(Manner::Pass);
        }
        Kind::CutPings => cut_pings(&world, agent, manner, fault.lasting).await,
        Kind::EndLeases => world.fleet.store.end_leases(),
        Kind::DropHistory => world.fleet.store.drop_history(),
        Kind::Configure => configure(&world.fleet, versions.fetch_add(1, Ordering::SeqCst) + 1),
        Kind::TakeDomainOut => take_domain_out(&world, fault.draw % ZONES.len()).await,
    }
}

async fn kill(world: &World, machine: &Machine, lasting: Duration) {
    let Ok(mut process) = machine.process.try_lock() else {
        return;
    };
    world.promises.note_disturbance();
    process.kill();
    sleep(lasting).await;
    *process = world.launch(machine).await;
    world.promises.note_disturbance();
}

async fn terminate(world: &World, machine: &Machine) {
    let Ok(mut process) = machine.process.try_lock() else {
        return;
    };
    world.promises.note_disturbance();
    process.signal(Signal::TERM);
    if !has_ended_within(&mut process, STOP_WITHIN).await {
        world
            .promises
            .break_one(format!("machine {} did not stop in time", machine.number));
        process.kill();
    }
    *process = world.launch(machine).await;
    world.promises.note_disturbance();
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

async fn pause(world: &World, machine: &Machine, lasting: Duration) {
    let Ok(process) = machine.process.try_lock() else {
        return;
    };
    world.promises.note_disturbance();
    process.signal(Signal::STOP);
    sleep(lasting).await;
    process.signal(Signal::CONT);
    world.promises.note_disturbance();
}

async fn end_target(world: &World, machine: &Machine, lasting: Duration) {
    let Some(App { running, .. }) = &machine.app else {
        return;
    };
    let Ok(mut running) = running.try_lock() else {
        return;
    };
    let run = running.run + 1;
    // Its flows are lost from now on, whatever happens to its pings.
    let name = format!("target-{}", machine.number);
    world.promises.note_run(&name, run);
    let ended = std::mem::replace(&mut running.target, Target::absent());
    check_leaving(world, machine, &ended);
    ended.end().await;
    sleep(lasting).await;
    if let Some(next) = world.start_target(machine, run).await {
        *running = next;
    }
}

/// Lets a target announce that it leaves, and ends it after a while.
async fn drain_target(world: &World, machine: &Machine, lasting: Duration) {
    let Some(App { running, .. }) = &machine.app else {
        return;
    };
    let is_draining = |running: &Running| {
        let draining = &running.target.log.is_draining;
        draining.swap(true, Ordering::SeqCst)
    };
    match running.try_lock() {
        Ok(running) if !is_draining(&running) => {}
        _ => return,
    }
    sleep(lasting).await;
    end_target(world, machine, Duration::from_millis(100)).await;
}

fn check_leaving(world: &World, machine: &Machine, target: &Target) {
    let late = target.log.opened_while_leaving.load(Ordering::SeqCst);
    if late > 0 {
        world.promises.break_one(format!(
            "target-{} got {late} new flows after it had left",
            machine.number
        ));
    }
}

async fn cut_pings(world: &World, machine: &Machine, manner: Manner, lasting: Duration) {
    let Some(app) = &machine.app else {
        return;
    };
    world.promises.note_disturbance();
    app.pings.set(manner);
    sleep(lasting).await;
    app.pings.set(Manner::Pass);
    world.promises.note_disturbance();
}

async fn take_domain_out(world: &World, place: usize) {
    // Two of them would end each other's.
    let Ok(_operator) = world.operators[place].try_lock() else {
        return;
    };
    let zone = ZONES[place];
    let key = format!("op/evacuate/{zone}");
    world.fleet.store.put(&key, Some(&serde_json::json!({})));
    let began = Instant::now();
    sleep(OUT_FOR).await;
    let quiet_from = began + QUIET_WITHIN;
    for machine in world.agents.iter().filter(|agent| agent.zone == zone) {
        let Some(app) = &machine.app else { continue };
        let running = app.running.lock().await;
        let opened_at = running.target.log.opened_at.lock().unwrap();
        let late = opened_at.iter().filter(|at| **at > quiet_from).count();
        if late > 0 {
            world.promises.break_one(format!(
                "target-{} got {late} new flows more than {QUIET_WITHIN:?} after {zone} was out",
                machine.number
            ));
        }
    }
    world.fleet.store.put(&key, None);
}
