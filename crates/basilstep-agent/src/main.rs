//! Owns the flows, admission and at-most-once record of the one target beside it.

mod bootstrap;
mod carrier;
mod connection_ids;
mod controller;
mod endpoint;
mod exchange;
mod flows;
mod health;
mod port;
mod settings;
mod shared;
mod upstream;

use crate::{
    bootstrap::FirstSettings,
    carrier::{CarrierSocket, MembershipDatagram},
    controller::{Controller, NewerSettings, PhaseChanged, Received, Tick},
    exchange::Dispatcher,
    flows::Flows,
    port::Port,
    settings::{AgentFlags, AgentSettings},
    shared::Shared,
};
use basilstep_core::{codes::ResultCode, membership::AgentPhase};
use basilstep_node::{
    clock::Clock,
    control::ControlServer,
    flags::{SettingsResolver, exit_on_invalid},
    logs,
    metrics::Metrics,
    shutdown,
    store::ConsulStore,
};
use std::{
    error::Error,
    process::ExitCode,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{sync::mpsc, time::sleep};
use xtra::Address;

const TICK_MS: u64 = 100;
const METRICS_INTERVAL_MS: u64 = 10_000;
const MEMBERSHIP_QUEUE: usize = 1_024;
const STOP_POLL_MS: u64 = 100;
const LAST_ANNOUNCEMENT_MS: u64 = 300;

#[tokio::main]
async fn main() -> ExitCode {
    let flags: AgentFlags = argh::from_env();
    if flags.version {
        println!("basilstep-agent {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let resolver = SettingsResolver::new(|name: &str| std::env::var(name).ok());
    let settings = exit_on_invalid(AgentSettings::resolve(&flags, &resolver));
    logs::start(settings.common.log_level);
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(code = ResultCode::BindFailed.number(); "{error}");
            ExitCode::from(ResultCode::BindFailed.exit_status())
        }
    }
}

async fn run(settings: AgentSettings) -> Result<(), Box<dyn Error>> {
    let common = settings.common.clone();
    let store = ConsulStore::open(&common.store, common.store_token.as_deref())?;
    let first = tokio::select! {
        first = bootstrap::first_settings(&settings, &store) => first,
        stopped = shutdown::wait_for_signal() => return Ok(stopped?),
    };
    let FirstSettings {
        state,
        in_force,
        chain_pem,
        key_pem,
        balancers,
    } = first;
    let shared = Arc::new(Shared::new(
        settings,
        Clock::start(),
        in_force,
        state.version(),
    ));
    let (datagrams, received) = mpsc::channel(MEMBERSHIP_QUEUE);
    let carrier = CarrierSocket::bind(Arc::clone(&shared), datagrams).await?;
    let endpoint = endpoint::open(&shared, Arc::clone(&carrier), &chain_pem, &key_pem)?;
    let controller = controller::spawn(Arc::clone(&shared), carrier.udp(), state, &balancers);
    let dispatcher = Dispatcher::new(Arc::clone(&shared));
    dispatcher.spawn_timers();
    let port = Arc::new(Port {
        shared: Arc::clone(&shared),
        controller: controller.clone(),
        dispatcher: Arc::clone(&dispatcher),
    });
    let counters = Arc::clone(&shared.counters);
    let _port = ControlServer::spawn(common.address, shared.keys.control, counters, port).await?;
    tokio::spawn(pass_on_datagrams(received, controller.clone()));
    tokio::spawn(tick(controller.clone()));
    tokio::spawn(fetch_newer_settings(
        Arc::clone(&shared),
        controller.clone(),
    ));
    tokio::spawn(health::watch_target(
        Arc::clone(&shared),
        Arc::clone(&dispatcher),
        controller.clone(),
    ));
    let flows = Flows {
        shared: Arc::clone(&shared),
        dispatcher,
    };
    tokio::spawn(flows.accept(endpoint.clone()));
    tokio::spawn(report_metrics(
        Metrics::open("basilstep.agent", common.metrics_address)?,
        Arc::clone(&shared),
    ));
    log::info!(address = common.address.to_string(); "the agent is running");
    shutdown::wait_for_signal().await?;
    leave(&shared, &controller).await;
    let code = ResultCode::FlowAgentStopped;
    endpoint.close(u32::from(code.number()).into(), code.name().as_bytes());
    endpoint.wait_idle().await;
    Ok(())
}

/// Takes no new work and waits until the flows have ended, at most for the time set.
async fn leave(shared: &Shared, controller: &Address<Controller>) {
    log::info!(flows = shared.open_flows.load(Ordering::Relaxed); "the agent drains");
    shared.set_draining(true);
    // The actor is gone only when the process ends.
    let _ = controller.send(PhaseChanged(AgentPhase::Draining)).await;
    let until_ms = shared.clock.now_ms() + shared.settings.stop_wait_ms;
    while shared.open_flows.load(Ordering::Relaxed) > 0 && shared.clock.now_ms() < until_ms {
        sleep(Duration::from_millis(STOP_POLL_MS)).await;
    }
    let _ = controller.send(PhaseChanged(AgentPhase::Down)).await;
    sleep(Duration::from_millis(LAST_ANNOUNCEMENT_MS)).await;
    log::info!("the agent has stopped");
}

async fn pass_on_datagrams(
    mut received: mpsc::Receiver<MembershipDatagram>,
    controller: Address<Controller>,
) {
    while let Some(MembershipDatagram { from, bytes }) = received.recv().await {
        if controller.send(Received { from, bytes }).await.is_err() {
            return;
        }
    }
}

async fn tick(controller: Address<Controller>) {
    while controller.send(Tick).await.is_ok() {
        sleep(Duration::from_millis(TICK_MS)).await;
    }
}

async fn fetch_newer_settings(shared: Arc<Shared>, controller: Address<Controller>) {
    loop {
        shared.newer_settings.notified().await;
        if controller.send(NewerSettings).await.is_err() {
            return;
        }
    }
}

async fn report_metrics(mut metrics: Metrics, shared: Arc<Shared>) {
    loop {
        sleep(Duration::from_millis(METRICS_INTERVAL_MS)).await;
        metrics.send_code_counts(&shared.counters);
        let flows = shared.open_flows.load(Ordering::Relaxed);
        metrics.gauge("open_flows", u64::from(flows));
        metrics.gauge("settings_version", shared.settings_version());
    }
}
