//! Stands in for a target: pings its agent, takes flows and answers requests.

use super::packet::{ACK, BOUNCED, Packet, SYN};
use basilstep_node::http::HttpClient;
use http::Method;
use serde_json::json;
use std::{
    collections::BTreeSet,
    net::SocketAddrV4,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{net::UdpSocket, time::sleep};

/// How often the stand-in pings; the settings file says the same.
pub const PING_INTERVAL_MS: u64 = 200;

const FIRST_SEQUENCE: u32 = 7_000;

/// Where a target is and whom it talks to.
#[derive(Clone, Debug)]
pub struct TargetPlace {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
}

/// What a target has seen.
#[derive(Debug, Default)]
pub struct TargetLog {
    pub opened: AtomicU32,
    pub is_draining: AtomicBool,
    held: Mutex<BTreeSet<SocketAddrV4>>,
}

/// A running target.
#[derive(Clone, Debug)]
pub struct Target {
    pub log: Arc<TargetLog>,
}

impl Target {
    pub async fn spawn(place: TargetPlace) -> Self {
        let log = Arc::new(TargetLog::default());
        let socket = UdpSocket::bind(place.address).await.unwrap();
        tokio::spawn(ping(place.clone(), Arc::clone(&log)));
        tokio::spawn(serve(socket, place, Arc::clone(&log)));
        Self { log }
    }
}

async fn ping(place: TargetPlace, log: Arc<TargetLog>) {
    let mut client = HttpClient::open(place.control);
    let path = format!("/instances/{}", place.id);
    for sequence in 1.. {
        let is_draining = log.is_draining.load(Ordering::SeqCst);
        let body = json!({
            "Service": place.service, "Address": place.address.to_string(), "Zone": "east",
            "Version": "v1", "Capacity": 9, "State": if is_draining { "draining" } else { "ready" },
            "WarmupLeftMs": 0, "Sequence": sequence, "born": 1_700_000_000_000_u64,
        });
        // The agent may not be up yet; the next ping tells it the same.
        let _ = client
            .call(
                Method::PUT,
                &path,
                body.to_string().as_bytes(),
                Duration::from_secs(1),
            )
            .await;
        sleep(Duration::from_millis(PING_INTERVAL_MS)).await;
    }
}

async fn serve(socket: UdpSocket, place: TargetPlace, log: Arc<TargetLog>) {
    let mut buffer = [0; 2_048];
    loop {
        let (bytes, _) = socket.recv_from(&mut buffer).await.unwrap();
        let received = &mut buffer[..bytes];
        let packet = Packet::decode(received);
        let reply = if let Some(reply) = answer(&packet, &place, &log) {
            reply.encode()
        } else {
            received[0] |= BOUNCED;
            received.to_vec()
        };
        socket.send_to(&reply, place.outbound).await.unwrap();
    }
}

/// Returns the reply of the target, or nothing if it does not hold the flow.
fn answer(packet: &Packet, place: &TargetPlace, log: &TargetLog) -> Option<Packet> {
    let mut held = log.held.lock().unwrap();
    let reply = |flags, data: Vec<u8>| Packet {
        flags,
        source: packet.destination,
        destination: packet.source,
        sequence: FIRST_SEQUENCE,
        acknowledged: packet.sequence + packet.data.len() as u32,
        data,
    };
    if packet.is(SYN) {
        if held.insert(packet.source) {
            log.opened.fetch_add(1, Ordering::SeqCst);
        }
        return Some(reply(SYN | ACK, Vec::new()));
    }
    if !held.contains(&packet.source) {
        return None;
    }
    let text = format!(
        "{} answers {}",
        place.id,
        String::from_utf8_lossy(&packet.data)
    );
    Some(reply(ACK, text.into_bytes()))
}
