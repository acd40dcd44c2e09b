use super::{Backoff, Store, messages::Reading, settings::StoreSettings};
use basilstep_core::codes::ResultCode;
use std::time::Duration;
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::sleep,
};

/// How a watch is doing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchStatus {
    /// The calls that have been made.
    pub calls: u64,
    /// The calls that have failed since the last success.
    pub failures_in_a_row: u32,
    /// The code of the last failure, while the store does not answer.
    pub failure: Option<ResultCode>,
    /// The index of the last reading.
    pub index: u64,
}

/// A running watch; ends when dropped.
#[derive(Debug)]
pub struct WatchHandle {
    readings: mpsc::Receiver<Reading>,
    status: watch::Receiver<WatchStatus>,
    task: JoinHandle<()>,
}

impl WatchHandle {
    /// Waits for the next reading; the first one comes at once, others when the index has moved.
    ///
    /// Is cancel safe. Returns `None` only when the task of the watch has ended.
    pub async fn next(&mut self) -> Option<Reading> {
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
}

impl<S: Store> Watcher<S> {
    async fn run(mut self, readings: mpsc::Sender<Reading>) {
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

    async fn step(&mut self) -> Option<Reading> {
        let result = match self.index {
            0 => self.store.read_tree(&self.prefix).await,
            index => self.store.watch_tree(&self.prefix, index).await,
        };
        match result {
            Ok(reading) => self.take(reading),
            Err(error) => {
                let pause = self.backoff.next_pause(&mut rand::rng());
                self.report(Some(error.code()));
                sleep(pause).await;
                None
            }
        }
    }

    fn take(&mut self, reading: Reading) -> Option<Reading> {
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
            status.failures_in_a_row = self.backoff.failures();
            status.failure = failure;
            status.index = self.index;
        });
    }
}
