//! Test double of the platform's routers.
//!
//! The routers probe the balancers' readiness and select a ready balancer for each flow by a plain
//! hash, so that nearly all flows move to another balancer when one is added or removed.

use crate::support::packet::Packet;
use basilstep_node::http::HttpClient;
use http::{Method, StatusCode};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddrV4,
    sync::{Arc, Mutex},
};
use tokio::time::{Duration, sleep};

const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// The number of consecutive failed probes after which a balancer is not ready.
const MAX_FAILED_PROBES: u32 = 2;

/// The addresses on which a balancer receives packets and readiness probes.
#[derive(Clone, Copy, Debug)]
pub struct BalancerEndpoint {
    pub packets: SocketAddrV4,
    pub ready: SocketAddrV4,
}

/// The balancers that are ready.
#[derive(Clone, Debug, Default)]
pub struct Routers {
    ready: Arc<Mutex<Vec<SocketAddrV4>>>,
}

impl Routers {
    pub fn spawn(balancer_endpoints: &[BalancerEndpoint]) -> Self {
        let routers = Self::default();
        for endpoint in balancer_endpoints {
            tokio::spawn(routers.clone().probe(*endpoint));
        }
        routers
    }

    /// Returns the balancer for a packet, if any balancer is ready.
    pub fn balancer_for(&self, packet: &Packet) -> Option<SocketAddrV4> {
        let ready = self.ready.lock().unwrap();
        let mut hasher = DefaultHasher::new();
        (packet.source, packet.destination).hash(&mut hasher);
        let index = hasher.finish().checked_rem(ready.len() as u64)?;
        ready.get(index as usize).copied()
    }

    async fn probe(self, endpoint: BalancerEndpoint) {
        let mut client = HttpClient::new(endpoint.ready);
        let mut failed_probes = MAX_FAILED_PROBES;
        loop {
            let call = client.call(Method::GET, "/readiness", &[], PROBE_TIMEOUT);
            if call.await.is_ok_and(|reply| reply.status == StatusCode::OK) {
                failed_probes = 0;
            } else {
                failed_probes += 1;
            }
            self.set(endpoint.packets, failed_probes < MAX_FAILED_PROBES);
            sleep(PROBE_INTERVAL).await;
        }
    }

    fn set(&self, balancer: SocketAddrV4, is_ready: bool) {
        let mut ready = self.ready.lock().unwrap();
        ready.retain(|other| *other != balancer);
        if is_ready {
            ready.push(balancer);
            ready.sort_unstable();
        }
    }
}
