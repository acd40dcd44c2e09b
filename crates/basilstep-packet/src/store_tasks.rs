//! Tasks that read from and write to the platform's metadata store.

use basilstep_core::{address::DomainId, flows::FleetSettings};
use basilstep_platform::{
    config,
    responses::VersionedItems,
    settings::domain_id,
    store::{StoreClient, StoreError},
    store_keys,
};
use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

/// The wait time of a watch call.
///
/// It bounds how long a change goes unnoticed when the store no longer answers a waiting watch, for
/// example on a dead connection or after a restore from a copy.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// The time to live of a registration without renewal.
const REGISTRATION_TTL: Duration = Duration::from_secs(30);

/// The interval between renewals: a third of the time to live, so that two renewals may fail.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// The number of renewals between two listings of the registered balancers.
///
/// Balancers that have forgotten each other, for example after a long network partition, discover
/// each other again within 20 s.
const RENEWALS_PER_LISTING: u32 = 2;

/// The delay before a lost registration is written again, and before the store is asked again for an
/// era that only others have seen; starting processes depend on registrations to find balancers.
const REGISTRATION_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The delay after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// An event from the store.
#[derive(Debug)]
pub enum StoreEvent {
    /// The current settings of the operators.
    Settings(FleetSettings),
    /// The store has answered that the settings have not changed.
    Unchanged,
    /// The registered balancers.
    Balancers(Vec<Ipv4Addr>),
}

/// The highest era of the store that any task of this process has seen.
///
/// A task that waits starts over as soon as another one sees a new era.
#[derive(Clone, Debug)]
pub struct EraSignal {
    sender: watch::Sender<u64>,
}

impl EraSignal {
    /// Creates a signal without an era.
    pub fn new() -> Self {
        let (sender, _) = watch::channel(0);
        Self { sender }
    }

    /// Records an era that was seen in a response of the store or in a peer's heartbeat.
    pub fn record(&self, era: u64) {
        self.sender.send_if_modified(|known| {
            let is_new = era > *known;
            *known = era.max(*known);
            is_new
        });
    }

    /// Handles that a task starts over in `era`, which its client may not have seen yet.
    ///
    /// The first attempt is made at once; later ones wait, because the store may go on answering
    /// from an earlier era, or a peer may be wrong.
    async fn start_over(&self, era: u64, client: &StoreClient, attempted_era: &mut u64) {
        self.record(era);
        if client.era() < era && *attempted_era == era {
            sleep(REGISTRATION_RETRY_INTERVAL).await;
        }
        *attempted_era = era;
    }

    /// Runs a call to the store in era `era`; fails when a later era is recorded meanwhile.
    async fn interrupt<T>(
        &self,
        era: u64,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let mut receiver = self.sender.subscribe();
        let restored = receiver.wait_for(|known| *known > era);
        tokio::select! {
            result = call => result,
            restored = restored => Err(StoreError::Restored {
                era: restored.map_or(era, |known| *known),
            }),
        }
    }
}

