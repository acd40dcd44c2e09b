use super::{ConnectionLog, EraSignal, StoreEvent};
use basilstep_core::flows::StoreRetry;
use basilstep_platform::{
    responses::StoreItem,
    store::{CALL_TIMEOUT, Lease, StoreClient, StoreError},
    store_keys,
};
use serde::{Deserialize, Serialize};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep},
};

/// The time to live of a registration without renewal.
const REGISTRATION_TTL: Duration = Duration::from_secs(30);

/// The interval between renewals: a third of the time to live, so that two renewals may fail.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// The number of renewals between two listings of the registered balancers.
///
/// Balancers that have forgotten each other, for example after a long network partition, discover
/// each other again within 20 s.
const RENEWALS_PER_LISTING: u32 = 2;

/// The delay before a lost registration is written again, in milliseconds; starting processes depend
/// on registrations to find balancers.
const RETRY_INTERVAL_MS: u64 = 1_000;

/// The time for which a lease must have lasted for its end to be answered by a new one at once.
const MIN_REGISTERED_TIME: Duration = Duration::from_millis(500);

/// The delay before the first renewal, with which the number of agents that a balancer has found
/// since its start is registered.
const FIRST_RENEWAL_DELAY: Duration = Duration::from_secs(1);

/// A balancer's entry in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Registration {
    /// The balancer's address.
    pub ip: Ipv4Addr,
    /// How many agents it knew when it last wrote the entry.
    pub agents: u16,
}

#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct RegistrationValue {
    agents: u16,
}

/// The balancer that a task keeps registered.
#[derive(Clone, Debug)]
pub struct RegisteredBalancer {
    /// The balancer's address.
    pub ip: Ipv4Addr,
    /// How many agents it knows.
    pub agents: watch::Receiver<u16>,
}

/// Keeps a balancer registered and reports the registered balancers until the channel is closed.
pub async fn maintain_registration(
    address: SocketAddrV4,
    balancer: RegisteredBalancer,
    event_sender: mpsc::Sender<StoreEvent>,
    era_signal: EraSignal,
) {
    let mut registrar = Registrar {
        client: StoreClient::new(address),
        balancer,
        event_sender,
        retry: StoreRetry::new(CALL_TIMEOUT.as_millis() as u64, RETRY_INTERVAL_MS),
        former_agents: 0,
    };
    let mut connection = ConnectionLog::new("balancers' entries");
    let mut attempted_era = 0;
    loop {
        let began = Instant::now();
        let ended = registrar
            .register_and_renew(&mut connection, &era_signal)
            .await;
        match ended {
            Ok(()) => return,
            Err(StoreError::Restored { era }) => {
                log::warn!(era; "the store was restored from a copy; registering again");
                era_signal
                    .start_over(era, &registrar.client, &mut attempted_era)
                    .await;
                continue;
            }
            Err(error) => {
                let is_lease_lost = matches!(error, StoreError::LeaseEnded);
                connection.log_lost(&error);
                if is_lease_lost && began.elapsed() >= MIN_REGISTERED_TIME {
                    continue;
                }
            }
        }
        sleep(Duration::from_millis(registrar.retry.on_failure())).await;
    }
}

#[derive(Debug)]
struct Registrar {
    client: StoreClient,
    balancer: RegisteredBalancer,
    event_sender: mpsc::Sender<StoreEvent>,
    retry: StoreRetry,
    /// The number of agents in the entry of an earlier run of this balancer, until this run has had
    /// the time to hear from all.
    former_agents: u16,
}

