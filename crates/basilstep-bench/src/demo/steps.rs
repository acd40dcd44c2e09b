//! The steps of a run: injected faults and operator actions.

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
const WAIT_AFTER_KILL: Duration = Duration::from_secs(4);
const WAIT_AFTER_RESTART: Duration = Duration::from_secs(2);
const WAIT_AFTER_DRAIN: Duration = Duration::from_millis(5_500);
const WAIT_AFTER_DOMAIN_OUT: Duration = Duration::from_secs(6);
/// A domain that returns gets no new flows for 3 s, the default of `hold_ms`.
const HOLD_WAIT: Duration = Duration::from_millis(3_500);
const WAIT_AFTER_DOMAIN_RETURN: Duration = Duration::from_secs(4);
pub(super) const FAULTY_BALANCER: usize = 3;
const DRAINED_TARGET: usize = 1;
pub(super) const OUT_DOMAIN: &str = "d3";
const FREEZE_DURATION: Duration = Duration::from_secs(4);
const STORE_OUTAGE_DURATION: Duration = Duration::from_secs(5);
const ROUGH_FABRIC_DURATION: Duration = Duration::from_secs(4);
const RECOVERY_WAIT: Duration = Duration::from_secs(3);
/// The fabric faults of the `rough-fabric` step, in packets per thousand.
const ROUGH_FABRIC_FAULTS: [&str; 3] = ["lose/20", "duplicate/50", "reorder/100"];
/// A caller without pauses keeps one request in flight, and each service has six targets.
const OVERLOAD_CALLERS_PER_SLOT: usize = 12;
const OVERLOAD_INTERVAL_MS: u64 = 2;
const OVERLOAD_ARRIVAL_INTERVAL: Duration = Duration::from_millis(5);
const OVERLOAD_DURATION: Duration = Duration::from_secs(5);
pub(super) const STORE_DOWN_FAULT: &str = "admin/fault/down";

/// One step of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Kills a balancer, then restarts it.
    KillBalancer,
    /// Pauses a balancer for a few seconds.
    FreezeBalancer,
    /// Drains a target by sending its agent SIGTERM.
    DrainTarget,
    /// Takes a failure domain out and brings it back.
    Domain,
    /// Makes the store unavailable for a few seconds.
    StoreOutage,
    /// Makes all targets cold without notice.
    ColdTargets,
    /// Loses, duplicates and reorders packets for a few seconds.
    RoughFabric,
    /// Sends each service more load than its targets can serve, and makes them cold under that
    /// load.
    Overload,
    /// Kills an agent while its target keeps running, then restarts it.
    KillAgent,
    /// Pauses an agent for longer than the idle timeout of callers.
    FreezeAgent,
    /// Kills a target while its agent keeps running, then restarts it.
    KillTarget,
    /// Takes a failure domain out while a balancer is paused.
    FreezeAndOut,
    /// Restarts a balancer and an agent while the store is unavailable.
    StoreDownAtStart,
    /// Kills a balancer while a failure domain is out and the store is unavailable.
    Pairs,
    /// Sends invalid datagrams and garbage to every port.
    Stranger,
    /// Overwrites settings records with invalid ones.
    BadRecord,
}

