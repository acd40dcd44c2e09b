//! An endpoint: takes flows at `app`, answers requests, and sends pings to its machine's `Control`.

use crate::{
    half::Half,
    http,
    packet::{self, ACK, BOUNCED, FIN, Packet, RST, SYN},
    record::Record,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddrV4, UdpSocket},
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The pause before a ping that was not acknowledged is sent again.
const RETRY: Duration = Duration::from_millis(200);

/// The two ends of a flow: the requester and the service address.
type Key = (SocketAddrV4, SocketAddrV4);

#[derive(Clone, Debug)]
pub struct EndpointConfig {
    pub name: String,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub capacity: u16,
    pub ping_ms: u64,
    /// How far the clock of the machine was from true time when the endpoint started.
    pub clock_ms: i64,
    /// Distinguishes the sequence numbers of lifetimes.
    pub first_sequence: u32,
}

/// What the endpoint has seen and how it is to behave.
#[derive(Debug, Default)]
pub struct EndpointState {
    pub is_draining: bool,
    pub is_ended: bool,
    /// The ids of the requests on which it began to work.
    pub ran: Vec<String>,
    /// The flows that it holds and of which it has the end of the handshake.
    pub open: BTreeSet<Key>,
    /// When each flow was opened here.
    pub opened: Vec<(Instant, Key)>,
    /// Packets that their sender did not write so.
    pub changed_packets: u32,
    /// Resets that it sent.
    pub resets: BTreeSet<Key>,
    /// When a ping was last acknowledged, and when the first one that said `draining` was.
    pub acknowledged: Option<Instant>,
    pub draining_acknowledged: Option<Instant>,
}

#[derive(Debug)]
struct Flow {
    first_sequence: u32,
    half: Option<Half>,
    caller_sequence: u32,
    request: Vec<u8>,
    /// Answers that are ready at a time.
    work: Vec<(Instant, Vec<u8>)>,
}

/// A running endpoint.
#[derive(Debug)]
pub struct Endpoint {
    pub config: EndpointConfig,
    pub state: Arc<Mutex<EndpointState>>,
    threads: Vec<JoinHandle<()>>,
}

pub fn unix_ms() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as i64
}

