//! A requester: opens flows, sends requests and reads the answers, by PROTOCOL.md.

use crate::{
    half::Half,
    packet::{self, ACK, FIN, Packet, RST, SYN},
    record::Record,
    router::Router,
};
use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddrV4, UdpSocket},
    sync::Arc,
    time::{Duration, Instant},
};

/// How far the number of a reset may be from the requester's last acknowledgement.
const RESET_SPAN: u32 = 76_800;
const SYN_TIMES_MS: [u64; 3] = [0, 200, 600];
const OPENING_LIMIT_MS: u64 = 1_400;

/// What became of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer came, from this endpoint.
    Answered { stamp: String },
    /// The flow was reset while it was open.
    Reset { by_system: bool },
    /// The time limit passed.
    TimedOut,
    /// The answer belongs to another request or is not whole.
    Wrong { why: String },
}

/// A reset that came for a flow.
#[derive(Clone, Debug)]
pub struct SeenReset {
    pub at: Instant,
    pub port: u16,
    pub by_system: bool,
    pub was_open: bool,
    pub is_within_span: bool,
}

#[derive(Debug)]
struct Flow {
    destination: SocketAddrV4,
    sequence: u32,
    half: Option<Half>,
    is_reset: Option<bool>,
    received: Vec<u8>,
}

#[derive(Debug)]
pub struct Requester {
    address: SocketAddrV4,
    socket: UdpSocket,
    router: Router,
    record: Arc<Record>,
    flows: BTreeMap<u16, Flow>,
    next_port: u16,
    next_id: u32,
    pub resets: Vec<SeenReset>,
    pub changed_packets: u32,
}