/// An unknown step name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("unknown step {0:?}")]
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

    /// Returns the name used on the command line.
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
    pub(super) async fn run_step(
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
            Step::StoreOutage => self.interrupt_store().await,
            Step::ColdTargets => self.turn_targets_cold().await,
            Step::RoughFabric => self.disturb_fabric().await,
            Step::Overload => self.overload(root).await,
            Step::KillAgent => self.kill_agent().await,
            Step::FreezeAgent => self.freeze_agent().await,
            Step::KillTarget => self.kill_target().await,
            Step::FreezeAndOut => self.take_domain_out_while_balancer_paused(root).await,
            Step::StoreDownAtStart => self.start_without_store(root).await,
            Step::Pairs => {
                self.kill_balancer_while_domain_out_and_store_down(root)
                    .await
            }
            Step::Stranger => self.send_invalid_input(root).await,
            Step::BadRecord => self.write_bad_records(root).await,
        }
    }

    async fn freeze_balancer(&mut self) -> Result<(), DemoError> {
        let balancer = self.plan.balancers[FAULTY_BALANCER].name.clone();
        self.log_progress(&format!("pausing {balancer}"));
        self.fleet.signal(&balancer, Signal::Stop).await?;
        time::sleep(FREEZE_DURATION).await;
        self.log_progress(&format!("resuming {balancer}"));
        self.fleet.signal(&balancer, Signal::Continue).await?;
        time::sleep(RECOVERY_WAIT).await;
        Ok(())
    }

    async fn interrupt_store(&mut self) -> Result<(), DemoError> {
        self.log_progress("making the store unavailable");
        let store = self.plan.store_address();
        self.set_fault(Method::POST, store, STORE_DOWN_FAULT)
            .await?;
        time::sleep(STORE_OUTAGE_DURATION).await;
        self.log_progress("restoring the store");
        let off = format!("{STORE_DOWN_FAULT}?off");
        self.set_fault(Method::POST, store, &off).await?;
        time::sleep(RECOVERY_WAIT).await;
        Ok(())
    }

    async fn turn_targets_cold(&mut self) -> Result<(), DemoError> {
        self.log_progress("making all targets cold");
        for target in &self.plan.targets {
            let path = "admin/fault/turn-cold";
            self.set_fault(Method::POST, target.address(), path).await?;
        }
        self.result.targets_turned_cold += self.plan.targets.len() as u64;
        time::sleep(RECOVERY_WAIT).await;
        Ok(())
    }

    async fn disturb_fabric(&mut self) -> Result<(), DemoError> {
        self.log_progress("losing, duplicating and reordering packets");
        let fabric = self.plan.fabric_admin_address();
        for fault in ROUGH_FABRIC_FAULTS {
            let path = format!("admin/fault/{fault}");
            self.set_fault(Method::POST, fabric, &path).await?;
        }
        time::sleep(ROUGH_FABRIC_DURATION).await;
        for fault in ROUGH_FABRIC_FAULTS {
            let path = format!("admin/fault/{fault}");
            self.set_fault(Method::DELETE, fabric, &path).await?;
        }
        time::sleep(RECOVERY_WAIT).await;
        Ok(())
    }

    async fn overload(&mut self, root: &CertificateDer<'static>) -> Result<(), DemoError> {
        self.log_progress("sending more load than the targets can serve");
        let settled = self.callers.len();
        for service in 0..self.plan.services.len() {
            let slots = self.plan.services[service].slots as usize;
            for _ in 0..slots * OVERLOAD_CALLERS_PER_SLOT {
                self.add_caller(service, OVERLOAD_INTERVAL_MS, root);
                time::sleep(OVERLOAD_ARRIVAL_INTERVAL).await;
            }
        }
        time::sleep(OVERLOAD_DURATION).await;
        self.turn_targets_cold().await?;
        self.log_progress("ending the overload");
        let extra = self.callers.split_off(settled);
        for caller in &extra {
            caller.stop();
        }
        for caller in extra {
            caller.join().await;
        }
        Ok(())
    }

    async fn set_fault(
        &self,
        method: Method,
        address: SocketAddrV4,
        path: &str,
    ) -> Result<(), DemoError> {
        self.observer.set_fault(method, address, path).await?;
        Ok(())
    }

    pub(super) async fn kill_balancer(&mut self) -> Result<(), DemoError> {
        let balancer = self.plan.balancers[FAULTY_BALANCER].clone();
        self.log_progress(&format!("killing {}", balancer.name));
        self.fleet.kill(&balancer.name).await?;
        time::sleep(WAIT_AFTER_KILL).await;
        self.log_progress(&format!("restarting {}", balancer.name));
        self.plan.start_balancer(&mut self.fleet, &balancer)?;
        time::sleep(WAIT_AFTER_RESTART).await;
        Ok(())
    }

    async fn drain_target(&mut self) -> Result<(), DemoError> {
        let drained = self.drained_target();
        self.log_progress(&format!("draining {}", drained.agent));
        let told_ms = now_ms();
        self.fleet.signal(&drained.agent, Signal::Terminate).await?;
        time::sleep(WAIT_AFTER_DRAIN).await;
        let readings = self.observer.target_counts([&drained]).await?;
        for reading in readings {
            self.result.requests_to_leaving_after_s =
                seconds_between(told_ms, reading.counts.last_request_ms);
        }
        Ok(())
    }

    fn drained_target(&self) -> TargetPlan {
        self.plan.targets[DRAINED_TARGET].clone()
    }

    pub(super) async fn take_domain_out(&mut self) -> Result<(), DemoError> {
        self.log_progress(&format!("taking domain {OUT_DOMAIN} out"));
        let targets = self.plan.targets_in(OUT_DOMAIN);
        self.expected_failures
            .set_in_out_domains(targets.map(|target| target.address().to_string()));
        self.writer
            .write_domain(&self.plan, OUT_DOMAIN, DomainState::Out)
            .await?;
        let out_ms = now_ms();
        time::sleep(WAIT_AFTER_DOMAIN_OUT).await;
        let fabric = self.observer.fabric_counts(&self.plan).await?;
        let targets = self.plan.targets_in(OUT_DOMAIN);
        let readings = self.observer.target_counts(targets).await?;
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
        self.log_progress(&format!(
            "bringing domain {OUT_DOMAIN} back, with more callers"
        ));
        let before = self.requests_to_out_domain().await?;
        self.writer
            .write_domain(&self.plan, OUT_DOMAIN, DomainState::In)
            .await?;
        self.expected_failures.set_in_out_domains([]);
        self.add_callers(LATE_CALLERS_PER_SERVICE, root).await;
        time::sleep(HOLD_WAIT).await;
        self.add_callers(LATE_CALLERS_PER_SERVICE, root).await;
        time::sleep(WAIT_AFTER_DOMAIN_RETURN).await;
        let after = self.requests_to_out_domain().await?;
        self.result.requests_to_returned_domain = Some(after - before);
        Ok(())
    }

    async fn requests_to_out_domain(&self) -> Result<u64, DemoError> {
        let targets = self.plan.targets_in(OUT_DOMAIN);
        let readings = self.observer.target_counts(targets).await?;
        let runs = readings
            .iter()
            .flat_map(|reading| reading.counts.runs.values());
        Ok(runs.sum())
    }
}

/// Returns the seconds from `from_ms` to `to_ms`, or 0 if `to_ms` is earlier.
pub(super) fn seconds_between(from_ms: u64, to_ms: u64) -> f64 {
    Duration::from_millis(to_ms.saturating_sub(from_ms)).as_secs_f64()
}
