use super::{
    Backoff, Store,
    messages::{Listing, StoreError, TreeSnapshot},
    settings::StoreSettings,
    subtrees::read_changed,
};
use basilstep_core::codes::ResultCode;
use std::{cmp::Ordering, time::Duration};
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

/// How a watch is doing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchStatus {
    /// The calls that have been made.
    pub calls: u64,
    /// The calls that have failed since the last success.
    pub consecutive_failures: u32,
    /// The code of the last failure, while the store does not answer.
    pub failure: Option<ResultCode>,
    /// The index of the last reading.
    pub index: u64,
}

/// A running watch; ends when dropped.
#[derive(Debug)]
pub struct WatchHandle {
    readings: mpsc::Receiver<TreeSnapshot>,
    status: watch::Receiver<WatchStatus>,
    task: JoinHandle<()>,
}

impl WatchHandle {
    /// Waits for the next reading; the first one comes at once, others when the index has moved.
    ///
    /// Is cancel safe. Returns `None` only when the task of the watch has ended.
    pub async fn next(&mut self) -> Option<TreeSnapshot> {
        self.readings.recv().await
    }

    /// Returns how the watch is doing.
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
/// A reading waits until the one before has been taken, so a slow receiver bounds the memory.
pub fn spawn_watch<S: Store>(store: S, prefix: &str, settings: StoreSettings) -> WatchHandle {
    let (readings_in, readings) = mpsc::channel(1);
    let (status_in, status) = watch::channel(WatchStatus::default());
    let watcher = Watcher {
        store,
        prefix: prefix.to_owned(),
        backoff: Backoff::new(settings.retry_min_ms, settings.retry_max_ms),
        settings,
        status: status_in,
        index: 0,
        whole: None,
    };
    WatchHandle {
        readings,
        status,
        task: tokio::spawn(watcher.run(readings_in)),
    }
}

struct Watcher<S> {
    store: S,
    prefix: String,
    settings: StoreSettings,
    backoff: Backoff,
    status: watch::Sender<WatchStatus>,
    index: u64,
    whole: Option<WholeReading>,
}

/// The last whole reading, while no call has failed since.
struct WholeReading {
    read_at: Instant,
    records: usize,
}

impl<S: Store> Watcher<S> {
    async fn run(mut self, readings: mpsc::Sender<TreeSnapshot>) {
        loop {
            let Some(reading) = self.step().await else {
                continue;
            };
            if readings.send(reading).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(self.settings.watch_interval_ms)).await;
        }
    }

    async fn step(&mut self) -> Option<TreeSnapshot> {
        match self.read().await {
            Ok(reading) => self.take(reading),
            Err(error) => {
                // A store may forget removals during an outage, so what comes next is read whole.
                self.whole = None;
                let pause = self.backoff.next_delay(&mut rand::rng());
                self.report(Some(error.code()));
                sleep(pause).await;
                None
            }
        }
    }

    async fn read(&mut self) -> Result<TreeSnapshot, StoreError> {
        if self.index > 0 && self.reads_by_subtrees() {
            return self.read_by_subtrees().await;
        }
        if self.index == 0 {
            return self.read_whole().await;
        }
        let reading = self.store.watch_tree(&self.prefix, self.index).await?;
        self.note_whole(&reading);
        Ok(reading)
    }

    fn reads_by_subtrees(&self) -> bool {
        let longest = Duration::from_millis(self.settings.whole_interval_ms);
        self.whole.as_ref().is_some_and(|whole| {
            whole.records > self.settings.whole_limit_records && whole.read_at.elapsed() < longest
        })
    }

    async fn read_by_subtrees(&mut self) -> Result<TreeSnapshot, StoreError> {
        let woken = self.store.watch_list(&self.prefix, self.index).await?;
        match woken.index.cmp(&self.index) {
            Ordering::Equal => Ok(TreeSnapshot {
                index: self.index,
                ..TreeSnapshot::default()
            }),
            Ordering::Greater => self.read_after(woken).await,
            Ordering::Less => self.read_whole().await,
        }
    }

    async fn read_after(&mut self, woken: Listing) -> Result<TreeSnapshot, StoreError> {
        let limit = Duration::from_millis(self.settings.subtrees_timeout_ms);
        let changed = read_changed(&self.store, &self.prefix, self.index, woken);
        match timeout(limit, changed).await {
            Ok(Ok(reading)) => Ok(reading),
            Ok(Err(_)) | Err(_) => self.read_whole().await,
        }
    }

    async fn read_whole(&mut self) -> Result<TreeSnapshot, StoreError> {
        let reading = self.store.read_tree(&self.prefix).await?;
        self.note_whole(&reading);
        Ok(reading)
    }

    fn note_whole(&mut self, reading: &TreeSnapshot) {
        self.whole = Some(WholeReading {
            read_at: Instant::now(),
            records: reading.entries.len(),
        });
    }

    fn take(&mut self, reading: TreeSnapshot) -> Option<TreeSnapshot> {
        let moved = reading.index != self.index;
        // An index that went back is taken over, as the API's documentation demands; whether the
        // records are used is the receiver's decision.
        self.index = reading.index;
        self.backoff.reset();
        self.report(None);
        moved.then_some(reading)
    }

    fn report(&self, failure: Option<ResultCode>) {
        self.status.send_modify(|status| {
            status.calls += 1;
            status.consecutive_failures = self.backoff.failures();
            status.failure = failure;
            status.index = self.index;
        });
    }
}
