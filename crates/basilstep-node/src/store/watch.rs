use super::{
    Backoff, Store,
    changed_subtrees::read_changed_subtrees,
    settings::StoreSettings,
    types::{Listing, StoreError, TreeSnapshot},
};
use basilstep_core::codes::ResultCode;
use std::{cmp::Ordering, time::Duration};
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

/// The state of a watch.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchStatus {
    /// The number of calls made.
    pub calls: u64,
    /// The number of failed calls since the last success.
    pub consecutive_failures: u32,
    /// The code of the last failure; `None` after a successful call.
    pub failure: Option<ResultCode>,
    /// The index of the last snapshot.
    pub index: u64,
}

/// A background watch; it ends when this handle is dropped.
#[derive(Debug)]
pub struct WatchHandle {
    snapshots: mpsc::Receiver<TreeSnapshot>,
    status: watch::Receiver<WatchStatus>,
    task: JoinHandle<()>,
}

impl WatchHandle {
    /// Waits for the next snapshot. The first one arrives immediately, later ones when the index
    /// has changed.
    ///
    /// This method is cancel safe. It returns `None` only when the task of the watch has ended.
    pub async fn next(&mut self) -> Option<TreeSnapshot> {
        self.snapshots.recv().await
    }

    /// Returns the state of the watch.
    pub fn status(&self) -> WatchStatus {
        self.status.borrow().clone()
    }
}

impl Drop for WatchHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Watches all records below `prefix`.
///
/// The watch reads again only after the previous snapshot has been received, so a slow receiver
/// does not increase the use of memory.
pub fn spawn_tree_watch<S: Store>(store: S, prefix: &str, settings: StoreSettings) -> WatchHandle {
    let (snapshot_sender, snapshots) = mpsc::channel(1);
    let (status_sender, status) = watch::channel(WatchStatus::default());
    let watcher = Watcher {
        store,
        prefix: prefix.to_owned(),
        backoff: Backoff::new(settings.retry_min_ms, settings.retry_max_ms),
        settings,
        status: status_sender,
        index: 0,
        last_full_read: None,
    };
    WatchHandle {
        snapshots,
        status,
        task: tokio::spawn(watcher.run(snapshot_sender)),
    }
}

struct Watcher<S> {
    store: S,
    prefix: String,
    settings: StoreSettings,
    backoff: Backoff,
    status: watch::Sender<WatchStatus>,
    index: u64,
    last_full_read: Option<FullRead>,
}

/// The last full read, if no call has failed since.
struct FullRead {
    read_at: Instant,
    records: usize,
}

impl<S: Store> Watcher<S> {
    async fn run(mut self, snapshots: mpsc::Sender<TreeSnapshot>) {
        loop {
            let Some(snapshot) = self.poll().await else {
                continue;
            };
            if snapshots.send(snapshot).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(self.settings.watch_interval_ms)).await;
        }
    }

    async fn poll(&mut self) -> Option<TreeSnapshot> {
        match self.read().await {
            Ok(snapshot) => self.accept(snapshot),
            Err(error) => {
                // A store may forget deletions during an outage, so the next read is a full one.
                self.last_full_read = None;
                let pause = self.backoff.next_delay(&mut rand::rng());
                self.update_status(Some(error.code()));
                sleep(pause).await;
                None
            }
        }
    }

    async fn read(&mut self) -> Result<TreeSnapshot, StoreError> {
        if self.index > 0 && self.should_read_by_subtrees() {
            return self.read_changes().await;
        }
        if self.index == 0 {
            return self.read_full_tree().await;
        }
        let snapshot = self.store.watch_tree(&self.prefix, self.index).await?;
        self.record_full_read(&snapshot);
        Ok(snapshot)
    }

    fn should_read_by_subtrees(&self) -> bool {
        let full_read_interval = Duration::from_millis(self.settings.whole_interval_ms);
        self.last_full_read.as_ref().is_some_and(|last_full_read| {
            last_full_read.records > self.settings.whole_limit_records
                && last_full_read.read_at.elapsed() < full_read_interval
        })
    }

    async fn read_changes(&mut self) -> Result<TreeSnapshot, StoreError> {
        let listing = self.store.watch_list(&self.prefix, self.index).await?;
        match listing.index.cmp(&self.index) {
            Ordering::Equal => Ok(TreeSnapshot {
                index: self.index,
                ..TreeSnapshot::default()
            }),
            Ordering::Greater => self.read_changed_after(listing).await,
            Ordering::Less => self.read_full_tree().await,
        }
    }

    async fn read_changed_after(&mut self, listing: Listing) -> Result<TreeSnapshot, StoreError> {
        let timeout_limit = Duration::from_millis(self.settings.subtrees_timeout_ms);
        let changed = read_changed_subtrees(&self.store, &self.prefix, self.index, listing);
        match timeout(timeout_limit, changed).await {
            Ok(Ok(snapshot)) => Ok(snapshot),
            Ok(Err(_)) | Err(_) => self.read_full_tree().await,
        }
    }

    async fn read_full_tree(&mut self) -> Result<TreeSnapshot, StoreError> {
        let snapshot = self.store.read_tree(&self.prefix).await?;
        self.record_full_read(&snapshot);
        Ok(snapshot)
    }

    fn record_full_read(&mut self, snapshot: &TreeSnapshot) {
        self.last_full_read = Some(FullRead {
            read_at: Instant::now(),
            records: snapshot.entries.len(),
        });
    }

    fn accept(&mut self, snapshot: TreeSnapshot) -> Option<TreeSnapshot> {
        let index_changed = snapshot.index != self.index;
        // An index that decreased is adopted, as the API's documentation requires. The receiver
        // decides whether to use the records.
        self.index = snapshot.index;
        self.backoff.reset();
        self.update_status(None);
        index_changed.then_some(snapshot)
    }

    fn update_status(&self, failure: Option<ResultCode>) {
        self.status.send_modify(|status| {
            status.calls += 1;
            status.consecutive_failures = self.backoff.failures();
            status.failure = failure;
            status.index = self.index;
        });
    }
}
