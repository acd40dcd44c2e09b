//! Steps that combine several faults or operator actions.

use super::{
    fleet::Signal,
    frame_counter::FrameCounter,
    plan::TargetPlan,
    run::{Demo, DemoError},
    steps::{FAULTY_BALANCER, OUT_DOMAIN, STORE_DOWN_FAULT},
};
use crate::fakes::now_ms;
use basilstep_core::{crypto::ClusterKey, settings::DomainState};
use reqwest::Method;
use rustls::pki_types::CertificateDer;
use std::time::{Duration, Instant};
use tokio::time;

/// The time from taking a domain out until the paused balancer resumes.
const DOMAIN_OUT_WHILE_PAUSED: Duration = Duration::from_secs(5);
/// How long the effects of a fault, or of its end, are observed.
const OBSERVATION_DURATION: Duration = Duration::from_secs(5);
const AGENT_START_WAIT: Duration = Duration::from_secs(3);
const READY_WITHOUT_STORE_LIMIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const LATE_CALLERS_PER_SERVICE: usize = 30;

impl Demo {
    /// Takes a domain out while a balancer is paused, then resumes it with its outdated settings.
    pub(super) async fn take_domain_out_while_balancer_paused(
        &mut self,
        root: &CertificateDer<'static>,
    ) -> Result<(), DemoError> {
        let balancer = self.plan.balancers[FAULTY_BALANCER].clone();
        self.log_progress(&format!("pausing {}", balancer.name));
        self.fleet.signal(&balancer.name, Signal::Stop).await?;
        self.log_progress(&format!("taking domain {OUT_DOMAIN} out"));
        let out: Vec<TargetPlan> = self.plan.targets_in(OUT_DOMAIN).cloned().collect();
        let addresses = out.iter().map(|target| target.address().to_string());
        self.expected_failures.set_in_out_domains(addresses);
        self.writer
            .write_domain(&self.plan, OUT_DOMAIN, DomainState::Out)
            .await?;
        time::sleep(DOMAIN_OUT_WHILE_PAUSED).await;
        let carrier_key = ClusterKey::new(self.plan.cluster_key).derive("carrier");
        let mut counters = Vec::new();
        for target in &out {
            self.fleet.kill(&target.agent).await?;
            counters.push(FrameCounter::bind(target.agent_address(), carrier_key).await?);
        }
        let resumed_ms = now_ms();
        self.log_progress(&format!("resuming {}", balancer.name));
        self.fleet.signal(&balancer.name, Signal::Continue).await?;
        time::sleep(OBSERVATION_DURATION).await;
        for counter in counters {
            self.result.packets_to_out_agents_from_resumed += counter.finish().await;
        }
        let readings = self.observer.target_counts(&out).await?;
        let after = readings
            .iter()
            .filter(|reading| reading.counts.last_request_ms > resumed_ms);
        self.result.out_targets_with_requests_after_resumption = after.count() as u64;
        for target in &out {
            self.plan.start_agent(&mut self.fleet, target)?;
        }
        // The agents must be up first: callers arrive as soon as the domain is back and stay on
        // their flows.
        time::sleep(AGENT_START_WAIT).await;
        self.bring_domain_back(root).await
    }

    /// Restarts a balancer and an agent while the store is unavailable.
    pub(super) async fn start_without_store(
        &mut self,
        root: &CertificateDer<'static>,
    ) -> Result<(), DemoError> {
        let balancer = self.plan.balancers[FAULTY_BALANCER].clone();
        let faulty = self.faulty_target();
        self.store_down(true).await?;
        self.log_progress(&format!("killing {} and {}", balancer.name, faulty.agent));
        self.expected_failures
            .set_without_agent([faulty.address().to_string()]);
        let killed_ms = now_ms();
        self.fleet.kill(&balancer.name).await?;
        self.fleet.kill(&faulty.agent).await?;
        let before = self.run_count_at(&faulty).await?;
        self.plan.start_balancer(&mut self.fleet, &balancer)?;
        self.plan.start_agent(&mut self.fleet, &faulty)?;
        let started = Instant::now();
        let is_ready = self.wait_until_balancer_ready(&balancer.ip).await?;
        let ready_after_s = started.elapsed().as_secs_f64();
        self.result.ready_without_store_after_s = is_ready.then_some(ready_after_s);
        self.record_reopening(killed_ms).await;
        self.add_callers(LATE_CALLERS_PER_SERVICE, root).await;
        time::sleep(OBSERVATION_DURATION).await;
        let served = self.run_count_at(&faulty).await? - before;
        self.result.requests_to_agent_without_store = Some(served);
        self.store_down(false).await?;
        time::sleep(OBSERVATION_DURATION).await;
        Ok(())
    }

    /// Kills a balancer while a domain is out and the store is unavailable.
    pub(super) async fn kill_balancer_while_domain_out_and_store_down(
        &mut self,
        root: &CertificateDer<'static>,
    ) -> Result<(), DemoError> {
        self.take_domain_out().await?;
        self.store_down(true).await?;
        self.kill_balancer().await?;
        time::sleep(OBSERVATION_DURATION).await;
        let out: Vec<TargetPlan> = self.plan.targets_in(OUT_DOMAIN).cloned().collect();
        let readings = self.observer.target_counts(&out).await?;
        let observed_from_ms = now_ms() - OBSERVATION_DURATION.as_millis() as u64;
        let reached = readings
            .iter()
            .filter(|reading| reading.counts.last_request_ms > observed_from_ms);
        self.result.out_targets_with_requests_after_resumption = reached.count() as u64;
        self.store_down(false).await?;
        time::sleep(OBSERVATION_DURATION).await;
        self.bring_domain_back(root).await
    }

    async fn store_down(&self, down: bool) -> Result<(), DemoError> {
        let suffix = if down { "" } else { "?off" };
        let path = format!("{STORE_DOWN_FAULT}{suffix}");
        self.log_progress(if down {
            "making the store unavailable"
        } else {
            "restoring the store"
        });
        let store = self.plan.store_address();
        self.observer.set_fault(Method::POST, store, &path).await?;
        Ok(())
    }

    /// Waits until the fabric sees a balancer as ready; returns `false` on a timeout.
    async fn wait_until_balancer_ready(&self, ip: &std::net::Ipv4Addr) -> Result<bool, DemoError> {
        let limit = Instant::now() + READY_WITHOUT_STORE_LIMIT;
        // The last readiness poll of the fabric may predate the restart.
        time::sleep(Duration::from_secs(1)).await;
        while Instant::now() < limit {
            let counts = self.observer.fabric_counts(&self.plan).await?;
            let ready = counts.balancers.get(ip).and_then(|counts| counts.ready);
            if ready == Some(true) {
                return Ok(true);
            }
            time::sleep(POLL_INTERVAL).await;
        }
        Ok(false)
    }

    async fn run_count_at(&self, target: &TargetPlan) -> Result<u64, DemoError> {
        let readings = self.observer.target_counts([target]).await?;
        let runs = readings
            .iter()
            .flat_map(|reading| reading.counts.runs.values());
        Ok(runs.sum())
    }
}
