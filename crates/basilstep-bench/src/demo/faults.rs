//! Steps that kill or pause an agent or a target.

use super::{
    fleet::Signal,
    plan::TargetPlan,
    run::{Demo, DemoError},
    steps::seconds_between,
};
use crate::fakes::now_ms;
use std::time::Duration;
use tokio::time;

/// The index of the target that these steps act on; `drain-target` uses another one.
const FAULTY_TARGET: usize = 3;
const AGENT_DOWN_DURATION: Duration = Duration::from_secs(2);
/// Longer than the idle timeout of callers.
const AGENT_FREEZE_DURATION: Duration = Duration::from_secs(6);
/// The time for callers to notice the loss and open new flows.
const REOPENING_WAIT: Duration = Duration::from_secs(8);
/// Boards that end later than this after a kill are not attributed to it.
const BOARDS_END_WAIT: Duration = Duration::from_secs(1);
const TARGET_DOWN_DURATION: Duration = Duration::from_secs(4);
const WAIT_AFTER_TARGET_RESTART: Duration = Duration::from_secs(6);

impl Demo {
    /// Returns the target that a step acts on.
    pub(super) fn faulty_target(&self) -> TargetPlan {
        self.plan.targets[FAULTY_TARGET].clone()
    }

    pub(super) async fn kill_agent(&mut self) -> Result<(), DemoError> {
        let faulty = self.faulty_target();
        self.log_progress(&format!("killing {}", faulty.agent));
        self.expected_failures
            .set_without_agent([faulty.address().to_string()]);
        let killed_ms = now_ms();
        self.fleet.kill(&faulty.agent).await?;
        time::sleep(AGENT_DOWN_DURATION).await;
        self.log_progress(&format!("restarting {}", faulty.agent));
        self.plan.start_agent(&mut self.fleet, &faulty)?;
        self.record_reopening(killed_ms).await;
        Ok(())
    }

    pub(super) async fn freeze_agent(&mut self) -> Result<(), DemoError> {
        let faulty = self.faulty_target();
        self.log_progress(&format!("pausing {}", faulty.agent));
        self.expected_failures
            .set_without_agent([faulty.address().to_string()]);
        let paused_ms = now_ms();
        self.fleet.signal(&faulty.agent, Signal::Stop).await?;
        time::sleep(AGENT_FREEZE_DURATION).await;
        self.log_progress(&format!("resuming {}", faulty.agent));
        self.fleet.signal(&faulty.agent, Signal::Continue).await?;
        self.record_reopening(paused_ms).await;
        Ok(())
    }

    /// Waits for callers to open new flows and records when the last one did.
    pub(super) async fn record_reopening(&mut self, from_ms: u64) {
        time::sleep(REOPENING_WAIT).await;
        self.expected_failures.set_without_agent([]);
        let last_ms = self.recorder.counts().last_reopened_ms;
        self.result.flows_reopened_after_s = seconds_between(from_ms, last_ms);
        self.log_progress("the time for callers to open new flows has passed");
    }

    pub(super) async fn kill_target(&mut self) -> Result<(), DemoError> {
        let faulty = self.faulty_target();
        // The counts of a process are lost when it is killed, except for the offers in its journal.
        let before = self.observer.target_counts([&faulty]).await?;
        for reading in before {
            self.result.targets_fell_over += reading.counts.fell_over;
            self.result.misrouted_packets += reading.counts.misrouted;
        }
        self.log_progress(&format!("killing {}", faulty.name));
        self.expected_failures
            .set_killed([faulty.address().to_string()]);
        self.fleet.kill(&faulty.name).await?;
        time::sleep(BOARDS_END_WAIT).await;
        self.expected_failures.set_killed([]);
        time::sleep(TARGET_DOWN_DURATION).await;
        self.log_progress(&format!("restarting {}, cold", faulty.name));
        self.plan.start_target(&mut self.fleet, &faulty)?;
        time::sleep(WAIT_AFTER_TARGET_RESTART).await;
        let after = self.observer.target_counts([&faulty]).await?;
        let runs = after
            .iter()
            .flat_map(|reading| reading.counts.runs.values());
        self.result.requests_to_restarted_target = Some(runs.sum());
        Ok(())
    }
}
