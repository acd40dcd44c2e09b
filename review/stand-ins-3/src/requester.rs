//! A requester with many flows, and the platform's routers in front of the `front` nodes.

use crate::{
    http,
    packet::{self, ACK, FIN, Packet, RST, SYN},
    record::Record,
};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const SYN_TIMES: [u64; 3] = [0, 200, 600];
const HANDSHAKE_LIMIT: Duration = Duration::from_millis(1_400);
/// How far the sequence number of a reset may be from the last acknowledgement.
const RESET_WINDOW: u32 = 76_800;

/// A `front` node as the routers know it.
#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    pub packets: SocketAddrV4,
    pub ready: SocketAddrV4,
}

/// The routers: they probe the nodes and hash each packet over those that are in rotation.
#[derive(Clone, Debug)]
pub struct Routers {
    nodes: Arc<Vec<Node>>,
    in_rotation: Arc<Mutex<Vec<bool>>>,
}

impl Routers {
    pub fn start(nodes: Vec<Node>, record: &Record) -> Self {
        let routers = Self {
            in_rotation: Arc::new(Mutex::new(vec![false; nodes.len()])),
            nodes: Arc::new(nodes),
        };
        for index in 0..routers.nodes.len() {
            let (probing, record) = (routers.clone(), record.clone());
            thread::spawn(move || probing.probe(index, &record));
        }
        routers
    }

    fn probe(&self, index: usize, record: &Record) {
        let node = &self.nodes[index];
        let mut misses = 2;
        loop {
            let began = Instant::now();
            let answer = http::call(
                node.ready,
                "GET",
                "/readiness",
                "",
                Duration::from_millis(400),
            );
            let is_ready = answer.is_some_and(|(status, _)| status == 200);
            misses = if is_ready { 0 } else { misses + 1 };
            let is_in = misses < 2;
            let before = std::mem::replace(&mut self.in_rotation.lock().unwrap()[index], is_in);
            if before != is_in {
                record.line(format!(
                    "routers: {} is {} rotation",
                    node.name,
                    if is_in { "in" } else { "out of" }
                ));
            }
            thread::sleep(Duration::from_millis(500).saturating_sub(began.elapsed()));
        }
    }

    pub fn count(&self) -> usize {
        self.in_rotation
            .lock()
            .unwrap()
            .iter()
            .filter(|is_in| **is_in)
            .count()
    }

    /// Returns the node that gets the packets of a flow.
    pub fn node_of(&self, caller: SocketAddrV4, service: SocketAddrV4) -> usize {
        let is_in = self.in_rotation.lock().unwrap().clone();
        let all: Vec<usize> = (0..is_in.len()).collect();
        let used: Vec<usize> = all.iter().copied().filter(|index| is_in[*index]).collect();
        let used = if used.len() * 2 < all.len() {
            all
        } else {
            used
        };
        let mut hash = u64::from(caller.ip().to_bits()) << 16 | u64::from(caller.port());
        hash ^=
            (u64::from(service.ip().to_bits()) << 16 | u64::from(service.port())).rotate_left(23);
        hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
        hash ^= hash >> 33;
        used[(hash % used.len() as u64) as usize]
    }

