//! Stands in for the platform's routers: packets of a flow go to one of the balancers that say that
//! they are ready, drawn by a hash, and nearly all flows move when one comes or goes.

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

/// How many probes in a row may fail.
const MISSES: u32 = 2;

/// Where a balancer takes packets and probes.
#[derive(Clone, Copy, Debug)]
pub struct Door {
    pub packets: SocketAddrV4,
    pub ready: SocketAddrV4,
}

/// The balancers that get packets now.
#[derive(Clone, Debug, Default)]
pub struct Routers {
    ready: Arc<Mutex<Vec<SocketAddrV4>>>,
}

impl Routers {
    pub fn spawn(doors: &[Door]) -> Self {
        let routers = Self::default();
        for door in doors {
            tokio::spawn(routers.clone().probe(*door));
        }
        routers
    }

    /// Returns the balancer for a packet, if there is any.
    pub fn balancer_for(&self, packet: &Packet) -> Option<SocketAddrV4> {
        let ready = self.ready.lock().unwrap();
        let mut hasher = DefaultHasher::new();
        (packet.source, packet.destination).hash(&mut hasher);
        let place = hasher.finish().checked_rem(ready.len() as u64)?;
        ready.get(place as usize).copied()
    }

    async fn probe(self, door: Door) {
        let mut client = HttpClient::open(door.ready);
        let mut misses = MISSES;
        loop {
            let call = client.call(Method::GET, "/readiness", &[], PROBE_TIMEOUT);
            if call.await.is_ok_and(|reply| reply.status == StatusCode::OK) {
                misses = 0;
            } else {
                misses += 1;
            }
            self.set(door.packets, misses < MISSES);
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
