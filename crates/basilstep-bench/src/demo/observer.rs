//! Reads the counts of the fakes; none of them come from the system under test.

use super::plan::{FleetPlan, TargetPlan};
use crate::fakes::{fabric::FabricCounts, target::TargetCounts};
use reqwest::Method;
use serde::de::DeserializeOwned;
use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the counts of the targets and the fabric over their admin endpoints.
#[derive(Clone, Debug)]
pub struct Observer {
    client: reqwest::Client,
}

/// The counts of one target.
#[derive(Clone, Debug)]
pub struct TargetReading {
    /// The target.
    pub plan: TargetPlan,
    /// Its counts.
    pub counts: TargetCounts,
}

impl Observer {
    /// Creates an observer.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be created.
    pub fn new() -> Result<Self, reqwest::Error> {
        let client = reqwest::Client::builder().timeout(READ_TIMEOUT).build()?;
        Ok(Self { client })
    }

    /// Reads the counts of the fabric.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not respond.
    pub async fn fabric_counts(&self, plan: &FleetPlan) -> Result<FabricCounts, reqwest::Error> {
        self.get_admin(plan.fabric_admin_address(), "counts").await
    }

    /// Reads the counts of some targets.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them does not respond.
    pub async fn target_counts<'a>(
        &self,
        targets: impl IntoIterator<Item = &'a TargetPlan>,
    ) -> Result<Vec<TargetReading>, reqwest::Error> {
        let mut readings = Vec::new();
        for target in targets {
            readings.push(TargetReading {
                plan: target.clone(),
                counts: self.get_admin(target.address(), "counts").await?,
            });
        }
        Ok(readings)
    }

    /// Returns how often each offer ran, summed over all targets.
    ///
    /// # Errors
    ///
    /// Returns an error if a target does not respond.
    pub async fn offer_runs(
        &self,
        plan: &FleetPlan,
    ) -> Result<BTreeMap<String, u32>, reqwest::Error> {
        let mut all = BTreeMap::new();
        for target in &plan.targets {
            let runs: BTreeMap<String, u32> = self.get_admin(target.address(), "runs").await?;
            for (operation, count) in runs {
                *all.entry(operation).or_default() += count;
            }
        }
        Ok(all)
    }

    /// Switches a fault of a fake on or off.
    ///
    /// # Errors
    ///
    /// Returns an error if the fake does not respond or does not know the fault.
    pub async fn set_fault(
        &self,
        method: Method,
        address: SocketAddrV4,
        path: &str,
    ) -> Result<(), reqwest::Error> {
        let url = format!("http://{address}/{path}");
        let sent = self.client.request(method, url).send().await?;
        sent.error_for_status()?;
        Ok(())
    }

    /// Returns whether an HTTP endpoint responds, with any status.
    pub async fn is_reachable(&self, address: SocketAddrV4) -> bool {
        let url = format!("http://{address}/");
        self.client.get(url).send().await.is_ok()
    }

    async fn get_admin<T: DeserializeOwned>(
        &self,
        address: SocketAddrV4,
        what: &str,
    ) -> Result<T, reqwest::Error> {
        let url = format!("http://{address}/admin/{what}");
        self.client.get(url).send().await?.json().await
    }
}

/// Returns the ratio of the maximum to the mean, or 1 if the sum is zero.
pub fn max_over_mean(numbers: &[u32]) -> f64 {
    let total: u32 = numbers.iter().sum();
    if total == 0 {
        return 1.0;
    }
    let max = numbers.iter().max().copied().unwrap_or_default();
    f64::from(max) * numbers.len() as f64 / f64::from(total)
}

/// Returns the highest imbalance of open boards over all services.
pub fn imbalance(plan: &FleetPlan, readings: &[TargetReading]) -> f64 {
    let worst = |worst: f64, numbers: Vec<u32>| worst.max(max_over_mean(&numbers));
    plan.services
        .iter()
        .map(|service| {
            let own = readings
                .iter()
                .filter(|reading| reading.plan.service == service.path);
            own.map(|reading| reading.counts.boards_open).collect()
        })
        .fold(1.0, worst)
}
