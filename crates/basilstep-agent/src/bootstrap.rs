//! The first settings of an agent, from any balancer that answers.

use crate::{
    controller::{apply, settings_path},
    settings::AgentSettings,
    shared::ServiceInForce,
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
const ASKED_AT_ONCE: usize = 3;

/// What an agent starts with.
#[derive(Debug)]
pub struct FirstSettings {
    /// The settings that concern it.
    pub state: SettingsState,
    /// What of them is in force here.
    pub in_force: ServiceInForce,
    /// The certificate chain of the service as PEM text.
    pub chain_pem: String,
    /// The private key as PEM text.
    pub key_pem: Vec<u8>,
    /// Balancers to announce to.
    pub balancers: Vec<BalancerRecord>,
}

/// Asks balancers until one hands over the service, its certificate, the domain and the keys.
pub async fn first_settings(settings: &AgentSettings, store: &ConsulStore) -> FirstSettings {
    let keys = NodeKeys::derive(&settings.common.cluster_key);
    let client = ControlClient::open(keys.control);
    let mut backoff = Backoff::new(BACKOFF_MIN_MS, BACKOFF_MAX_MS);
    loop {
        let mut balancers = list_balancers(settings, store).await;
        balancers.shuffle(&mut rand::rng());
        for balancer in balancers.iter().take(ASKED_AT_ONCE) {
            let state = fetch(settings, &client, balancer.address.0).await;
            if let Some(first) = state.and_then(|state| complete(state, settings, &balancers)) {
                return first;
            }
        }
        if backoff.failures().is_multiple_of(10) {
            log::warn!(
                service = settings.service, balancers = balancers.len();
                "waiting for a balancer that has the service, its certificate and the keys"
            );
        }
        sleep(backoff.next_delay(&mut rand::rng())).await;
    }
}

/// Lists balancers from the store, or the seeds when the store does not answer.
async fn list_balancers(settings: &AgentSettings, store: &ConsulStore) -> Vec<BalancerRecord> {
    let listed = store.read_tree(BALANCERS_PREFIX).await;
    let from_store = listed
        .map(|reading| reading.balancers())
        .unwrap_or_default();
    if !from_store.is_empty() {
        return from_store;
    }
    settings.common.seeds.iter().copied().map(seed).collect()
}

fn seed(address: SocketAddrV4) -> BalancerRecord {
    BalancerRecord {
        address: BalancerAddress(address),
        domain: DomainId::default(),
        incarnation: Incarnation::default(),
    }
}

async fn fetch(
    settings: &AgentSettings,
    client: &ControlClient,
    balancer: SocketAddrV4,
) -> Option<SettingsState> {
    let path = settings_path(&settings.service, 0);
    let body = client.get(balancer, &path).await.ok()?;
    let delta: SettingsDelta = serde_json::from_slice(&body).ok()?;
    let mut state = SettingsState::new(settings.common.cluster_key.clone());
    apply(&mut state, delta);
    Some(state)
}

fn complete(
    state: SettingsState,
    settings: &AgentSettings,
    balancers: &[BalancerRecord],
) -> Option<FirstSettings> {
    let in_force = ServiceInForce::find(&state, settings)?;
    let certificate = state.certificate_of(&settings.service)?;
    let key_pem = settings
        .common
        .cluster_key
        .open("certificate", &certificate.sealed_key);
    let Ok(key_pem) = key_pem else {
        log::error!("the key of the service's certificate was sealed under another cluster key");
        return None;
    };
    Some(FirstSettings {
        in_force,
        chain_pem: certificate.chain_pem,
        key_pem,
        balancers: balancers.to_vec(),
        state,
    })
}
