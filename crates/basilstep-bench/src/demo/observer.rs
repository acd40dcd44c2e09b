//! Reads the counts of the stand-ins; nothing here comes from the system under test.

use super::plan::{FleetPlan, TargetPlan};
use crate::fakes::{fabric::FabricCounts, target::TargetCounts};
use reqwest::Method;
use serde::de::DeserializeOwned;
use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the counts of targets and of the fabric.
#[derive(Clone, Debug)]
pub struct Observer {
    client: reqwest::Client,
}

/// The counts of one target.
#[derive(Clone, Debug)]
pub struct TargetReading {
    /// The target.
    pub plan: TargetPlan,
    /// What it has counted.
    pub counts: TargetCounts,
}

impl Observer {
    /// Makes an observer.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client cannot be set up.
    pub fn new() -> Result<Self, reqwest::Error> {
        let client = reqwest::Client::builder().timeout(READ_TIMEOUT).build()?;
        Ok(Self { client })
    }

    /// Reads the counts of the fabric.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not answer.
    pub async fn fabric(&self, plan: &FleetPlan) -> Result<FabricCounts, reqwest::Error> {
        self.get(plan.fabric_admin_address(), "counts").await
    }

    /// Reads the counts of some targets.
    ///
    /// # Errors
    ///
    /// Returns an error when one of them does not answer.
    pub async fn targets<'a>(
        &self,
        targets: impl IntoIterator<Item = &'a TargetPlan>,
    ) -> Result<Vec<TargetReading>, reqwest::Error> {
        let mut readings = Vec::new();
        for target in targets {
            readings.push(TargetReading {
                plan: target.clone(),
                counts: self.get(target.address(), "counts").await?,
            });
        }
        Ok(readings)
    }

    /// Adds up over all targets how often each offer ran.
    ///
    /// # Errors
    ///
    /// Returns an error when a target does not answer.
    pub async fn offer_runs(
        &self,
        plan: &FleetPlan,
    ) -> Result<BTreeMap<String, u32>, reqwest::Error> {
        let mut all = BTreeMap::new();
        for target in &plan.targets {
            let runs: BTreeMap<String, u32> = self.get(target.address(), "runs").await?;
            for (operation, count) in runs {
                *all.entry(operation).or_default() += count;
            }
        }
        Ok(all)
    }

    /// Switches a fault of a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not answer or knows no such fault.
    pub async fn switch(
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

    /// Tells whether an HTTP endpoint answers at all.
    pub async fn is_reachable(&self, address: SocketAddrV4) -> bool {
        let url = format!("http://{address}/");
        self.client.get(url).send().await.is_ok()
    }

    async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddrV4,
        what: &str,
    ) -> Result<T, reqwest::Error> {
        let url = format!("http://{address}/admin/{what}");
        self.client.get(url).send().await?.json().await
    }
}

/// Returns the largest number over the mean, and 1 when there is nothing to compare.
pub fn max_over_mean(numbers: &[u32]) -> f64 {
    let total: u32 = numbers.iter().sum();
    if total == 0 {
        return 1.0;
    }
    let max = numbers.iter().max().copied().unwrap_or_default();
    f64::from(max) * numbers.len() as f64 / f64::from(total)
}

/// Returns the imbalance of the open boards of the service where it is worst.
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
