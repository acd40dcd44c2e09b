//! Steps in which two things happen together.

use super::{
    fleet::Signal,
    plan::TargetPlan,
    run::{Demo, DemoError},
    steps::{KILLED_BALANCER, OUT_DOMAIN, STORE_DOWN_FAULT},
    tap::Tap,
};
use crate::fakes::now_ms;
use basilstep_core::{crypto::ClusterKey, settings::DomainState};
use reqwest::Method;
use rustls::pki_types::CertificateDer;
use std::time::{Duration, Instant};
use tokio::time;

/// From when a domain is taken out until the paused balancer goes on.
const OUT_WHILE_PAUSED: Duration = Duration::from_secs(5);
const AFTER_RESUMPTION: Duration = Duration::from_secs(5);
const AGENTS_START: Duration = Duration::from_secs(3);
const STARTED_WITHOUT_STORE: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(100);
const LATE_CALLERS_PER_SERVICE: usize = 30;

impl Demo {
    /// Pauses a balancer, takes a domain out and lets the balancer go on with what it knew.
    pub(super) async fn freeze_and_out(
        &mut self,
        root: &CertificateDer<'static>,
    ) -> Result<(), DemoError> {
        let balancer = self.plan.balancers[KILLED_BALANCER].clone();
        self.say(&format!("pausing {}", balancer.name));
        self.fleet.signal(&balancer.name, Signal::Stop).await?;
        self.say(&format!("taking domain {OUT_DOMAIN} out meanwhile"));
        let out: Vec<TargetPlan> = self.plan.targets_in(OUT_DOMAIN).cloned().collect();
        let addresses = out.iter().map(|target| target.address().to_string());
        self.out.set(addresses);
        self.writer
            .write_domain(&self.plan, OUT_DOMAIN, DomainState::Out)
            .await?;
        time::sleep(OUT_WHILE_PAUSED).await;
        let carrier_key = ClusterKey::new(self.plan.cluster_key).derive("carrier");
        let mut taps = Vec::new();
        for target in &out {
            self.fleet.kill(&target.agent).await?;
            taps.push(Tap::open(target.agent_address(), carrier_key).await?);
        }
        let resumed_ms = now_ms();
        self.say(&format!("letting {} go on", balancer.name));
        self.fleet.signal(&balancer.name, Signal::Continue).await?;
        time::sleep(AFTER_RESUMPTION).await;
        for tap in taps {
            self.result.packets_to_out_agents_from_resumed += tap.close().await;
        }
        let readings = self.observer.targets(&out).await?;
        let after = readings
            .iter()
            .filter(|reading| reading.counts.last_request_ms > resumed_ms);
        self.result.out_targets_with_requests_after_resumption = after.count() as u64;
        for target in &out {
            self.plan.start_agent(&mut self.fleet, target)?;
        }
        // New callers come as soon as the domain is back, and flows do not move afterwards.
        time::sleep(AGENTS_START).await;
        self.bring_domain_back(root).await
    }

    /// Starts a balancer and an agent anew while the store is down.
    pub(super) async fn start_without_store(
        &mut self,
        root: &CertificateDer<'static>,
    ) -> Result<(), DemoError> {
        let balancer = self.plan.balancers[KILLED_BALANCER].clone();
        let hit = self.hit_target();
        self.store_down(true).await?;
        self.say(&format!("killing {} and {}", balancer.name, hit.agent));
        self.out.set_without_agent([hit.address().to_string()]);
        let killed_ms = now_ms();
        self.fleet.kill(&balancer.name).await?;
        self.fleet.kill(&hit.agent).await?;
        let before = self.runs_at(&hit).await?;
        self.plan.start_balancer(&mut self.fleet, &balancer)?;
        self.plan.start_agent(&mut self.fleet, &hit)?;
        let started = Instant::now();
        let is_ready = self.until_balancer_ready(&balancer.ip).await?;
        let ready_after_s = started.elapsed().as_secs_f64();
        self.result.ready_without_store_after_s = is_ready.then_some(ready_after_s);
        self.watch_reopening(killed_ms).await;
        self.add_callers(LATE_CALLERS_PER_SERVICE, root).await;
        time::sleep(AFTER_RESUMPTION).await;
        let served = self.runs_at(&hit).await? - before;
        self.result.requests_to_agent_without_store = Some(served);
        self.store_down(false).await?;
        time::sleep(AFTER_RESUMPTION).await;
        Ok(())
    }

    /// Kills a balancer while a domain is out and the store is down.
    pub(super) async fn kill_while_out_and_store_down(
        &mut self,
        root: &CertificateDer<'static>,
    ) -> Result<(), DemoError> {
        self.take_domain_out().await?;
        self.store_down(true).await?;
        self.kill_balancer().await?;
        time::sleep(AFTER_RESUMPTION).await;
        let out: Vec<TargetPlan> = self.plan.targets_in(OUT_DOMAIN).cloned().collect();
        let readings = self.observer.targets(&out).await?;
        let store_down_ms = now_ms() - AFTER_RESUMPTION.as_millis() as u64;
        let reached = readings
            .iter()
            .filter(|reading| reading.counts.last_request_ms > store_down_ms);
        self.result.out_targets_with_requests_after_resumption = reached.count() as u64;
        self.store_down(false).await?;
        time::sleep(AFTER_RESUMPTION).await;
        self.bring_domain_back(root).await
    }

    async fn store_down(&self, down: bool) -> Result<(), DemoError> {
        let suffix = if down { "" } else { "?off" };
        let path = format!("{STORE_DOWN_FAULT}{suffix}");
        self.say(if down {
            "letting the store fail"
        } else {
            "mending the store"
        });
        let store = self.plan.store_address();
        self.observer.switch(Method::POST, store, &path).await?;
        Ok(())
    }

    /// Waits until the fabric finds a balancer ready; `false` when it does not in time.
    async fn until_balancer_ready(&self, ip: &std::net::Ipv4Addr) -> Result<bool, DemoError> {
        let limit = Instant::now() + STARTED_WITHOUT_STORE;
        // The fabric's last poll may date from before the restart.
        time::sleep(Duration::from_secs(1)).await;
        while Instant::now() < limit {
            let counts = self.observer.fabric(&self.plan).await?;
            let ready = counts.balancers.get(ip).and_then(|counts| counts.ready);
            if ready == Some(true) {
                return Ok(true);
            }
            time::sleep(POLL).await;
        }
        Ok(false)
    }

    async fn runs_at(&self, target: &TargetPlan) -> Result<u64, DemoError> {
        let readings = self.observer.targets([target]).await?;
        let runs = readings
            .iter()
            .flat_map(|reading| reading.counts.runs.values());
        Ok(runs.sum())
    }
}
