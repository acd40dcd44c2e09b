use super::{ConfirmedSettings, ConnectionLog, EraSignal, StoreEvent};
use basilstep_core::{
    address::DomainId,
    flows::{FleetSettings, StoreRetry, balancer::WatchTimes},
};
use basilstep_platform::{
    config,
    responses::VersionedItems,
    settings::domain_id,
    store::{StoreClient, StoreError},
    store_keys,
};
use std::{collections::BTreeSet, net::SocketAddrV4, time::Duration};
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep},
};

/// The delay after a failed call.
const RETRY_INTERVAL_MS: u64 = 250;

/// The part of the wait after which a watch ends that follows a change.
///
/// The answer to a call that returns changes may have been on its way for a while; the next answer
/// confirms the settings for certain, so it should come soon.
const FIRST_WAIT_DIVISOR: u32 = 4;

/// What a task needs for watching the operators' keys.
#[derive(Clone, Debug)]
pub struct SettingsWatcher {
    /// The address of the store.
    pub address: SocketAddrV4,
    /// The names of all domains.
    pub domain_names: Vec<String>,
    /// How long calls may take.
    pub times: WatchTimes,
    /// Whether this process has to watch; while it has not, the task makes no calls.
    pub is_needed: watch::Receiver<bool>,
    /// Where the settings go.
    pub event_sender: mpsc::Sender<StoreEvent>,
    /// The era of the store.
    pub era_signal: EraSignal,
}

/// Why a session of calls to the store has ended without an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SessionEnd {
    NotNeeded,
    ChannelClosed,
}

/// Watches the operators' keys while this is needed, and reports their settings until the channel is
/// closed.
pub async fn watch_operator_settings(mut watcher: SettingsWatcher) {
    let mut client = StoreClient::new(watcher.address);
    let mut retry = StoreRetry::new(watcher.times.call_timeout_ms, RETRY_INTERVAL_MS);
    let mut operators = OperatorSettings::new(watcher.domain_names.clone());
    let mut connection = ConnectionLog::new("operators' settings");
    let mut attempted_era = 0;
    while watcher.is_needed.wait_for(|needed| *needed).await.is_ok() {
        client.set_call_timeout(Duration::from_millis(retry.timeout_ms()));
        let ended = watcher
            .list_and_watch(&mut client, &mut operators, &mut connection, &mut retry)
            .await;
        match ended {
            Ok(SessionEnd::ChannelClosed) => return,
            Ok(SessionEnd::NotNeeded) => client.disconnect(),
            Err(StoreError::HistoryGone) => {
                log::info!("the store compacted its history; listing again");
            }
            Err(StoreError::Restored { era }) => {
                log::warn!(era; "the store was restored from a copy; listing again");
                watcher
                    .era_signal
                    .start_over(era, &client, &mut attempted_era)
                    .await;
            }
            Err(error) => {
                connection.log_lost(&error);
                sleep(Duration::from_millis(retry.on_failure())).await;
            }
        }
    }
}

impl SettingsWatcher {
    async fn list_and_watch(
        &self,
        client: &mut StoreClient,
        operators: &mut OperatorSettings,
        connection: &mut ConnectionLog,
        retry: &mut StoreRetry,
    ) -> Result<SessionEnd, StoreError> {
        let full_wait = Duration::from_millis(self.times.wait_ms);
        let first_wait = full_wait / FIRST_WAIT_DIVISOR;
        let sent = Instant::now();
        let listed = client.range(store_keys::OPERATOR_PREFIX, false).await?;
        connection.log_restored();
        retry.on_answer();
        client.set_call_timeout(Duration::from_millis(retry.timeout_ms()));
        self.era_signal.record(listed.revision.era);
        let mut revision = listed.revision;
        operators.replace_all(&listed);
        let mut event = operators.confirmed(sent);
        let mut wait = first_wait;
        while self.event_sender.send(event).await.is_ok() {
            if !*self.is_needed.borrow() {
                return Ok(SessionEnd::NotNeeded);
            }
            let sent = Instant::now();
            let call = client.watch(store_keys::OPERATOR_PREFIX, revision.number, wait);
            let changes = self.era_signal.interrupt(revision.era, call).await?;
            revision = revision.max(changes.revision);
            if changes.items.is_empty() {
                event = StoreEvent::Unchanged(confirmed_by_wait(sent, wait));
                wait = full_wait;
            } else {
                for earlier in operators.apply_changes(&changes) {
                    let passed = StoreEvent::PassedSettings(earlier);
                    if self.event_sender.send(passed).await.is_err() {
                        return Ok(SessionEnd::ChannelClosed);
                    }
                }
                event = operators.confirmed(sent);
                wait = first_wait;
            }
        }
        Ok(SessionEnd::ChannelClosed)
    }
}

/// Returns a time at which the answer of a watch without changes was certainly true.
///
/// The store waits for the whole wait time before it gives that answer, which may then be read late.
fn confirmed_by_wait(sent: Instant, wait: Duration) -> Instant {
    if sent.elapsed() < wait {
        sent
    } else {
        sent + wait
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

    fn confirmed(&self, confirmed: Instant) -> StoreEvent {
        StoreEvent::Settings(ConfirmedSettings {
            settings: self.settings.clone(),
            confirmed,
        })
    }

    fn replace_all(&mut self, listed: &VersionedItems) {
        self.settings.domains_out = BTreeSet::new();
        if listed.revision.era != self.settings.revision.era {
            self.settings.domains_back = BTreeSet::new();
        }
        self.apply_changes(listed);
    }

    /// Applies changes; returns the settings of the versions before the last one among them, which
    /// other processes may have had in force.
    fn apply_changes(&mut self, changes: &VersionedItems) -> Vec<FleetSettings> {
        let mut passed = Vec::new();
        let mut has_read_version = false;
        for item in &changes.items {
            if item.key == store_keys::CONFIG_KEY {
                if std::mem::replace(&mut has_read_version, true) {
                    passed.push(self.settings.clone());
                }
                self.read_config(item.value.as_deref());
            } else if let Some(name) = store_keys::evacuated_domain(&item.key) {
                let is_out = item.value.is_some();
                self.set_domain_out(name, is_out);
            }
        }
        self.settings.revision = changes.revision;
        passed
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
