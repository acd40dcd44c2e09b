//! The record of the services that routes have named, for balancers that start later.

use super::{ConnectionLog, EraSignal, StoreEvent};
use basilstep_core::flows::{
    StoreRetry,
    balancer::{PastRoutes, RouteHistoryRecord},
};
use basilstep_node::clock::unix_time_ms;
use basilstep_platform::{
    store::{CALL_TIMEOUT, StoreClient, StoreError},
    store_keys,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddrV4, time::Duration};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

/// The delay after a failed call.
const RETRY_INTERVAL_MS: u64 = 250;

/// The time after a change in which those that watch the store have recorded it.
const RECORDING_TIME: Duration = Duration::from_secs(1);

/// The layout of the stored record; a process ignores records of other layouts.
const LAYOUT: u8 = 1;

/// A record and the wall clock at which it was written, since which its entries have aged.
#[derive(Debug, Deserialize, Serialize)]
struct StoredRecord {
    written_unix_ms: u64,
    record: RouteHistoryRecord,
}

/// What a process has to do for the record once a version is in force.
#[derive(Clone, Debug, Default)]
pub struct RouteHistoryDuty {
    /// The version.
    pub version: u64,
    /// What to record; `None` if others do.
    pub own: Option<RouteHistoryRecord>,
}

impl RouteHistoryDuty {
    /// Returns whether `own` says something else of the agents than what is to be recorded.
    pub fn differs(&self, own: &RouteHistoryRecord) -> bool {
        self.own
            .as_ref()
            .is_none_or(|recorded| recorded.agents != own.agents)
    }
}

/// What a task needs for keeping the record.
#[derive(Debug)]
pub struct RouteHistoryKeeper {
    /// The address of the store.
    pub address: SocketAddrV4,
    /// The duty of this process.
    pub duty: watch::Receiver<RouteHistoryDuty>,
    /// Where the record that was found goes.
    pub event_sender: mpsc::Sender<StoreEvent>,
    /// The era of the store.
    pub era_signal: EraSignal,
}

/// The record as it was last read or written.
#[derive(Debug, Default)]
struct KnownRecord {
    record: Option<RouteHistoryRecord>,
    revision: u64,
}

/// Reads the record once, and then keeps it up to date until the channel is closed.
pub async fn maintain_route_history(mut keeper: RouteHistoryKeeper) {
    let mut client = StoreClient::new(keeper.address);
    let mut retry = StoreRetry::new(CALL_TIMEOUT.as_millis() as u64, RETRY_INTERVAL_MS);
    let mut connection = ConnectionLog::new("route history");
    let mut attempted_era = 0;
    loop {
        client.set_call_timeout(Duration::from_millis(retry.timeout_ms()));
        let ended = keeper
            .read_and_write(&mut client, &mut connection, &mut retry)
            .await;
        match ended {
            Ok(()) => return,
            // Another balancer has recorded the same change, or more.
            Err(StoreError::Conflict) => {}
            Err(StoreError::Restored { era }) => {
                keeper
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

impl RouteHistoryKeeper {
    async fn read_and_write(
        &mut self,
        client: &mut StoreClient,
        connection: &mut ConnectionLog,
        retry: &mut StoreRetry,
    ) -> Result<(), StoreError> {
        let mut known = read(client, false).await?;
        connection.log_restored();
        retry.on_answer();
        let past = match &known.record {
            Some(record) => Some(PastRoutes::Recorded(record.clone())),
            None if is_first_configuration(client).await? => Some(PastRoutes::NeverChanged),
            None => None,
        };
        let mut is_open = match past {
            Some(past) => self.report(past).await,
            None => true,
        };
        self.duty.mark_changed();
        while is_open && self.await_change(client.era()).await? {
            // The connection may have gone silent since the last change.
            client.disconnect();
            let duty = self.duty.borrow_and_update().clone();
            if let Some(own) = duty.own {
                write(client, &mut known, own).await?;
            } else if duty.version > 0 {
                is_open = self.read_what_others_record(client).await?;
            }
        }
        Ok(())
    }

    /// Waits for another duty; returns whether there can be one.
    async fn await_change(&mut self, era: u64) -> Result<bool, StoreError> {
        let duty = &mut self.duty;
        let changed = async { Ok(duty.changed().await.is_ok()) };
        self.era_signal.interrupt(era, changed).await
    }

    /// Reads the record after a change: this process may have missed versions that others had in
    /// force.
    async fn read_what_others_record(&self, client: &mut StoreClient) -> Result<bool, StoreError> {
        sleep(RECORDING_TIME).await;
        match read(client, true).await?.record {
            Some(record) => Ok(self.report(PastRoutes::Recorded(record)).await),
            None => Ok(true),
        }
    }

    /// Reports the past; returns whether somebody listens.
    async fn report(&self, past: PastRoutes) -> bool {
        let event = StoreEvent::PastRoutes(past);
        self.event_sender.send(event).await.is_ok()
    }
}

async fn read(client: &mut StoreClient, may_be_stale: bool) -> Result<KnownRecord, StoreError> {
    let listed = client
        .range(store_keys::ROUTE_HISTORY_KEY, may_be_stale)
        .await?;
    let Some(item) = listed.items.first() else {
        return Ok(KnownRecord::default());
    };
    let record = item.value.as_deref().and_then(decode);
    if record.is_none() {
        log::warn!("cannot read the route history in the store; recording it again");
    }
    Ok(KnownRecord {
        record,
        revision: item.revision,
    })
}

/// Returns whether operators have not changed the configuration since they wrote the first one.
///
/// A store that was restored may have lost the changes.
async fn is_first_configuration(client: &mut StoreClient) -> Result<bool, StoreError> {
    let listed = client.range(store_keys::CONFIG_KEY, false).await?;
    let is_unchanged = listed
        .items
        .iter()
        .filter(|item| item.key == store_keys::CONFIG_KEY)
        .all(|item| item.created > 0 && item.created == item.revision);
    Ok(is_unchanged && listed.revision.era == 0)
}

/// Writes the record, unless the one in the store says as much.
async fn write(
    client: &mut StoreClient,
    known: &mut KnownRecord,
    mut own: RouteHistoryRecord,
) -> Result<(), StoreError> {
    if let Some(record) = &known.record {
        if record.covers(&own) {
            return Ok(());
        }
        own.add_missing(record);
    }
    let value = encode(&own);
    let revision = client
        .put_expecting(store_keys::ROUTE_HISTORY_KEY, &value, known.revision)
        .await?;
    log::info!(
        version = own.version,
        former = own.former.len();
        "recorded the route history"
    );
    *known = KnownRecord {
        record: Some(own),
        revision,
    };
    Ok(())
}

fn encode(record: &RouteHistoryRecord) -> Vec<u8> {
    let stored = StoredRecord {
        written_unix_ms: unix_time_ms(),
        record: record.clone(),
    };
    postcard::to_extend(&stored, vec![LAYOUT]).expect("plain data can be encoded")
}

fn decode(value: &[u8]) -> Option<RouteHistoryRecord> {
    let (layout, body) = value.split_first()?;
    if *layout != LAYOUT {
        return None;
    }
    let stored: StoredRecord = postcard::from_bytes(body).ok()?;
    let mut record = stored.record;
    record.add_age(unix_time_ms().saturating_sub(stored.written_unix_ms));
    Some(record)
}
