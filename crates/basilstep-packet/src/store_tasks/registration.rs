use super::{ConnectionLog, EraSignal, StoreEvent};
use basilstep_platform::{
    store::{StoreClient, StoreError},
    store_keys,
};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};
use tokio::{sync::mpsc, time::sleep};

/// The time to live of a registration without renewal.
const REGISTRATION_TTL: Duration = Duration::from_secs(30);

/// The interval between renewals: a third of the time to live, so that two renewals may fail.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// The number of renewals between two listings of the registered balancers.
///
/// Balancers that have forgotten each other, for example after a long network partition, discover
/// each other again within 20 s.
const RENEWALS_PER_LISTING: u32 = 2;

/// The delay before a lost registration is written again; starting processes depend on registrations
/// to find balancers.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

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
        sleep(RETRY_INTERVAL).await;
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
