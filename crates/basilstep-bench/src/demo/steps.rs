//! The steps of a run: what fails and what operators do.

use super::{
    fleet::Signal,
    plan::TargetPlan,
    run::{Demo, DemoError},
};
use crate::fakes::now_ms;
use basilstep_core::settings::DomainState;
use reqwest::Method;
use rustls::pki_types::CertificateDer;
use std::{net::SocketAddrV4, str::FromStr, time::Duration};
use tokio::time;

const LATE_CALLERS_PER_SERVICE: usize = 30;
const AFTER_KILL: Duration = Duration::from_secs(4);
const AFTER_REPLACEMENT: Duration = Duration::from_secs(2);
const AFTER_DRAIN: Duration = Duration::from_millis(5_500);
const AFTER_OUT: Duration = Duration::from_secs(6);
/// A domain that is back gets no new flows for 3 s, the default of `hold_ms`.
const HOLD: Duration = Duration::from_millis(3_500);
const AFTER_RETURN: Duration = Duration::from_secs(4);
pub(super) const KILLED_BALANCER: usize = 3;
const LEAVING_TARGET: usize = 1;
pub(super) const OUT_DOMAIN: &str = "d3";
const FROZEN: Duration = Duration::from_secs(4);
const STORE_DOWN: Duration = Duration::from_secs(5);
const ROUGH: Duration = Duration::from_secs(4);
const RECOVERY: Duration = Duration::from_secs(3);
/// What a rough fabric does, each in thousandths of the packets.
const ROUGHNESS: [&str; 3] = ["lose/20", "duplicate/50", "reorder/100"];
/// Callers without a pause keep one request each in flight, and each service has six targets.
const OVERLOAD_CALLERS_PER_SLOT: usize = 12;
const OVERLOAD_INTERVAL_MS: u64 = 2;
const OVERLOAD_ARRIVAL_INTERVAL: Duration = Duration::from_millis(5);
const OVERLOADED: Duration = Duration::from_secs(5);
pub(super) const STORE_DOWN_FAULT: &str = "admin/fault/down";

/// One step of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Kills a balancer, then starts it anew.
    KillBalancer,
    /// Pauses a balancer for some seconds.
    FreezeBalancer,
    /// Asks the agent of a target to leave.
    DrainTarget,
    /// Takes a failure domain out and brings it back.
    Domain,
    /// Lets the store fail for some seconds.
    StoreOutage,
    /// Lets all targets turn cold without notice.
    ColdTargets,
    /// Loses, duplicates and reorders packets for some seconds.
    RoughFabric,
    /// Asks each service for more than its targets can serve, and turns them cold meanwhile.
    Overload,
    /// Kills an agent beside a living target, then starts it anew.
    KillAgent,
    /// Pauses an agent for longer than callers wait.
    FreezeAgent,
    /// Kills a target beside a living agent, then starts it anew.
    KillTarget,
    /// Takes a failure domain out while a balancer is paused.
    FreezeAndOut,
    /// Starts a balancer and an agent anew while the store fails.
    StoreDownAtStart,
    /// Kills a balancer while a failure domain is out and the store fails.
    Pairs,
    /// Sends strange datagrams and garbage to each port.
    Stranger,
    /// Writes records that cannot be read.
    BadRecord,
}

/// A name that no step has.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("no step is named {0:?}")]
pub struct UnknownStep(String);

impl Step {
    /// The steps of the demo.
    pub const DEMO: [Self; 3] = [Self::KillBalancer, Self::DrainTarget, Self::Domain];
    const ALL: [Self; 16] = [
        Self::KillBalancer,
        Self::FreezeBalancer,
        Self::DrainTarget,
        Self::Domain,
        Self::StoreOutage,
        Self::ColdTargets,
        Self::RoughFabric,
        Self::Overload,
        Self::KillAgent,
        Self::FreezeAgent,
        Self::KillTarget,
        Self::FreezeAndOut,
        Self::StoreDownAtStart,
        Self::Pairs,
        Self::Stranger,
        Self::BadRecord,
    ];

