//! The platform's routers of one zone: readiness probes twice a second, and the choice of a node by
//! a hash over the nodes in rotation (`mod`).

use crate::{http, record::Record};
use std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

#[derive(Clone, Debug)]
pub struct Front {
    pub name: String,
    pub datagrams: SocketAddrV4,
    pub ready: SocketAddrV4,
}

#[derive(Debug)]
struct Probed {
    front: Front,
    misses: u32,
    is_in: bool,
}

#[derive(Clone, Debug)]
pub struct Router {
    probed: Arc<Mutex<Vec<Probed>>>,
}

impl Router {
    pub fn start(fronts: Vec<Front>, record: &Arc<Record>) -> Self {
        let probed = fronts
            .iter()
            .map(|front| Probed {
                front: front.clone(),
                misses: 0,
                is_in: false,
            })
            .collect();
        let router = Self {
            probed: Arc::new(Mutex::new(probed)),
        };
        for (index, front) in fronts.into_iter().enumerate() {
            let (probed, record) = (Arc::clone(&router.probed), Arc::clone(record));
            thread::spawn(move || {
                loop {
                    let limit = Duration::from_millis(400);
                    let reply = http::call(front.ready, "GET", "/readiness", "", limit);
                    let is_ready = reply.is_ok_and(|reply| reply.status == 200);
                    {
                        let mut probed = probed.lock().unwrap();
                        let entry = &mut probed[index];
                        let before = entry.is_in;
                        entry.misses = if is_ready { 0 } else { entry.misses + 1 };
                        entry.is_in = is_ready || (entry.is_in && entry.misses < 2);
                        if entry.is_in != before {
                            let word = if entry.is_in { "in" } else { "out of" };
                            record.line(&format!("router: {} is {word} rotation", front.name));
                        }
                    }
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
        router
    }

    pub fn in_rotation(&self) -> usize {
        let probed = self.probed.lock().unwrap();
        probed.iter().filter(|entry| entry.is_in).count()
    }

    /// Chooses the node for a packet.
    pub fn choose(&self, source: SocketAddrV4, destination: SocketAddrV4) -> SocketAddrV4 {
        let probed = self.probed.lock().unwrap();
        let mut nodes: Vec<&Probed> = probed.iter().filter(|entry| entry.is_in).collect();
        if nodes.len() * 2 < probed.len() {
            nodes = probed.iter().collect();
        }
        let mut hash: u32 = 0x811c_9dc5;
        for end in [source, destination] {
            for byte in end
                .ip()
                .octets()
                .into_iter()
                .chain(end.port().to_le_bytes())
            {
                hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
            }
        }
        nodes[(hash >> 8) as usize % nodes.len()].front.datagrams
    }
}
