//! The balancer process: forwards callers' packets to the agents and the agents' packets back to
//! the callers.

mod control_port;
mod controller;
mod egress;
mod ingress;
mod listeners;
mod readiness;
mod settings;
mod shared_state;
mod store_sync;

use crate::{
    control_port::ControlPort,
    controller::{Controller, ControllerParts, DatagramReceived, Drain, Tick},
    egress::MembershipDatagram,
    listeners::{Listeners, bind_udp},
    settings::{BalancerFlags, BalancerSettings},
    shared_state::SharedState,
};
use basilstep_core::{
    address::DomainId, codes::ResultCode, membership::BalancerRecord, settings::SettingsState,
};
use basilstep_node::{
    clock::{Clock, new_incarnation},
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
use tokio::{runtime::Builder, sync::mpsc, time::sleep};
use xtra::Address;

const TICK_INTERVAL_MS: u64 = 100;
const METRICS_INTERVAL_MS: u64 = 10_000;
const MEMBERSHIP_QUEUE_CAPACITY: usize = 4_096;

fn main() -> ExitCode {
    let flags: BalancerFlags = argh::from_env();
    if flags.version {
        println!("basilstep-balancer {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let resolver = SettingsResolver::new(|name: &str| std::env::var(name).ok());
    let settings = exit_on_invalid(BalancerSettings::resolve(&flags, &resolver));
    logs::start(settings.common.log_level);
    let mut runtime = Builder::new_multi_thread();
    if let Some(threads) = settings.threads {
        runtime.worker_threads(threads);
    }
    let ended = runtime
        .enable_all()
        .build()
        .map_err(Box::<dyn Error>::from)
        .and_then(|runtime| {
            // Runs on a worker thread, as the packet tasks do, instead of the main thread.
            let running =
                runtime.spawn(async move { run(settings).await.map_err(|e| e.to_string()) });
            let ended = runtime.block_on(running)?;
            ended.map_err(Box::from)
        });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(code = ResultCode::BindFailed.number(); "{error}");
            ExitCode::from(ResultCode::BindFailed.exit_status())
        }
    }
}

async fn run(settings: BalancerSettings) -> Result<(), Box<dyn Error + Send + Sync>> {
    let common = settings.common.clone();
    let shared = Arc::new(SharedState::new(settings, Clock::start()));
    let store = ConsulStore::open(&common.store, common.store_token.as_deref())?;
    if let Some(address) = shared.settings.ready_address {
        readiness::spawn(address, shared.readiness.clone()).await?;
    }
    let initial_settings = tokio::select! {
        initial = store_sync::wait_for_initial_settings(&shared, &store) => initial,
        stopped = shutdown::wait_for_signal() => return Ok(stopped?),
    };
    let carrier = Arc::new(bind_udp(common.address, false)?);
    let listeners = Arc::new(Listeners::default());
    let record = BalancerRecord {
        address: shared.address(),
        domain: own_domain(&initial_settings, &common.domain),
        incarnation: new_incarnation(),
    };
    let controller = controller::spawn(ControllerParts {
        shared: Arc::clone(&shared),
        listeners: Arc::clone(&listeners),
        carrier: Arc::clone(&carrier),
        record,
        settings: initial_settings,
    });
    let (membership_sender, membership_receiver) = mpsc::channel(MEMBERSHIP_QUEUE_CAPACITY);
    let packets_to_callers_task = egress::forward_to_callers(
        Arc::clone(&shared),
        Arc::clone(&carrier),
        Arc::clone(&listeners),
        membership_sender,
    );
    tokio::spawn(packets_to_callers_task);
    tokio::spawn(forward_datagrams(membership_receiver, controller.clone()));
    tokio::spawn(send_ticks(controller.clone()));
    tokio::spawn(report_metrics(
        Metrics::open("basilstep.balancer", common.metrics_address)?,
        Arc::clone(&shared),
    ));
    let port = Arc::new(ControlPort {
        shared: Arc::clone(&shared),
        listeners,
        controller: controller.clone(),
    });
    let counters = Arc::clone(&shared.counters);
    let _port = ControlServer::spawn(common.address, shared.keys.control, counters, port).await?;
    tokio::spawn(store_sync::poll_balancers(
        store.clone(),
        controller.clone(),
    ));
    tokio::spawn(store_sync::watch_settings(
        Arc::clone(&shared),
        store.clone(),
        controller.clone(),
    ));
    let lease = store_sync::start_lease(&store, &record);
    log::info!(address = common.address.to_string(); "the balancer is running");
    shutdown::wait_for_signal().await?;
    drain(&shared, &controller).await;
    if let Err(error) = lease.release(&store).await {
        log::warn!("cannot release the lease, it will expire on its own: {error}");
    }
    Ok(())
}

fn own_domain(settings: &SettingsState, name: &str) -> DomainId {
    let domain = settings.view().domains.get(name);
    domain.map(|domain| domain.id).unwrap_or_default()
}

/// Reports the balancer as not ready and keeps forwarding for `stop_wait_ms`, so that the network
/// fabric can react.
async fn drain(shared: &SharedState, controller: &Address<Controller>) {
    log::info!("the balancer is draining");
    // Sending fails only while the process is exiting.
    let _ = controller.send(Drain).await;
    sleep(Duration::from_millis(shared.settings.stop_wait_ms)).await;
    log::info!("the balancer has stopped");
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

async fn report_metrics(mut metrics: Metrics, shared: Arc<SharedState>) {
    loop {
        sleep(Duration::from_millis(METRICS_INTERVAL_MS)).await;
        metrics.send_code_counts(&shared.counters);
        metrics.gauge("carried", shared.packets_to_agents.load(Ordering::Relaxed));
        metrics.gauge(
            "answered",
            shared.packets_to_callers.load(Ordering::Relaxed),
        );
        metrics.gauge("settings_version", shared.settings_version());
    }
}