    /// Returns the name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::KillBalancer => "kill-balancer",
            Self::FreezeBalancer => "freeze-balancer",
            Self::DrainTarget => "drain-target",
            Self::Domain => "domain",
            Self::StoreOutage => "store-outage",
            Self::ColdTargets => "cold-targets",
            Self::RoughFabric => "rough-fabric",
            Self::Overload => "overload",
            Self::KillAgent => "kill-agent",
            Self::FreezeAgent => "freeze-agent",
            Self::KillTarget => "kill-target",
            Self::FreezeAndOut => "freeze-and-out",
            Self::StoreDownAtStart => "store-down-at-start",
            Self::Pairs => "pairs",
            Self::Stranger => "stranger",
            Self::BadRecord => "bad-record",
        }
    }
}

impl FromStr for Step {
    type Err = UnknownStep;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        all.find(|step| step.name() == text)
            .ok_or_else(|| UnknownStep(text.to_owned()))
    }
}

impl Demo {
    pub(super) async fn step(
        &mut self,
        step: Step,
        root: &CertificateDer<'static>,
    ) -> Result<(), DemoError> {
        match step {
            Step::KillBalancer => self.kill_balancer().await,
            Step::FreezeBalancer => self.freeze_balancer().await,
            Step::DrainTarget => self.drain_target().await,
            Step::Domain => {
                self.take_domain_out().await?;
                self.bring_domain_back(root).await
            }
            Step::StoreOutage => self.break_store().await,
            Step::ColdTargets => self.turn_targets_cold().await,
            Step::RoughFabric => self.roughen_fabric().await,
            Step::Overload => self.overload(root).await,
            Step::KillAgent => self.kill_agent().await,
            Step::FreezeAgent => self.freeze_agent().await,
            Step::KillTarget => self.kill_target().await,
            Step::FreezeAndOut => self.freeze_and_out(root).await,
            Step::StoreDownAtStart => self.start_without_store(root).await,
            Step::Pairs => self.kill_while_out_and_store_down(root).await,
            Step::Stranger => self.strange_packets(root).await,
            Step::BadRecord => self.write_bad_records(root).await,
        }
    }

    async fn freeze_balancer(&mut self) -> Result<(), DemoError> {
        let balancer = self.plan.balancers[KILLED_BALANCER].name.clone();
        self.say(&format!("pausing {balancer}"));
        self.fleet.signal(&balancer, Signal::Stop).await?;
        time::sleep(FROZEN).await;
        self.say(&format!("letting {balancer} go on"));
        self.fleet.signal(&balancer, Signal::Continue).await?;
        time::sleep(RECOVERY).await;
        Ok(())
    }

    async fn break_store(&mut self) -> Result<(), DemoError> {
        self.say("letting the store fail");
        let store = self.plan.store_address();
        self.switch(Method::POST, store, STORE_DOWN_FAULT).await?;
        time::sleep(STORE_DOWN).await;
        self.say("mending the store");
        let off = format!("{STORE_DOWN_FAULT}?off");
        self.switch(Method::POST, store, &off).await?;
        time::sleep(RECOVERY).await;
        Ok(())
    }

    async fn turn_targets_cold(&mut self) -> Result<(), DemoError> {
        self.say("letting all targets turn cold");
        for target in &self.plan.targets {
            let path = "admin/fault/turn-cold";
            self.switch(Method::POST, target.address(), path).await?;
        }
        self.result.targets_turned_cold += self.plan.targets.len() as u64;
        time::sleep(RECOVERY).await;
        Ok(())
    }

    async fn roughen_fabric(&mut self) -> Result<(), DemoError> {
        self.say("losing, duplicating and reordering packets");
        let fabric = self.plan.fabric_admin_address();
        for fault in ROUGHNESS {
            let path = format!("admin/fault/{fault}");
            self.switch(Method::POST, fabric, &path).await?;
        }
        time::sleep(ROUGH).await;
        for fault in ROUGHNESS {
            let path = format!("admin/fault/{fault}");
            self.switch(Method::DELETE, fabric, &path).await?;
        }
        time::sleep(RECOVERY).await;
        Ok(())
    }

    async fn overload(&mut self, root: &CertificateDer<'static>) -> Result<(), DemoError> {
        self.say("asking for more than the targets can serve");
        let settled = self.callers.len();
        for service in 0..self.plan.services.len() {
            let slots = self.plan.services[service].slots as usize;
            for _ in 0..slots * OVERLOAD_CALLERS_PER_SLOT {
                self.add_caller(service, OVERLOAD_INTERVAL_MS, root);
                time::sleep(OVERLOAD_ARRIVAL_INTERVAL).await;
            }
        }
        time::sleep(OVERLOADED).await;
        self.turn_targets_cold().await?;
        self.say("ending the overload");
        let extra = self.callers.split_off(settled);
        for caller in &extra {
            caller.stop();
        }
        for caller in extra {
            caller.join().await;
        }
        Ok(())
    }

