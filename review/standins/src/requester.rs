//! Requesters behind a router that sends each packet to a front machine.

use crate::{
    packet::{ACK, FIN, Packet, RST, SYN},
    world::{Record, World},
};
use std::{
    collections::BTreeMap,
    net::{SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

/// A machine with requesters: one socket, many flows.
#[derive(Clone)]
pub struct Machine {
    socket: Arc<UdpSocket>,
    flows: Arc<Mutex<BTreeMap<SocketAddrV4, Sender<Packet>>>>,
    front: Arc<Mutex<SocketAddrV4>>,
    record: Record,
    number: u8,
    ip: std::net::Ipv4Addr,
}

#[derive(Debug, Eq, PartialEq)]
pub enum Outcome {
    Answered(String),
    Reset,
    Silence,
}

pub struct Flow {
    machine: Machine,
    pub source: SocketAddrV4,
    route: SocketAddrV4,
    received: Receiver<Packet>,
    next_own: u32,
    next_from_endpoint: u32,
    pub opened: Instant,
}

impl Machine {
    pub fn start(world: &World, number: u8, front: u8) -> Self {
        let socket = UdpSocket::bind(world.at(number, world.ports.packets))
            .unwrap_or_else(|e| crate::world::cannot_run(&format!("requester: {e}")));
        let machine = Self {
            socket: Arc::new(socket),
            flows: Arc::default(),
            front: Arc::new(Mutex::new(world.at(front, world.ports.packets))),
            record: world.record.clone(),
            number,
            ip: world.ip(number),
        };
        let reader = machine.clone();
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            loop {
                let Ok((bytes, _)) = reader.socket.recv_from(&mut buffer) else {
                    continue;
                };
                let Some(packet) = Packet::decode(&buffer[..bytes]) else {
                    continue;
                };
                let flows = reader.flows.lock().unwrap();
                if let Some(flow) = flows.get(&packet.destination) {
                    let _ = flow.send(packet);
                }
            }
        });
        machine
    }

    fn send(&self, packet: &Packet) {
        let front = *self.front.lock().unwrap();
        let _ = self.socket.send_to(&packet.encode(), front);
    }

    /// Opens a flow: SYNs after 0, 200 and 600 ms, until 1.4 s.
    pub fn open(&self, port: u16, route: SocketAddrV4) -> Option<Flow> {
        let source = SocketAddrV4::new(self.ip, port);
        let (sender, received) = channel();
        self.flows.lock().unwrap().insert(source, sender);
        let own: u32 = 0x1122_0000 + u32::from(port);
        let began = Instant::now();
        for (number, (at, until)) in [(0, 200), (200, 600), (600, 1_400)].into_iter().enumerate() {
            let _ = at;
            let syn = Packet {
                seq: own,
                ack: number as u32,
                ..Packet::new(SYN, source, route)
            };
            self.send(&syn);
            let end = began + Duration::from_millis(until);
            while let Ok(packet) =
                received.recv_timeout(end.saturating_duration_since(Instant::now()))
            {
                if packet.is(RST) {
                    self.flows.lock().unwrap().remove(&source);
                    return None;
                }
                if packet.is(SYN) && packet.is(ACK) {
                    let flow = Flow {
                        machine: self.clone(),
                        source,
                        route,
                        received,
                        next_own: own.wrapping_add(1),
                        next_from_endpoint: packet.seq.wrapping_add(1),
                        opened: Instant::now(),
                    };
                    self.send(&flow.acknowledgement());
                    return Some(flow);
                }
            }
        }
        self.flows.lock().unwrap().remove(&source);
        None
    }
}

impl Flow {
    fn acknowledgement(&self) -> Packet {
        Packet {
            seq: self.next_own,
            ack: self.next_from_endpoint,
            ..Packet::new(ACK, self.source, self.route)
        }
    }

    pub fn name(&self) -> String {
        format!("flow {}:{}", self.machine.number, self.source.port())
    }

    /// Sends a request and waits for its answer, at most `limit`; repeats the packet after 200 ms and
    /// then twice as long each time, up to 1.6 s.
    pub fn request(&mut self, text: &str, limit: Duration) -> Outcome {
        let record = self.machine.record.clone();
        let packet = Packet {
            data: text.as_bytes().to_vec(),
            ..self.acknowledgement()
        };
        self.next_own = self.next_own.wrapping_add(packet.data.len() as u32);
        let until = Instant::now() + limit;
        let mut pause = Duration::from_millis(200);
        record.line(&format!("{} sends {text}", self.name()));
        while Instant::now() < until {
            self.machine.send(&packet);
            let end = until.min(Instant::now() + pause);
            pause = (pause * 2).min(Duration::from_millis(1_600));
            while let Ok(answer) = self
                .received
                .recv_timeout(end.saturating_duration_since(Instant::now()))
            {
                if answer.is(RST) {
                    record.line(&format!(
                        "{} gets a reset (sum {:#x}) for {text}",
                        self.name(),
                        answer.sum
                    ));
                    return Outcome::Reset;
                }
                if answer.data.is_empty() || answer.seq != self.next_from_endpoint {
                    continue;
                }
                self.next_from_endpoint = answer.seq.wrapping_add(answer.data.len() as u32);
                self.machine.send(&self.acknowledgement());
                let answer = String::from_utf8_lossy(&answer.data).into_owned();
                record.line(&format!("{} gets: {answer}", self.name()));
                return Outcome::Answered(answer);
            }
        }
        record.line(&format!("{} gets nothing for {text}", self.name()));
        Outcome::Silence
    }

    /// Returns whether a reset has arrived while no request was at work.
    pub fn has_reset(&self) -> bool {
        let resets = self
            .received
            .try_iter()
            .filter(|packet| packet.is(RST))
            .count();
        if resets > 0 {
            self.machine
                .record
                .line(&format!("{} gets a reset while it is idle", self.name()));
        }
        resets > 0
    }

    pub fn close(self) {
        let fin = Packet {
            flags: FIN | ACK,
            ..self.acknowledgement()
        };
        self.machine.send(&fin);
        self.machine.flows.lock().unwrap().remove(&self.source);
    }
}
