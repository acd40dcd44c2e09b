//! The tasks that talk to the platform's store.

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
use tokio::{sync::mpsc, time::sleep};

/// How long one watch waits; the store allows 30 s.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// How long an entry lives without renewal.
const ENTRY_TTL: Duration = Duration::from_secs(30);

/// A third of the time to live, so that two renewals may fail.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// After how many renewals the entries are listed: balancers that lost sight of each other, as after
/// a cut that outlasted their memory, meet again within 20 s.
const RENEWALS_PER_LISTING: u32 = 2;

/// How long after its loss an entry is written again; processes that start look for it.
const ENTRY_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long after a failed call the next one is made.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What the store tells a process.
#[derive(Debug)]
pub enum StoreNews {
    /// The operators' settings as of now.
    Settings(FleetSettings),
    /// The balancers that have an entry.
    Balancers(Vec<Ipv4Addr>),
}

/// Watches what operators write and reports it until the inbox closes.
pub async fn watch_operators(
    address: SocketAddrV4,
    domain_names: Vec<String>,
    news: mpsc::Sender<StoreNews>,
) {
    let mut client = StoreClient::new(address);
    let mut view = OperatorView::new(domain_names);
    let mut link = LinkLog::new("operators' settings");
    loop {
        let ended = follow(&mut client, &mut view, &news, &mut link).await;
        match ended {
            Ok(()) => return,
            Err(StoreError::HistoryGone) => {
                log::info!("the store dropped its history; listing again");
            }
            Err(error) => {
                link.lost(&error);
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn follow(
    client: &mut StoreClient,
    view: &mut OperatorView,
    news: &mpsc::Sender<StoreNews>,
    link: &mut LinkLog,
) -> Result<(), StoreError> {
    let listed = client.range(store_keys::OPERATOR_PREFIX, false).await?;
    link.regained();
    let mut revision = listed.revision;
    view.replace(&listed);
    if news
        .send(StoreNews::Settings(view.settings.clone()))
        .await
        .is_err()
    {
        return Ok(());
    }
    loop {
        let changes = client
            .watch(store_keys::OPERATOR_PREFIX, revision, WATCH_WAIT)
            .await?;
        revision = revision.max(changes.revision);
        if changes.items.is_empty() {
            continue;
        }
        view.change(&changes);
        let settings = StoreNews::Settings(view.settings.clone());
        if news.send(settings).await.is_err() {
            return Ok(());
        }
    }
}

/// Keeps an entry for this balancer and lists the entries of the others.
pub async fn keep_entry(address: SocketAddrV4, ip: Ipv4Addr, news: mpsc::Sender<StoreNews>) {
    let mut client = StoreClient::new(address);
    let mut link = LinkLog::new("balancers' entries");
    loop {
        match hold_entry(&mut client, ip, &news, &mut link).await {
            Ok(()) => return,
            Err(error) => link.lost(&error),
        }
        sleep(ENTRY_RETRY_INTERVAL).await;
    }
}

async fn hold_entry(
    client: &mut StoreClient,
    ip: Ipv4Addr,
    news: &mpsc::Sender<StoreNews>,
    link: &mut LinkLog,
) -> Result<(), StoreError> {
    let lease = client.grant_lease(ENTRY_TTL).await?;
    client
        .put(&store_keys::balancer_key(ip), &[], &lease)
        .await?;
    link.regained();
    loop {
        let listed = list_balancers(client).await?;
        // Entries may be taken away without notice, while the lease goes on.
        if !listed.contains(&ip) {
            client
                .put(&store_keys::balancer_key(ip), &[], &lease)
                .await?;
        }
        if news.send(StoreNews::Balancers(listed)).await.is_err() {
            return Ok(());
        }
        for _ in 0..RENEWALS_PER_LISTING {
            sleep(RENEWAL_INTERVAL).await;
            client.renew_lease(&lease).await?;
        }
    }
}

/// Lists the balancers that have an entry.
///
/// # Errors
///
/// Returns [`StoreError`] when no usable answer came.
pub async fn list_balancers(client: &mut StoreClient) -> Result<Vec<Ipv4Addr>, StoreError> {
    let listed = client.range(store_keys::BALANCER_PREFIX, true).await?;
    Ok(listed
        .items
        .iter()
        .filter_map(|item| store_keys::balancer_ip(&item.key))
        .collect())
}

/// The operators' settings as they build up from items and their changes.
#[derive(Debug)]
struct OperatorView {
    domain_names: Vec<String>,
    settings: FleetSettings,
}

impl OperatorView {
    fn new(domain_names: Vec<String>) -> Self {
        Self {
            domain_names,
            settings: FleetSettings::default(),
        }
    }

    fn replace(&mut self, listed: &VersionedItems) {
        self.settings.domains_out = BTreeSet::new();
        self.change(listed);
    }

    fn change(&mut self, changes: &VersionedItems) {
        for item in &changes.items {
            if item.key == store_keys::CONFIG_KEY {
                self.read_config(item.value.as_deref());
            } else if let Some(name) = store_keys::evacuated_domain(&item.key) {
                let is_out = item.value.is_some();
                self.set_domain(name, is_out);
            }
        }
        self.settings.revision = changes.revision;
    }

    fn read_config(&mut self, value: Option<&[u8]>) {
        let Some(value) = value else {
            log::warn!("the configuration was removed; the last one stays in force");
            return;
        };
        match config::decode(value) {
            Ok(decoded) => {
                for reason in &decoded.skipped {
                    log::warn!(reason = reason.as_str(); "an entry of the configuration is left out");
                }
                log::info!(
                    version = decoded.table.version,
                    routes = decoded.table.routes.len();
                    "a configuration was read"
                );
                self.settings.table = decoded.table;
            }
            Err(error) => log::error!(reason:% = error; "the last configuration stays in force"),
        }
    }

    fn set_domain(&mut self, name: &str, is_out: bool) {
        let Some(domain): Option<DomainId> = domain_id(&self.domain_names, name) else {
            log::warn!(domain = name; "operators speak of a domain that is not known here");
            return;
        };
        if is_out {
            self.settings.domains_out.insert(domain);
        } else {
            self.settings.domains_out.remove(&domain);
        }
    }
}

/// Logs a dependency once when it is lost and once when it is back.
#[derive(Debug)]
struct LinkLog {
    what: &'static str,
    is_lost: bool,
}

impl LinkLog {
    const fn new(what: &'static str) -> Self {
        Self {
            what,
            is_lost: false,
        }
    }

    fn lost(&mut self, error: &StoreError) {
        if !self.is_lost {
            log::warn!(what = self.what, reason:% = error; "the store is lost");
        }
        self.is_lost = true;
    }

    fn regained(&mut self) {
        if self.is_lost {
            log::info!(what = self.what; "the store is back");
        }
        self.is_lost = false;
    }
}