impl Registrar {
    async fn register_and_renew(
        &mut self,
        connection: &mut ConnectionLog,
        era_signal: &EraSignal,
    ) -> Result<(), StoreError> {
        // A lease of a former era is not renewed: its id may have been given to another process.
        self.apply_call_timeout();
        let lease = self.client.grant_lease(REGISTRATION_TTL).await?;
        self.retry.on_answer();
        self.apply_call_timeout();
        // Listed before the write, so that the entry of an earlier run of this balancer is seen.
        let mut reported = self.report_registrations().await?;
        if let Reported::WithOwnEntry { agents } = reported {
            self.former_agents = agents;
        }
        let mut written_agents = self.write(&lease).await?;
        connection.log_restored();
        let mut delay = FIRST_RENEWAL_DELAY;
        while reported != Reported::ChannelClosed {
            for _ in 0..RENEWALS_PER_LISTING {
                self.renew_after(delay, &lease, era_signal).await?;
                if delay == RENEWAL_INTERVAL {
                    self.former_agents = 0;
                }
                delay = RENEWAL_INTERVAL;
                if self.agents() != written_agents {
                    written_agents = self.write(&lease).await?;
                }
            }
            reported = self.report_registrations().await?;
            // The store may delete an entry while its lease is still valid.
            if reported == Reported::WithoutOwnEntry {
                written_agents = self.write(&lease).await?;
            }
        }
        Ok(())
    }

    const fn apply_call_timeout(&mut self) {
        let call_timeout = Duration::from_millis(self.retry.timeout_ms());
        self.client.set_call_timeout(call_timeout);
    }

    async fn renew_after(
        &mut self,
        delay: Duration,
        lease: &Lease,
        era_signal: &EraSignal,
    ) -> Result<(), StoreError> {
        let era = self.client.era();
        let renewed = async {
            sleep(delay).await;
            self.client.renew_lease(lease).await
        };
        era_signal.interrupt(era, renewed).await
    }

    /// Returns how many agents the entry names.
    fn agents(&self) -> u16 {
        self.former_agents.max(*self.balancer.agents.borrow())
    }

    /// Writes the balancer's entry and returns the number of agents in it.
    async fn write(&mut self, lease: &Lease) -> Result<u16, StoreError> {
        let agents = self.agents();
        let value = serde_json::to_vec(&RegistrationValue { agents })
            .expect("a registration contains only a number");
        let key = store_keys::balancer_key(self.balancer.ip);
        self.client.put(&key, &value, lease).await?;
        Ok(agents)
    }

    async fn report_registrations(&mut self) -> Result<Reported, StoreError> {
        let listed = list_balancers(&mut self.client).await?;
        let own_ip = self.balancer.ip;
        let own = listed.iter().find(|registered| registered.ip == own_ip);
        let own_agents = own.map(|own| own.agents);
        let sent = self.event_sender.send(StoreEvent::Balancers(listed)).await;
        Ok(match (sent, own_agents) {
            (Err(_closed), _) => Reported::ChannelClosed,
            (Ok(()), Some(agents)) => Reported::WithOwnEntry { agents },
            (Ok(()), None) => Reported::WithoutOwnEntry,
        })
    }
}

/// What came of reporting the registered balancers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reported {
    WithOwnEntry {
        /// The number of agents in it.
        agents: u16,
    },
    WithoutOwnEntry,
    ChannelClosed,
}

/// Lists the registered balancers.
///
/// # Errors
///
/// Returns [`StoreError`] when the call fails or the response cannot be decoded.
pub async fn list_balancers(client: &mut StoreClient) -> Result<Vec<Registration>, StoreError> {
    let listed = client.range(store_keys::BALANCER_PREFIX, true).await?;
    Ok(listed.items.iter().filter_map(decode).collect())
}

/// Decodes an entry; an entry whose value cannot be decoded still names its balancer.
fn decode(item: &StoreItem) -> Option<Registration> {
    let ip = store_keys::balancer_ip(&item.key)?;
    let value = item.value.as_deref().unwrap_or_default();
    let decoded: RegistrationValue = serde_json::from_slice(value).unwrap_or_else(|error| {
        log::warn!(balancer:% = ip, reason:% = error; "cannot read the number of agents in a balancer's entry");
        RegistrationValue::default()
    });
    Some(Registration {
        ip,
        agents: decoded.agents,
    })
}
