use super::{ConnectionLog, EraSignal, StoreEvent};
use basilstep_core::{address::DomainId, flows::FleetSettings};
use basilstep_platform::{
    config,
    responses::VersionedItems,
    settings::domain_id,
    store::{StoreClient, StoreError},
    store_keys,
};
use std::{collections::BTreeSet, net::SocketAddrV4, time::Duration};
use tokio::{sync::mpsc, time::sleep};

/// The wait time of a watch call.
///
/// It bounds how long a change goes unnoticed when the store no longer answers a waiting watch, for
/// example on a dead connection or after a restore from a copy.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// The delay after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

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
        if listed.revision.era != self.settings.revision.era {
            self.settings.domains_back = BTreeSet::new();
        }
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
            self.settings.domains_back.remove(&domain);
        } else {
            self.settings.domains_out.remove(&domain);
            self.settings.domains_back.insert(domain);
        }
    }
}
