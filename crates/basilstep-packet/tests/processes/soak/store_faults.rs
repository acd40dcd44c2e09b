//! Faults of the store beyond outages: restores from copies, connections that go silent, and
//! changes in quick succession around them.

use super::cluster::{Cluster, ZONES};
use rand_chacha::{ChaCha8Rng, rand_core::Rng};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const MAX_FAULT_INTERVAL_MS: u32 = 4_000;
const MAX_COPY_AGE_MS: u32 = 3_000;
const MAX_REWRITE_DELAY_MS: u32 = 1_000;
const MAX_CHANGE_INTERVAL_MS: u32 = 400;
const MAX_CHANGES: u32 = 5;

/// Injects faults and changes of the configuration for `duration`.
pub async fn inject(cluster: &Cluster, mut random: ChaCha8Rng, duration: Duration) {
    let until = Instant::now() + duration;
    while Instant::now() < until {
        sleep(draw(&mut random, MAX_FAULT_INTERVAL_MS)).await;
        match random.next_u32() % 4 {
            0 => restore(cluster, false, &mut random).await,
            1 => restore(cluster, true, &mut random).await,
            2 => silence_connections(cluster),
            _ => {}
        }
        for _ in 0..random.next_u32() % MAX_CHANGES {
            cluster.configuration.change(&cluster.fleet);
            sleep(draw(&mut random, MAX_CHANGE_INTERVAL_MS)).await;
        }
    }
}

/// Restores the store from a copy that is some seconds old; the operators then write again what
/// holds.
async fn restore(cluster: &Cluster, keeps_waiting_watches: bool, random: &mut ChaCha8Rng) {
    let store = &cluster.fleet.store;
    store.set_keeps_waiting_watches(keeps_waiting_watches);
    store.copy();
    sleep(draw(random, MAX_COPY_AGE_MS)).await;
    cluster.configuration.record_store_disturbance();
    store.restore();
    sleep(draw(random, MAX_REWRITE_DELAY_MS)).await;
    cluster.configuration.write_again(&cluster.fleet);
    for (zone, operator) in ZONES.iter().zip(&cluster.operators) {
        let is_out = operator.try_lock().is_err();
        let record = is_out.then(|| serde_json::json!({}));
        store.put(&format!("op/evacuate/{zone}"), record.as_ref());
    }
    cluster.configuration.record_store_disturbance();
}

/// Makes the open connections of all balancers to the store silent for good.
fn silence_connections(cluster: &Cluster) {
    cluster.configuration.record_store_disturbance();
    for machine in &cluster.balancers {
        machine.store.silence_open_connections();
    }
}

fn draw(random: &mut ChaCha8Rng, range_ms: u32) -> Duration {
    Duration::from_millis(u64::from(random.next_u32() % range_ms))
}
