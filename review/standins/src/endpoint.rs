//! An endpoint: pings its node, accepts flows, runs requests and answers them.

use crate::{
    http,
    packet::{ACK, BOUNCED, FIN, Packet, RST, SYN},
    world::{Record, World, unix_ms},
};
use std::{
    collections::BTreeMap,
    net::{SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

struct Flow {
    first: u32,
    next_from_requester: u32,
    next_own: u32,
    is_open: bool,
    /// The last request's sequence number, its answer, and when that is ready.
    last: Option<(u32, Packet, Instant)>,
}

/// A SYN that the endpoint took: when, and of which flow.
pub struct Taken {
    pub at: Instant,
    /// The number of the SYN's copy.
    pub copy: u32,
    pub flow: (SocketAddrV4, SocketAddrV4),
}

pub struct Shared {
    pub name: String,
    pub is_draining: AtomicBool,
    pub started: Instant,
    /// Until when the endpoint is cold, in Unix milliseconds; 0 if it is not.
    pub cold_until_ms: AtomicU64,
    pub taken: Mutex<Vec<Taken>>,
    pub runs: Mutex<Vec<String>>,
    /// Packets that are not as their sender wrote them.
    pub forged: AtomicU64,
    pub resets_sent: AtomicU64,
    pub last_ping: Mutex<Option<Instant>>,
    pub acked_draining: Mutex<Option<Instant>>,
    pub open_flows: AtomicU64,
    /// How long a request takes.
    pub work_ms: AtomicU64,
}

#[derive(Clone)]
pub struct Endpoint {
    pub shared: Arc<Shared>,
}

impl Endpoint {
    pub fn start(world: &World, number: u8, service: &str, capacity: u32, cold_ms: u64) -> Self {
        let born = unix_ms();
        let shared = Arc::new(Shared {
            name: format!("endpoint-{number}"),
            is_draining: AtomicBool::new(false),
            started: Instant::now(),
            cold_until_ms: AtomicU64::new(if cold_ms > 0 { born + cold_ms } else { 0 }),
            taken: Mutex::default(),
            runs: Mutex::default(),
            forged: AtomicU64::new(0),
            resets_sent: AtomicU64::new(0),
            last_ping: Mutex::default(),
            acked_draining: Mutex::default(),
            open_flows: AtomicU64::new(0),
            work_ms: AtomicU64::new(0),
        });
        let app = world.at(number, world.ports.app);
        let socket = UdpSocket::bind(app)
            .unwrap_or_else(|e| crate::world::cannot_run(&format!("endpoint: {e}")));
        world
            .record
            .line(&format!("{} starts, born {born}", shared.name));
        let outbound = world.at(number, world.ports.outbound);
        let (record, state) = (world.record.clone(), Arc::clone(&shared));
        thread::spawn(move || serve(socket, outbound, &record, &state, number));
        let (record, state) = (world.record.clone(), Arc::clone(&shared));
        let control = world.at(number, world.ports.control);
        let service = service.to_owned();
        thread::spawn(move || {
            let mut due = Instant::now();
            for sequence in 1u64.. {
                let is_draining = state.is_draining.load(Ordering::SeqCst);
                let cold = state
                    .cold_until_ms
                    .load(Ordering::SeqCst)
                    .saturating_sub(unix_ms());
                let word = if is_draining { "draining" } else { "ready" };
                let body = format!(
                    r#"{{"Service":"{service}","Address":"{app}","Zone":"a","Version":"v1","Capacity":{capacity},"State":"{word}","WarmupLeftMs":{cold},"Sequence":{sequence},"born":{born}}}"#
                );
                let path = format!("/instances/i-{number}-{born}");
                let status = http::call(control, "PUT", &path, &body);
                if status.as_ref().is_ok_and(|s| (200..300).contains(s)) {
                    *state.last_ping.lock().unwrap() = Some(Instant::now());
                    if is_draining {
                        state
                            .acked_draining
                            .lock()
                            .unwrap()
                            .get_or_insert_with(Instant::now);
                    }
                }
                record.line(&format!(
                    "{} pings {word}, sequence {sequence}, WarmupLeftMs {cold}: {}",
                    state.name,
                    status.map_or_else(|e| e.to_string(), |s| s.to_string())
                ));
                due += HEARTBEAT;
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
        });
        Self { shared }
    }
}

fn serve(socket: UdpSocket, outbound: SocketAddrV4, record: &Record, state: &Shared, number: u8) {
    let mut flows: BTreeMap<(SocketAddrV4, SocketAddrV4), Flow> = BTreeMap::new();
    let mut buffer = [0; 2_048];
    let mut seed = u64::from(number) * 7_919 + unix_ms();
    loop {
        let Ok((bytes, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let Some(packet) = Packet::decode(&buffer[..bytes]) else {
            continue;
        };
        if packet.sum != packet.expected_sum() || (packet.is(SYN) && packet.is(ACK)) {
            state.forged.fetch_add(1, Ordering::SeqCst);
            record.line(&format!(
                "{} gets a packet that nobody wrote: {packet:?}",
                state.name
            ));
            continue;
        }
        let key = (packet.source, packet.destination);
        let reply = |flags: u8, flow: &Flow, data: Vec<u8>| Packet {
            seq: flow.next_own,
            ack: flow.next_from_requester,
            data,
            ..Packet::new(flags, packet.destination, packet.source)
        };
        if packet.is(SYN) {
            let flow = flows.entry(key).or_insert_with(|| {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                state.taken.lock().unwrap().push(Taken {
                    at: Instant::now(),
                    copy: packet.ack,
                    flow: key,
                });
                let first = (seed >> 33) as u32;
                Flow {
                    first,
                    next_from_requester: packet.seq.wrapping_add(1),
                    next_own: first.wrapping_add(1),
                    is_open: false,
                    last: None,
                }
            });
            let answer = Packet {
                seq: flow.first,
                ..reply(SYN | ACK, flow, Vec::new())
            };
            let _ = socket.send_to(&answer.encode(), outbound);
            continue;
        }
        let held = flows.get_mut(&key).filter(|flow| {
            let sent = flow.next_own.wrapping_sub(flow.first);
            let distance = packet.ack.wrapping_sub(flow.first);
            distance >= 1 && distance <= sent
        });
        let Some(flow) = held else {
            // The cookie (`echo`) stays, `pad` is 0.
            let mut bounced = buffer[..bytes].to_vec();
            bounced[0] |= BOUNCED;
            bounced[1] = 0;
            let _ = socket.send_to(&bounced, outbound);
            continue;
        };
        if !flow.is_open {
            flow.is_open = true;
            state.open_flows.fetch_add(1, Ordering::SeqCst);
        }
        if packet.is(RST) {
            flows.remove(&key);
            continue;
        }
        if !packet.data.is_empty() {
            if let Some((seq, answer, ready)) = &flow.last
                && *seq == packet.seq
            {
                // A copy: it is acknowledged, or answered again.
                let reply = if Instant::now() < *ready {
                    Packet {
                        data: Vec::new(),
                        ..answer.clone()
                    }
                } else {
                    answer.clone()
                };
                let _ = socket.send_to(&reply.encode(), outbound);
                continue;
            }
            if packet.seq == flow.next_from_requester {
                flow.next_from_requester = packet.seq.wrapping_add(packet.data.len() as u32);
                let text = String::from_utf8_lossy(&packet.data).into_owned();
                record.line(&format!("{} runs {text}", state.name));
                state.runs.lock().unwrap().push(text.clone());
                let data = format!("{} answers {text}", state.name).into_bytes();
                let answer = reply(ACK, flow, data);
                flow.next_own = flow.next_own.wrapping_add(answer.data.len() as u32);
                let work = Duration::from_millis(state.work_ms.load(Ordering::SeqCst));
                flow.last = Some((packet.seq, answer.clone(), Instant::now() + work));
                let Ok(later) = socket.try_clone() else {
                    continue;
                };
                thread::spawn(move || {
                    thread::sleep(work);
                    let _ = later.send_to(&answer.encode(), outbound);
                });
            }
        }
        if packet.is(FIN) {
            let answer = reply(FIN | ACK, flow, Vec::new());
            let _ = socket.send_to(&answer.encode(), outbound);
            flows.remove(&key);
        }
    }
}
