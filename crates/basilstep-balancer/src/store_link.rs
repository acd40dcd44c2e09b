//! The balancer's link to the platform's store: its lease, the list of balancers, the settings.

use crate::{
    controller::{BalancersListed, Controller, StoreAnswered, WatchesStore},
    shared::Shared,
};
use basilstep_core::membership::BalancerRecord;
use basilstep_node::store::{
    BALANCERS_PREFIX, Backoff, ConsulStore, LeaseHandle, LeaseSettings, SETTINGS_PREFIX, Store,
    spawn_lease,
};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;
use xtra::Address;

const BACKOFF_MIN_MS: u64 = 200;
const BACKOFF_MAX_MS: u64 = 5_000;
const ROLE_CHECK_MS: u64 = 1_000;
const LIST_INTERVAL_MS: u64 = 60_000;

/// Keeps the balancer's lease, so that starting processes find it.
pub fn keep_lease(store: &ConsulStore, record: &BalancerRecord) -> LeaseHandle {
    let key = format!("{BALANCERS_PREFIX}{}", record.address);
    let value = serde_json::to_string(record).unwrap_or_default();
    spawn_lease(store.clone(), key, value, LeaseSettings::default())
}

/// Lists the balancers with a lease at start and then now and then, to find ones never heard of.
pub async fn list_balancers(store: ConsulStore, controller: Address<Controller>) {
    let mut backoff = Backoff::new(BACKOFF_MIN_MS, BACKOFF_MAX_MS);
    loop {
        let Ok(reading) = store.read_tree(BALANCERS_PREFIX).await else {
            sleep(backoff.next_pause(&mut rand::rng())).await;
            continue;
        };
        backoff.reset();
        let records = parse_balancers(&reading.entries);
        if controller.send(BalancersListed(records)).await.is_err() {
            return;
        }
        let jitter_ms = rand::random::<u64>() % LIST_INTERVAL_MS;
        sleep(Duration::from_millis(LIST_INTERVAL_MS + jitter_ms)).await;
    }
}

/// Reads the balancers' records from their leases.
pub fn parse_balancers(entries: &[basilstep_core::settings::Entry]) -> Vec<BalancerRecord> {
    entries
        .iter()
        .filter_map(|entry| serde_json::from_str(entry.value.as_deref()?).ok())
        .collect()
}

/// Watches the settings while this balancer is one of those that do.
pub async fn watch_settings(
    shared: Arc<Shared>,
    store: ConsulStore,
    controller: Address<Controller>,
) {
    let mut backoff = Backoff::new(BACKOFF_MIN_MS, BACKOFF_MAX_MS);
    let mut index = 0;
    loop {
        match controller.send(WatchesStore).await {
            Ok(true) => {}
            Ok(false) => {
                index = 0;
                sleep(Duration::from_millis(ROLE_CHECK_MS)).await;
                continue;
            }
            Err(_) => return,
        }
        match store.watch_tree(SETTINGS_PREFIX, index).await {
            Ok(reading) => {
                backoff.reset();
                // A lower index says that the store was restored: watch from its start again.
                index = if reading.index < index { 0 } else { reading.index };
                if controller.send(StoreAnswered(reading)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                log::warn!(code = error.code().number(); "the store: {error}");
                shared.counters.count(error.code());
                sleep(backoff.next_pause(&mut rand::rng())).await;
            }
        }
    }
}
