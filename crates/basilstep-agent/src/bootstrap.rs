//! Fetches the initial settings of an agent from any balancer that answers.

use crate::{
    controller::{apply_settings_delta, settings_request_path},
    settings::AgentSettings,
    shared_state::ActiveServiceSettings,
};
use basilstep_core::{
    address::{BalancerAddress, DomainId, Incarnation},
    membership::{BalancerRecord, SettingsDelta},
    settings::SettingsState,
};
use basilstep_node::{
    control::ControlClient,
    keys::NodeKeys,
    store::{BALANCERS_PREFIX, Backoff, ConsulStore, Store},
};
use rand::seq::SliceRandom;
use std::net::SocketAddrV4;
use tokio::time::sleep;

const BACKOFF_MIN_MS: u64 = 200;
const BACKOFF_MAX_MS: u64 = 3_000;
const BALANCERS_PER_ATTEMPT: usize = 3;

/// The settings and keys that an agent needs before it can start.
#[derive(Debug)]
pub struct InitialSettings {
    /// The settings of the agent's service.
    pub state: SettingsState,
    /// The values of `state` that this agent applies.
    pub active_settings: ActiveServiceSettings,
    /// The certificate chain of the service, PEM-encoded.
    pub chain_pem: String,
    /// The private key of the certificate, PEM-encoded.
    pub key_pem: Vec<u8>,
    /// The balancers that the agent announces itself to.
    pub balancers: Vec<BalancerRecord>,
}

/// Queries balancers until one returns the service, its certificate, the failure domain and the
/// flow keys.
pub async fn wait_for_initial_settings(
    settings: &AgentSettings,
    store: &ConsulStore,
) -> InitialSettings {
    let keys = NodeKeys::derive(&settings.common.cluster_key);
    let client = ControlClient::new(keys.control);
    let mut backoff = Backoff::new(BACKOFF_MIN_MS, BACKOFF_MAX_MS);
    loop {
        let mut balancers = list_balancers(settings, store).await;
        balancers.shuffle(&mut rand::rng());
        for balancer in balancers.iter().take(BALANCERS_PER_ATTEMPT) {
            let state = fetch_settings(settings, &client, balancer.address.0).await;
            if let Some(initial) =
                state.and_then(|state| initial_settings_from(state, settings, &balancers))
            {
                return initial;
            }
        }
        if backoff.failures().is_multiple_of(10) {
            log::warn!(
                service = settings.service, balancers = balancers.len();
                "waiting for a balancer that has the service, its certificate and the flow keys"
            );
        }
        sleep(backoff.next_delay(&mut rand::rng())).await;
    }
}

/// Lists the balancers registered in the store, or the configured seeds when the store is
/// unavailable or lists none.
async fn list_balancers(settings: &AgentSettings, store: &ConsulStore) -> Vec<BalancerRecord> {
    let listed = store.read_tree(BALANCERS_PREFIX).await;
    let from_store = listed
        .map(|snapshot| snapshot.balancers())
        .unwrap_or_default();
    if !from_store.is_empty() {
        return from_store;
    }
    settings
        .common
        .seeds
        .iter()
        .copied()
        .map(seed_record)
        .collect()
}

fn seed_record(address: SocketAddrV4) -> BalancerRecord {
    BalancerRecord {
        address: BalancerAddress(address),
        domain: DomainId::default(),
        incarnation: Incarnation::default(),
    }
}

async fn fetch_settings(
    settings: &AgentSettings,
    client: &ControlClient,
    balancer: SocketAddrV4,
) -> Option<SettingsState> {
    let path = settings_request_path(&settings.service, 0);
    let body = client.get(balancer, &path).await.ok()?;
    let delta: SettingsDelta = serde_json::from_slice(&body).ok()?;
    let mut state = SettingsState::new(settings.common.cluster_key.clone());
    apply_settings_delta(&mut state, delta);
    Some(state)
}

fn initial_settings_from(
    state: SettingsState,
    settings: &AgentSettings,
    balancers: &[BalancerRecord],
) -> Option<InitialSettings> {
    let active_settings = ActiveServiceSettings::from_state(&state, settings)?;
    let certificate = state.certificate_of(&settings.service)?;
    let key_pem = settings
        .common
        .cluster_key
        .open("certificate", &certificate.sealed_key);
    let Ok(key_pem) = key_pem else {
        log::error!(
            "the private key of the service's certificate is encrypted under a different cluster key"
        );
        return None;
    };
    Some(InitialSettings {
        active_settings,
        chain_pem: certificate.chain_pem,
        key_pem,
        balancers: balancers.to_vec(),
        state,
    })
}