/// Watches the operators' keys and reports their settings until the channel is closed.
pub async fn watch_operator_settings(
    address: SocketAddrV4,
    domain_names: Vec<String>,
    event_sender: mpsc::Sender<StoreEvent>,
    era_signal: EraSignal,
) {
    let mut client = StoreClient::new(address);
    let mut operators = OperatorSettings::new(domain_names);
    let mut connection = ConnectionLog::new("operators' settings");
    let mut attempted_era = 0;
    loop {
        let ended = list_and_watch(
            &mut client,
            &mut operators,
            &event_sender,
            &mut connection,
            &era_signal,
        )
        .await;
        match ended {
            Ok(()) => return,
            Err(StoreError::HistoryGone) => {
                log::info!("the store compacted its history; listing again");
            }
            Err(StoreError::Restored { era }) => {
                log::warn!(era; "the store was restored from a copy; listing again");
                era_signal
                    .start_over(era, &client, &mut attempted_era)
                    .await;
            }
            Err(error) => {
                connection.log_lost(&error);
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn list_and_watch(
    client: &mut StoreClient,
    operators: &mut OperatorSettings,
    event_sender: &mpsc::Sender<StoreEvent>,
    connection: &mut ConnectionLog,
    era_signal: &EraSignal,
) -> Result<(), StoreError> {
    let listed = client.range(store_keys::OPERATOR_PREFIX, false).await?;
    connection.log_restored();
    era_signal.record(listed.revision.era);
    let mut revision = listed.revision;
    operators.replace_all(&listed);
    if event_sender
        .send(StoreEvent::Settings(operators.settings.clone()))
        .await
        .is_err()
    {
        return Ok(());
    }
    loop {
        let call = client.watch(store_keys::OPERATOR_PREFIX, revision.number, WATCH_WAIT);
        let changes = era_signal.interrupt(revision.era, call).await?;
        revision = revision.max(changes.revision);
        let event = if changes.items.is_empty() {
            StoreEvent::Unchanged
        } else {
            operators.apply_changes(&changes);
            StoreEvent::Settings(operators.settings.clone())
        };
        if event_sender.send(event).await.is_err() {
            return Ok(());
        }
    }
}

/// Keeps this balancer registered and reports the registered balancers until the channel is
/// closed.
pub async fn maintain_registration(
    address: SocketAddrV4,
    ip: Ipv4Addr,
    event_sender: mpsc::Sender<StoreEvent>,
    era_signal: EraSignal,
) {
    let mut client = StoreClient::new(address);
    let mut connection = ConnectionLog::new("balancers' entries");
    let mut attempted_era = 0;
    loop {
        let ended =
            register_and_renew(&mut client, ip, &event_sender, &mut connection, &era_signal).await;
        match ended {
            Ok(()) => return,
            Err(StoreError::Restored { era }) => {
                log::warn!(era; "the store was restored from a copy; registering again");
                era_signal
                    .start_over(era, &client, &mut attempted_era)
                    .await;
                continue;
            }
            Err(error) => connection.log_lost(&error),
        }
        sleep(REGISTRATION_RETRY_INTERVAL).await;
    }
}

async fn register_and_renew(
    client: &mut StoreClient,
    ip: Ipv4Addr,
    event_sender: &mpsc::Sender<StoreEvent>,
    connection: &mut ConnectionLog,
    era_signal: &EraSignal,
) -> Result<(), StoreError> {
    // A lease of a former era is not renewed: its id may have been given to another process.
    let lease = client.grant_lease(REGISTRATION_TTL).await?;
    client
        .put(&store_keys::balancer_key(ip), &[], &lease)
        .await?;
    connection.log_restored();
    loop {
        let listed = list_balancers(client).await?;
        // The store may delete an entry while its lease is still valid.
        if !listed.contains(&ip) {
            client
                .put(&store_keys::balancer_key(ip), &[], &lease)
                .await?;
        }
        if event_sender
            .send(StoreEvent::Balancers(listed))
            .await
            .is_err()
        {
            return Ok(());
        }
        for _ in 0..RENEWALS_PER_LISTING {
            let era = client.era();
            let renewed = async {
                sleep(RENEWAL_INTERVAL).await;
                client.renew_lease(&lease).await
            };
            era_signal.interrupt(era, renewed).await?;
        }
    }
}

/// Lists the registered balancers.
///
/// # Errors
///
/// Returns [`StoreError`] when the call fails or the response cannot be decoded.
pub async fn list_balancers(client: &mut StoreClient) -> Result<Vec<Ipv4Addr>, StoreError> {
    let listed = client.range(store_keys::BALANCER_PREFIX, true).await?;
    Ok(listed
        .items
        .iter()
        .filter_map(|item| store_keys::balancer_ip(&item.key))
        .collect())
}

/// The operators' settings, assembled from store items and their changes.
#[derive(Debug)]
struct OperatorSettings {
    domain_names: Vec<String>,
    settings: FleetSettings,
}

impl OperatorSettings {
    fn new(domain_names: Vec<String>) -> Self {
        Self {
            domain_names,
            settings: FleetSettings::default(),
        }
    }

    fn replace_all(&mut self, listed: &VersionedItems) {
        self.settings.domains_out = BTreeSet::new();
        self.apply_changes(listed);
    }

    fn apply_changes(&mut self, changes: &VersionedItems) {
        for item in &changes.items {
            if item.key == store_keys::CONFIG_KEY {
                self.read_config(item.value.as_deref());
            } else if let Some(name) = store_keys::evacuated_domain(&item.key) {
                let is_out = item.value.is_some();
                self.set_domain_out(name, is_out);
            }
        }
        self.settings.revision = changes.revision;
    }

    fn read_config(&mut self, value: Option<&[u8]>) {
        let Some(value) = value else {
            log::warn!("the configuration was deleted; keeping the previous one");
            return;
        };
        match config::decode(value) {
            Ok(decoded) => {
                for reason in &decoded.skipped {
                    log::warn!(reason = reason.as_str(); "skipped a malformed entry of the configuration");
                }
                log::info!(
                    version = decoded.table.version,
                    routes = decoded.table.routes.len();
                    "configuration loaded"
                );
                self.settings.table = decoded.table;
            }
            Err(error) => log::error!(reason:% = error; "kept the previous configuration"),
        }
    }

    fn set_domain_out(&mut self, name: &str, is_out: bool) {
        let Some(domain): Option<DomainId> = domain_id(&self.domain_names, name) else {
            log::warn!(domain = name; "ignored a change of an unknown domain");
            return;
        };
        if is_out {
            self.settings.domains_out.insert(domain);
        } else {
            self.settings.domains_out.remove(&domain);
        }
    }
}

/// Logs once when the connection to the store is lost and once when it is restored.
#[derive(Debug)]
struct ConnectionLog {
    what: &'static str,
    is_lost: bool,
}

impl ConnectionLog {
    const fn new(what: &'static str) -> Self {
        Self {
            what,
            is_lost: false,
        }
    }

    fn log_lost(&mut self, error: &StoreError) {
        if !self.is_lost {
            log::warn!(what = self.what, reason:% = error; "the store is lost");
        }
        self.is_lost = true;
    }

    fn log_restored(&mut self) {
        if self.is_lost {
            log::info!(what = self.what; "the store is back");
        }
        self.is_lost = false;
    }
}
