//! The operators' configuration in a soak test, and the check that balancers apply it in time.

use super::cluster::{Cluster, MOVED_ENTRY, Machine, SERVICES, entry};
use crate::support::fleet::Fleet;
use serde_json::{Value, json};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// The time after the store's acknowledgement of a version after which it has to be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// The time after a disturbance of a balancer or of the store before the limit holds again.
const CONTACT_TIME: Duration = Duration::from_secs(4);

const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A version that the store has acknowledged.
#[derive(Clone, Copy, Debug)]
struct AckedVersion {
    version: u64,
    acked: Instant,
}

/// The versions that the operators have written.
#[derive(Debug)]
pub struct Configuration {
    acked: Mutex<Vec<AckedVersion>>,
    store_disturbed: Mutex<Instant>,
}

impl Configuration {
    /// Writes the first version.
    pub fn write_first(fleet: &Fleet) -> Self {
        let configuration = Self {
            acked: Mutex::new(Vec::new()),
            store_disturbed: Mutex::new(Instant::now()),
        };
        configuration.change(fleet);
        configuration
    }

    /// Writes the next version.
    pub fn change(&self, fleet: &Fleet) {
        let mut acked = self.acked.lock().unwrap();
        let version = acked.last().map_or(1, |last| last.version + 1);
        write(fleet, version);
        acked.push(AckedVersion {
            version,
            acked: Instant::now(),
        });
    }

    /// Writes the last version again, which the store may have lost.
    pub fn write_again(&self, fleet: &Fleet) {
        let acked = self.acked.lock().unwrap();
        write(fleet, acked.last().unwrap().version);
    }

    /// Records that the store was restored, lost its history or went silent.
    pub fn record_store_disturbance(&self) {
        *self.store_disturbed.lock().unwrap() = Instant::now();
    }

    /// Returns the version that has to be in force at `now`.
    fn due_version(&self, now: Instant) -> Option<u64> {
        let acked = self.acked.lock().unwrap();
        let due = acked
            .iter()
            .filter(|known| known.acked + APPLY_LIMIT <= now);
        due.map(|known| known.version).max()
    }

    fn is_store_calm_since(&self, since: Instant) -> bool {
        *self.store_disturbed.lock().unwrap() < since
    }
}

/// Checks until `is_stopped` that each balancer that was in touch applies each version in time and
/// never goes back.
pub async fn check_until(cluster: Arc<Cluster>, is_stopped: Arc<AtomicBool>) {
    while !is_stopped.load(Ordering::SeqCst) {
        for machine in &cluster.balancers {
            check_balancer(&cluster, machine).await;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

async fn check_balancer(cluster: &Cluster, machine: &Machine) {
    let asked = Instant::now();
    let due = cluster.configuration.due_version(asked);
    let seen = cluster.fleet.version_in_force(machine.number).await;
    let Some(calm_since) = asked.checked_sub(CONTACT_TIME) else {
        return;
    };
    let is_in_touch =
        machine.is_calm_since(calm_since) && cluster.configuration.is_store_calm_since(calm_since);
    if is_in_touch && seen.is_some() && seen < due {
        cluster.invariants.record_violation(format!(
            "balancer {} has version {seen:?} in force, {due:?} is due",
            machine.number
        ));
    }
}

/// The latency goal of the routes: it makes agents limit and queue new flows.
const LATENCY_GOAL_MS: u64 = 300;

/// How much higher the port of the second route of a service is than that of the first.
const IDLE_ROUTE_PORTS: u16 = 1_000;

/// The limits on idle flows of successive versions; the age of flows is 60 s.
const IDLE_TIMEOUTS_MS: [u64; 3] = [15_000, 50_000, 10_000];

/// Writes a configuration with two routes per service, of different priorities, of which the higher
/// one gets no requests; only requests to the first service are idempotent. A further route leads to
/// another service in each version, and the limit on idle flows changes with the version as well.
fn write(fleet: &Fleet, version: u64) {
    let mut routes: Vec<Value> = SERVICES
        .iter()
        .enumerate()
        .flat_map(|(service, name)| [(service, name, 1), (service, name, 0)])
        .map(|(service, name, priority)| {
            let entry = entry(service);
            let port = entry.port() + if priority == 0 { IDLE_ROUTE_PORTS } else { 0 };
            json!({"Name": format!("r{service}-{priority}"), "Hostname": entry.ip().to_string(),
                   "Prefix": format!("/{port}/"),
                   "Type": if service == 0 { "safe" } else { "unsafe" },
                   "Priority": priority, "TargetLatencyMs": LATENCY_GOAL_MS,
                   "TimeoutMs": 2_500, "Service": name})
        })
        .collect();
    routes.push(json!({
        "Name": "moved", "Hostname": MOVED_ENTRY.ip().to_string(),
        "Prefix": format!("/{}/", MOVED_ENTRY.port()), "Type": "unsafe", "Priority": 1,
        "TargetLatencyMs": LATENCY_GOAL_MS, "TimeoutMs": 2_500,
        "Service": SERVICES[version as usize % SERVICES.len()]
    }));
    let services: Vec<Value> = SERVICES
        .iter()
        .map(|name| json!({"Name": name, "MaxConnections": 2_000}))
        .collect();
    let config = json!({
        "Version": version, "Routes": routes, "Services": services,
        "Limits": {"IdleTimeoutMs": IDLE_TIMEOUTS_MS[version as usize % IDLE_TIMEOUTS_MS.len()]},
    });
    fleet.store.put("op/config", Some(&config));
}
