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

/// The target that a step hits; another one leaves in `drain-target`.
const HIT_TARGET: usize = 3;
const AGENT_DOWN: Duration = Duration::from_secs(2);
/// Longer than the idle time-out of callers.
const AGENT_FROZEN: Duration = Duration::from_secs(6);
/// Within this time callers notice the loss and open new flows.
const REOPENING: Duration = Duration::from_secs(8);
/// Boards that end later than this after a kill do not end because of it.
const BOARDS_END: Duration = Duration::from_secs(1);
const TARGET_DOWN: Duration = Duration::from_secs(4);
const AFTER_TARGET: Duration = Duration::from_secs(6);

impl Demo {
    /// Returns the target that a step hits.
    pub(super) fn hit_target(&self) -> TargetPlan {
        self.plan.targets[HIT_TARGET].clone()
    }

    pub(super) async fn kill_agent(&mut self) -> Result<(), DemoError> {
        let hit = self.hit_target();
        self.say(&format!("killing {}", hit.agent));
        self.out.set_without_agent([hit.address().to_string()]);
        let killed_ms = now_ms();
        self.fleet.kill(&hit.agent).await?;
        time::sleep(AGENT_DOWN).await;
        self.say(&format!("starting {} anew", hit.agent));
        self.plan.start_agent(&mut self.fleet, &hit)?;
        self.watch_reopening(killed_ms).await;
        Ok(())
    }

    pub(super) async fn freeze_agent(&mut self) -> Result<(), DemoError> {
        let hit = self.hit_target();
        self.say(&format!("pausing {}", hit.agent));
        self.out.set_without_agent([hit.address().to_string()]);
        let paused_ms = now_ms();
        self.fleet.signal(&hit.agent, Signal::Stop).await?;
        time::sleep(AGENT_FROZEN).await;
        self.say(&format!("letting {} go on", hit.agent));
        self.fleet.signal(&hit.agent, Signal::Continue).await?;
        self.watch_reopening(paused_ms).await;
        Ok(())
    }

    /// Waits until callers have new flows and notes when the last one had.
    pub(super) async fn watch_reopening(&mut self, from_ms: u64) {
        time::sleep(REOPENING).await;
        self.out.set_without_agent([]);
        let last_ms = self.tally.counts().last_reopened_ms;
        self.result.flows_reopened_after_s = seconds_between(from_ms, last_ms);
        self.say("callers have had time to open new flows");
    }

    pub(super) async fn kill_target(&mut self) -> Result<(), DemoError> {
        let hit = self.hit_target();
        // What a process counted is lost with it, but for the offers that it noted.
        let before = self.observer.targets([&hit]).await?;
        for reading in before {
            self.result.targets_fell_over += reading.counts.fell_over;
            self.result.misrouted_packets += reading.counts.misrouted;
        }
        self.say(&format!("killing {}", hit.name));
        self.out.set_killed([hit.address().to_string()]);
        self.fleet.kill(&hit.name).await?;
        time::sleep(BOARDS_END).await;
        self.out.set_killed([]);
        time::sleep(TARGET_DOWN).await;
        self.say(&format!("starting {} anew, cold", hit.name));
        self.plan.start_target(&mut self.fleet, &hit)?;
        time::sleep(AFTER_TARGET).await;
        let after = self.observer.targets([&hit]).await?;
        let runs = after
            .iter()
            .flat_map(|reading| reading.counts.runs.values());
        self.result.requests_to_restarted_target = Some(runs.sum());
        Ok(())
    }
}