impl Requester {
    /// Binds the address of a requester, at the port of `DatagramAddr`.
    pub fn bind(address: SocketAddrV4, router: Router, record: &Arc<Record>) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        Ok(Self {
            address,
            socket,
            router,
            record: Arc::clone(record),
            flows: BTreeMap::new(),
            next_port: 40_001,
            next_id: 1,
            resets: Vec::new(),
            changed_packets: 0,
        })
    }

    fn end(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(*self.address.ip(), port)
    }

    fn transmit(&self, packet: &Packet) {
        let node = self.router.choose(packet.source, packet.destination);
        let _ = self.socket.send_to(&packet.encode(), node);
    }

    /// Opens a flow to a route from a new port; returns the port.
    pub fn open(&mut self, destination: SocketAddrV4) -> Option<u16> {
        let port = self.next_port;
        self.next_port += 1;
        let source = self.end(port);
        let sequence = u32::from(port).wrapping_mul(2_654_435_761);
        self.flows.insert(
            port,
            Flow {
                destination,
                sequence,
                half: None,
                is_reset: None,
                received: Vec::new(),
            },
        );
        let began = Instant::now();
        let mut sent = 0;
        loop {
            let elapsed = began.elapsed();
            if sent < SYN_TIMES_MS.len() && elapsed >= Duration::from_millis(SYN_TIMES_MS[sent]) {
                self.transmit(&Packet {
                    sequence,
                    acknowledged: sent as u32,
                    ..Packet::new(SYN, source, destination)
                });
                sent += 1;
            }
            self.step();
            let flow = &self.flows[&port];
            if flow.half.is_some() {
                self.record
                    .quiet(&format!("requester opened flow {source}>{destination}"));
                return Some(port);
            }
            if flow.is_reset.is_some() || elapsed >= Duration::from_millis(OPENING_LIMIT_MS) {
                self.record
                    .quiet(&format!("flow {source}>{destination} did not open"));
                self.flows.remove(&port);
                return None;
            }
        }
    }

    /// Sends a request on an open flow; returns its id.
    pub fn send(
        &mut self,
        port: u16,
        method: &str,
        body: usize,
        answer: usize,
        work_ms: u64,
    ) -> String {
        let id = format!("q{}-{}", self.address.ip().octets()[3], self.next_id);
        self.next_id += 1;
        let mut request = format!(
            "{method} /x HTTP/1.1\r\nRequest-Id: {id}\r\nContent-Length: {body}\r\nAnswer-Bytes: {answer}\r\nWork-Ms: {work_ms}\r\n\r\n"
        )
        .into_bytes();
        request.extend(std::iter::repeat_n(b'b', body));
        let flow = self.flows.get_mut(&port).unwrap();
        flow.half.as_mut().unwrap().send(&request);
        self.record
            .quiet(&format!("requester sent {method} {id} on port {port}"));
        id
    }

    /// Waits for the answer to a request.
    pub fn answer(&mut self, port: u16, id: &str, limit: Duration) -> Outcome {
        let began = Instant::now();
        loop {
            self.step();
            let flow = self.flows.get_mut(&port).unwrap();
            if let Some(outcome) = read_answer(&mut flow.received, id) {
                self.record.quiet(&format!("{id}: {outcome:?}"));
                return outcome;
            }
            if let Some(by_system) = flow.is_reset {
                self.record
                    .line(&format!("{id}: flow of port {port} was reset"));
                return Outcome::Reset { by_system };
            }
            if began.elapsed() >= limit {
                self.record
                    .line(&format!("{id}: no whole answer within {limit:?}"));
                return Outcome::TimedOut;
            }
        }
    }

    /// Closes a flow.
    pub fn close(&mut self, port: u16) {
        if let Some(half) = self
            .flows
            .get_mut(&port)
            .and_then(|flow| flow.half.as_mut())
        {
            half.finish();
        }
        let until = Instant::now() + Duration::from_millis(50);
        while Instant::now() < until {
            self.step();
        }
        self.flows.remove(&port);
    }

    /// Lets time pass, while packets are received.
    pub fn idle(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.step();
        }
    }

    /// Receives what has come and sends what is due.
    pub fn step(&mut self) {
        let mut buffer = [0; 2_048];
        let mut is_idle = true;
        if let Ok(bytes) = self.socket.recv(&mut buffer) {
            is_idle = false;
            self.on_packet(&buffer[..bytes]);
        }
        let now = Instant::now();
        let mut packets = Vec::new();
        for flow in self.flows.values_mut() {
            if let Some(half) = flow.half.as_mut().filter(|_| flow.is_reset.is_none()) {
                packets.extend(half.due(now));
                if is_idle {
                    packets.extend(half.late_acknowledgement());
                }
                flow.received.extend(half.take_received());
            }
        }
        for packet in packets {
            self.transmit(&packet);
        }
    }

    fn on_packet(&mut self, bytes: &[u8]) {
        let now = Instant::now();
        let Some(packet) = Packet::decode(bytes) else {
            return;
        };
        let port = packet.destination.port();
        let Some(flow) = self.flows.get_mut(&port) else {
            return;
        };
        if packet.source != flow.destination {
            return;
        }
        let is_system_reset = packet.flags == RST && packet.sum == 0 && packet.data.is_empty();
        if !is_system_reset && !packet::is_unchanged(bytes) {
            self.changed_packets += 1;
            self.record
                .line("requester got a packet that its sender did not write so");
            return;
        }
        if packet.is(RST) {
            let is_within_span = flow.half.as_ref().is_none_or(|half| {
                let distance = packet.sequence.wrapping_sub(half.acknowledged());
                distance <= RESET_SPAN || distance.wrapping_neg() <= RESET_SPAN
            });
            let reset = SeenReset {
                at: now,
                port,
                by_system: is_system_reset,
                was_open: flow.half.is_some(),
                is_within_span,
            };
            self.record.line(&format!(
                "requester got a reset for port {port}: by the system {is_system_reset}, flow open {}, number accepted {is_within_span}",
                reset.was_open
            ));
            if is_within_span {
                flow.is_reset = Some(is_system_reset);
            }
            self.resets.push(reset);
            return;
        }
        if packet.is(SYN) && packet.is(ACK) {
            if flow.half.is_none() && packet.acknowledged == flow.sequence.wrapping_add(1) {
                let own = SocketAddrV4::new(*self.address.ip(), port);
                let half = Half::new(
                    own,
                    flow.destination,
                    flow.sequence.wrapping_add(1),
                    packet.sequence.wrapping_add(1),
                    now,
                );
                let acknowledgement = half.acknowledgement();
                flow.half = Some(half);
                self.transmit(&acknowledgement);
            }
            return;
        }
        if let Some(half) = flow.half.as_mut() {
            half.receive(&packet, now);
            if packet.is(FIN) {
                half.finish();
            }
        }
    }
}

/// Takes the answer to `id` out of what has been received, if it is there as a whole.
fn read_answer(received: &mut Vec<u8>, id: &str) -> Option<Outcome> {
    let end = received.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let field = |name: &str| {
        head.lines()
            .filter_map(|line| line.split_once(": "))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_owned())
            .unwrap_or_default()
    };
    let length: usize = field("Content-Length").parse().unwrap_or(0);
    if received.len() < end + length {
        return None;
    }
    let body: Vec<u8> = received.drain(..end + length).skip(end).collect();
    let pattern = id.as_bytes();
    let is_whole = body
        .iter()
        .enumerate()
        .all(|(at, byte)| *byte == pattern[at % pattern.len()]);
    if field("Request-Id") != id || !is_whole {
        return Some(Outcome::Wrong {
            why: format!("answer to {} for {id}", field("Request-Id")),
        });
    }
    Some(Outcome::Answered {
        stamp: field("Server-Stamp"),
    })
}
