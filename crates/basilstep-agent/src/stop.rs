//! A planned stop: asks callers to move, finishes accepted requests, and refuses the rest.

use crate::{
    controller::{Controller, PhaseChanged},
    exchange::Dispatcher,
    shared_state::SharedState,
};
use basilstep_core::{admission::AdmissionEvent, membership::AgentPhase};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::time::sleep;
use xtra::Address;

const POLL_INTERVAL_MS: u64 = 100;
const FINAL_ANNOUNCEMENT_WAIT_MS: u64 = 300;

/// The stage of a planned stop.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopStage {
    /// The agent is not stopping.
    Running,
    /// Callers are asked to open new flows elsewhere; accepted requests are finished.
    Finishing,
    /// Requests that have not been sent are refused, and no further request is accepted.
    Closing,
}

/// Counts the requests in progress, including those without an open flow: relayed ones, and
/// recorded ones whose caller has gone.
#[derive(Clone, Debug, Default)]
pub struct ActiveRequests(Arc<AtomicU32>);

impl ActiveRequests {
    /// Counts a request until the returned value is dropped.
    pub fn begin(&self) -> ActiveRequest {
        self.0.fetch_add(1, Ordering::Relaxed);
        ActiveRequest(self.clone())
    }

    /// Returns the number of requests in progress.
    pub fn count(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A request in progress.
#[derive(Debug)]
pub struct ActiveRequest(ActiveRequests);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Stops taking new work and waits until all flows and requests have ended, or for `stop_wait_ms`
/// at most; then refuses what has not been sent.
///
/// The caller closes the flows that are left.
pub async fn finish_work(
    shared: &SharedState,
    dispatcher: &Dispatcher,
    controller: &Address<Controller>,
) {
    log::info!(flows = shared.open_flows.load(Ordering::Relaxed); "the agent is draining");
    shared.set_draining(true);
    shared.set_stop_stage(StopStage::Finishing);
    // Sending fails only while the process is exiting.
    let _ = controller.send(PhaseChanged(AgentPhase::Draining)).await;
    let until_ms = shared.clock.now_ms() + shared.settings.stop_wait_ms;
    wait_for_end_of_work(shared, until_ms).await;
    shared.set_stop_stage(StopStage::Closing);
    dispatcher.handle_admission_event(AdmissionEvent::DrainAnnounced);
    let _ = controller.send(PhaseChanged(AgentPhase::Down)).await;
    sleep(Duration::from_millis(FINAL_ANNOUNCEMENT_WAIT_MS)).await;
    // Another agent may have relayed a request here before it learnt of the stop.
    wait_for_end_of_work(shared, until_ms).await;
    log::info!(
        flows = shared.open_flows.load(Ordering::Relaxed),
        requests = shared.active_requests.count();
        "the agent has stopped"
    );
}

async fn wait_for_end_of_work(shared: &SharedState, until_ms: u64) {
    let has_work =
        || shared.open_flows.load(Ordering::Relaxed) > 0 || shared.active_requests.count() > 0;
    while has_work() && shared.clock.now_ms() < until_ms {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
