//! Faults in series: agents restart one after the other beside their targets, and all balancers that
//! watch the store are killed at once, before a change of the configuration.

use super::{cluster::Cluster, faults};
use rand_chacha::{ChaCha8Rng, rand_core::Rng};
use std::{sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const MAX_STEP_MS: u32 = 300;
const MAX_DOWN_MS: u32 = 1_500;

/// Injects series of faults for `duration` and waits until the last one has ended.
pub async fn inject(cluster: &Arc<Cluster>, mut random: ChaCha8Rng, duration: Duration) {
    let until = Instant::now() + duration;
    while Instant::now() < until {
        if random.next_u32().is_multiple_of(2) {
            restart_agents(cluster, &mut random).await;
        } else {
            kill_watchers(cluster, &mut random).await;
        }
    }
}

async fn restart_agents(cluster: &Cluster, random: &mut ChaCha8Rng) {
    for agent in &cluster.agents {
        faults::terminate(cluster, agent).await;
        sleep(draw(random, MAX_STEP_MS)).await;
    }
}

async fn kill_watchers(cluster: &Arc<Cluster>, random: &mut ChaCha8Rng) {
    let mut killed = JoinSet::new();
    for index in 0..cluster.balancers.len() {
        let number = cluster.balancers[index].number;
        let state = cluster.fleet.state(number).await;
        if state.is_some_and(|state| state["watches_settings"] == true) {
            let cluster = Arc::clone(cluster);
            let down = draw(random, MAX_DOWN_MS);
            killed.spawn(async move {
                faults::kill(&cluster, &cluster.balancers[index], down).await;
            });
        }
    }
    sleep(draw(random, MAX_STEP_MS)).await;
    cluster.configuration.change(&cluster.fleet);
    while let Some(ended) = killed.join_next().await {
        ended.unwrap();
    }
}

fn draw(random: &mut ChaCha8Rng, range_ms: u32) -> Duration {
    Duration::from_millis(u64::from(random.next_u32() % range_ms))
}