    async fn switch(
        &self,
        method: Method,
        address: SocketAddrV4,
        path: &str,
    ) -> Result<(), DemoError> {
        self.observer.switch(method, address, path).await?;
        Ok(())
    }

    pub(super) async fn kill_balancer(&mut self) -> Result<(), DemoError> {
        let balancer = self.plan.balancers[KILLED_BALANCER].clone();
        self.say(&format!("killing {}", balancer.name));
        self.fleet.kill(&balancer.name).await?;
        time::sleep(AFTER_KILL).await;
        self.say(&format!("starting {} anew", balancer.name));
        self.plan.start_balancer(&mut self.fleet, &balancer)?;
        time::sleep(AFTER_REPLACEMENT).await;
        Ok(())
    }

    async fn drain_target(&mut self) -> Result<(), DemoError> {
        let leaving = self.leaving();
        self.say(&format!("telling {} to leave", leaving.agent));
        let told_ms = now_ms();
        self.fleet.signal(&leaving.agent, Signal::Terminate).await?;
        time::sleep(AFTER_DRAIN).await;
        let readings = self.observer.targets([&leaving]).await?;
        for reading in readings {
            self.result.requests_to_leaving_after_s =
                seconds_between(told_ms, reading.counts.last_request_ms);
        }
        Ok(())
    }

    fn leaving(&self) -> TargetPlan {
        self.plan.targets[LEAVING_TARGET].clone()
    }

    pub(super) async fn take_domain_out(&mut self) -> Result<(), DemoError> {
        self.say(&format!("taking domain {OUT_DOMAIN} out"));
        let targets = self.plan.targets_in(OUT_DOMAIN);
        self.out
            .set(targets.map(|target| target.address().to_string()));
        self.writer
            .write_domain(&self.plan, OUT_DOMAIN, DomainState::Out)
            .await?;
        let out_ms = now_ms();
        time::sleep(AFTER_OUT).await;
        let fabric = self.observer.fabric(&self.plan).await?;
        let targets = self.plan.targets_in(OUT_DOMAIN);
        let readings = self.observer.targets(targets).await?;
        let at_targets = readings
            .iter()
            .map(|reading| reading.counts.last_request_ms);
        let balancers = self.plan.balancers.iter();
        let at_balancers = balancers
            .filter(|balancer| balancer.domain == OUT_DOMAIN)
            .filter_map(|balancer| fabric.balancers.get(&balancer.ip))
            .map(|counts| counts.last_sent_ms);
        let last_ms = at_targets.chain(at_balancers).max().unwrap_or_default();
        self.result.packets_to_out_domain_after_s = seconds_between(out_ms, last_ms);
        let left = readings.iter().map(|reading| reading.counts.boards_open);
        self.result.boards_left_in_out_domain = left.sum();
        Ok(())
    }

    pub(super) async fn bring_domain_back(
        &mut self,
        root: &CertificateDer<'static>,
    ) -> Result<(), DemoError> {
        self.say(&format!(
            "bringing domain {OUT_DOMAIN} back, with more callers"
        ));
        let before = self.requests_to_out_domain().await?;
        self.writer
            .write_domain(&self.plan, OUT_DOMAIN, DomainState::In)
            .await?;
        self.out.set([]);
        self.add_callers(LATE_CALLERS_PER_SERVICE, root).await;
        time::sleep(HOLD).await;
        self.add_callers(LATE_CALLERS_PER_SERVICE, root).await;
        time::sleep(AFTER_RETURN).await;
        let after = self.requests_to_out_domain().await?;
        self.result.requests_to_returned_domain = Some(after - before);
        Ok(())
    }

    async fn requests_to_out_domain(&self) -> Result<u64, DemoError> {
        let targets = self.plan.targets_in(OUT_DOMAIN);
        let readings = self.observer.targets(targets).await?;
        let runs = readings
            .iter()
            .flat_map(|reading| reading.counts.runs.values());
        Ok(runs.sum())
    }
}

/// Returns how long after `from_ms` something happened, and 0 when it was before.
pub(super) fn seconds_between(from_ms: u64, to_ms: u64) -> f64 {
    Duration::from_millis(to_ms.saturating_sub(from_ms)).as_secs_f64()
}