    pub fn wait_for(&self, count: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while self.count() != count {
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        true
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer has arrived, whole.
    Answered,
    /// The system has reset the flow.
    Reset,
    /// The endpoint has reset the flow.
    EndpointReset,
    /// Nothing has arrived within the time limit.
    Nothing,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    service: Option<SocketAddrV4>,
    is_open: bool,
    send: u32,
    receive: u32,
    input: Vec<u8>,
    reset: Option<Outcome>,
    has_endpoint_fin: bool,
    acknowledged: u32,
}

#[derive(Debug)]
struct Shared {
    ip: Ipv4Addr,
    socket: UdpSocket,
    routers: Routers,
    record: Record,
    flows: Mutex<BTreeMap<u16, Flow>>,
    changed: Condvar,
    next_seq: AtomicU64,
    /// Packets that were not as their sender wrote them, and no valid reset.
    spoiled: AtomicU64,
    ignored_resets: AtomicU64,
    is_ended: AtomicBool,
}

#[derive(Clone, Debug)]
pub struct Requester(Arc<Shared>);

impl Requester {
    /// Starts a requester that receives at `ip` and the port of `DatagramAddr`.
    pub fn start(ip: Ipv4Addr, port: u16, routers: &Routers, record: &Record) -> Self {
        let socket =
            UdpSocket::bind(SocketAddrV4::new(ip, port)).expect("the requester's address is free");
        socket
            .set_read_timeout(Some(Duration::from_millis(50)))
            .unwrap();
        let requester = Self(Arc::new(Shared {
            ip,
            socket,
            routers: routers.clone(),
            record: record.clone(),
            flows: Mutex::default(),
            changed: Condvar::new(),
            next_seq: AtomicU64::new(100_000),
            spoiled: AtomicU64::new(0),
            ignored_resets: AtomicU64::new(0),
            is_ended: AtomicBool::new(false),
        }));
        let receiving = requester.clone();
        thread::spawn(move || receiving.receive());
        requester
    }

    pub fn address(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.0.ip, port)
    }

    pub fn spoiled(&self) -> u64 {
        self.0.spoiled.load(Ordering::SeqCst)
    }

    pub fn ignored_resets(&self) -> u64 {
        self.0.ignored_resets.load(Ordering::SeqCst)
    }

    fn send(&self, packet: &Packet) {
        let node = self.0.routers.node_of(packet.from, packet.to);
        let address = self.0.routers.nodes[node].packets;
        let _ = self.0.socket.send_to(&packet.encode(), address);
    }

    fn receive(&self) {
        let mut buffer = [0; 4_096];
        while !self.0.is_ended.load(Ordering::SeqCst) {
            let Ok((bytes, _)) = self.0.socket.recv_from(&mut buffer) else {
                continue;
            };
            self.on_packet(&buffer[..bytes]);
        }
    }

    fn on_packet(&self, bytes: &[u8]) {
        let Some(packet) = Packet::decode(bytes) else {
            return;
        };
        let port = packet.to.port();
        let mut flows = self.0.flows.lock().unwrap();
        let is_system_reset =
            packet.is(RST) && packet.data.is_empty() && packet::stored_sum(bytes) == 0;
        if !is_system_reset && !packet::is_intact(bytes) {
            self.0.spoiled.fetch_add(1, Ordering::SeqCst);
            self.0
                .record
                .line("requester: got a packet that its sender did not write so");
            return;
        }
        let Some(flow) = flows
            .get_mut(&port)
            .filter(|flow| flow.service == Some(packet.from))
        else {
            return;
        };
        if packet.is(RST) {
            let distance = packet.seq.wrapping_sub(flow.acknowledged);
            let is_in_window = distance <= RESET_WINDOW || distance.wrapping_neg() <= RESET_WINDOW;
            if flow.is_open && !is_in_window {
                self.0.ignored_resets.fetch_add(1, Ordering::SeqCst);
                return;
            }
            let outcome = if is_system_reset {
                Outcome::Reset
            } else {
                Outcome::EndpointReset
            };
            self.0.record.line(format!(
                "requester: flow {} gets a reset: {outcome:?}",
                packet.to
            ));
            flow.reset = Some(outcome);
        } else if packet.is(SYN) {
            if !flow.is_open {
                flow.is_open = true;
                flow.receive = packet.seq.wrapping_add(1);
                flow.acknowledged = flow.receive;
            }
        } else {
            flow.has_endpoint_fin |= packet.is(FIN);
            if !packet.data.is_empty() {
                if packet.seq == flow.receive {
                    flow.receive = packet.end();
                    flow.input.extend(&packet.data);
                }
                flow.acknowledged = flow.receive;
                let reply = self.acknowledgement(port, flow);
                self.send(&reply);
            }
        }
        self.0.changed.notify_all();
    }

    fn acknowledgement(&self, port: u16, flow: &Flow) -> Packet {
        Packet {
            flags: ACK,
            from: self.address(port),
            to: flow.service.expect("the flow has a service address"),
            seq: flow.send,
            ack: flow.receive,
            data: Vec::new(),
        }
    }

    /// Waits until `is_done` holds for a flow or `until` has come.
    fn wait(&self, port: u16, until: Instant, is_done: impl Fn(&Flow) -> bool) -> bool {
        let mut flows = self.0.flows.lock().unwrap();
        loop {
            if flows.get(&port).is_some_and(&is_done) {
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            flows = self.0.changed.wait_timeout(flows, left).unwrap().0;
        }
    }

    /// Opens a flow from `port`; returns whether an endpoint has answered.
    pub fn open(&self, port: u16, service: SocketAddrV4) -> bool {
        let seq = self.0.next_seq.fetch_add(1_000_003, Ordering::SeqCst) as u32;
        let flow = Flow {
            service: Some(service),
            send: seq.wrapping_add(1),
            ..Flow::default()
        };
        self.0.flows.lock().unwrap().insert(port, flow);
        let began = Instant::now();
        for (copy, at_ms) in SYN_TIMES.into_iter().enumerate() {
            let due = began + Duration::from_millis(at_ms);
            if self.wait(port, due, |flow| flow.is_open || flow.reset.is_some()) {
                break;
            }
            self.send(&Packet {
                flags: SYN,
                from: self.address(port),
                to: service,
                seq,
                ack: copy as u32,
                data: Vec::new(),
            });
        }
        self.wait(port, began + HANDSHAKE_LIMIT, |flow| {
            flow.is_open || flow.reset.is_some()
        });
        let flows = self.0.flows.lock().unwrap();
        flows[&port].is_open
    }

    /// Sends a request on an open flow and waits for its end, for `limit` at most.
    pub fn request(&self, port: u16, id: &str, limit: Duration) -> Outcome {
        let until = Instant::now() + limit;
        let packet = {
            let mut flows = self.0.flows.lock().unwrap();
            let flow = flows.get_mut(&port).expect("the flow was opened");
            flow.input.clear();
            let text = format!("GET /price HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n\r\n");
            let packet = Packet {
                data: text.into_bytes(),
                ..self.acknowledgement(port, flow)
            };
            flow.send = packet.end();
            packet
        };
        self.0
            .record
            .line(format!("requester: sends {id} on flow {}", packet.from));
        let is_done = |flow: &Flow| flow.reset.is_some() || is_whole(&flow.input, id);
        let mut pause = Duration::from_millis(200);
        loop {
            self.send(&packet);
            let next = (Instant::now() + pause).min(until);
            if self.wait(port, next, is_done) || Instant::now() >= until {
                break;
            }
            pause = (pause * 2).min(Duration::from_millis(1_600));
        }
        let flows = self.0.flows.lock().unwrap();
        let flow = &flows[&port];
        let outcome = if is_whole(&flow.input, id) {
            Outcome::Answered
        } else {
            flow.reset.unwrap_or(Outcome::Nothing)
        };
        self.0.record.line(format!(
            "requester: {id} on flow {}: {outcome:?}",
            packet.from
        ));
        outcome
    }

    /// Closes a flow; returns whether both ends have.
    pub fn close(&self, port: u16) -> bool {
        for _ in 0..5 {
            let fin = {
                let flows = self.0.flows.lock().unwrap();
                Packet {
                    flags: ACK | FIN,
                    ..self.acknowledgement(port, &flows[&port])
                }
            };
            self.send(&fin);
            let until = Instant::now() + Duration::from_millis(200);
            if self.wait(port, until, |flow| flow.has_endpoint_fin) {
                let flows = self.0.flows.lock().unwrap();
                let last = self.acknowledgement(port, &flows[&port]);
                self.send(&last);
                return true;
            }
        }
        false
    }
}

/// Returns whether the input is the whole answer to a request.
fn is_whole(input: &[u8], id: &str) -> bool {
    let text = String::from_utf8_lossy(input);
    text.starts_with("HTTP/1.1 200")
        && text.contains("Server-Stamp: ")
        && text.ends_with(&format!(" answers {id}"))
}
