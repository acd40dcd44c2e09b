//! The agent process: terminates callers' flows for one target on the same VM, controls admission
//! to the target and keeps its at-most-once record.

mod bootstrap;
mod carrier;
mod connection_ids;
mod control_port;
mod controller;
mod endpoint;
mod exchange;
mod flow_server;
mod health;
mod settings;
mod shared_state;
mod stop;
#[cfg(test)]
mod tests;
mod upstream;

use crate::{
    bootstrap::InitialSettings,
    carrier::{CarrierSocket, MembershipDatagram},
    control_port::ControlPort,
    controller::{Controller, DatagramReceived, NewerSettingsSeen, Tick},
    exchange::Dispatcher,
    flow_server::FlowServer,
    settings::{AgentFlags, AgentSettings},
    shared_state::SharedState,
};
use basilstep_core::codes::ResultCode;
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

const TICK_INTERVAL_MS: u64 = 100;
const METRICS_INTERVAL_MS: u64 = 10_000;
const MEMBERSHIP_QUEUE_CAPACITY: usize = 1_024;

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
    let initial = tokio::select! {
        initial = bootstrap::wait_for_initial_settings(&settings, &store) => initial,
        stopped = shutdown::wait_for_signal() => return Ok(stopped?),
    };
    let InitialSettings {
        state,
        active_settings,
        chain_pem,
        key_pem,
        balancers,
    } = initial;
    let shared = Arc::new(SharedState::new(
        settings,
        Clock::start(),
        active_settings,
        state.version(),
    ));
    let (membership_sender, membership_receiver) = mpsc::channel(MEMBERSHIP_QUEUE_CAPACITY);
    let carrier = CarrierSocket::bind(Arc::clone(&shared), membership_sender).await?;
    let endpoint = endpoint::open(&shared, Arc::clone(&carrier), &chain_pem, &key_pem)?;
    let controller =
        controller::spawn(Arc::clone(&shared), carrier.udp_socket(), state, &balancers);
    let dispatcher = Dispatcher::new(Arc::clone(&shared));
    dispatcher.spawn_background_tasks();
    let port = Arc::new(ControlPort {
        shared: Arc::clone(&shared),
        controller: controller.clone(),
        dispatcher: Arc::clone(&dispatcher),
    });
    let counters = Arc::clone(&shared.counters);
    let _port = ControlServer::spawn(common.address, shared.keys.control, counters, port).await?;
    tokio::spawn(forward_datagrams(membership_receiver, controller.clone()));
    tokio::spawn(send_ticks(controller.clone()));
    tokio::spawn(fetch_newer_settings(
        Arc::clone(&shared),
        controller.clone(),
    ));
    tokio::spawn(health::monitor_target(
        Arc::clone(&shared),
        Arc::clone(&dispatcher),
        controller.clone(),
    ));
    let flow_server = FlowServer {
        shared: Arc::clone(&shared),
        dispatcher: Arc::clone(&dispatcher),
    };
    tokio::spawn(flow_server.accept(endpoint.clone()));
    tokio::spawn(report_metrics(
        Metrics::open("basilstep.agent", common.metrics_address)?,
        Arc::clone(&shared),
    ));
    log::info!(address = common.address.to_string(); "the agent is running");
    shutdown::wait_for_signal().await?;
    stop::finish_work(&shared, &dispatcher, &controller).await;
    let code = ResultCode::FlowAgentStopped;
    endpoint.close(u32::from(code.number()).into(), code.name().as_bytes());
    endpoint.wait_idle().await;
    Ok(())
}

async fn forward_datagrams(
    mut membership_receiver: mpsc::Receiver<MembershipDatagram>,
    controller: Address<Controller>,
) {
    while let Some(MembershipDatagram { from, bytes }) = membership_receiver.recv().await {
        if controller
            .send(DatagramReceived { from, bytes })
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn send_ticks(controller: Address<Controller>) {
    while controller.send(Tick).await.is_ok() {
        sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
    }
}

async fn fetch_newer_settings(shared: Arc<SharedState>, controller: Address<Controller>) {
    loop {
        shared.newer_settings_seen.notified().await;
        if controller.send(NewerSettingsSeen).await.is_err() {
            return;
        }
    }
}

async fn report_metrics(mut metrics: Metrics, shared: Arc<SharedState>) {
    loop {
        sleep(Duration::from_millis(METRICS_INTERVAL_MS)).await;
        metrics.send_code_counts(&shared.counters);
        let flow_count = shared.open_flows.load(Ordering::Relaxed);
        metrics.gauge("open_flows", u64::from(flow_count));
        metrics.gauge("settings_version", shared.settings_version());
    }
}
