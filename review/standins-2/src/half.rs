//! One end of an open flow: window, acknowledgements and retransmissions by PROTOCOL.md.

use crate::packet::{ACK, FIN, MAX_DATA, Packet, after};
use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

const WINDOW_PACKETS: usize = 16;
const FIRST_WAIT: Duration = Duration::from_millis(200);
const MAX_WAIT: Duration = Duration::from_millis(1_600);

#[derive(Debug)]
pub struct Half {
    own: SocketAddrV4,
    peer: SocketAddrV4,
    /// Bytes that the peer has not acknowledged; the first one has the number `unacknowledged`.
    buffer: VecDeque<u8>,
    unacknowledged: u32,
    sent_until: u32,
    received_until: u32,
    early: BTreeMap<u32, Vec<u8>>,
    received: Vec<u8>,
    packets_to_acknowledge: usize,
    progress: Instant,
    wait: Duration,
    pub retransmissions: u32,
    is_finishing: bool,
    pub has_sent_fin: bool,
    pub has_received_fin: bool,
}

impl Half {
    pub fn new(
        own: SocketAddrV4,
        peer: SocketAddrV4,
        send_from: u32,
        receive_from: u32,
        now: Instant,
    ) -> Self {
        Self {
            own,
            peer,
            buffer: VecDeque::new(),
            unacknowledged: send_from,
            sent_until: send_from,
            received_until: receive_from,
            early: BTreeMap::new(),
            received: Vec::new(),
            packets_to_acknowledge: 0,
            progress: now,
            wait: FIRST_WAIT,
            retransmissions: 0,
            is_finishing: false,
            has_sent_fin: false,
            has_received_fin: false,
        }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.buffer.extend(bytes);
    }

    pub fn finish(&mut self) {
        self.is_finishing = true;
    }

    /// Returns the last acknowledgement of this end.
    pub const fn acknowledged(&self) -> u32 {
        self.received_until
    }

    pub fn take_received(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.received)
    }

    pub fn receive(&mut self, packet: &Packet, now: Instant) {
        if packet.is(ACK) {
            let newly = packet.acknowledged.wrapping_sub(self.unacknowledged);
            let outstanding = self.sent_until.wrapping_sub(self.unacknowledged);
            if newly > 0 && newly <= outstanding {
                self.buffer.drain(..newly as usize);
                self.unacknowledged = packet.acknowledged;
                self.progress = now;
                self.wait = FIRST_WAIT;
                self.retransmissions = 0;
            }
        }
        if !packet.data.is_empty() {
            self.packets_to_acknowledge += 1;
            if packet.sequence == self.received_until {
                self.accept(&packet.data);
                while let Some((first, data)) = self.early.pop_first() {
                    if first != self.received_until {
                        if after(first, self.received_until) {
                            self.early.insert(first, data);
                            break;
                        }
                        continue;
                    }
                    self.accept(&data);
                }
            } else if after(packet.sequence, self.received_until) {
                self.early.insert(packet.sequence, packet.data.clone());
                self.packets_to_acknowledge += 1;
            } else {
                // A repeated packet is acknowledged at once.
                self.packets_to_acknowledge += 1;
            }
        }
        if packet.is(FIN) {
            self.has_received_fin = true;
            self.packets_to_acknowledge += 2;
        }
    }

    fn accept(&mut self, data: &[u8]) {
        self.received.extend(data);
        self.received_until = self.received_until.wrapping_add(data.len() as u32);
    }

    /// Returns the packets that are due now.
    pub fn due(&mut self, now: Instant) -> Vec<Packet> {
        let mut packets = Vec::new();
        let outstanding = self.sent_until.wrapping_sub(self.unacknowledged) as usize;
        if outstanding > 0 && now >= self.progress + self.wait {
            let length = outstanding.min(MAX_DATA);
            packets.push(self.packet(self.unacknowledged, 0, length));
            self.progress = now;
            self.wait = (self.wait * 2).min(MAX_WAIT);
            self.retransmissions += 1;
        }
        let mut outstanding = outstanding;
        while outstanding < self.buffer.len() && outstanding < WINDOW_PACKETS * MAX_DATA {
            let length = (self.buffer.len() - outstanding).min(MAX_DATA);
            if outstanding == 0 {
                self.progress = now;
            }
            packets.push(self.packet(self.sent_until, outstanding, length));
            self.sent_until = self.sent_until.wrapping_add(length as u32);
            outstanding += length;
        }
        if self.is_finishing && !self.has_sent_fin && self.buffer.is_empty() {
            self.has_sent_fin = true;
            let mut fin = self.packet(self.sent_until, 0, 0);
            fin.flags |= FIN;
            packets.push(fin);
        }
        if packets.is_empty() && self.packets_to_acknowledge >= 2 {
            packets.push(self.acknowledgement());
        }
        if !packets.is_empty() {
            self.packets_to_acknowledge = 0;
        }
        packets
    }

    /// Acknowledges what is left to acknowledge, when nothing more has come for a moment.
    pub fn late_acknowledgement(&mut self) -> Option<Packet> {
        (self.packets_to_acknowledge > 0).then(|| {
            self.packets_to_acknowledge = 0;
            self.acknowledgement()
        })
    }

    pub fn acknowledgement(&self) -> Packet {
        self.packet(self.sent_until, 0, 0)
    }

    fn packet(&self, sequence: u32, from: usize, length: usize) -> Packet {
        Packet {
            sequence,
            acknowledged: self.received_until,
            data: self
                .buffer
                .iter()
                .skip(from)
                .take(length)
                .copied()
                .collect(),
            ..Packet::new(ACK, self.own, self.peer)
        }
    }
}
