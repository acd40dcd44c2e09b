//! Synchronises the balancer with the platform's store: its lease, the list of balancers and the
//! settings.

use crate::{
    controller::{BalancersListed, Controller, IsStoreWatcher, StoreTreeRead},
    shared_state::SharedState,
};
use basilstep_core::{
    membership::{BalancerRecord, SettingsDelta},
    settings::SettingsState,
};
use basilstep_node::{
    control::ControlClient,
    store::{
        BALANCERS_PREFIX, Backoff, ConsulStore, LeaseHandle, LeaseSettings, SETTINGS_PREFIX, Store,
        spawn_lease_renewal,
    },
};
use std::{net::SocketAddrV4, sync::Arc, time::Duration};
use tokio::time::sleep;
use xtra::Address;

const BACKOFF_MIN_MS: u64 = 200;
const BACKOFF_MAX_MS: u64 = 5_000;
const ROLE_CHECK_INTERVAL_MS: u64 = 1_000;
const LIST_INTERVAL_MIN_MS: u64 = 500;
const LIST_INTERVAL_MAX_MS: u64 = 120_000;

/// Reads settings from the store, or from a seed while the store is unavailable, until they contain
/// this balancer's failure domain.
pub async fn wait_for_initial_settings(shared: &SharedState, store: &ConsulStore) -> SettingsState {
    let common = &shared.settings.common;
    let client = ControlClient::new(shared.keys.control);
    let mut state = SettingsState::new(common.cluster_key.clone());
    let mut backoff = Backoff::new(BACKOFF_MIN_MS, BACKOFF_MAX_MS);
    loop {
        match store.read_tree(SETTINGS_PREFIX).await {
            Ok(snapshot) => {
                state.apply_full_read(snapshot.index, snapshot.entries);
            }
            Err(error) => {
                log::warn!(code = error.code().number(); "cannot read the store: {error}");
                fetch_from_seeds(&common.seeds, &client, &mut state).await;
            }
        }
        if state.view().domains.contains_key(&common.domain) {
            return state;
        }
        if backoff.failures().is_multiple_of(10) {
            log::warn!(
                domain = common.domain;
                "waiting for settings that contain this balancer's failure domain"
            );
        }
        let delay = backoff.next_delay(&mut rand::rng());
        sleep(delay).await;
    }
}

async fn fetch_from_seeds(
    seeds: &[SocketAddrV4],
    client: &ControlClient,
    state: &mut SettingsState,
) {
    for seed in seeds {
        let Ok(body) = client.get(*seed, "/settings?above=0").await else {
            continue;
        };
        if let Ok(delta) = serde_json::from_slice::<SettingsDelta>(&body) {
            delta.apply_to(state);
            return;
        }
    }
}

/// Registers the balancer in the store under a lease that is renewed, so that starting processes
/// can find it.
pub fn start_lease(store: &ConsulStore, record: &BalancerRecord) -> LeaseHandle {
    let key = format!("{BALANCERS_PREFIX}{}", record.address);
    let value = serde_json::to_string(record).unwrap_or_default();
    spawn_lease_renewal(store.clone(), key, value, LeaseSettings::default())
}

/// Periodically lists the balancers with a lease, to find ones that membership does not know yet.
pub async fn poll_balancers(store: ConsulStore, controller: Address<Controller>) {
    let mut backoff = Backoff::new(BACKOFF_MIN_MS, BACKOFF_MAX_MS);
    // The interval starts short because balancers that start together miss each other in the first
    // lists.
    let mut list_delays = Backoff::new(LIST_INTERVAL_MIN_MS, LIST_INTERVAL_MAX_MS);
    loop {
        let Ok(snapshot) = store.read_tree(BALANCERS_PREFIX).await else {
            let delay = backoff.next_delay(&mut rand::rng());
            sleep(delay).await;
            continue;
        };
        backoff.reset();
        if controller
            .send(BalancersListed(snapshot.balancers()))
            .await
            .is_err()
        {
            return;
        }
        let delay = list_delays.next_delay(&mut rand::rng());
        sleep(delay).await;
    }
}

/// Watches the settings in the store while this balancer is one of the store watchers.
pub async fn watch_settings(
    shared: Arc<SharedState>,
    store: ConsulStore,
    controller: Address<Controller>,
) {
    let mut backoff = Backoff::new(BACKOFF_MIN_MS, BACKOFF_MAX_MS);
    let mut index = 0;
    loop {
        match controller.send(IsStoreWatcher).await {
            Ok(true) => {}
            Ok(false) => {
                index = 0;
                sleep(Duration::from_millis(ROLE_CHECK_INTERVAL_MS)).await;
                continue;
            }
            Err(_) => return,
        }
        match store.watch_tree(SETTINGS_PREFIX, index).await {
            Ok(snapshot) => {
                backoff.reset();
                // A lower index means that the store was restored: restart the watch from index 0.
                index = if snapshot.index < index {
                    0
                } else {
                    snapshot.index
                };
                if controller.send(StoreTreeRead(snapshot)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                log::warn!(code = error.code().number(); "cannot read the store: {error}");
                shared.counters.increment(error.code());
                let delay = backoff.next_delay(&mut rand::rng());
                sleep(delay).await;
            }
        }
    }
}
