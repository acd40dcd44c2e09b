use basilstep_platform::store::{StoreClient, StoreError};
use std::time::Duration;
use tokio::{sync::watch, time::sleep};

/// The delay before the store is asked again for an era that only others have seen.
const UNKNOWN_ERA_RETRY_INTERVAL: Duration = Duration::from_secs(1);

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
    pub(super) async fn start_over(&self, era: u64, client: &StoreClient, attempted_era: &mut u64) {
        self.record(era);
        if client.era() < era && *attempted_era == era {
            sleep(UNKNOWN_ERA_RETRY_INTERVAL).await;
        }
        *attempted_era = era;
    }

    /// Runs a call to the store in era `era`; fails when a later era is recorded meanwhile.
    pub(super) async fn interrupt<T>(
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
