//! An endpoint: it sends its pings, accepts flows and answers the requests in them.

use crate::{
    http,
    packet::{self, ACK, BOUNCED, FIN, Packet, RST, SYN},
    record::Record,
};
use std::{
    collections::BTreeMap,
    net::{SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const MAX_RETRANSMISSION: Duration = Duration::from_millis(1_600);
const RETRANSMISSIONS: u32 = 8;

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    /// The `Sequence` of the first ping.
    pub first_sequence: u64,
    /// How far the machine's clock was ahead when the endpoint started.
    pub clock_ahead_ms: u64,
    /// How long the endpoint works on a request.
    pub work: Duration,
}

#[derive(Clone, Debug)]
struct Unacknowledged {
    packet: Packet,
    sent: Instant,
    pause: Duration,
    times: u32,
}

/// The endpoint's end of a flow.
#[derive(Clone, Debug)]
pub struct Flow {
    first_seq: u32,
    send: u32,
    receive: u32,
    /// When the end of the handshake arrived, in milliseconds of the record.
    pub opened_ms: Option<u64>,
    has_caller_fin: bool,
    waiting: Vec<Unacknowledged>,
    input: Vec<u8>,
}

type Key = (SocketAddrV4, SocketAddrV4);

#[derive(Debug)]
pub struct Shared {
    pub config: Config,
    record: Record,
    socket: UdpSocket,
    flows: Mutex<BTreeMap<Key, Flow>>,
    ended: Mutex<BTreeMap<Key, u32>>,
    /// The ids of the requests that it has run, with the times.
    pub ran: Mutex<Vec<(String, u64)>>,
    /// Flows that this endpoint has reset itself.
    pub own_resets: Mutex<Vec<Key>>,
    /// Packets that were not as their sender wrote them.
    pub spoiled: AtomicU64,
    is_draining: AtomicBool,
    drain_acknowledged_ms: AtomicU64,
    is_gone: AtomicBool,
}

#[derive(Clone, Debug)]
pub struct Endpoint(pub Arc<Shared>);

impl Endpoint {
    pub fn start(config: Config, record: &Record) -> Self {
        let socket = UdpSocket::bind(config.address).expect("the endpoint's address is free");
        socket
            .set_read_timeout(Some(Duration::from_millis(20)))
            .unwrap();
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let born_ms = unix_ms + config.clock_ahead_ms;
        record.line(format!(
            "{} starts, id {}, born {born_ms}",
            config.name, config.id
        ));
        let shared = Arc::new(Shared {
            config,
            record: record.clone(),
            socket,
            flows: Mutex::default(),
            ended: Mutex::default(),
            ran: Mutex::default(),
            own_resets: Mutex::default(),
            spoiled: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            drain_acknowledged_ms: AtomicU64::new(0),
            is_gone: AtomicBool::new(false),
        });
        let endpoint = Self(shared);
        let (serving, pinging) = (endpoint.clone(), endpoint.clone());
        thread::spawn(move || serving.serve());
        thread::spawn(move || pinging.ping(born_ms));
        endpoint
    }

    pub fn name(&self) -> &str {
        &self.0.config.name
    }

    /// Returns when the flow opened here, in milliseconds of the record.
    pub fn opened_ms(&self, caller: SocketAddrV4, service: SocketAddrV4) -> Option<u64> {
        let flows = self.0.flows.lock().unwrap();
        flows
            .get(&(caller, service))
            .and_then(|flow| flow.opened_ms)
    }

    /// Returns how many packets arrived that were not as their sender wrote them.
    pub fn spoiled(&self) -> u64 {
        self.0.spoiled.load(Ordering::SeqCst)
    }

    pub fn has_run(&self, request: &str) -> bool {
        self.0
            .ran
            .lock()
            .unwrap()
            .iter()
            .any(|(id, _)| id == request)
    }

    /// Leaves as planned: reports `draining`, serves on for `serve_on` after the ack, deregisters and
    /// exits.
    pub fn leave(&self, serve_on: Duration) {
        self.0.is_draining.store(true, Ordering::SeqCst);
        while self.0.drain_acknowledged_ms.load(Ordering::SeqCst) == 0 {
            thread::sleep(Duration::from_millis(10));
        }
        self.0
            .record
            .line(format!("{}: `draining` is acknowledged", self.name()));
        thread::sleep(serve_on);
        let path = format!("/instances/{}", self.0.config.id);
        let left = http::call(
            self.0.config.control,
            "DELETE",
            &path,
            "",
            Duration::from_secs(1),
        );
        let status = left.map(|(status, _)| status);
        self.0.record.line(format!(
            "{}: DELETE answered {status:?}; it exits",
            self.name()
        ));
        self.0.is_gone.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(60));
    }

    fn is_gone(&self) -> bool {
        self.0.is_gone.load(Ordering::SeqCst)
    }

    fn ping(&self, born_ms: u64) {
        let config = &self.0.config;
        let path = format!("/instances/{}", config.id);
        let mut sequence = config.first_sequence;
        let mut next = Instant::now();
        while !self.is_gone() {
            let is_draining = self.0.is_draining.load(Ordering::SeqCst);
            let state = if is_draining { "draining" } else { "ready" };
            let body = format!(
                "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Capacity\":9,\"State\":\"{state}\",\"WarmupLeftMs\":0,\"Sequence\":{sequence},\"born\":{born_ms}}}",
                config.service, config.address, config.zone
            );
            let answer = http::call(config.control, "PUT", &path, &body, Duration::from_secs(1));
            let is_acknowledged = answer.is_some_and(|(status, _)| (200..300).contains(&status));
            self.0.record.line(format!(
                "{}: ping {sequence} ({state}) {}",
                config.name,
                if is_acknowledged {
                    "acknowledged"
                } else {
                    "not acknowledged"
                }
            ));
            let is_first_ack = self.0.drain_acknowledged_ms.load(Ordering::SeqCst) == 0;
            if is_acknowledged && is_draining && is_first_ack {
                let at_ms = self.0.record.ms().max(1);
                self.0.drain_acknowledged_ms.store(at_ms, Ordering::SeqCst);
            }
            sequence += 1;
            next += HEARTBEAT;
            while Instant::now() < next && !self.is_gone() {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    fn serve(&self) {
        let mut buffer = [0; 4_096];
        while !self.is_gone() {
            if let Ok((bytes, _)) = self.0.socket.recv_from(&mut buffer) {
                self.on_packet(&mut buffer[..bytes]);
            }
            self.retransmit();
        }
    }

    fn send(&self, packet: &Packet) {
        let _ = self
            .0
            .socket
            .send_to(&packet.encode(), self.0.config.outbound);
    }

    fn on_packet(&self, bytes: &mut [u8]) {
        let Some(packet) = Packet::decode(bytes) else {
            return;
        };
        if !packet::is_intact(bytes) {
            self.0.spoiled.fetch_add(1, Ordering::SeqCst);
            self.0.record.line(format!(
                "{}: got a packet that its sender did not write so",
                self.name()
            ));
            return;
        }
        let key = (packet.from, packet.to);
        let mut flows = self.0.flows.lock().unwrap();
        if packet.is(SYN) {
            let first_seq = first_seq(&self.0.config, &packet);
            // A repeated SYN gets the same answer; a new one with the key of an earlier flow replaces it.
            let is_copy = flows.get(&key).is_some_and(|flow| {
                flow.receive == packet.seq.wrapping_add(1)
                    || flow.opened_ms.is_some() && flow.first_seq == first_seq
            });
            if !is_copy {
                self.0.ended.lock().unwrap().remove(&key);
                flows.insert(
                    key,
                    Flow {
                        first_seq,
                        send: first_seq.wrapping_add(1),
                        receive: packet.seq.wrapping_add(1),
                        opened_ms: None,
                        has_caller_fin: false,
                        waiting: Vec::new(),
                        input: Vec::new(),
                    },
                );
            }
            self.send(&Packet {
                flags: SYN | ACK,
                from: packet.to,
                to: packet.from,
                seq: first_seq,
                ack: packet.seq.wrapping_add(1),
                data: Vec::new(),
            });
            return;
        }
        let is_held = flows.get(&key).is_some_and(|flow| {
            packet.ack.wrapping_sub(flow.first_seq) <= flow.send.wrapping_sub(flow.first_seq)
        });
        if !is_held {
            drop(flows);
            self.on_packet_of_no_flow(&packet, bytes);
            return;
        }
        if packet.is(RST) {
            flows.remove(&key);
            return;
        }
        let Some(flow) = flows.get_mut(&key) else {
            return;
        };
        if flow.opened_ms.is_none() {
            flow.opened_ms = Some(self.0.record.ms());
        }
        flow.waiting
            .retain(|sent| packet.ack.wrapping_sub(sent.packet.end()) > u32::MAX / 2);
        if !packet.data.is_empty() && packet.seq == flow.receive {
            flow.receive = packet.end();
            flow.input.extend(&packet.data);
            if let Some(id) = take_request(&mut flow.input) {
                let at_ms = self.0.record.ms();
                self.0.ran.lock().unwrap().push((id.clone(), at_ms));
                self.0
                    .record
                    .line(format!("{}: runs request {id} of {}", self.name(), key.0));
                let endpoint = self.clone();
                thread::spawn(move || {
                    thread::sleep(endpoint.0.config.work);
                    endpoint.answer(key, &id);
                });
            }
        }
        flow.has_caller_fin |= packet.is(FIN);
        if !packet.data.is_empty() || packet.is(FIN) {
            let fin = if flow.has_caller_fin { FIN } else { 0 };
            let reply = Packet {
                flags: ACK | fin,
                from: key.1,
                to: key.0,
                seq: flow.send,
                ack: flow.receive,
                data: Vec::new(),
            };
            self.send(&reply);
        } else if flow.has_caller_fin {
            // The caller has acknowledged the endpoint's FIN: both ends have closed the flow.
            let end = flow.send;
            flows.remove(&key);
            self.0.ended.lock().unwrap().insert(key, end);
        }
    }

    fn on_packet_of_no_flow(&self, packet: &Packet, bytes: &mut [u8]) {
        let key = (packet.from, packet.to);
        let end = self.0.ended.lock().unwrap().get(&key).copied();
        if let Some(end) = end.filter(|end| *end == packet.ack) {
            let is_data = !packet.data.is_empty();
            if is_data {
                self.0.own_resets.lock().unwrap().push(key);
            } else if !packet.is(FIN) {
                return;
            }
            self.send(&Packet {
                flags: if is_data { RST } else { ACK },
                from: packet.to,
                to: packet.from,
                seq: end,
                ack: packet.end(),
                data: Vec::new(),
            });
            return;
        }
        bytes[0] |= BOUNCED;
        bytes[1] = 0;
        let _ = self.0.socket.send_to(bytes, self.0.config.outbound);
    }

    fn answer(&self, key: Key, id: &str) {
        let mut flows = self.0.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(&key) else {
            return;
        };
        let body = format!("{} answers {id}", self.name());
        let text = format!(
            "HTTP/1.1 200 OK\r\nServer-Stamp: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.0.config.id,
            body.len()
        );
        let packet = Packet {
            flags: ACK,
            from: key.1,
            to: key.0,
            seq: flow.send,
            ack: flow.receive,
            data: text.into_bytes(),
        };
        flow.send = packet.end();
        self.send(&packet);
        flow.waiting.push(Unacknowledged {
            packet,
            sent: Instant::now(),
            pause: FIRST_RETRANSMISSION,
            times: 0,
        });
    }

    fn retransmit(&self) {
        let mut flows = self.0.flows.lock().unwrap();
        for flow in flows.values_mut() {
            for sent in &mut flow.waiting {
                if sent.sent.elapsed() >= sent.pause && sent.times < RETRANSMISSIONS {
                    sent.sent = Instant::now();
                    sent.pause = (sent.pause * 2).min(MAX_RETRANSMISSION);
                    sent.times += 1;
                    self.send(&sent.packet);
                }
            }
        }
    }
}

/// The first sequence number of a flow: another one for each endpoint and each SYN.
fn first_seq(config: &Config, syn: &Packet) -> u32 {
    let mut mixed =
        syn.seq ^ config.address.ip().to_bits().rotate_left(13) ^ u32::from(syn.from.port());
    mixed = mixed.wrapping_mul(0x85eb_ca6b);
    mixed ^= mixed >> 13;
    mixed = mixed.wrapping_mul(0xc2b2_ae35);
    mixed ^ (mixed >> 16)
}

/// Takes a complete request from the bytes of a flow; returns its id.
fn take_request(input: &mut Vec<u8>) -> Option<String> {
    let text = String::from_utf8_lossy(input).into_owned();
    let head = text.find("\r\n\r\n")?;
    let field = |name: &str| {
        text[..head]
            .lines()
            .find_map(|line| line.strip_prefix(name))
            .map(|value| value.trim().to_owned())
    };
    let length: usize = field("Content-Length:")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let end = head + 4 + length;
    if input.len() < end {
        return None;
    }
    input.drain(..end);
    field("Request-Id:")
}