impl Endpoint {
    pub fn start(config: EndpointConfig, record: &Arc<Record>) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(config.app)?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        let state = Arc::new(Mutex::new(EndpointState::default()));
        let born_ms = unix_ms() + config.clock_ms;
        record.line(&format!(
            "endpoint {} ({}) starts, born {born_ms} (its machine's clock is {} ms from true time)",
            config.name, config.id, config.clock_ms
        ));
        let pings = {
            let (config, state, record) = (config.clone(), Arc::clone(&state), Arc::clone(record));
            thread::spawn(move || send_pings(&config, &state, &record, born_ms))
        };
        let flows = {
            let (config, state, record) = (config.clone(), Arc::clone(&state), Arc::clone(record));
            thread::spawn(move || serve(&socket, &config, &state, &record))
        };
        Ok(Self {
            config,
            state,
            threads: vec![pings, flows],
        })
    }

    /// Ends the endpoint at once, as in a crash.
    pub fn end(&mut self) {
        self.state.lock().unwrap().is_ended = true;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

pub fn ping_body(config: &EndpointConfig, state: &str, sequence: u64, born_ms: i64) -> String {
    format!(
        r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Capacity":{},"State":"{state}","WarmupLeftMs":0,"Sequence":{sequence},"born":{born_ms}}}"#,
        config.service, config.app, config.zone, config.capacity
    )
}

fn send_pings(
    config: &EndpointConfig,
    state: &Mutex<EndpointState>,
    record: &Record,
    born_ms: i64,
) {
    let path = format!("/instances/{}", config.id);
    let mut sequence = 0;
    let mut last_state = "";
    let mut next = Instant::now();
    loop {
        let is_draining = {
            let state = state.lock().unwrap();
            if state.is_ended {
                return;
            }
            state.is_draining
        };
        let says = if is_draining { "draining" } else { "ready" };
        let is_due = Instant::now() >= next || (!last_state.is_empty() && says != last_state);
        if !is_due {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        next = Instant::now() + Duration::from_millis(config.ping_ms);
        sequence += 1;
        let body = ping_body(config, says, sequence, born_ms);
        let reply = http::call(config.control, "PUT", &path, &body, Duration::from_secs(1));
        let is_acknowledged = reply.is_ok_and(|reply| (200..300).contains(&reply.status));
        if says != last_state {
            record.line(&format!(
                "endpoint {} says {says} (sequence {sequence}), acknowledged: {is_acknowledged}",
                config.name
            ));
        }
        if is_acknowledged {
            last_state = says;
            let mut state = state.lock().unwrap();
            state.acknowledged = Some(Instant::now());
            if is_draining {
                state.draining_acknowledged.get_or_insert(Instant::now());
            }
        } else {
            // Its machine's node is not up yet; nobody else takes its pings.
            next = Instant::now() + RETRY;
            last_state = "";
        }
    }
}

fn serve(
    socket: &UdpSocket,
    config: &EndpointConfig,
    state: &Mutex<EndpointState>,
    record: &Record,
) {
    let mut flows: BTreeMap<Key, Flow> = BTreeMap::new();
    let mut ended: BTreeSet<Key> = BTreeSet::new();
    let mut buffer = [0; 2_048];
    loop {
        if state.lock().unwrap().is_ended {
            return;
        }
        let received = socket.recv(&mut buffer).ok();
        let now = Instant::now();
        let is_idle = received.is_none();
        if let Some(bytes) = received {
            let bytes = &mut buffer[..bytes];
            on_packet(bytes, socket, config, state, record, &mut flows, &mut ended);
        }
        let mut gone = Vec::new();
        for (key, flow) in &mut flows {
            let Some(half) = flow.half.as_mut() else {
                continue;
            };
            let mut rest = Vec::new();
            for (at, answer) in flow.work.drain(..) {
                if now >= at {
                    half.send(&answer);
                    if state.lock().unwrap().is_draining {
                        half.finish();
                    }
                } else {
                    rest.push((at, answer));
                }
            }
            flow.work = rest;
            let mut packets = half.due(now);
            if is_idle {
                packets.extend(half.late_acknowledgement());
            }
            for packet in packets {
                let _ = socket.send_to(&packet.encode(), config.outbound);
            }
            let is_closed = half.has_sent_fin && half.has_received_fin;
            if is_closed || half.retransmissions > 8 {
                gone.push(*key);
            }
        }
        for key in gone {
            flows.remove(&key);
            ended.insert(key);
            state.lock().unwrap().open.remove(&key);
        }
    }
}

fn on_packet(
    bytes: &mut [u8],
    socket: &UdpSocket,
    config: &EndpointConfig,
    state: &Mutex<EndpointState>,
    record: &Record,
    flows: &mut BTreeMap<Key, Flow>,
    ended: &mut BTreeSet<Key>,
) {
    let now = Instant::now();
    let Some(packet) = Packet::decode(bytes) else {
        return;
    };
    if !packet::is_unchanged(bytes) {
        state.lock().unwrap().changed_packets += 1;
        record.line(&format!("endpoint {} got a changed packet", config.name));
        return;
    }
    let key = (packet.source, packet.destination);
    let send = |packet: &Packet| {
        let _ = socket.send_to(&packet.encode(), config.outbound);
    };
    if packet.is(SYN) {
        let count = flows.len() as u32;
        let flow = flows.entry(key).or_insert_with(|| Flow {
            first_sequence: config
                .first_sequence
                .wrapping_add(count.wrapping_mul(7_919_317)),
            half: None,
            caller_sequence: packet.sequence,
            request: Vec::new(),
            work: Vec::new(),
        });
        send(&Packet {
            sequence: flow.first_sequence,
            acknowledged: flow.caller_sequence.wrapping_add(1),
            ..Packet::new(SYN | ACK, packet.destination, packet.source)
        });
        return;
    }
    let Some(flow) = flows.get_mut(&key) else {
        if ended.contains(&key) {
            if packet.is(RST) {
                return;
            }
            if !packet.data.is_empty() {
                state.lock().unwrap().resets.insert(key);
                send(&Packet {
                    sequence: packet.acknowledged,
                    ..Packet::new(RST, packet.destination, packet.source)
                });
            } else if packet.is(FIN) {
                send(&Packet {
                    sequence: packet.acknowledged,
                    acknowledged: packet.sequence,
                    ..Packet::new(ACK, packet.destination, packet.source)
                });
            }
            return;
        }
        bytes[0] |= BOUNCED;
        let _ = socket.send_to(bytes, config.outbound);
        return;
    };
    if flow.half.is_none() {
        if packet.acknowledged != flow.first_sequence.wrapping_add(1) {
            // The requester has opened the flow elsewhere.
            bytes[0] |= BOUNCED;
            let _ = socket.send_to(bytes, config.outbound);
            return;
        }
        flow.half = Some(Half::new(
            packet.destination,
            packet.source,
            flow.first_sequence.wrapping_add(1),
            flow.caller_sequence.wrapping_add(1),
            now,
        ));
        let mut state = state.lock().unwrap();
        state.open.insert(key);
        state.opened.push((now, key));
        record.line(&format!(
            "endpoint {} opened flow {}>{}",
            config.name, key.0, key.1
        ));
    }
    let half = flow.half.as_mut().unwrap();
    if packet.is(RST) {
        flows.remove(&key);
        ended.insert(key);
        state.lock().unwrap().open.remove(&key);
        return;
    }
    half.receive(&packet, now);
    flow.request.extend(half.take_received());
    while let Some((id, body_bytes, work_ms, used)) = parse_request(&flow.request) {
        flow.request.drain(..used);
        state.lock().unwrap().ran.push(id.clone());
        record.quiet(&format!("endpoint {} runs {id}", config.name));
        let answer = answer(&id, &config.name, body_bytes);
        flow.work
            .push((now + Duration::from_millis(work_ms), answer));
    }
    if half.has_received_fin && flow.work.is_empty() {
        half.finish();
    }
}

/// Reads a request: its id, the size of the answer, the time that it takes, and its own length.
fn parse_request(bytes: &[u8]) -> Option<(String, usize, u64, usize)> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let field = |name: &str| {
        head.lines()
            .filter_map(|line| line.split_once(": "))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_owned())
    };
    let length: usize = field("Content-Length").map_or(0, |text| text.parse().unwrap_or(0));
    if bytes.len() < end + length {
        return None;
    }
    Some((
        field("Request-Id")?,
        field("Answer-Bytes")?.parse().ok()?,
        field("Work-Ms")?.parse().ok()?,
        end + length,
    ))
}

fn answer(id: &str, stamp: &str, body_bytes: usize) -> Vec<u8> {
    let mut answer = format!(
        "HTTP/1.1 200 OK\r\nServer-Stamp: {stamp}\r\nRequest-Id: {id}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
    .into_bytes();
    let pattern = id.as_bytes();
    answer.extend((0..body_bytes).map(|at| pattern[at % pattern.len()]));
    answer
}
